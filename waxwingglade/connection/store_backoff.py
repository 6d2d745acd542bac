"""Exponential backoff with jitter, so that many processes do not repeat calls simultaneously."""

import random

FIRST_PAUSE_S = 0.05


def backoff_s(repeat: int, longest_s: float) -> float:
    """Return the seconds to wait before a repeat; the first repeat has number 0.

    The pause doubles with each repeat up to `longest_s`, and is then shortened by a random part of
    up to one half.
    """
    return min(longest_s, FIRST_PAUSE_S * 2.0**repeat) * random.uniform(0.5, 1.0)
