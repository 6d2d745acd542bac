"""The users' platform: its names, formats and calls, decoded here and nowhere else."""
