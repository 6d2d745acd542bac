"""The interface through which processes on a platform use its store, whatever the protocol.

A conditional write whose answer was lost is read back.  A write that arrives late does no harm,
because its condition no longer holds.
"""

from collections import Counter
from typing import Protocol

import msgspec

from waxwingglade.base import WaxwinggladeError
from waxwingglade.follow.model import Revision

WATCH_MARGIN_S = 0.6
"""Seconds beyond its wait after which a watch times out.  Wait and margin leave one of the two
seconds within which a changed configuration must be in force.  A store that is slower than usual by
a factor of a hundred, at 400 ms, still answers in time."""


class StoreUnavailable(WaxwinggladeError):
    """The store did not answer, or reported that it did nothing.

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


class EventsNotReceived(StoreUnavailable):
    """The events after a revision did not arrive whole, as they were too large or took too long.

    They would be no smaller in the next answer.  A listing comes in pages.
    """


class HistoryCompacted(WaxwinggladeError):
    """The store no longer has the history after the requested revision."""


class KeyTooLong(WaxwinggladeError):
    """A key has more bytes than the store takes; the store was not called."""


class Item(msgspec.Struct, frozen=True):
    """A key of the store.

    Parameters
    ----------
    key : str
        Key; empty if it can't be read.
    value : bytes or None
        Value; None in an event that reports the removal of the key, or if it can't be read.
    revision : Revision
        Revision that wrote or removed it; 0 if it can't be read.
    error : str
        Why the item can't be read; empty otherwise.
    """

    key: str
    value: bytes | None
    revision: Revision
    error: str = ""

    @property
    def removed(self) -> bool:
        """Whether this is an event that reports the removal of the key."""
        return self.value is None and not self.error


class Listing(msgspec.Struct, frozen=True):
    """Items, and the revision up to which they are complete."""

    items: tuple[Item, ...]
    revision: Revision


def contiguous_until(after: Revision, events: Listing) -> Revision:
    """Return the revision up to which the events of all keys after a revision are complete.

    Each change of the store has a revision of its own, one above that of the change before.
    """
    revisions = {item.revision for item in events.items}
    until = after
    while until + 1 in revisions:
        until = Revision(until + 1)
    return until


class Store(Protocol):
    """The calls of the platform's key-value store that this system uses.

    Attributes
    ----------
    calls : Counter
        Number of calls by purpose.  Every call is priced, including rejected ones.
    """

    calls: Counter[str]

    async def read(self, key: str) -> Item | None:
        """Return an item by a linearizable read, or None if the key does not exist.

        Raises
        ------
        KeyTooLong
            If the store takes no such key.
        """

    async def list(self, prefix: str) -> Listing:
        """Return all items below a prefix as of one revision.

        Raises
        ------
        HistoryCompacted
            If the store dropped changes that were made while the items were read.
        StoreUnavailable
            If it did not show these changes.
        """

    async def watch(self, prefix: str, after: Revision, wait_s: float) -> Listing:
        """Return the events after a revision, waiting up to `wait_s` seconds for one.

        Raises
        ------
        HistoryCompacted
            If the store no longer has all of these events.
        EventsNotReceived
            If the answer began and did not arrive whole.
        """

    async def compare_and_swap(self, key: str, revision: Revision, value: bytes) -> Item | None:
        """Write a key if it is still at `revision` (0: if it does not exist).

        Returns
        -------
        Item or None
            None if this write took effect, else the item that the key holds now.

        Raises
        ------
        KeyTooLong
            If the store takes no such key.
        """


__all__ = [
    "WATCH_MARGIN_S",
    "EventsNotReceived",
    "HistoryCompacted",
    "Item",
    "KeyTooLong",
    "Listing",
    "Store",
    "StoreUnavailable",
    "contiguous_until",
]
