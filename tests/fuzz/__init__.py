"""Fuzz tests with arbitrary input at every boundary: typed errors, no crash, no data loss."""
