"""The copy of a log that a holder stores."""

import msgspec

from waxwingglade.base import EntryRef, Epoch

MAX_DROPPED_LOGS = 10_000
"""Maximum number of dropped logs to remember, so that a late message does not recreate one."""


class LogCopy(msgspec.Struct):
    """One copy of a log.

    Parameters
    ----------
    promised : Epoch
        Lowest epoch that the copy accepts.
    epoch : Epoch
        Epoch of the owner that wrote the records; 0 if there was none.
    owner : EntryRef or None
        That owner.
    copies : list of EntryRef
        Entries that hold the log, according to the owner.
    records : list of bytes
        Encoded records in order.
    registered : bool
        Whether the store had a record of the log, according to the owner.
    opening : int
        How often the owner had started to send the log to a holder when it sent the records.
    sealed_at : float
        Monotonic time in seconds of the last seal.
    """

    promised: Epoch
    epoch: Epoch = Epoch(0)
    owner: EntryRef | None = None
    copies: list[EntryRef] = []
    records: list[bytes] = []
    registered: bool = False
    opening: int = 0
    sealed_at: float = 0.0
