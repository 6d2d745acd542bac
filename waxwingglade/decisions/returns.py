"""When a caller should return that was refused because of an outage.

This handles outages of the store or of the ledger that last seconds, under callers that retry only
once or twice.  A caller that is told to return at once uses up its retries within the outage, and
its program fails although it had time to wait.
"""

MIN_RETURN_S = 0.05
"""Least seconds after which a caller returns; a round trip to it takes several milliseconds."""

RETURN_SHARE = 1 / 3
"""Share of a caller's remaining time after which it returns at the latest.  It needs the rest for
the answer, and for one more refusal."""


def return_after_s(time_left_s: float, outage_s: float) -> float:
    """Return the seconds after which a caller should return.

    Parameters
    ----------
    time_left_s : float
        Seconds until the deadline of the caller.
    outage_s : float
        Seconds for which the outage has lasted so far.  How long it goes on is not known; it is
        assumed to be as long again.
    """
    return max(MIN_RETURN_S, min(RETURN_SHARE * time_left_s, outage_s))


__all__ = ["return_after_s"]
