"""Grants of earlier processes, as read from the journal."""

from collections.abc import Iterator

import msgspec

from waxwingglade.decisions.quota import restore_times
from waxwingglade.follow.model import ClientAccountId
from waxwingglade.ledger.records import ClockRecord, GrantRecord


class StoredGrant(msgspec.Struct, frozen=True):
    """A grant, or a reading of the clock alone.

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


class StoredGrants:
    """Collects the grants of earlier processes while the journal is read.

    Attributes
    ----------
    by_process : list of list
        What each process wrote, the oldest one first.
    """

    def __init__(self) -> None:
        self.by_process: list[list[StoredGrant]] = [[]]

    def add(self, record: GrantRecord | ClockRecord, segment: int) -> None:
        """Add the next record of the journal."""
        if isinstance(record, GrantRecord):
            self.by_process[-1].append(StoredGrant(record.at, segment, record.client))
            return
        if record.is_first:
            self.by_process.append([])
        self.by_process[-1].append(StoredGrant(record.at, segment))

    def restore(self, now: float) -> Iterator[tuple[StoredGrant, float]]:
        """Yield each grant with its latest possible time on the current clock, oldest first."""
        times = [[stored.at for stored in process] for process in self.by_process]
        for process, moments in zip(self.by_process, restore_times(times, now), strict=True):
            for stored, at in zip(process, moments, strict=True):
                if stored.client is not None:
                    yield stored, at


__all__ = ["StoredGrant", "StoredGrants"]
