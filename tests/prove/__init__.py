"""Randomized runs of separate processes with seeded faults, whose histories are checked."""
