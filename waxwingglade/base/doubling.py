"""Durations that double with each repeat."""

MAX_DOUBLINGS = 64
"""Limit of the exponent; the power of a large one would overflow a float."""


def doubled_s(first_s: float, doublings: int, longest_s: float) -> float:
    """Return `first_s` seconds, doubled some times, but at most `longest_s`."""
    return min(longest_s, first_s * 2.0 ** min(doublings, MAX_DOUBLINGS))


__all__ = ["doubled_s"]
