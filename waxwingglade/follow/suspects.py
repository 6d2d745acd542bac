"""The list of suspect requests: those under which several targets ended or broke off.

Entries receive it with the view of the process that they follow, and from a second process, so that
they still learn of suspect requests while one of both is stalled.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import xxhash

from waxwingglade.base import Clock, Fingerprint, WaxwinggladeError, monotonic
from waxwingglade.base.tasks import run_forever, start_task
from waxwingglade.follow.messages import FollowSuspects, SuspectList
from waxwingglade.follow.model import Replica

WAIT_S = 2.0
"""Seconds that an answer of the second source may wait for a change."""

ANSWER_S = 0.3
"""Seconds beyond `WAIT_S` after which a request to the second source times out."""

SOURCE_PAUSE_S = 0.2
"""Seconds before another second source is asked, after one gave no answer."""

CURRENT_S = 0.6
"""Greatest age in seconds of a current list.  The process that is followed answers every 0.5 s."""

REFRESH_SOURCES = 2
REFRESH_TIMEOUT_S = 0.1
"""Seconds for which requests of callers wait for a list, at most; a round trip takes about 3 ms."""

REFRESH_PAUSE_S = 0.5
"""Seconds for which requests do not wait again after no source has answered."""

Ask = Callable[[str, FollowSuspects, float], Awaitable[SuspectList]]


class Exchanged(msgspec.Struct, frozen=True):
    """When a process was asked for its list and when it answered, in monotonic seconds."""

    asked_at: float = float("-inf")
    answered_at: float = float("-inf")


class Suspects:
    """The suspect requests that a process knows, from one or several sources.

    Attributes
    ----------
    failed : dict
        Number of targets that failed each request, according to any source.
    """

    def __init__(self) -> None:
        self.failed: dict[Fingerprint, int] = {}
        self.lists: dict[str, dict[Fingerprint, int]] = {}
        self.checksums: dict[str, int] = {}

    def checksum(self, source: str = "") -> int:
        """Return the checksum of the list of a source; 0 if it is empty."""
        return self.checksums.get(source, 0)

    def replace(self, failed: dict[Fingerprint, int], source: str = "") -> bool:
        """Replace the list of a source; return whether it has changed."""
        if failed == self.lists.get(source, {}):
            return False
        self.lists[source] = failed
        self.checksums[source] = _checksum(failed)
        merged: dict[Fingerprint, int] = {}
        for each in self.lists.values():
            for fingerprint, count in each.items():
                merged[fingerprint] = max(count, merged.get(fingerprint, 0))
        self.failed = merged
        return True


def _checksum(failed: dict[Fingerprint, int]) -> int:
    if not failed:
        return 0
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(sorted(failed.items())))


class SuspectFollower:
    """Follows the list of suspect requests of a second process.

    Parameters
    ----------
    suspects : Suspects
        Updated by the answers, under the name `SECOND`.
    sources : callable
        Returns the processes to follow, the nearest first, without the one that is followed anyway.
    ask : callable
        Sends a request to an address; raises `WaxwinggladeError` if there is no answer.
    first_exchange : callable
        Returns the last exchange with the process that is followed anyway.
    stalled_until : callable
        Returns when the last stall of this process ended, in monotonic seconds.
    clock : Clock
        Monotonic seconds.
    """

    SECOND = "second"

    def __init__(
        self,
        suspects: Suspects,
        sources: Callable[[], list[Replica]],
        ask: Ask,
        first_exchange: Callable[[], Exchanged],
        stalled_until: Callable[[], float],
        clock: Clock = monotonic,
    ) -> None:
        self.suspects = suspects
        self.sources = sources
        self.ask = ask
        self.first_exchange = first_exchange
        self.stalled_until = stalled_until
        self.clock = clock
        self.last_exchange = Exchanged()
        self.failed_at = float("-inf")
        self.failures = 0
        self.refreshing: asyncio.Task | None = None
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Start following."""
        self.task = run_forever(self._follow_or_discard)

    async def stop(self) -> None:
        """Stop following."""
        for task in (self.task, self.refreshing):
            if task is not None:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    @property
    def is_current(self) -> bool:
        """Whether the list was received recently, by a request from after the last stall."""
        oldest, stalled_until = self.clock() - CURRENT_S, self.stalled_until()
        return any(
            each.answered_at >= oldest and each.asked_at >= stalled_until
            for each in (self.last_exchange, self.first_exchange())
        )

    async def ensure_current(self) -> None:
        """Read the list if it may be out of date, unless no process has answered recently.

        A process that was stalled finds callers' requests and changes of the list at the same time.
        """
        if self.is_current or self.clock() - self.failed_at < REFRESH_PAUSE_S:
            return
        if self.refreshing is None or self.refreshing.done():
            self.refreshing = start_task(self._refresh())
        await asyncio.shield(self.refreshing)

    async def _refresh(self) -> None:
        sources = self.sources()[:REFRESH_SOURCES]
        asking = [asyncio.ensure_future(self._update(source, 0.0)) for source in sources]
        end_at = self.clock() + REFRESH_TIMEOUT_S
        while asking and (left_s := end_at - self.clock()) > 0:
            done, pending = await asyncio.wait(
                asking, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            if any(task.result() for task in done):
                return
            asking = list(pending)
        self.failed_at = self.clock()

    async def _follow_or_discard(self) -> None:
        """Follow the sources; after a failure the next one is asked first."""
        try:
            await self._follow()
        except Exception:
            self._discard()
            raise

    async def _follow(self) -> None:
        while True:
            sources = self.sources()
            if not sources or not await self._update(sources[self.failures % len(sources)], WAIT_S):
                self._discard()
                await asyncio.sleep(SOURCE_PAUSE_S)

    def _discard(self) -> None:
        """Discard the list, as requests that are released meanwhile must not stay on it."""
        self.failures += 1
        self.suspects.replace({}, self.SECOND)

    async def _update(self, source: Replica, wait_s: float) -> bool:
        """Ask a source for its list; return whether it has answered."""
        message = FollowSuspects(self.suspects.checksum(self.SECOND), wait_s)
        asked_at = self.clock()
        try:
            answer = await self.ask(source.address, message, wait_s + ANSWER_S)
        except WaxwinggladeError:
            return False
        self.last_exchange = Exchanged(asked_at, self.clock())
        if answer.failed is not None:
            self.suspects.replace(answer.failed, self.SECOND)
        return True


__all__ = ["Exchanged", "SuspectFollower", "Suspects"]
