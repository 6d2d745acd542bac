"""Track whether an entry reaches a ledger quorum, and when the balancer removes the entry.

An entry that is partitioned from the majority of the ledger can neither begin nor store a turn.  It
refuses turns early, so that callers can still go to another entry.  The replicas of a slow ledger
still report that they reach a majority, so the entry waits for their answers.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from waxwingglade.base import Clock, monotonic

HEALTH_CHECK_INTERVAL_S = 1.0
"""Seconds between readiness checks of an entry by the balancer."""

UNHEALTHY_THRESHOLD = 2
"""Consecutive failed checks after which the balancer sends no more callers to an entry."""

REMOVAL_DELAY_S = 0.25
"""Seconds that the balancer takes to act on the last failed check."""

MIN_RETRY_AFTER_S = 0.05
"""Minimum value in seconds of the `Retry-After` header."""

T = TypeVar("T")


class QuorumLost(Exception):
    """The majority of the ledger was unreachable for longer than the wait limit."""


class RotationEstimate:
    """Estimates when the balancer removes this entry from rotation.

    Parameters
    ----------
    clock : Clock
        Monotonic seconds.
    """

    def __init__(self, clock: Clock = monotonic) -> None:
        self.clock = clock
        self.checked_at = float("-inf")
        self.failed_checks = 0
        self.removed_at = float("inf")

    def record(self, ready: bool) -> None:
        """Record the answer to a readiness check of the balancer."""
        self.checked_at = self.clock()
        self.failed_checks = 0 if ready else self.failed_checks + 1
        if self.failed_checks <= UNHEALTHY_THRESHOLD:
            self.removed_at = (
                self.checked_at
                + (UNHEALTHY_THRESHOLD - self.failed_checks) * HEALTH_CHECK_INTERVAL_S
                + REMOVAL_DELAY_S
            )

    @property
    def until_removed_s(self) -> float:
        """Seconds until the balancer removes this entry from rotation, if it stays not ready."""
        longest_s = UNHEALTHY_THRESHOLD * HEALTH_CHECK_INTERVAL_S + REMOVAL_DELAY_S
        return min(longest_s, max(MIN_RETRY_AFTER_S, self.removed_at - self.clock()))


class QuorumMonitor:
    """Monitors whether a majority of the ledger is reachable, by the reports of replicas.

    Parameters
    ----------
    is_reachable : callable
        Returns whether a replica recently reported that it reaches a majority.

    Attributes
    ----------
    has_quorum : bool
        Whether the majority was reachable at the last check.
    lost_at : float
        When it was last found to be unreachable, in monotonic seconds; the start before that.
    wait_limits : dict
        For the timeout of each pending `wait`, the seconds that it waits without a quorum.
    """

    def __init__(self, is_reachable: Callable[[], bool]) -> None:
        self.is_reachable = is_reachable
        self.has_quorum = False
        self.lost_at = monotonic()
        self.wait_limits: dict[asyncio.Timeout, float] = {}

    def check(self) -> bool:
        """Check whether the majority is reachable; return whether that has changed."""
        has_quorum = self.is_reachable()
        if has_quorum == self.has_quorum:
            return False
        self.has_quorum = has_quorum
        if not has_quorum:
            self.lost_at = monotonic()
        for timeout, wait_limit_s in self.wait_limits.items():
            # An expired timeout ends its wait in one of the next iterations of the event loop.
            if not timeout.expired():
                timeout.reschedule(self._deadline(wait_limit_s))
        return True

    def _deadline(self, wait_limit_s: float) -> float | None:
        return None if self.has_quorum else asyncio.get_running_loop().time() + wait_limit_s

    async def wait(self, request: Awaitable[T], wait_limit_s: float) -> T:
        """Wait for an answer of the ledger until its quorum is lost for `wait_limit_s` seconds.

        Raises
        ------
        QuorumLost
            If the quorum is lost for that long; the request is then cancelled.
        """
        timeout = asyncio.timeout_at(self._deadline(wait_limit_s))
        self.wait_limits[timeout] = wait_limit_s
        try:
            async with timeout:
                return await request
        except TimeoutError as error:
            if not timeout.expired():
                raise
            raise QuorumLost from error
        finally:
            del self.wait_limits[timeout]


__all__ = ["QuorumLost", "QuorumMonitor", "RotationEstimate"]
