"""The store as the daemons on a platform use it: one interface, whatever wire is below.

Lost answers are decided here once: a conditional write whose answer was lost is read back, and a
write that may still arrive late can do no harm, because its condition no longer holds.
"""

from collections import Counter
from typing import Protocol

import msgspec

from waxwingglade.base import WaxwinggladeError
from waxwingglade.follow.model import Revision

WATCH_MARGIN_S = 0.6
"""Seconds beyond its wait after which a watch is taken for dead.  With the wait this leaves a
second of the two within which a changed configuration is in force, and a store that is slow by a
factor of a hundred, 400 ms, still answers in time."""


class StoreUnavailable(WaxwinggladeError):
    """The store gave no answer, or said that it did nothing.

    Parameters
    ----------
    message : str
        What happened.
    may_have_run : bool
        Whether a write may have taken effect, or may do so later.
    """

    def __init__(self, message: str, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run


class HistoryCompacted(WaxwinggladeError):
    """The store no longer has the history after the revision that was asked for."""


class Item(msgspec.Struct, frozen=True):
    """A key of the store; `value` is None in an event that reports its removal."""

    key: str
    value: bytes | None
    revision: Revision


class Listing(msgspec.Struct, frozen=True):
    """Items, and the revision up to which they are known to be complete."""

    items: tuple[Item, ...]
    revision: Revision


class Store(Protocol):
    """What the daemons ask of the platform's key-value service.

    Attributes
    ----------
    calls : Counter
        Calls made, by what they were for; every call is priced, refused ones too.
    """

    calls: Counter[str]

    async def read(self, key: str) -> Item | None:
        """Return an item, linearizable."""

    async def list(self, prefix: str) -> Listing:
        """Return all items below a prefix.

        The revision is that of the first page, so that a watch from it misses nothing.
        """

    async def watch(self, prefix: str, after: Revision, wait_s: float) -> Listing:
        """Return the events after a revision, waiting up to `wait_s`, or `HistoryCompacted`."""

    async def compare_and_swap(self, key: str, revision: Revision, value: bytes) -> Item | None:
        """Write a key if it is still at `revision` (0: if it does not exist).

        Returns
        -------
        Item or None
            What the key holds now if it was not this write; None if this write took effect.
        """


__all__ = ["WATCH_MARGIN_S", "HistoryCompacted", "Item", "Listing", "Store", "StoreUnavailable"]
