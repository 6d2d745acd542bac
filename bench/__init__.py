"""Benchmarks of the package; running the package requires none of them."""
