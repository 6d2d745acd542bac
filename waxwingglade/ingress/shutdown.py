"""Decides which requests a stopping entry still starts."""

import math
import time

import msgspec


class ShutdownSchedule(msgspec.Struct):
    """Times of a planned stop in monotonic seconds; infinite before the stop signal.

    Parameters
    ----------
    notice_at : float
        Time from which the load balancer sends callers elsewhere.
    exit_at : float
        Time at which requests that are still in progress are ended.
    """

    notice_at: float = math.inf
    exit_at: float = math.inf

    def allows_until(self, end_at: float) -> bool:
        """Return whether a request that may take until `end_at` may start now.

        Until the load balancer has noticed the stop, its callers would return here after a refusal.
        Afterwards, only requests that certainly end before the exit may start.
        """
        return time.monotonic() < self.notice_at or end_at <= self.exit_at


__all__ = ["ShutdownSchedule"]
