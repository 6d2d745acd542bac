"""How many requests of a client account may still go to targets, as one of many counters sees it.

An account's limit holds over all entries and in every span of the window's length.  Several
processes count, and none waits for another: each may grant a part of the limit, and the parts never
add up to more than the whole, whoever is cut off from whom.
"""

from collections import deque
from collections.abc import Sequence

import msgspec

RECENT_S = 10.0
"""Seconds for which an account counts as refused after a request of it was."""


class QuotaRules(msgspec.Struct, frozen=True):
    """How limits are counted.

    Parameters
    ----------
    window_s : float
        Length in seconds of the spans in which requests are counted.
    excess, slack : float
        What may pass beyond a limit since many processes count: a share of it, and requests.
    """

    window_s: float
    excess: float = 0.0
    slack: float = 0.0

    def most(self, rate_per_s: float, burst: float) -> int:
        """Return the requests that may pass in a window, over all counters."""
        limit = rate_per_s * self.window_s + burst
        return int(limit * (1 + self.excess) + self.slack)


class QuotaDecision(msgspec.Struct, frozen=True):
    """What is said of one request.

    Parameters
    ----------
    granted : bool
        Whether it may go to a target.
    retry_s : float
        Otherwise, seconds after which there is room again.
    """

    granted: bool
    retry_s: float = 0.0


GRANTED = QuotaDecision(True)


def discard_until(times: deque[float], until: float) -> None:
    """Remove the moments up to one from a sequence of them in order."""
    while times and times[0] <= until:
        times.popleft()


class Grants:
    """What one counter has granted to one account lately; times are monotonic seconds.

    Attributes
    ----------
    times : deque of float
        When requests were granted, in order.
    refused_at : float
        When one was refused last.
    """

    def __init__(self) -> None:
        self.times: deque[float] = deque()
        self.refused_at = float("-inf")

    def record(self, at: float) -> None:
        """Count a request that was granted."""
        self.times.append(at)

    def give_back(self, at: float) -> None:
        """Take back what was granted at a moment, as the request reaches no target."""
        if at in self.times:
            self.times.remove(at)

    def recently_refused(self, now: float) -> bool:
        """Return whether a request was refused lately."""
        return now - self.refused_at < RECENT_S


def restore_times(times: Sequence[float], now: float) -> list[float]:
    """Return the latest moments, by the present clock, at which requests can have been granted.

    The clock begins anew when the machine does, so a time may lie ahead of a later one, or of now.
    How long the machine was off is not known, and taken for nothing.

    Parameters
    ----------
    times : sequence of float
        When they were granted, in order, by the clock of the time.
    now : float
        The present time.
    """
    moments: list[float] = []
    later = moment = now
    for at in reversed(times):
        # A time that lies ahead of a later one is of a clock before that.
        moment -= max(0.0, later - at)
        later = at
        moments.append(moment)
    return moments[::-1]


def decide(grants: Grants, most: int, rules: QuotaRules, now: float) -> QuotaDecision:
    """Judge one request by what was granted in the window that ends with it.

    Parameters
    ----------
    grants : Grants
        What this counter has granted to the account; what is older than the window is forgotten.
    most : int
        What it may grant in a window.
    """
    times = grants.times
    discard_until(times, now - rules.window_s)
    if len(times) < most:
        return GRANTED
    grants.refused_at = now
    if most <= 0:
        return QuotaDecision(False, rules.window_s)
    return QuotaDecision(False, times[-most] + rules.window_s - now)


__all__ = [
    "GRANTED",
    "Grants",
    "QuotaDecision",
    "QuotaRules",
    "decide",
    "discard_until",
    "restore_times",
]
