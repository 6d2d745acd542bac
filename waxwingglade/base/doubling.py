"""Durations that double with each repeat."""

from typing import NamedTuple

MAX_DOUBLINGS = 64
"""Limit of the exponent; the power of a large one would overflow a float."""


def doubled_s(first_s: float, doublings: int, longest_s: float) -> float:
    """Return `first_s` seconds, doubled some times, but at most `longest_s`."""
    return min(longest_s, first_s * 2.0 ** min(doublings, MAX_DOUBLINGS))


class Pause(NamedTuple):
    """A pause after a failure: its length in seconds, and when it ends in monotonic seconds."""

    length_s: float
    ends_at: float


def pause_after(before: Pause | None, first_s: float, longest_s: float, now: float) -> Pause:
    """Return the pause after a failure at `now`: `first_s`, or twice the one before it.

    Parameters
    ----------
    before : Pause or None
        Pause after the failure before; None if the try before succeeded.
    longest_s : float
        Length of the longest pause in seconds.
    """
    length_s = first_s if before is None else min(2 * before.length_s, longest_s)
    return Pause(length_s, now + length_s)


__all__ = ["Pause", "doubled_s", "pause_after"]
