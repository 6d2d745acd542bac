"""Exponential backoff with jitter, so that many processes do not repeat calls simultaneously."""

import random

from waxwingglade.base.doubling import doubled_s

FIRST_PAUSE_S = 0.05


def backoff_s(repeat: int, longest_s: float) -> float:
    """Return the seconds to wait before a repeat; the first repeat has number 0.

    The pause doubles with each repeat up to `longest_s`, and is then shortened by a random part of
    up to one half.
    """
    return doubled_s(FIRST_PAUSE_S, repeat, longest_s) * random.uniform(0.5, 1.0)
