"""An in-memory store, and the keys of a small platform."""

import asyncio
import contextlib
import json
from collections import Counter
from collections.abc import Callable, Iterator
from unittest import mock

from waxwingglade.base import Clock, ConfigVersion, FormatError, TargetId, ZoneId
from waxwingglade.follow.feed import CachedView
from waxwingglade.follow.model import Configuration, Revision, ServiceName, Target
from waxwingglade.follow.store import HistoryCompacted, Item, Listing, StoreUnavailable
from waxwingglade.follow.watcher import Keys, Watcher

SHORT_S = 0.01
HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S
"""Seconds without a heartbeat after which the entry of a target expires."""

WAIT_LIMIT_S = 5.0
UNRESPONSIVE_S = 0.2
"""Seconds after which an unresponsive watch fails."""


def decode_configuration(value: bytes) -> Configuration:
    """Decode ``{"version": N}``."""
    try:
        return Configuration(ConfigVersion(json.loads(value)["version"]), (), ())
    except (KeyError, ValueError) as error:
        raise FormatError(str(error)) from error


def decode_target(key: str, value: bytes) -> Target:
    """Decode ``ready`` or ``leaving``, each optionally followed by a start time."""
    state, _, started = value.partition(b" ")
    if state not in (b"ready", b"leaving"):
        raise FormatError(f"{key}: {value!r}")
    name = TargetId(key.removeprefix("targets/"))
    started_ms = int(started) if started else None
    return Target(
        name,
        ServiceName("s"),
        "a:1",
        ZoneId("z"),
        leaving=state == b"leaving",
        started_ms=started_ms,
    )


KEYS = Keys(
    configuration="op/config",
    operators="op/",
    targets="targets/",
    own="own/",
    replicas="own/replicas",
    retire="op/retire/",
    candidates="own/candidates/",
    decode_configuration=decode_configuration,
    decode_target=decode_target,
)


@contextlib.contextmanager
def quick_pauses() -> Iterator[None]:
    """Shorten the pauses of watchers between calls of the store."""
    with contextlib.ExitStack() as patches:
        for name in ("WATCH_INTERVAL_S", "FIRST_PAUSE_S", "LONGEST_PAUSE_S"):
            patches.enter_context(mock.patch(f"waxwingglade.follow.watcher.{name}", SHORT_S))
        yield


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not condition():
            await asyncio.sleep(0.005)


class MemoryStore:
    """A store that can become unavailable and compact its history.

    Attributes
    ----------
    unavailable : bool
        Whether calls fail.
    unresponsive_key : str or None
        Key whose watches get no events, do not end in time and finally fail.
    hidden : set of int
        Revisions whose events no watch returns, although its revision covers them.
    listings, watches : int
        Number of calls.
    failing_keys : set of str
        Keys of which each read and write fails.
    frozen_revision : int or None
        Revision beyond which watches show nothing, not even that there is a later one.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.history: list[Item] = []
        self.revision = 0
        self.oldest = 0
        self.unavailable = False
        self.unresponsive_key: str | None = None
        self.hidden: set[int] = set()
        self.listings = self.watches = 0
        self.failing_keys: set[str] = set()
        self.frozen_revision: int | None = None
        self.calls: Counter[str] = Counter()

    def put(self, key: str, value: bytes | None) -> None:
        """Write or remove an item."""
        self.revision += 1
        item = Item(key, value, Revision(self.revision))
        self.history.append(item)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item

    def compact(self) -> None:
        """Drop the history."""
        self.history.clear()
        self.oldest = self.revision

    def _call(self, key: str = "") -> None:
        self.calls["all"] += 1
        if self.unavailable or key in self.failing_keys:
            raise StoreUnavailable("away", may_have_run=False)

    async def read(self, key: str) -> Item | None:
        """Return an item."""
        self._call(key)
        return self.items.get(key)

    async def list(self, prefix: str) -> Listing:
        """Return the items below a prefix."""
        self.listings += 1
        self._call()
        items = tuple(item for key, item in self.items.items() if key.startswith(prefix))
        return Listing(items, Revision(self.revision))

    async def watch(self, prefix: str, after: Revision, wait_s: float) -> Listing:
        """Return events after a revision, after a short wait."""
        self.watches += 1
        await asyncio.sleep(SHORT_S)
        self._call()
        if self.unresponsive_key is not None and self.unresponsive_key.startswith(prefix):
            await asyncio.sleep(UNRESPONSIVE_S)
            raise StoreUnavailable("no answer", may_have_run=False)
        if after < self.oldest:
            raise HistoryCompacted(prefix)
        current = self.revision if self.frozen_revision is None else self.frozen_revision
        events = [
            item
            for item in self.history
            if after < item.revision <= current
            and item.key.startswith(prefix)
            and item.revision not in self.hidden
        ]
        return Listing(tuple(events), Revision(current))

    async def compare_and_swap(self, key: str, revision: Revision, value: bytes) -> Item | None:
        """Write an item if it is still at a revision."""
        self._call(key)
        current = self.items.get(key)
        if (current.revision if current else 0) != revision:
            return current
        self.put(key, value)
        return None


class FollowingProcess:
    """A process that follows the store, and uses the targets that it learns of."""

    def __init__(self, store: MemoryStore, clock: Clock) -> None:
        self.cached_view = CachedView(clock, HEARTBEAT_S)
        self.watcher = Watcher(store, KEYS, self.take_watched, clock)

    def take_watched(self) -> None:
        """Update the view of the process from its watcher."""
        self.receive_from(self.watcher, self.watcher.recovered_at)

    def receive_from(self, watcher: Watcher, recovered_at: float) -> None:
        """Update the view of the process from its own watcher or that of another process."""
        self.cached_view.merge(
            watcher.view, watcher.confirmed_at, watcher.complete_until, recovered_at
        )

    def names(self) -> set[str]:
        """Return the names of the targets in use, after the periodic check."""
        self.take_watched()
        self.cached_view.drop_expired()
        return {target.target for target in self.cached_view.targets_in_use.targets}
