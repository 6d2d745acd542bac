"""Placement of turns on model engines by the platform path, simulated in virtual time."""
