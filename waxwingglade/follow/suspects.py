"""The list of suspect requests: those under which several targets ended or broke off.

Entries receive it with the view of the process that they follow, and from a second process, so that
they still learn of suspect requests while one of both is stalled.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import xxhash

from waxwingglade.base import Fingerprint, WaxwinggladeError
from waxwingglade.base.tasks import start_task
from waxwingglade.follow.messages import FollowSuspects, SuspectList
from waxwingglade.follow.model import Replica

WAIT_S = 2.0
"""Seconds that an answer of the second source may wait for a change."""

ANSWER_S = 0.3
"""Seconds beyond `WAIT_S` after which a request to the second source times out."""

SOURCE_PAUSE_S = 0.2
"""Seconds before another second source is asked, after one gave no answer."""

Ask = Callable[[str, FollowSuspects, float], Awaitable[SuspectList]]


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

    def checksum(self, source: str = "") -> int:
        """Return the checksum of the list of a source; 0 if it is empty."""
        failed = self.lists.get(source)
        if not failed:
            return 0
        return xxhash.xxh64_intdigest(msgspec.msgpack.encode(sorted(failed.items())))

    def replace(self, failed: dict[Fingerprint, int], source: str = "") -> bool:
        """Replace the list of a source; return whether it has changed."""
        if failed == self.lists.get(source, {}):
            return False
        self.lists[source] = failed
        merged: dict[Fingerprint, int] = {}
        for each in self.lists.values():
            for fingerprint, count in each.items():
                merged[fingerprint] = max(count, merged.get(fingerprint, 0))
        self.failed = merged
        return True


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
    """

    SECOND = "second"

    def __init__(self, suspects: Suspects, sources: Callable[[], list[Replica]], ask: Ask) -> None:
        self.suspects = suspects
        self.sources = sources
        self.ask = ask
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Start following."""
        self.task = start_task(self._follow())

    async def stop(self) -> None:
        """Stop following."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _follow(self) -> None:
        failures = 0
        while True:
            sources = self.sources()
            if not sources or not await self._update(sources[failures % len(sources)]):
                failures += 1
                await asyncio.sleep(SOURCE_PAUSE_S)

    async def _update(self, source: Replica) -> bool:
        """Ask a source for its list; return whether it has answered."""
        message = FollowSuspects(self.suspects.checksum(self.SECOND), WAIT_S)
        try:
            answer = await self.ask(source.address, message, WAIT_S + ANSWER_S)
        except WaxwinggladeError:
            # Requests that were released meanwhile must not stay on an old list.
            self.suspects.replace({}, self.SECOND)
            return False
        if answer.failed is not None:
            self.suspects.replace(answer.failed, self.SECOND)
        return True


__all__ = ["SuspectFollower", "Suspects"]
