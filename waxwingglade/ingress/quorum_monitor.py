"""Whether an entry reaches the ledger, and when the balancer sends its callers elsewhere.

An entry that is cut off from the ledger's majority can neither begin nor keep a turn.  Its callers
are told so while they can still go elsewhere.  A ledger that is merely slow still says that it
reaches its majority, and is waited for.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from waxwingglade.base import Clock, monotonic

HEALTH_CHECK_INTERVAL_S = 1.0
"""Seconds between the balancer's questions whether an entry takes callers."""

UNHEALTHY_THRESHOLD = 2
"""Questions in a row without a good answer after which the balancer sends no more callers."""

REMOVAL_DELAY_S = 0.25
"""Seconds that the balancer takes to act on the last of them."""

MIN_RETRY_AFTER_S = 0.05
"""Shortest time in seconds after which a caller is told to come back."""

T = TypeVar("T")


class QuorumLost(Exception):
    """The ledger's majority was out of reach for as long as it was worth waiting for."""


class RotationEstimate:
    """What the balancer was told of this entry, and when it acts on it.

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
        """Take in the answer to a question of the balancer."""
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
        """Seconds until the balancer sends callers elsewhere, if this entry stays not ready."""
        longest_s = UNHEALTHY_THRESHOLD * HEALTH_CHECK_INTERVAL_S + REMOVAL_DELAY_S
        return min(longest_s, max(MIN_RETRY_AFTER_S, self.removed_at - self.clock()))


class QuorumMonitor:
    """Whether the ledger's majority is in reach, as replicas and the lack of their word tell.

    Parameters
    ----------
    reaches : callable
        Whether a replica said lately that it reaches a majority.

    Attributes
    ----------
    reached : bool
        Whether it was in reach at the last look.
    waiting : dict
        How long each caller of `wait` waits on while it is not, by what ends its waiting.
    """

    def __init__(self, is_reachable: Callable[[], bool]) -> None:
        self.is_reachable = is_reachable
        self.has_quorum = False
        self.wait_limits: dict[asyncio.Timeout, float] = {}

    def check(self) -> bool:
        """Take in whether the majority is in reach now; return whether that has changed."""
        has_quorum = self.is_reachable()
        if has_quorum == self.has_quorum:
            return False
        self.has_quorum = has_quorum
        for timeout, wait_limit_s in self.wait_limits.items():
            # One whose time is over ends its wait in the next turns of the loop.
            if not timeout.expired():
                timeout.reschedule(self._deadline(wait_limit_s))
        return True

    def _deadline(self, wait_limit_s: float) -> float | None:
        return None if self.has_quorum else asyncio.get_running_loop().time() + wait_limit_s

    async def wait(self, asking: Awaitable[T], wait_limit_s: float) -> T:
        """Wait for an answer of the ledger until its majority is lost for `patience_s` seconds.

        Raises
        ------
        LedgerLost
            If it is; what was asked is then cancelled.
        """
        timeout = asyncio.timeout_at(self._deadline(wait_limit_s))
        self.wait_limits[timeout] = wait_limit_s
        try:
            async with timeout:
                return await asking
        except TimeoutError as error:
            if not timeout.expired():
                raise
            raise QuorumLost from error
        finally:
            del self.wait_limits[timeout]


__all__ = ["QuorumLost", "QuorumMonitor", "RotationEstimate"]
