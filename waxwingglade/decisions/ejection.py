"""Temporary exclusion of failed targets from new work."""

from waxwingglade.base import Clock
from waxwingglade.base.doubling import doubled_s

FAILURES_TO_EJECT = 2
"""Consecutive failures after which a target is ejected; one may be due to the connection."""

FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
"""Seconds for which an ejected target gets no work while other targets are available; the duration
doubles with each further failure up to the maximum."""


SHARED_FAILURES_TO_EJECT = 3
"""Failures in a row, over all entries, after which each of them ejects a target; the first ones may
be due to a bad connection of one entry."""

MAX_SHARED_EJECTION_S = 2.0
"""Bound of such an ejection, which doubles like the others.  Requests that were in progress fail
together, so that the number of failures says less about the next request."""


class Ejection:
    """Ejection state of one target, as observed by one entry."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.failures = 0
        self.until = float("-inf")

    @property
    def active(self) -> bool:
        """Whether the target is currently ejected."""
        return self.until > self.clock()

    def record_success(self) -> None:
        """Record a complete answer."""
        self.failures = 0
        self.until = float("-inf")

    def record_failure(self, is_error: bool = False) -> None:
        """Record that the target broke off, was unreachable, or returned an error itself.

        A single error is enough to eject it: a target that fails immediately has no load, and so
        attracts the calls of all entries.  When three of thirty engines returned status 500 for
        5.4 s, 94 of 3,157 programs failed because of this.
        """
        self.failures += 1
        if is_error:
            self.failures = max(self.failures, FAILURES_TO_EJECT)
        if self.failures < FAILURES_TO_EJECT:
            return
        doublings = self.failures - FAILURES_TO_EJECT
        self.until = self.clock() + doubled_s(FIRST_EJECTION_S, doublings, MAX_EJECTION_S)


def is_ejected_by_all(failures: int, age_s: float) -> bool:
    """Return whether all entries eject a target.

    This handles a target that fails at once, under many entries: it has no load, and each entry
    would send it two requests before it ejects it, and more after each ejection.

    Parameters
    ----------
    failures : int
        Failures of the target since its last success, at any entry.
    age_s : float
        Seconds since the last of them.
    """
    if failures < SHARED_FAILURES_TO_EJECT:
        return False
    doublings = failures - SHARED_FAILURES_TO_EJECT
    return age_s < doubled_s(FIRST_EJECTION_S, doublings, MAX_SHARED_EJECTION_S)


__all__ = ["Ejection", "is_ejected_by_all"]
