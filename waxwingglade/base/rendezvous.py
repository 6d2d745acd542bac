"""Rendezvous hashing, by which processes agree on an order of names without communication."""

import xxhash


def weight(key: str | None, name: str) -> int:
    """Return the weight of a name for a key; a set of names is ordered by these weights."""
    return xxhash.xxh32_intdigest(f"{key}|{name}".encode())


__all__ = ["weight"]
