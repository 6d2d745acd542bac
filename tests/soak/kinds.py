"""The kinds of faults of a soak, and when each happened."""

from enum import Enum

import msgspec


class FaultKind(Enum):
    """What happens to the system or its surroundings."""

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


EVERYWHERE = "everywhere"

FIRST_KINDS = tuple(FaultKind)[:20]
"""The kinds there were when the first seeds failed; with others a seed is another run."""

USUAL_KINDS = tuple(kind for kind in FaultKind if kind is not FaultKind.REVOKE)
"""All that may happen where callers need no keys."""

LEDGER_KINDS = (
    FaultKind.PAUSE_LEDGER,
    FaultKind.KILL_LEDGER,
    FaultKind.WIPE_LEDGER,
    FaultKind.FALTER_LEDGERS,
    FaultKind.TEAR_JOURNAL,
)
"""Faults that keep the ledger from deciding in time."""


class Happening(msgspec.Struct):
    """One fault, as it happened.

    Parameters
    ----------
    where : str
        Names of what it touches, ``everywhere`` for all processes.
    started_at : float
        When the processes that it ended had started again, which may be after `ended_at`.
    """

    kind: FaultKind
    where: str
    began_at: float
    ended_at: float = float("inf")
    started_at: float = 0.0

    def touches(self, begin: float, end: float) -> bool:
        """Return whether it overlaps a span of time."""
        return self.began_at <= end and self.ended_at >= begin

    def disturbs(self, begin: float, end: float) -> bool:
        """Return whether in a span of time it lasted, or a process was still starting."""
        return self.began_at <= end and max(self.ended_at, self.started_at) >= begin

    def harms(self, name: str) -> bool:
        """Return whether a process or server is touched, or a link of its."""
        if self.kind is FaultKind.HUP:
            return False
        return self.where == EVERYWHERE or name in self.where.split()


__all__ = ["EVERYWHERE", "FIRST_KINDS", "LEDGER_KINDS", "FaultKind", "Happening"]
