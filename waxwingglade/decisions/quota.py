"""Quota of a client account's requests, as enforced by one of several counters.

An account's limit applies to all entries together, in every time window of a fixed length.  Several
processes count independently.  Each may grant a share of the limit, and the sum of the shares never
exceeds the limit, also in a network partition.
"""

from collections import deque
from collections.abc import Sequence

import msgspec

RECENT_S = 10.0
"""Seconds for which an account counts as recently refused after a refused request."""


class QuotaRules(msgspec.Struct, frozen=True):
    """Rules by which limits are enforced.

    Parameters
    ----------
    window_s : float
        Length in seconds of the window in which requests are counted.
    excess, slack : float
        Tolerated excess over a limit, because several processes count: as a share of the limit, and
        as a number of requests.
    """

    window_s: float
    excess: float = 0.0
    slack: float = 0.0

    def most(self, rate_per_s: float, burst: float) -> int:
        """Return the number of requests that all counters together may grant in a window."""
        limit = rate_per_s * self.window_s + burst
        return int(limit * (1 + self.excess) + self.slack)


class QuotaDecision(msgspec.Struct, frozen=True):
    """Decision on one request.

    Parameters
    ----------
    granted : bool
        Whether it may go to a target.
    retry_s : float
        If it is not granted, seconds until the limit allows a request again.
    """

    granted: bool
    retry_s: float = 0.0


GRANTED = QuotaDecision(True)


def discard_until(times: deque[float], until: float) -> None:
    """Remove all times up to and including `until` from an ascending sequence."""
    while times and times[0] <= until:
        times.popleft()


class Grants:
    """Recent grants of one counter to one account; times are monotonic seconds.

    Attributes
    ----------
    times : deque of float
        When requests were granted, in ascending order.
    refused_at : float
        When a request was last refused.
    """

    def __init__(self) -> None:
        self.times: deque[float] = deque()
        self.refused_at = float("-inf")

    def record(self, at: float) -> None:
        """Record a granted request."""
        self.times.append(at)

    def give_back(self, at: float) -> None:
        """Remove the grant of a request that reaches no target."""
        if at in self.times:
            self.times.remove(at)

    def recently_refused(self, now: float) -> bool:
        """Return whether a request was refused in the last `RECENT_S` seconds."""
        return now - self.refused_at < RECENT_S


def restore_times(by_process: Sequence[Sequence[float]], now: float) -> list[list[float]]:
    """Convert stored times to the latest possible times on the current clock.

    The monotonic clock of a machine may start anew at any value, so only differences between times
    of one process are known.  The time between two processes is assumed to be zero.

    Parameters
    ----------
    by_process : sequence of sequence of float
        Times in seconds that each process stored, in order, according to the clock at that time.
    now : float
        The present time in seconds.
    """
    moment = now
    restored: list[list[float]] = []
    for times in reversed(by_process):
        moments: list[float] = []
        later = times[-1] if times else 0.0
        for at in reversed(times):
            moment -= max(0.0, later - at)
            later = at
            moments.append(moment)
        restored.append(moments[::-1])
    return restored[::-1]


def decide(grants: Grants, most: int, rules: QuotaRules, now: float) -> QuotaDecision:
    """Decide on a request by the number of grants in the window that ends now.

    Parameters
    ----------
    grants : Grants
        Grants of this counter to the account; those older than the window are removed.
    most : int
        Number of requests that the counter may grant in a window.
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
