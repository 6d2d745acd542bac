"""A scheduler for agent programs: a library of coordination parts with thin daemons."""

__version__ = "0.1.0"

__all__ = ["__version__"]
