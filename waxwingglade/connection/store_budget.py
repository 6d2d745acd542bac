"""Bound on how often a process calls the store."""

import asyncio
from enum import Enum

from waxwingglade.base import Clock, monotonic

WATCH_CALLS_PER_SECOND = 1.0
"""Calls that a waiting watch counts as, for each second that it waits."""

WATCH_SHARE = 0.5
"""Part of the rate that waiting watches may take; the rest is kept for calls."""


MAX_WATCHES = 64
"""Watches that a process may have waiting, whatever its rate."""


class Purpose(Enum):
    """What a call to the store is for."""

    OWNERSHIP = "ownership"
    LEASE = "lease"
    CONFIG = "config"
    WATCH = "watch"
    LOOKUP = "lookup"
    CHECKPOINT = "checkpoint"


class TokenBucket:
    """Tokens that come back at a steady rate, up to one second's worth.

    Parameters
    ----------
    rate : float
        Tokens that come back in a second.
    clock : Clock
        Time source, in seconds.
    """

    def __init__(self, rate: float, clock: Clock = monotonic) -> None:
        self.rate = rate
        self.clock = clock
        self.capacity = max(1.0, rate)
        self.tokens = self.capacity
        self.withheld = 0.0
        self.filled_at = clock()

    def refill(self) -> None:
        """Add the tokens that came back since the last look."""
        now = self.clock()
        gained = (now - self.filled_at) * self.free_rate()
        self.tokens = min(self.capacity, self.tokens + gained)
        self.filled_at = now

    def free_rate(self) -> float:
        """Return the tokens a second that are not withheld."""
        return max(0.0, self.rate - self.withheld)

    def reserve_rate(self, rate: float) -> None:
        """Keep back `rate` tokens a second more, or less if negative."""
        self.refill()
        self.withheld += rate

    def take(self) -> bool:
        """Take a token if there is one."""
        self.refill()
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_s(self) -> float:
        """Return the seconds until the next token is there."""
        self.refill()
        if self.tokens >= 1.0:
            return 0.0
        return (1.0 - self.tokens) / max(self.free_rate(), 1e-9)

    def take_on_credit(self) -> None:
        """Take a token whether or not it is there yet."""
        self.tokens -= 1.0


class CallBudget:
    """Token bucket over the calls of one process.

    A call takes one token.  A waiting watch takes one when it opens and, for as long as it waits,
    keeps back `WATCH_CALLS_PER_SECOND`.  Calls for leases go ahead of their token, which later
    calls then wait for: a burst of reads must not cost a process its leases.

    Parameters
    ----------
    calls_per_second : float
        Rate of the process.
    clock : Clock
        Time source, in seconds.
    """

    def __init__(self, calls_per_second: float, clock: Clock = monotonic) -> None:
        self.bucket = TokenBucket(calls_per_second, clock)
        self.calls_by_purpose = dict.fromkeys(Purpose, 0)
        self.refused_by_purpose = dict.fromkeys(Purpose, 0)
        self.watches = 0

    async def take(self, purpose: Purpose, patience_s: float) -> float:
        """Wait for a token and count the call.

        Parameters
        ----------
        purpose : Purpose
            Counter to raise.
        patience_s : float
            Longest wait, in seconds.

        Returns
        -------
        float
            0 if the call may go; else the seconds after which a repeat is sensible.
        """
        wait_s = self.bucket.wait_s()
        if wait_s > patience_s:
            self.refused_by_purpose[purpose] += 1
            return wait_s
        self.bucket.take_on_credit()
        self.calls_by_purpose[purpose] += 1
        if wait_s > 0.0 and purpose is not Purpose.LEASE:
            await asyncio.sleep(wait_s)
        return 0.0

    def open_watch(self) -> bool:
        """Count one more waiting watch; False if watches have their share already."""
        wanted = (self.watches + 1) * WATCH_CALLS_PER_SECOND
        if wanted > self.bucket.rate * WATCH_SHARE or self.watches == MAX_WATCHES:
            return False
        self.watches += 1
        self.bucket.reserve_rate(WATCH_CALLS_PER_SECOND)
        return True

    def close_watch(self) -> None:
        """Count one waiting watch less."""
        self.watches -= 1
        self.bucket.reserve_rate(-WATCH_CALLS_PER_SECOND)
