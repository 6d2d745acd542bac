"""Messages between the owner of a program log, the holders of its copies and a new owner."""

import msgspec

from waxwingglade.base import (
    EntryRef,
    Epoch,
    LogId,
    Sequence,
)


class AppendRecords(msgspec.Struct, frozen=True, tag="append", array_like=True):
    """Records for a copy of a log, from position `first` on.

    The first message of an epoch starts at 0 and replaces the entire copy.  `registered` says that
    the store has a record of the log, so that the log was retired if the record is missing later.
    `opening` counts how often the owner began to send the log to a holder.
    """

    log: LogId
    epoch: Epoch
    owner: EntryRef
    copies: list[EntryRef]
    first: Sequence
    records: list[bytes]
    registered: bool
    opening: int = 0


class Appended(msgspec.Struct, frozen=True, tag="appended", array_like=True):
    """The copy holds the first `length` records of the epoch's log."""

    length: int


class Behind(msgspec.Struct, frozen=True, tag="behind", array_like=True):
    """The copy lacks earlier records; the owner is to send from position `length` on."""

    length: int


class Fenced(msgspec.Struct, frozen=True, tag="fenced", array_like=True):
    """Refused: the copy accepts only epochs from `epoch` on, and the request has a lower one."""

    epoch: Epoch


class SealCopy(msgspec.Struct, frozen=True, tag="seal", array_like=True):
    """Refuse every epoch below `epoch` from now on, and return the records of the copy."""

    log: LogId
    epoch: Epoch


class SealedCopy(msgspec.Struct, frozen=True, tag="sealed", array_like=True):
    """Records of a sealed copy and their epoch; `last_epoch` is 0 if there is no copy."""

    last_epoch: Epoch
    records: list[bytes]


class DropCopy(msgspec.Struct, frozen=True, tag="drop", array_like=True):
    """Remove a copy, which the owner of `epoch` no longer needs.

    A copy that the owner has opened again since, with a higher `opening`, is retained, because the
    message was delayed.
    """

    log: LogId
    epoch: Epoch
    opening: int


class Dropped(msgspec.Struct, frozen=True, tag="dropped", array_like=True):
    """The copy is removed, or is retained because the message was delayed."""


class TakeLog(msgspec.Struct, frozen=True, tag="take_log", array_like=True):
    """Request that a peer takes over a log, usually because the owner of the log is leaving.

    Parameters
    ----------
    log : LogId
        The log.
    orphaned : bool
        Whether the sender is not the owner, but a leaving holder that considers the owner to be
        unreachable.
    """

    log: LogId
    orphaned: bool = False


class LogTaken(msgspec.Struct, frozen=True, tag="log_taken", array_like=True):
    """The peer owns the log now."""


class FindLog(msgspec.Struct, frozen=True, tag="find_log", array_like=True):
    """Ask who owns a log, according to the receiver and its copy."""

    log: LogId


class LogFound(msgspec.Struct, frozen=True, tag="log_found", array_like=True):
    """Ownership of a log, as known to the receiver of the question.

    Parameters
    ----------
    owner : EntryRef or None
        The receiver itself if it owns the log, else the owner according to its copy; None if it
        has no copy.
    epoch : Epoch
        Epoch of that owner.
    serving : bool
        Whether the receiver itself owns the log.
    taking_over : bool
        Whether the receiver is currently taking the log over.
    owner_gone : bool
        Whether the receiver, too, considers the log to be without an owner: the owner is
        unreachable, or the copy was sealed long ago and no new owner has followed.
    """

    owner: EntryRef | None
    epoch: Epoch
    serving: bool = False
    taking_over: bool = False
    owner_gone: bool = False
