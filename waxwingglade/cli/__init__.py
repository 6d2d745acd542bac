"""Command line of the package."""

from waxwingglade.cli.app import app, main

__all__ = ["app", "main"]
