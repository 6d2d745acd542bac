"""Grants of earlier processes, as read from the journal."""

from collections.abc import Iterator

import msgspec

from waxwingglade.decisions.quota import restore_times
from waxwingglade.follow.model import ClientAccountId
from waxwingglade.ledger.records import ClockRecord, GrantRecord


class StoredTime(msgspec.Struct, frozen=True):
    """The time of a grant, or a reading of the clock alone.

    Parameters
    ----------
    at : float
        Time on the clock of the process that wrote it, in seconds.
    segment : int
        Segment of the journal.
    client : ClientAccountId or None
        Account that was granted a request; None for a reading of the clock.
    """

    at: float
    segment: int
    client: ClientAccountId | None = None


class RestoredGrant(msgspec.Struct, frozen=True):
    """A grant of an earlier process, with its latest possible time on the current clock.

    Parameters
    ----------
    segment : int
        Segment of the journal.
    at : float
        That time in seconds.
    """

    client: ClientAccountId
    segment: int
    at: float


class StoredGrants:
    """Collects the grants of earlier processes while the journal is read.

    Attributes
    ----------
    by_process : list of list
        The times that each process wrote, the oldest process first.
    """

    def __init__(self) -> None:
        self.by_process: list[list[StoredTime]] = [[]]

    def add(self, record: GrantRecord | ClockRecord, segment: int) -> None:
        """Add the next record of the journal."""
        if isinstance(record, GrantRecord):
            self.by_process[-1].append(StoredTime(record.at, segment, record.client))
            return
        if record.is_first:
            self.by_process.append([])
        self.by_process[-1].append(StoredTime(record.at, segment))

    def restore(self, now: float) -> Iterator[RestoredGrant]:
        """Yield the grants, the oldest first."""
        times = [[stored.at for stored in process] for process in self.by_process]
        for process, moments in zip(self.by_process, restore_times(times, now), strict=True):
            for stored, at in zip(process, moments, strict=True):
                if stored.client is not None:
                    yield RestoredGrant(stored.client, stored.segment, at)


__all__ = ["RestoredGrant", "StoredGrants", "StoredTime"]
