"""What owners, holders and takers of program logs say to each other."""

import msgspec

from waxwingglade.base import (
    EntryRef,
    Epoch,
    LogId,
    Sequence,
)


class AppendRecords(msgspec.Struct, frozen=True, tag="append", array_like=True):
    """Records for a copy of a log, from position `first` on.

    The first message of an epoch starts at 0 and replaces the copy as a whole.  `registered` says
    that the store has a record of the log: if it has none later, the log was retired.  `opening`
    counts how often the owner began to send the log to a holder.
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
    """The copy lacks what comes before; send from position `length` on."""

    length: int


class Fenced(msgspec.Struct, frozen=True, tag="fenced", array_like=True):
    """Refused: the copy has promised itself to the higher epoch named here."""

    epoch: Epoch


class SealCopy(msgspec.Struct, frozen=True, tag="seal", array_like=True):
    """Refuse every epoch below `epoch` from now on, and hand out what the copy holds."""

    log: LogId
    epoch: Epoch


class SealedCopy(msgspec.Struct, frozen=True, tag="sealed", array_like=True):
    """What a sealed copy holds; `last_epoch` is 0 where it holds nothing."""

    last_epoch: Epoch
    records: list[bytes]


class DropCopy(msgspec.Struct, frozen=True, tag="drop", array_like=True):
    """The copy is no longer needed by the owner of `epoch`.

    A copy that the owner opened again later, with a higher `opening`, stays: the message was late.
    """

    log: LogId
    epoch: Epoch
    opening: int


class Dropped(msgspec.Struct, frozen=True, tag="dropped", array_like=True):
    """The copy is gone."""


class TakeLog(msgspec.Struct, frozen=True, tag="take_log", array_like=True):
    """Ask a peer to take over a log from its owner, who is leaving.

    Parameters
    ----------
    log : LogId
        The log.
    orphaned : bool
        Whether a leaving holder asks, as the owner seems to be gone.
    """

    log: LogId
    orphaned: bool = False


class LogTaken(msgspec.Struct, frozen=True, tag="log_taken", array_like=True):
    """The peer owns the log now."""


class FindLog(msgspec.Struct, frozen=True, tag="find_log", array_like=True):
    """Ask who owns a log, as far as the receiver's copies tell."""

    log: LogId


class LogFound(msgspec.Struct, frozen=True, tag="log_found", array_like=True):
    """What the receiver knows of a log.

    Parameters
    ----------
    owner : EntryRef or None
        Owner as far as the receiver's copy tells; None where it has no copy.
    epoch : Epoch
        Epoch of that owner.
    serving : bool
        Whether the receiver itself owns the log.
    taking_over : bool
        Whether the receiver is taking the log over at this moment.
    owner_gone : bool
        Whether the receiver, too, has lost sight of the owner, or has been sealed against it.
    """

    owner: EntryRef | None
    epoch: Epoch
    serving: bool = False
    taking_over: bool = False
    owner_gone: bool = False
