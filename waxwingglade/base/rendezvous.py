"""Rendezvous hashing: processes agree on an order of names for a key without a message."""

import xxhash


def weight(key: str | None, name: str) -> int:
    """Return the weight of a name for a key; the names of a set are ordered by theirs."""
    return xxhash.xxh32_intdigest(f"{key}|{name}".encode())


__all__ = ["weight"]
