"""The users' platform: the only package that uses its names, formats and calls."""
