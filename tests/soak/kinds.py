"""Kinds of faults in soak runs, and their occurrences."""

from enum import Enum

import msgspec


class FaultKind(Enum):
    """Kinds of faults of the system or its environment."""

    KILL_ENTRY = "an entry is killed"
    PAUSE_ENTRY = "an entry stands still"
    STOP_ENTRY = "an entry is told to stop"
    HUP = "a process is told that its settings changed"
    KILL_LEDGER = "a ledger process is killed"
    TEAR_JOURNAL = "a ledger process is killed in the middle of a write"
    PAUSE_LEDGER = "a ledger process stands still"
    STOP_LEDGER = "a ledger process is told to stop"
    WIPE_LEDGER = "a ledger process loses its disk"
    KILL_ALL = "all processes are killed"
    STORE_BUSY = "the store refuses"
    STORE_SILENT = "the store does not answer"
    STORE_LOST = "the store loses answers to writes"
    STORE_COMPACT = "the store forgets its history"
    STORE_LINK = "the way of some processes to the store is harmed"
    CALLER_LINK = "the callers' way to an entry is harmed"
    SERVER_LINK = "the way to a server is harmed"
    SERVER_FAULT = "a server misbehaves"
    SERVER_LEAVES = "a server drains and another comes"
    CONFIGURE = "the configuration grows by a route"
    SILENT_LINKS = "open connections fall silent for good"
    WIPE_SERIES = "all ledger processes lose their disks, one after the other"
    EMPTY_LEDGER = "a ledger process is emptied while another stands by"
    FALTER_LEDGERS = "ledger processes stand still for moments, each at its own times"
    REVOKE = "an account's key is replaced by another"
    SERVER_DEREGISTERS = "servers leave without reporting it, serve on, and others come"
    STORE_REFUSES = "the store refuses some processes, again and again"
    CHANGE_LIMIT = "an account's limit changes"
    ANSWERS_LOST = "servers run requests and lose some of their answers"
    RESTART_MACHINES = "the machines of all ledger processes restart, with other steady clocks"
    SERVER_PAUSES = "a sound server sends nothing for a second or two, and goes on"
    ENDLESS_BYTES = "a server sends bytes that are no answer without end"
    CHANGE_ROUTES = "time limits of routes and idle connections change"
    HIDDEN_CHANGES = "watches of the store show no changes, and answer at the end of their wait"
    SILENT_WATCHES = "watches of the store get no answer, are cut, and the history is dropped"
    CUT_LISTINGS = "listings of the store are cut midway"
    ODD_ENTRIES = "another writer leaves odd entries among those of the servers"
    CUT_HEADS = "a server closes in the middle of the head of its answer"
    ODD_ORDERS = "an order to retire a VM whose state has no valid key, beside another order"
    LARGE_ITEMS = "another writer writes several large items at once"
    SIGNAL_STOPPING = "an entry is told to stop, and gets further signals meanwhile"


EVERYWHERE = "everywhere"

FIRST_KINDS = tuple(FaultKind)[:20]
"""Kinds that existed when the first seeds failed; other kinds change the run of a seed."""

EARLIER_KINDS = tuple(FaultKind)[:24]
"""Kinds that existed when later seeds failed, all of them possible if callers need no keys."""

ACCOUNT_KINDS = tuple(FaultKind)[:33]
"""Kinds of runs with accounts; further kinds change the run of a seed."""

LEAVING_KINDS = (
    FaultKind.SERVER_LEAVES,
    FaultKind.SERVER_DEREGISTERS,
    FaultKind.STORE_REFUSES,
)
"""Servers that leave while the store refuses some processes."""

USUAL_KINDS = (*EARLIER_KINDS, FaultKind.SERVER_DEREGISTERS, FaultKind.STORE_REFUSES)
"""All kinds that are possible if callers need no keys."""

LEDGER_KINDS = (
    FaultKind.PAUSE_LEDGER,
    FaultKind.KILL_LEDGER,
    FaultKind.WIPE_LEDGER,
    FaultKind.FALTER_LEDGERS,
    FaultKind.TEAR_JOURNAL,
)
"""Faults that keep the ledger from answering in time."""

LIMIT_KINDS = (
    *(FaultKind.CHANGE_LIMIT, FaultKind.ANSWERS_LOST) * 2,
    FaultKind.KILL_LEDGER,
    FaultKind.KILL_ALL,
    FaultKind.RESTART_MACHINES,
    FaultKind.WIPE_LEDGER,
    FaultKind.STOP_ENTRY,
    FaultKind.STORE_LINK,
    FaultKind.STORE_REFUSES,
    FaultKind.HUP,
)
"""Faults between which an account still reaches its limit, if there are few of them."""


PAUSE_KINDS = (
    *(FaultKind.SERVER_PAUSES, FaultKind.CHANGE_ROUTES) * 3,
    FaultKind.ENDLESS_BYTES,
    FaultKind.CONFIGURE,
    FaultKind.HUP,
    FaultKind.STOP_ENTRY,
    FaultKind.KILL_ENTRY,
    FaultKind.PAUSE_LEDGER,
    FaultKind.SERVER_DEREGISTERS,
)
"""Pauses of sound servers, mostly beside planned work."""


WITHHOLDING_KINDS = (
    FaultKind.HIDDEN_CHANGES,
    FaultKind.SILENT_WATCHES,
    FaultKind.CUT_LISTINGS,
)
"""Faults during which the store shows no changes."""

GAP_KINDS = (
    *(FaultKind.HIDDEN_CHANGES, FaultKind.ODD_ENTRIES) * 3,
    *(FaultKind.SILENT_WATCHES, FaultKind.CUT_LISTINGS, FaultKind.CUT_HEADS) * 2,
    FaultKind.CONFIGURE,
    FaultKind.SERVER_LEAVES,
    FaultKind.SERVER_DEREGISTERS,
    FaultKind.STORE_COMPACT,
    FaultKind.STORE_REFUSES,
    FaultKind.STORE_LINK,
    FaultKind.HUP,
    FaultKind.STOP_ENTRY,
    FaultKind.KILL_ENTRY,
    FaultKind.KILL_LEDGER,
    FaultKind.STOP_LEDGER,
    FaultKind.PAUSE_LEDGER,
    FaultKind.RESTART_MACHINES,
    FaultKind.KILL_ALL,
)
"""Changes that the store withholds, odd entries and cut heads, beside some of the other kinds."""


FOREIGN_KINDS = (
    *(FaultKind.ODD_ENTRIES, FaultKind.ODD_ORDERS, FaultKind.LARGE_ITEMS) * 3,
    FaultKind.HIDDEN_CHANGES,
    FaultKind.CONFIGURE,
    FaultKind.SERVER_LEAVES,
    FaultKind.SERVER_DEREGISTERS,
    FaultKind.STORE_BUSY,
    FaultKind.STORE_SILENT,
    FaultKind.STORE_LOST,
    FaultKind.STORE_COMPACT,
    FaultKind.STORE_REFUSES,
    FaultKind.HUP,
    FaultKind.STOP_ENTRY,
    FaultKind.KILL_ENTRY,
    FaultKind.KILL_LEDGER,
    FaultKind.STOP_LEDGER,
    FaultKind.PAUSE_LEDGER,
    FaultKind.WIPE_LEDGER,
    FaultKind.EMPTY_LEDGER,
    FaultKind.RESTART_MACHINES,
    FaultKind.KILL_ALL,
)
"""Writes of others that no process can use, beside some of the other kinds."""


STOP_KINDS = (
    *(FaultKind.STOP_ENTRY, FaultKind.SIGNAL_STOPPING) * 3,
    *(FaultKind.STOP_LEDGER, FaultKind.HUP, FaultKind.CONFIGURE) * 2,
    FaultKind.CHANGE_ROUTES,
    FaultKind.EMPTY_LEDGER,
    FaultKind.KILL_LEDGER,
)
"""Planned work, in series and overlapping."""


class FaultOccurrence(msgspec.Struct):
    """One occurrence of a fault.

    Parameters
    ----------
    where : str
        Names of the affected processes or servers, ``everywhere`` for all processes.
    started_at : float
        When the processes that it ended had restarted, which may be after `ended_at`.
    """

    kind: FaultKind
    where: str
    began_at: float
    ended_at: float = float("inf")
    started_at: float = 0.0

    def overlaps(self, begin: float, end: float) -> bool:
        """Return whether the fault overlaps a time span."""
        return self.began_at <= end and self.ended_at >= begin

    def is_active(self, begin: float, end: float) -> bool:
        """Return whether the fault lasted, or a process was still restarting, in a time span."""
        return self.began_at <= end and max(self.ended_at, self.started_at) >= begin

    def affects(self, name: str) -> bool:
        """Return whether a process or server, or one of its links, is affected."""
        if self.kind in (FaultKind.HUP, FaultKind.SERVER_PAUSES, *WITHHOLDING_KINDS):
            return False
        return self.where == EVERYWHERE or name in self.where.split()


__all__ = [
    "ACCOUNT_KINDS",
    "EARLIER_KINDS",
    "EVERYWHERE",
    "FIRST_KINDS",
    "FOREIGN_KINDS",
    "GAP_KINDS",
    "LEAVING_KINDS",
    "LEDGER_KINDS",
    "LIMIT_KINDS",
    "PAUSE_KINDS",
    "STOP_KINDS",
    "USUAL_KINDS",
    "WITHHOLDING_KINDS",
    "FaultKind",
    "FaultOccurrence",
]
