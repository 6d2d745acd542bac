"""Copies of other entries' logs that this process holds.

A copy promises itself to the highest epoch it has heard of and refuses all lower ones.  That
promise, held by a majority of a log's copies, is what stops an owner that was replaced without
knowing it.
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
        Returns the epoch at which this process owns a log itself, None where it does not.
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
        """Take up what a data folder holds, and keep it up to date from now on."""
        loaded = disk.load()
        self.logs = loaded.copies
        self.damaged = loaded.unknown
        self.dropped = loaded.dropped
        for copy in self.logs.values():
            copy.sealed_at = self.clock()
        self.disk = disk

    async def sync(self) -> Outcome[None]:
        """Wait until the data folder, if there is one, holds all that was done so far.

        Only then may a peer be told of it.
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
        """Take records from an owner.

        Returns
        -------
        Appended, Behind or Fenced
            How much the copy now holds, or why it took nothing.
        """
        owned = self.owned_epoch(message.log)
        if owned is not None and message.epoch <= owned:
            # An owner from before; this process must not count as a holder of its records.
            return Fenced(owned)
        refused_below = max(self.dropped.get(message.log, 0), self.damaged.get(message.log, 0))
        if message.epoch < refused_below:
            return Fenced(Epoch(refused_below))
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
        # A repeated message overlaps what is there; the owner of an epoch never rewrites a record.
        known = len(copy.records) - message.first
        new = message.records[known:]
        if self.disk is not None:
            first = len(copy.records)
            self.disk.append(message.log, first, new, message.copies, message.registered)
        copy.records.extend(new)
        copy.copies = message.copies
        copy.registered = message.registered
        copy.opening = max(copy.opening, message.opening)
        return Appended(len(copy.records))

    def _replace(self, copy: LogCopy, message: AppendRecords) -> Appended | Behind:
        """Take the whole log of a new owner in one step, so that no part of it is ever missing."""
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
        """Refuse lower epochs from now on and hand out the records."""
        if message.log in self.damaged:
            return self._seal_damaged(message)
        if self.owned_epoch(message.log) is not None:
            return self.seal_owned(message)
        # A copy that was dropped, or never came to be, holds nothing that counts: what the log's
        # present holders made durable, they did without it.  Its promise is needed all the same.
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
        """Keep the promise, but do not count: records may be missing from what is left."""
        promised = self.damaged[message.log]
        if message.epoch <= promised:
            return Fenced(promised)
        self.damaged[message.log] = message.epoch
        if self.disk is not None:
            self.disk.promise(message.log, message.epoch)
        text = f"the copy of log {message.log} here is damaged"
        return Refused(Failure(Verdict.NOT_RUN, ErrorCode.NOT_FOUND, text))

    def retain_demoted(self, owned: "OwnedLog") -> None:
        """Keep a log that this process owned, or failed to take over, as a mere copy."""
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
        """Forget a copy that its owner needs no more."""
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
        """Drop a copy that has no use; epochs below `epoch` stay refused."""
        self.logs.pop(log, None)
        self.damaged.pop(log, None)
        self.dropped.pop(log, None)
        self.dropped[log] = epoch
        if self.disk is not None:
            self.disk.drop(log, epoch)
        if len(self.dropped) > MAX_DROPPED_LOGS:
            del self.dropped[next(iter(self.dropped))]
