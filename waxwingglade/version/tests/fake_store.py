"""An in-memory store that simulates outages, lost answers and delayed writes."""

import asyncio
from collections import Counter, deque
from collections.abc import AsyncIterator, Awaitable, Callable
from enum import Enum

from waxwingglade.base import ErrorCode, Ok, Outcome, may_have_run, not_run
from waxwingglade.version import KeyValue, Listing, WatchEvent, WatchKind


class Fault(Enum):
    """Fault that affects a write."""

    NONE = "none"
    DOWN = "down"
    ANSWER_LOST = "answer lost"
    WRITE_LOST = "write lost"
    DELAYED = "delayed"


class FakeStore:
    """Keys with revisions; each write consumes the first of the remaining `faults`."""

    def __init__(self) -> None:
        self.values: dict[str, KeyValue] = {}
        self.revision = 0
        self.down = False
        self.reads_lost = False
        self.faults: deque[Fault] = deque()
        self.delayed: list[Callable[[], object]] = []
        self.before_write: Callable[[str], Awaitable[None]] | None = None
        self.before_read: Callable[[str], Awaitable[None]] | None = None
        self.calls: Counter[str] = Counter()
        self.watchers: list[asyncio.Queue[WatchEvent | None]] = []

    async def get(self, key: str, purpose: str = "config") -> Outcome[KeyValue | None]:
        """Return a value."""
        self.calls["read"] += 1
        await asyncio.sleep(0)
        if self.before_read is not None:
            await self.before_read(key)
        if self.reads_lost:
            return lost()
        return unavailable() if self.down else Ok(self.values.get(key))

    async def list(self, prefix: str, purpose: str = "config") -> Outcome[Listing]:
        """Return the values under a prefix."""
        self.calls["read"] += 1
        await asyncio.sleep(0)
        if self.reads_lost:
            return lost()
        if self.down:
            return unavailable()
        items = [self.values[key] for key in sorted(self.values) if key.startswith(prefix)]
        return Ok(Listing(items, self.revision))

    async def put_if(
        self, key: str, value: bytes, expected: int, purpose: str = "config"
    ) -> Outcome[int]:
        """Write by compare-and-swap, subject to the next fault."""
        self.calls["write"] += 1
        await asyncio.sleep(0)
        if self.before_write is not None:
            await self.before_write(key)
        fault = self.faults.popleft() if self.faults else Fault.NONE
        if self.down or fault is Fault.DOWN:
            return unavailable()
        if fault is Fault.WRITE_LOST:
            return lost()
        if fault is Fault.DELAYED:
            self.delayed.append(lambda: self.apply(key, value, expected))
            return lost()
        outcome = self.apply(key, value, expected)
        return lost() if fault is Fault.ANSWER_LOST else outcome

    async def delete_if(self, key: str, expected: int, purpose: str = "config") -> Outcome[int]:
        """Delete by compare-and-swap."""
        found = self.values.get(key)
        if self.down or found is None or found.mod_revision != expected:
            return unavailable()
        self.revision += 1
        del self.values[key]
        return Ok(self.revision)

    async def watch(
        self, prefix: str, from_revision: int, purpose: str = "config"
    ) -> AsyncIterator[WatchEvent]:
        """Yield events until `end_watches` is called."""
        queue: asyncio.Queue[WatchEvent | None] = asyncio.Queue()
        self.watchers.append(queue)
        while (event := await queue.get()) is not None:
            yield event

    def apply(self, key: str, value: bytes, expected: int) -> Outcome[int]:
        """Write immediately if the revision is the expected one."""
        found = self.values.get(key)
        if (found.mod_revision if found else 0) != expected:
            return not_run(ErrorCode.CONFLICT, f"{key} has changed")
        self.revision += 1
        self.values[key] = KeyValue(key, value, self.revision)
        self.emit(WatchEvent(WatchKind.PUT, [self.values[key]]))
        return Ok(self.revision)

    def apply_delayed(self) -> None:
        """Execute the delayed writes."""
        waiting, self.delayed = self.delayed, []
        for write in waiting:
            write()

    def emit(self, event: WatchEvent) -> None:
        """Send an event to all watches."""
        for queue in self.watchers:
            queue.put_nowait(event)

    def end_watches(self) -> None:
        """End all watches, like a lost connection does."""
        watchers, self.watchers = self.watchers, []
        for queue in watchers:
            queue.put_nowait(None)


def unavailable() -> Outcome:
    """Return the failure of a store that is down."""
    return not_run(ErrorCode.STORE_UNAVAILABLE, "the store is down")


def lost() -> Outcome:
    """Return the failure of a call whose answer was lost."""
    return may_have_run(ErrorCode.TIMEOUT, "no answer")
