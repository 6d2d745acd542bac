"""Targets that ended or broke off under the same request, by the request's fingerprint.

A trial is one send of a request to a target.  It is pending until its outcome is known, then it has
failed or is released, for good.  So processes may merge records in any order, and a record that
missed some changes is completed later.
"""

import msgspec
import xxhash

from waxwingglade.base import Clock, Fingerprint, wall
from waxwingglade.decisions.failed_targets import MAX_FAILED_TARGETS
from waxwingglade.follow.model import IncarnationName

SUSPECT_TARGETS = 2
"""Targets with failed or pending trials from which on all entries know of a request.  A single
target often fails by chance."""

RETENTION_S = 600.0
"""Seconds for which the members retain a record after its last change."""

SHARED_RETENTION_S = 30.0
"""The same for a request that several callers may send, which must not be kept from all of them
after targets have failed by chance.  The repeats of one caller come within seconds."""

SHARED_PREFIX = "shared-"
"""Beginning of the fingerprints of such requests."""

MAX_RECORDS = 2_000
MAX_TRIALS = 16
"""Most trials of one outcome in a record.  There are more only if as many copies of a request are
sent at once."""

MAX_RELEASED = 64


class Trial(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One send of a request to a target.

    Parameters
    ----------
    target : IncarnationName
        The target.
    request : str
        Id of the attempt of the caller.
    """

    target: IncarnationName
    request: str


class TargetFailures(msgspec.Struct, frozen=True, array_like=True):
    """Trials of a request that failed before.

    Parameters
    ----------
    failed : tuple of Trial
        Trials whose targets ended or broke off, sorted.
    pending : tuple of Trial
        Trials without a known outcome, sorted; those of an entry that was killed stay pending.
    released : tuple of Trial
        Trials that do not count: the target did not fail, the request was answered later, or an
        operator released it; sorted.
    changed_at : float
        Calendar time of the last change, in seconds.
    route : str
        Route of the request, for operators.
    """

    failed: tuple[Trial, ...] = ()
    pending: tuple[Trial, ...] = ()
    released: tuple[Trial, ...] = ()
    changed_at: float = 0.0
    route: str = ""

    @property
    def failed_targets(self) -> int:
        """Number of targets that ended or broke off under the request."""
        return len({trial.target for trial in self.failed})

    @property
    def targets(self) -> frozenset[IncarnationName]:
        """Targets that have failed or may still fail."""
        return frozenset(trial.target for trial in self.failed + self.pending)

    @property
    def tried_targets(self) -> int:
        """Number of targets that have failed or may still fail."""
        return len(self.targets)

    @property
    def is_held(self) -> bool:
        """Whether the request is not sent to targets any more."""
        return self.failed_targets >= MAX_FAILED_TARGETS

    @property
    def exceeds_limit(self) -> bool:
        """Whether more targets would fail than allowed if all pending trials failed."""
        return self.tried_targets > MAX_FAILED_TARGETS

    def merged(self, other: "TargetFailures") -> "TargetFailures":
        """Return the union of two records; this record itself if the other adds nothing."""
        released = {*self.released, *other.released}
        failed = {*self.failed, *other.failed} - released
        pending = {*self.pending, *other.pending} - released - failed
        merged = TargetFailures(
            tuple(sorted(failed)[:MAX_TRIALS]),
            tuple(sorted(pending)[:MAX_TRIALS]),
            tuple(sorted(released)[:MAX_RELEASED]),
            max(self.changed_at, other.changed_at),
            self.route or other.route,
        )
        return self if merged.trials == self.trials else merged

    @property
    def trials(self) -> tuple[tuple[Trial, ...], ...]:
        """All trials by their outcome."""
        return self.failed, self.pending, self.released

    def all_released(self, now: float) -> "TargetFailures":
        """Return a change that releases all trials at a time, in calendar seconds."""
        return TargetFailures(released=self.failed + self.pending, changed_at=now)


NO_FAILURES = TargetFailures()


class FailureTable:
    """The records of one process, bounded in number and in time.

    Parameters
    ----------
    wall_clock : Clock
        Calendar time in seconds.

    Attributes
    ----------
    records : dict
        Record of each fingerprint.
    checksum : int
        Checksum of all records; equal at processes with the same records.
    """

    def __init__(self, wall_clock: Clock = wall) -> None:
        self.wall_clock = wall_clock
        self.records: dict[Fingerprint, TargetFailures] = {}
        self.checksum = 0

    def get(self, fingerprint: Fingerprint) -> TargetFailures:
        """Return the record of a fingerprint, an empty one if there is none."""
        return self.records.get(fingerprint, NO_FAILURES)

    def merge(self, fingerprint: Fingerprint, failures: TargetFailures) -> bool:
        """Merge a record into that of a fingerprint; return whether it adds anything.

        An expired record adds nothing.
        """
        now = self.wall_clock()
        if expires_at(fingerprint, failures) < now:
            return False
        known = self.get(fingerprint)
        merged = known.merged(failures)
        if merged is known:
            return False
        self.remove(fingerprint)
        # A clock that is ahead must not retain the record for longer.
        self.records[fingerprint] = msgspec.structs.replace(
            merged, changed_at=min(merged.changed_at, now)
        )
        self.checksum ^= _checksum(fingerprint, merged)
        if len(self.records) > MAX_RECORDS:
            self.remove(min(self.records, key=self._worth))
        return True

    def _worth(self, fingerprint: Fingerprint) -> tuple[int, float]:
        record = self.records[fingerprint]
        return min(record.failed_targets, MAX_FAILED_TARGETS), record.changed_at

    def remove(self, fingerprint: Fingerprint) -> None:
        """Remove the record of a fingerprint, if there is one."""
        record = self.records.pop(fingerprint, None)
        if record is not None:
            self.checksum ^= _checksum(fingerprint, record)

    def remove_expired(self) -> bool:
        """Remove the records whose retention is over; return whether there were any."""
        now = self.wall_clock()
        expired = [name for name, record in self.records.items() if expires_at(name, record) < now]
        for fingerprint in expired:
            self.remove(fingerprint)
        return bool(expired)

    def suspects(self) -> dict[Fingerprint, int]:
        """Return the requests of which all entries should know, with their failed targets."""
        return {
            fingerprint: min(record.failed_targets, MAX_FAILED_TARGETS)
            for fingerprint, record in self.records.items()
            if record.tried_targets >= SUSPECT_TARGETS
        }


def expires_at(fingerprint: Fingerprint, record: TargetFailures) -> float:
    """Return the calendar time in seconds until which the members retain a record."""
    shared = fingerprint.startswith(SHARED_PREFIX)
    return record.changed_at + (SHARED_RETENTION_S if shared else RETENTION_S)


def _checksum(fingerprint: Fingerprint, record: TargetFailures) -> int:
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode((fingerprint, record.trials)))


__all__ = [
    "NO_FAILURES",
    "SHARED_PREFIX",
    "FailureTable",
    "TargetFailures",
    "Trial",
    "expires_at",
]
