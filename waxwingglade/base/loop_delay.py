"""How late the event loop of a process runs what is due."""

import asyncio
from collections import deque

from loguru import logger

DELAY_SAMPLES = 20
"""Sleeps over which the longest delay is told, two to four seconds of them."""

LOGGED_DELAY_S = 0.25
"""Seconds of delay from which on a line is logged."""


class LoopDelay:
    """Measures the delay of the running event loop by the sleeps of a task that looks regularly.

    Attributes
    ----------
    delays : deque of float
        Seconds by which the last sleeps ended late, the newest at the end.
    """

    def __init__(self) -> None:
        self.delays: deque[float] = deque(maxlen=DELAY_SAMPLES)

    @property
    def longest_s(self) -> float:
        """Longest delay of the last few seconds."""
        return max(self.delays, default=0.0)

    async def sleep(self, seconds: float) -> None:
        """Sleep, and note how late that ended."""
        loop = asyncio.get_running_loop()
        due_at = loop.time() + seconds
        await asyncio.sleep(seconds)
        delay_s = max(0.0, loop.time() - due_at)
        self.delays.append(delay_s)
        if delay_s >= LOGGED_DELAY_S:
            logger.bind(seconds=round(delay_s, 3)).warning("event loop delayed")


__all__ = ["LoopDelay"]
