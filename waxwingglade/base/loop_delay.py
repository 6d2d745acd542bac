"""Measurement of how late a process's event loop runs scheduled callbacks."""

import asyncio
from collections import deque

from loguru import logger

from waxwingglade.base import monotonic

DELAY_SAMPLES = 20
"""Number of sleeps over which the longest delay is reported; they span two to four seconds."""

STALL_S = 0.1
"""Delay in seconds from which on the event loop counts as stalled."""

LOGGED_DELAY_S = 0.25
"""Minimum delay, in seconds, that is logged."""


class LoopDelay:
    """Measures the delay of the running event loop from the sleeps of a periodic task.

    Attributes
    ----------
    delays : deque of float
        Delays of the last sleeps in seconds, newest last.
    due_at : float
        When the current sleep is to end, in the time of the event loop; inf between two sleeps.
    stall_ended_at : float
        When the last sleep that was late by `STALL_S` or more ended, in monotonic seconds.
    """

    def __init__(self) -> None:
        self.delays: deque[float] = deque(maxlen=DELAY_SAMPLES)
        self.due_at = float("inf")
        self.stall_ended_at = float("-inf")

    @property
    def longest_s(self) -> float:
        """Longest delay of the last few seconds, in seconds."""
        return max(self.delays, default=0.0)

    @property
    def overdue_s(self) -> float:
        """Seconds by which the current sleep is late, 0 if that is too short to be a stall."""
        overdue_s = asyncio.get_running_loop().time() - self.due_at
        return overdue_s if overdue_s >= STALL_S else 0.0

    @property
    def stalled_until(self) -> float:
        """End of the last stall in monotonic seconds: now, if the current sleep is late."""
        return monotonic() if self.overdue_s else self.stall_ended_at

    async def sleep(self, seconds: float) -> None:
        """Sleep, and record how late the sleep ended."""
        loop = asyncio.get_running_loop()
        self.due_at = loop.time() + seconds
        await asyncio.sleep(seconds)
        delay_s = max(0.0, loop.time() - self.due_at)
        self.due_at = float("inf")
        self.delays.append(delay_s)
        if delay_s >= STALL_S:
            self.stall_ended_at = monotonic()
        if delay_s >= LOGGED_DELAY_S:
            logger.bind(seconds=round(delay_s, 3)).warning("event loop delayed")


__all__ = ["LoopDelay"]
