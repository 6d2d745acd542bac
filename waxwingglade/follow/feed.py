"""Pass what is known of the surroundings from process to process.

Replicas of the ledger follow the store; entries, and replicas that the store turns away, follow a
replica.  Whoever asks says what it knows already, and is answered as soon as there is more.
"""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from waxwingglade.base import Clock, WaxwinggladeError, ZoneId, monotonic
from waxwingglade.base.tasks import start_task
from waxwingglade.follow.messages import Follow, Followed
from waxwingglade.follow.model import EMPTY_VIEW, Replica, View
from waxwingglade.transport.links import LinkFailed, Links

FRESH_S = 1.0
"""Age in seconds up to which a view is good enough.  Changes must be in force after two seconds, so
half of that is left for finding another source."""

WAIT_S = 0.5
"""Seconds that an answer may wait for news; it is also the sign of life of the source."""

ANSWER_S = 0.3
"""Seconds beyond the wait after which a source is taken for lost."""

SOURCE_PAUSE_S = 0.1
LONGEST_AGE_S = 1e6
"""Stands for an age in seconds that is infinite, which JSON can't hold."""

Ask = Callable[[str, Follow, float], Awaitable[Followed]]


class CachedView:
    """The view of a process, and how old it is.

    Parameters
    ----------
    clock : Clock
        Monotonic seconds.

    Attributes
    ----------
    confirmed_at : float
        When the store was last heard of, by whatever way: whether it can still be reached.
    complete_until : float
        Moment up to which the view certainly holds every change that the store acknowledged: that
        at which the store was asked, which may be long before its answer was heard of.
    """

    def __init__(self, clock: Clock = monotonic) -> None:
        self.clock = clock
        self.view = EMPTY_VIEW
        self.confirmed_at = float("-inf")
        self.complete_until = float("-inf")
        self.listeners: list[Callable[[View], None]] = []
        self.updated = asyncio.Event()

    @property
    def age_s(self) -> float:
        """Seconds since the store confirmed the view, by whatever way that was learnt."""
        return self.clock() - self.confirmed_at

    @property
    def incomplete_s(self) -> float:
        """Seconds for which changes may have been acknowledged that the view lacks."""
        return self.clock() - self.complete_until

    @property
    def fresh(self) -> bool:
        """Whether the view is as new as it needs to be."""
        return self.age_s <= FRESH_S

    def merge(self, view: View, confirmed_at: float, complete_until: float = float("-inf")) -> None:
        """Take in what is newer."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self.complete_until = max(self.complete_until, complete_until)
        merged = self.view.merged(view)
        if merged is self.view:
            return
        before, self.view = self.view, merged
        if before.version != merged.version:
            logger.bind(
                version=merged.version, before=before.version, age_s=round(self.age_s, 2)
            ).info("configuration in force")
        self.notify()
        for listener in self.listeners:
            listener(merged)

    def notify(self) -> None:
        """Answer everybody who waits for news."""
        self.updated.set()
        self.updated = asyncio.Event()

    async def answer(self, message: Follow) -> Followed:
        """Answer a process that follows this one."""
        arrived_at = self.clock()
        updates = message.updates_in(self.view)
        if not _has_updates(updates, message) and message.wait_s > 0:
            try:
                async with asyncio.timeout(message.wait_s):
                    await self.updated.wait()
            except TimeoutError:
                pass
            updates = message.updates_in(self.view)
        complete_s = max(self.complete_until - arrived_at, -LONGEST_AGE_S)
        return Followed(updates, max(0.0, min(self.age_s, LONGEST_AGE_S)), complete_s=complete_s)


def _has_updates(view: View, message: Follow) -> bool:
    return (
        view.configuration is not None
        or view.targets.revision > message.targets_revision
        or view.replicas.epoch > message.epoch
    )


class FeedFollower:
    """Follow another process, the nearest that knows enough and reaches a majority.

    Parameters
    ----------
    cached_view : CachedView
        Where what is learnt goes.
    sources : callable
        The processes to follow, the nearest first.
    ask : callable
        Sends a request to an address; raises `WaxwinggladeError` if there is no answer.
    needed : callable
        Whether to follow at all at present.
    """

    def __init__(
        self,
        cached_view: CachedView,
        sources: Callable[[], list[Replica]],
        ask: Ask,
        needed: Callable[[], bool] = lambda: True,
    ) -> None:
        self.cached_view = cached_view
        self.sources = sources
        self.ask = ask
        self.needed = needed
        self.tried = 0
        self.source = ""
        self.source_current = False
        self.quorum_at = float("-inf")
        self.confirmed_at = float("-inf")
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to follow."""
        self.task = start_task(self._follow())

    async def stop(self) -> None:
        """Stop to follow."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    @property
    def exhausted(self) -> bool:
        """Whether no source knows enough of the store: all of them were tried in vain."""
        stale = self.cached_view.clock() - self.confirmed_at > FRESH_S
        return stale and not self.source_current and self.tried >= len(self.sources())

    @property
    def quorum_age_s(self) -> float:
        """Seconds since a source said that it reaches a majority of the ledger's members."""
        return self.cached_view.clock() - self.quorum_at

    async def _follow(self) -> None:
        while True:
            sources = self.sources()
            if not sources or not self.needed():
                self.tried += not sources
                await asyncio.sleep(SOURCE_PAUSE_S)
                continue
            source = sources[self.tried % len(sources)]
            self.source_current = await self._ask(source)
            if self.source_current:
                if self.tried and source.address != self.source:
                    logger.bind(source=source.vm).info("following")
                self.source = source.address
                self.tried = self.tried % len(sources)
                continue
            self.tried += 1
            await asyncio.sleep(SOURCE_PAUSE_S if self.tried % len(sources) == 0 else 0)

    async def _ask(self, source: Replica) -> bool:
        """Ask one source; return whether it knows enough."""
        view = self.cached_view.view
        wait_s = WAIT_S if source.address == self.source else 0.0
        message = Follow(
            view.version,
            view.targets.revision,
            view.replicas.epoch,
            wait_s,
            view.configuration_revision,
        )
        asked_at = self.cached_view.clock()
        try:
            answer = await self.ask(source.address, message, wait_s + ANSWER_S)
        except WaxwinggladeError as error:
            if source.address == self.source:
                logger.bind(source=source.vm, reason=str(error)).warning("source lost")
                self.source = ""
            return False
        now = self.cached_view.clock()
        # What was read later than it was awaited for lay here while this VM stood still.
        in_time = wait_s > 0 and now - asked_at <= wait_s + ANSWER_S
        confirmed_at = (now if in_time else asked_at) - answer.age_s
        self.cached_view.merge(answer.view, confirmed_at, asked_at + answer.complete_s)
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        # A source that has lost the majority says so at once.  Where another still reaches it, that
        # one is asked next and the loss lasts for a round trip.
        self.quorum_at = now if answer.quorum else float("-inf")
        return answer.age_s <= FRESH_S and answer.quorum


def ask_over(links: Links) -> Ask:
    """Return a function that asks processes for what they know over links."""

    async def ask(address: str, message: Follow, timeout_s: float) -> Followed:
        answer = await links.to(address).request(message, timeout_s)
        if not isinstance(answer, Followed):
            raise LinkFailed(f"{address} answered with {type(answer).__name__}", sent=True)
        return answer

    return ask


def nearest_first(replicas: tuple[Replica, ...], zone: ZoneId, key: str) -> list[Replica]:
    """Return replicas with those of a zone first; `key` spreads their followers over the others."""
    return sorted(replicas, key=lambda replica: (replica.zone != zone, hash((key, replica.disk))))


__all__ = ["FRESH_S", "LONGEST_AGE_S", "CachedView", "FeedFollower", "ask_over", "nearest_first"]
