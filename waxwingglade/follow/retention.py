"""Targets that remain in use for a while although the store no longer lists them.

The store removes the entry of a target that has left, and also the entry of a running target that
could not renew it in an outage of the store.  Lists of targets hold only what the store has, so
that lists of one revision are the same in all processes.  Which missing targets to retain, each
process decides for itself, and passes on nothing but the time of the outage.
"""

import math

from loguru import logger

from waxwingglade.base import Clock, TargetId
from waxwingglade.follow.model import Target, TargetList

REREGISTRATION_S = 2.0
"""Seconds after an outage of the store for which a missing target is retained.  Running targets
register again within about two seconds."""

EXPIRY_HEARTBEATS = 3
"""Heartbeats that a target misses before the store removes its entry."""

LONGEST_INTERVAL = 1.1
"""Longest time between two heartbeats of a target, as a multiple of the usual one."""


class Retention:
    """The last outage of the store, and the targets that are retained after it.

    Parameters
    ----------
    heartbeat_s : float
        Interval in seconds at which targets renew their entries.
    clock : Clock
        Monotonic seconds.

    Attributes
    ----------
    first_expiry_s : float
        Seconds from the begin of an outage until the first entry may expire.
    shortest_outage_s : float
        Length in seconds of the shortest outage in which, or after which, an entry may expire.
    began_at, ended_at : float
        Begin and end of the last outage in which entries may have expired; -inf for none.  The time
        before the first confirmation counts as an outage, since nothing is known about it.
    targets : dict
        Retained targets by name.
    """

    def __init__(self, heartbeat_s: float, clock: Clock) -> None:
        # The last heartbeat before an outage may have been an interval earlier, and the next one
        # may come an interval after it.
        self.first_expiry_s = (EXPIRY_HEARTBEATS - LONGEST_INTERVAL) * heartbeat_s
        self.shortest_outage_s = self.first_expiry_s - LONGEST_INTERVAL * heartbeat_s
        self.clock = clock
        self.began_at = float("-inf")
        self.ended_at = float("-inf")
        self.targets: dict[TargetId, Target] = {}

    @property
    def active(self) -> bool:
        """Whether an outage has ended so recently that running targets may still be missing.

        A process that was not running before the outage has no earlier targets to compare with.
        """
        return math.isfinite(self.began_at) and self.clock() < self.ended_at + REREGISTRATION_S

    @property
    def may_have_expired(self) -> bool:
        """Whether a target that is found missing now may be running."""
        return self.active and self.clock() >= self.began_at + self.first_expiry_s

    def record_confirmation(
        self, known_until: float, confirmed_at: float, recovered_at: float
    ) -> bool:
        """Record that some process was answered by the store; return whether that ends a retention.

        Parameters
        ----------
        known_until : float
            When the store was last known to answer, before this report.
        confirmed_at : float
            When it answered the reporting process.
        recovered_at : float
            When it last answered the reporting process after an outage, or for the first time.
        """
        unknown_s = confirmed_at - known_until
        if recovered_at > known_until and unknown_s >= self.shortest_outage_s:
            self.began_at, self.ended_at = known_until, recovered_at
            if math.isfinite(unknown_s):
                logger.bind(unknown_s=round(unknown_s, 2)).info(
                    "entries of targets may have expired in an outage of the store"
                )
        elif confirmed_at >= self.ended_at > recovered_at:
            # The store answered the reporting process all the time since then.
            self.ended_at = recovered_at if recovered_at > self.began_at else float("-inf")
            if not self.active:
                return self._clear()
        return False

    def update(self, before: TargetList, after: TargetList) -> None:
        """Retain the targets that a newer list lacks, if their entries may have expired."""
        registered = {target.target for target in after.targets}
        missing = [target for target in before.targets if target.target not in registered]
        for name in registered & self.targets.keys():
            del self.targets[name]
        if not self.may_have_expired:
            return
        retained_s = round(self.ended_at + REREGISTRATION_S - self.clock(), 2)
        for target in missing:
            if not target.leaving:
                self.targets[target.target] = target
                logger.bind(target=target.target, retained_s=retained_s).info("target retained")

    def expire(self) -> bool:
        """Drop the retained targets if their time is over; return whether there were any."""
        return not self.active and self._clear()

    def _clear(self) -> bool:
        had_targets = bool(self.targets)
        self.targets.clear()
        return had_targets


__all__ = ["REREGISTRATION_S", "Retention"]
