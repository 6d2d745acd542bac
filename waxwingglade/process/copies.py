"""Copies of other entries' logs that this process holds.

A copy promises to accept no epoch lower than the highest one that it has received.  The promises of
a majority of a log's copies stop a replaced owner that does not know of its replacement.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from waxwingglade.base import (
    Clock,
    Epoch,
    ErrorCode,
    Failure,
    LogId,
    Ok,
    Outcome,
    Verdict,
    may_have_run,
    monotonic,
)
from waxwingglade.connection.peer_messages import (
    Appended,
    AppendRecords,
    Behind,
    DropCopy,
    Dropped,
    Fenced,
    Refused,
    SealCopy,
    SealedCopy,
)
from waxwingglade.process.disk import Disk, DiskError
from waxwingglade.process.log_copy import MAX_DROPPED_LOGS, LogCopy

if TYPE_CHECKING:
    from waxwingglade.process.owned_log import OwnedLog


class Copies:
    """The copies held by this process.

    Parameters
    ----------
    owned_epoch : callable
        Returns the epoch at which this process owns a log itself, or None if it does not own it.
    seal_owned : callable
        Seals a log that this process owns itself.
    """

    def __init__(
        self,
        owned_epoch: Callable[[LogId], Epoch | None],
        seal_owned: Callable[[SealCopy], SealedCopy | Fenced],
        clock: Clock = monotonic,
    ) -> None:
        self.owned_epoch = owned_epoch
        self.seal_owned = seal_owned
        self.clock = clock
        self.logs: dict[LogId, LogCopy] = {}
        self.dropped: dict[LogId, Epoch] = {}
        self.damaged: dict[LogId, Epoch] = {}
        self.disk: Disk | None = None

    def attach_disk(self, disk: Disk) -> None:
        """Load the copies in a data folder, and write all later changes to it."""
        loaded = disk.load()
        self.logs = loaded.copies
        self.damaged = loaded.damaged
        self.dropped = loaded.dropped
        for copy in self.logs.values():
            copy.sealed_at = self.clock()
        self.disk = disk

    async def sync(self) -> Outcome[None]:
        """Wait until all changes so far are durable in the data folder, if there is one.

        A change may be acknowledged to a peer only afterwards.
        """
        if self.disk is None:
            return Ok(None)
        try:
            await self.disk.sync()
        except DiskError as error:
            self.disk = None
            return may_have_run(ErrorCode.UNAVAILABLE, f"the data folder failed: {error}")
        return Ok(None)

    def append(self, message: AppendRecords) -> Appended | Behind | Fenced:
        """Append records sent by an owner.

        Returns
        -------
        Appended, Behind or Fenced
            Number of records in the copy, or the reason why it did not accept the message.
        """
        owned = self.owned_epoch(message.log)
        if owned is not None and message.epoch <= owned:
            # The sender is a previous owner, whose records this process must not count as holding.
            return Fenced(owned)
        lowest_accepted = max(self.dropped.get(message.log, 0), self.damaged.get(message.log, 0))
        if message.epoch < lowest_accepted:
            return Fenced(Epoch(lowest_accepted))
        copy = self.logs.get(message.log)
        if copy is None:
            self.dropped.pop(message.log, None)
            copy = self.logs[message.log] = LogCopy(message.epoch)
        if message.epoch < copy.promised:
            return Fenced(copy.promised)
        if message.epoch > copy.epoch:
            return self._replace(copy, message)
        if message.first > len(copy.records):
            return Behind(len(copy.records))
        # A repeated message overlaps the copy; the owner of an epoch never changes a record.
        already_stored = len(copy.records) - message.first
        new = message.records[already_stored:]
        if self.disk is not None:
            first = len(copy.records)
            self.disk.append(message.log, first, new, message.copies, message.registered)
        copy.records.extend(new)
        copy.copies = message.copies
        copy.registered = message.registered
        copy.opening = max(copy.opening, message.opening)
        return Appended(len(copy.records))

    def _replace(self, copy: LogCopy, message: AppendRecords) -> Appended | Behind:
        """Replace the copy by a new owner's log in one step, so that it is never incomplete."""
        if message.first != 0:
            return Behind(0)
        copy.promised = message.epoch
        copy.epoch = message.epoch
        copy.owner = message.owner
        copy.copies = message.copies
        copy.records = list(message.records)
        copy.opening = message.opening
        copy.registered = message.registered
        self.damaged.pop(message.log, None)
        if self.disk is not None:
            self.disk.open_epoch(message.log, copy)
        return Appended(len(copy.records))

    def seal(self, message: SealCopy) -> SealedCopy | Fenced | Refused:
        """Refuse lower epochs from now on and return the records."""
        if message.log in self.damaged:
            return self._seal_damaged(message)
        if self.owned_epoch(message.log) is not None:
            return self.seal_owned(message)
        # A copy that was dropped or never created contributed to no durable record, as the current
        # holders made their records durable without it.  Its promise is still needed.
        self.dropped.pop(message.log, None)
        copy = self.logs.setdefault(message.log, LogCopy(Epoch(0)))
        if message.epoch <= copy.promised:
            return Fenced(copy.promised)
        copy.promised = message.epoch
        copy.sealed_at = self.clock()
        if self.disk is not None:
            self.disk.promise(message.log, message.epoch)
        return SealedCopy(copy.epoch, copy.records)

    def _seal_damaged(self, message: SealCopy) -> Fenced | Refused:
        """Record the promise but return no records, as the damaged copy may lack some."""
        promised = self.damaged[message.log]
        if message.epoch <= promised:
            return Fenced(promised)
        self.damaged[message.log] = message.epoch
        if self.disk is not None:
            self.disk.promise(message.log, message.epoch)
        text = f"the copy of log {message.log} here is damaged"
        return Refused(Failure(Verdict.NOT_RUN, ErrorCode.NOT_FOUND, text))

    def retain_demoted(self, owned: "OwnedLog") -> None:
        """Retain a log that this process owned, or failed to take over, as a copy."""
        self.logs[owned.log] = LogCopy(
            promised=owned.fenced_by or owned.epoch,
            epoch=owned.epoch,
            owner=owned.own,
            copies=owned.copies,
            records=owned.records,
            registered=owned.store_revision > 0,
            sealed_at=self.clock(),
        )

    def drop(self, message: DropCopy) -> Dropped | Fenced:
        """Remove a copy that its owner no longer needs."""
        owned = self.owned_epoch(message.log)
        if owned is not None:
            return Fenced(owned)
        copy = self.logs.get(message.log)
        if copy is not None and message.epoch < copy.promised:
            return Fenced(copy.promised)
        if copy is not None and copy.epoch == message.epoch and copy.opening > message.opening:
            return Dropped()
        self.forget(message.log, message.epoch)
        return Dropped()

    def forget(self, log: LogId, epoch: Epoch) -> None:
        """Remove a copy that is no longer needed, and still refuse epochs below `epoch`."""
        self.logs.pop(log, None)
        self.damaged.pop(log, None)
        self.dropped.pop(log, None)
        self.dropped[log] = epoch
        if self.disk is not None:
            self.disk.drop(log, epoch)
        if len(self.dropped) > MAX_DROPPED_LOGS:
            del self.dropped[next(iter(self.dropped))]
