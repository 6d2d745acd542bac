"""Time sources, as functions that tests can replace."""

import time
from collections.abc import Callable

Clock = Callable[[], float]

monotonic: Clock = time.monotonic
"""Seconds since an arbitrary start; used for all intervals and leases."""

wall: Clock = time.time
"""Seconds since 1970 (UTC); used only for times that people and other systems read."""
