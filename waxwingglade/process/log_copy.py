"""One copy of a log, as a holder keeps it."""

import msgspec

from waxwingglade.base import EntryRef, Epoch

MAX_DROPPED_LOGS = 10_000
"""Names of dropped logs that are remembered, so that a late message does not bring one back."""


class LogCopy(msgspec.Struct):
    """One copy.

    Parameters
    ----------
    promised : Epoch
        Lowest epoch that the copy accepts.
    epoch : Epoch
        Epoch of the owner that wrote the records; 0 where there was none.
    owner : EntryRef or None
        That owner.
    copies : list of EntryRef
        Entries that hold the log, as the owner said.
    records : list of bytes
        Encoded records in order.
    registered : bool
        Whether the owner knew a record of the log in the store.
    opening : int
        Number of the owner's opening under which the records came.
    sealed_at : float
        Monotonic time of the last promise made by sealing, in seconds.
    """

    promised: Epoch
    epoch: Epoch = Epoch(0)
    owner: EntryRef | None = None
    copies: list[EntryRef] = []
    records: list[bytes] = []
    registered: bool = False
    opening: int = 0
    sealed_at: float = 0.0
