"""Measurement of how late a process's event loop runs scheduled callbacks."""

import asyncio
from collections import deque

from loguru import logger

DELAY_SAMPLES = 20
"""Number of sleeps over which the longest delay is reported; they span two to four seconds."""

LOGGED_DELAY_S = 0.25
"""Minimum delay, in seconds, that is logged."""


class LoopDelay:
    """Measures the delay of the running event loop from the sleeps of a periodic task.

    Attributes
    ----------
    delays : deque of float
        Delays of the last sleeps in seconds, newest last.
    """

    def __init__(self) -> None:
        self.delays: deque[float] = deque(maxlen=DELAY_SAMPLES)

    @property
    def longest_s(self) -> float:
        """Longest delay of the last few seconds, in seconds."""
        return max(self.delays, default=0.0)

    async def sleep(self, seconds: float) -> None:
        """Sleep, and record how late the sleep ended."""
        loop = asyncio.get_running_loop()
        due_at = loop.time() + seconds
        await asyncio.sleep(seconds)
        delay_s = max(0.0, loop.time() - due_at)
        self.delays.append(delay_s)
        if delay_s >= LOGGED_DELAY_S:
            logger.bind(seconds=round(delay_s, 3)).warning("event loop delayed")


__all__ = ["LoopDelay"]
