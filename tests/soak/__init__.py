"""Randomized soak test of the platform's daemons as separate processes, with injected faults."""
