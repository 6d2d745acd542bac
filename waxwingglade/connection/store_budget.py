"""Rate limit on the calls that a process makes to the store."""

import asyncio
from enum import Enum

from waxwingglade.base import Clock, monotonic

WATCH_CALLS_PER_SECOND = 1.0
"""Rate that an open watch takes from the budget, in calls per second."""

WATCH_SHARE = 0.5
"""Largest share of the rate that open watches may take; the rest is reserved for calls."""


MAX_WATCHES = 64
"""Most watches that a process may have open, whatever its rate."""


class Purpose(Enum):
    """Purpose of a call to the store."""

    OWNERSHIP = "ownership"
    LEASE = "lease"
    CONFIG = "config"
    WATCH = "watch"
    LOOKUP = "lookup"
    CHECKPOINT = "checkpoint"


class TokenBucket:
    """Token bucket whose capacity is the refill of one second, or one token if that is more.

    Parameters
    ----------
    rate : float
        Tokens that are added per second.
    clock : Clock
        Time source, in seconds.
    """

    def __init__(self, rate: float, clock: Clock = monotonic) -> None:
        self.rate = rate
        self.clock = clock
        self.capacity = max(1.0, rate)
        self.tokens = self.capacity
        self.reserved_rate = 0.0
        self.refilled_at = clock()

    def refill(self) -> None:
        """Add the tokens that are due since the last refill."""
        now = self.clock()
        gained = (now - self.refilled_at) * self.free_rate()
        self.tokens = min(self.capacity, self.tokens + gained)
        self.refilled_at = now

    def free_rate(self) -> float:
        """Return the refill rate that is not reserved, in tokens per second."""
        return max(0.0, self.rate - self.reserved_rate)

    def reserve_rate(self, rate: float) -> None:
        """Reserve further `rate` tokens per second; a negative rate releases them."""
        self.refill()
        self.reserved_rate += rate

    def take(self) -> bool:
        """Take a token if one is available."""
        self.refill()
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_s(self) -> float:
        """Return the seconds until a token is available."""
        self.refill()
        if self.tokens >= 1.0:
            return 0.0
        return (1.0 - self.tokens) / max(self.free_rate(), 1e-9)

    def take_in_advance(self) -> None:
        """Take a token even if none is available; the next refills make up for it."""
        self.tokens -= 1.0


class CallBudget:
    """Rate limit on the calls of one process, by a token bucket.

    A call takes one token.  A watch takes one token when it opens, and reserves
    `WATCH_CALLS_PER_SECOND` of the rate for as long as it is open.  Calls for leases do not wait
    for their token, so that a burst of reads cannot cost a process its leases; later calls wait
    for that token instead.

    Parameters
    ----------
    calls_per_second : float
        Calls that the process may make per second.
    clock : Clock
        Time source, in seconds.
    """

    def __init__(self, calls_per_second: float, clock: Clock = monotonic) -> None:
        self.bucket = TokenBucket(calls_per_second, clock)
        self.calls_by_purpose = dict.fromkeys(Purpose, 0)
        self.refused_by_purpose = dict.fromkeys(Purpose, 0)
        self.watches = 0

    async def take(self, purpose: Purpose, wait_limit_s: float) -> float:
        """Wait for a token and count the call.

        Parameters
        ----------
        purpose : Purpose
            Purpose under which the call is counted.
        wait_limit_s : float
            Longest wait, in seconds.

        Returns
        -------
        float
            0 if the call may be sent; otherwise the seconds until a token is available.
        """
        wait_s = self.bucket.wait_s()
        if wait_s > wait_limit_s:
            self.refused_by_purpose[purpose] += 1
            return wait_s
        self.bucket.take_in_advance()
        self.calls_by_purpose[purpose] += 1
        if wait_s > 0.0 and purpose is not Purpose.LEASE:
            await asyncio.sleep(wait_s)
        return 0.0

    def open_watch(self) -> bool:
        """Reserve the rate of one more watch; return False if watches have no free slot."""
        needed_rate = (self.watches + 1) * WATCH_CALLS_PER_SECOND
        if needed_rate > self.bucket.rate * WATCH_SHARE or self.watches == MAX_WATCHES:
            return False
        self.watches += 1
        self.bucket.reserve_rate(WATCH_CALLS_PER_SECOND)
        return True

    def close_watch(self) -> None:
        """Release the rate of one watch."""
        self.watches -= 1
        self.bucket.reserve_rate(-WATCH_CALLS_PER_SECOND)
