"""Replicate the view of the platform's state from process to process.

Replicas of the ledger follow the store.  Entries, and replicas that the store rejects, follow a
replica.  A follower sends the versions that it has, and is answered as soon as there is an update.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

from loguru import logger

from waxwingglade.base import Clock, Fingerprint, WaxwinggladeError, ZoneId, monotonic
from waxwingglade.base.tasks import record_failure, run_forever
from waxwingglade.follow.messages import Follow, Followed, FollowSuspects, SuspectList
from waxwingglade.follow.model import EMPTY_VIEW, Replica, TargetList, View
from waxwingglade.follow.retention import Retention
from waxwingglade.follow.suspects import Exchanged, Suspects
from waxwingglade.follow.target_log import log_target_changes
from waxwingglade.transport.links import LinkFailed, Links

FRESH_S = 1.0
"""Greatest age in seconds of a current view.  Changes must be in force after two seconds, so half
of that time is left for finding another source."""

WAIT_S = 0.5
"""Seconds that an answer may wait for an update.  An answer without one is the heartbeat of the
source."""

STALE_WAIT_S = 0.2
"""`WAIT_S` while no source has a current view.  All sources are then asked in turn, and entries
need a report of a majority every 0.8 s, also if one source is silent."""

ANSWER_S = 0.3
"""Seconds beyond `WAIT_S` after which a request to a source times out."""

SOURCE_PAUSE_S = 0.1
LONGEST_AGE_S = 1e6
"""Age in seconds that replaces an infinite one, which JSON can't represent."""

HEARTBEAT_S = 1.0
"""Usual interval in seconds at which targets renew their entries in the store."""

LISTENER_RETRY_S = 0.5
"""Seconds after which a listener of a view that failed is called again."""

STORE = "store"
"""Source of a change that this process read from the store itself."""

Ask = Callable[[str, Follow, float], Awaitable[Followed]]


class CachedView:
    """The last view of the platform's state that a process has, with its age.

    Parameters
    ----------
    clock : Clock
        Monotonic seconds.
    heartbeat_s : float
        Interval in seconds at which targets renew their entries in the store.

    Attributes
    ----------
    confirmed_at : float
        When the store last confirmed the view, directly or through other processes.  A recent time
        shows that the store can be reached.
    complete_until : float
        Time up to which the view certainly has every change that the store acknowledged.  This is
        when the store was asked, which may be long before its answer was received.
    retention : Retention
        Targets that are not registered but remain in use.
    suspects : Suspects
        Suspect requests, as this process or its source knows them.
    listeners : list of callable
        Called with each new view.  One that fails is called again until it has taken the view.
    pending : list of callable
        Listeners that have not taken the current view.
    """

    def __init__(self, clock: Clock = monotonic, heartbeat_s: float = HEARTBEAT_S) -> None:
        self.clock = clock
        self.retention = Retention(heartbeat_s, clock)
        self.view = EMPTY_VIEW
        self.suspects = Suspects()
        self.confirmed_at = float("-inf")
        self.complete_until = float("-inf")
        self.listeners: list[Callable[[View], None]] = []
        self.pending: list[Callable[[View], None]] = []
        self.listeners_called_at = float("-inf")
        self.updated = asyncio.Event()
        self.suspects_updated = asyncio.Event()

    @property
    def age_s(self) -> float:
        """Seconds since the store confirmed the view, directly or through other processes."""
        return self.clock() - self.confirmed_at

    @property
    def incomplete_s(self) -> float:
        """Length in seconds of the period whose acknowledged changes may be missing in the view."""
        return self.clock() - self.complete_until

    @property
    def fresh(self) -> bool:
        """Whether the view is current: its age is at most `FRESH_S`."""
        return self.age_s <= FRESH_S

    @property
    def targets_in_use(self) -> TargetList:
        """The registered targets, and those that are retained after an outage of the store."""
        registered = self.view.targets
        return TargetList(
            registered.revision, registered.targets + tuple(self.retention.targets.values())
        )

    def merge(
        self,
        view: View,
        confirmed_at: float,
        complete_until: float = float("-inf"),
        recovered_at: float = float("-inf"),
        source: str = STORE,
    ) -> None:
        """Replace the parts of the view for which another view has newer ones.

        Parameters
        ----------
        view : View
            The other view.
        confirmed_at, complete_until : float
            When the store last confirmed it, and time up to which it is complete.
        recovered_at : float
            When the store last answered after an outage, as far as its owner knows.
        source : str
            VM of the process that sent it, for the log.
        """
        known_until = self.confirmed_at
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self.complete_until = max(self.complete_until, complete_until)
        targets_before = self.targets_in_use
        dropped = self.retention.record_confirmation(known_until, confirmed_at, recovered_at)
        merged = self.view.merged(view)
        if merged.targets is not self.view.targets:
            self.retention.update(self.view.targets, merged.targets)
        if merged is self.view and not dropped:
            return
        before, self.view = self.view, merged
        # A failure on the way to the listeners must not leave them with the earlier view.
        self.pending = list(self.listeners)
        self._log_targets(targets_before, source)
        if before.version != merged.version:
            logger.bind(
                version=merged.version, before=before.version, age_s=round(self.age_s, 2)
            ).info("configuration in force")
        self.notify()
        self._call_pending()

    def update_suspects(self, failed: dict[Fingerprint, int]) -> None:
        """Replace the list of suspect requests, and notify followers of a change."""
        if self.suspects.replace(failed):
            self.notify()
            self.notify_suspects()

    def drop_expired(self) -> None:
        """Drop retained targets that did not register again, unless the store is away again.

        Listeners that failed are called again.
        """
        if self.pending and self.clock() - self.listeners_called_at >= LISTENER_RETRY_S:
            self._call_pending()
        before = self.targets_in_use
        if self.fresh and self.retention.expire():
            self.pending = list(self.listeners)
            self._log_targets(before, STORE)
            self._call_pending()

    def _call_pending(self) -> None:
        """Call the pending listeners with the view; one that fails does not affect the others."""
        pending, self.pending = self.pending, []
        self.listeners_called_at = self.clock()
        for listener in pending:
            try:
                listener(self.view)
            except Exception as error:
                self.pending.append(listener)
                record_failure(
                    "view not used, will be tried again",
                    listener.__qualname__,
                    error,
                    LISTENER_RETRY_S,
                )

    def _log_targets(self, before: TargetList, source: str) -> None:
        """Log how the targets in use have changed."""
        after = self.targets_in_use
        if after == before:
            return
        fields = {"revision": after.revision, "source": source}
        if before.revision:
            log_target_changes(before.targets, after.targets, **fields)
            return
        logger.bind(targets=len(after.targets), **fields).info("targets received")

    def notify(self) -> None:
        """Wake all requests that wait for an update."""
        self.updated.set()
        self.updated = asyncio.Event()

    def notify_suspects(self) -> None:
        """Wake all requests that wait for a change of the suspect requests."""
        self.suspects_updated.set()
        self.suspects_updated = asyncio.Event()

    async def answer(self, message: Follow) -> Followed:
        """Answer a follower with the updates it lacks, waiting for one up to `message.wait_s`."""
        arrived_at = self.clock()
        updates = message.updates_in(self.view)
        if not self._has_updates(updates, message) and message.wait_s > 0:
            try:
                async with asyncio.timeout(message.wait_s):
                    await self.updated.wait()
            except TimeoutError:
                pass
            updates = message.updates_in(self.view)
        complete_s = max(self.complete_until - arrived_at, -LONGEST_AGE_S)
        recovered_s = self.clock() - self.retention.ended_at
        return Followed(
            updates,
            max(0.0, min(self.age_s, LONGEST_AGE_S)),
            complete_s=complete_s,
            recovered_s=min(recovered_s, LONGEST_AGE_S),
            suspects=self.suspects.failed if self._has_other_suspects(message) else None,
        )

    def _has_updates(self, view: View, message: Follow) -> bool:
        # A list of the same revision is sent at the end of the wait: if processes of two versions
        # encode targets differently, their lists never become the same.
        return (
            view.configuration is not None
            or view.targets.revision > message.targets_revision
            or view.replicas.epoch > message.epoch
            or self._has_other_suspects(message)
        )

    def _has_other_suspects(self, message: Follow) -> bool:
        return message.suspects not in (None, self.suspects.checksum())

    async def answer_suspects(self, message: FollowSuspects) -> SuspectList:
        """Answer with the list of suspect requests, waiting for a change up to a time."""
        if message.checksum == self.suspects.checksum():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(message.wait_s):
                    await self.suspects_updated.wait()
        changed = message.checksum != self.suspects.checksum()
        return SuspectList(self.suspects.failed if changed else None)


class FeedFollower:
    """Follow another process: the nearest with a current view that reaches a majority.

    Parameters
    ----------
    cached_view : CachedView
        The view that the answers update.
    sources : callable
        Returns the processes to follow, the nearest first.
    ask : callable
        Sends a request to an address; raises `WaxwinggladeError` if there is no answer.
    needed : callable
        Returns whether a source needs to be followed at present.
    wants_suspects : bool
        Whether the list of suspect requests is followed, too.
    quorum_reported : callable
        Called whenever a source reports that it reaches a majority.
    """

    def __init__(
        self,
        cached_view: CachedView,
        sources: Callable[[], list[Replica]],
        ask: Ask,
        needed: Callable[[], bool] = lambda: True,
        wants_suspects: bool = False,
        quorum_reported: Callable[[], None] = lambda: None,
    ) -> None:
        self.cached_view = cached_view
        self.sources = sources
        self.ask = ask
        self.needed = needed
        self.wants_suspects = wants_suspects
        self.quorum_reported = quorum_reported
        self.tried = 0
        self.source = ""
        self.source_current = False
        self.quorum_at = float("-inf")
        self.confirmed_at = float("-inf")
        self.last_exchange = Exchanged()
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Start following."""
        self.task = run_forever(self._follow_or_change_source)

    async def stop(self) -> None:
        """Stop following."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    @property
    def exhausted(self) -> bool:
        """Whether all sources were tried and none has a current view of the store."""
        stale = self.cached_view.clock() - self.confirmed_at > FRESH_S
        return stale and not self.source_current and self.tried >= len(self.sources())

    @property
    def quorum_age_s(self) -> float:
        """Seconds since a source reported that it reaches a majority of the ledger's members."""
        return self.cached_view.clock() - self.quorum_at

    def discount_stall(self, seconds: float) -> None:
        """Subtract a stall of this process from the time since a majority was reported."""
        self.quorum_at = min(self.cached_view.clock(), self.quorum_at + seconds)

    async def _follow_or_change_source(self) -> None:
        """Follow the sources; after a failure the next one is asked first."""
        try:
            await self._follow()
        except Exception:
            self.tried += 1
            self.source_current = False
            raise

    async def _follow(self) -> None:
        while True:
            if not self.needed():
                await asyncio.sleep(SOURCE_PAUSE_S)
                continue
            sources = self.sources()
            if not sources:
                self.tried += 1
                await asyncio.sleep(SOURCE_PAUSE_S)
                continue
            source = sources[self.tried % len(sources)]
            self.source_current = await self._ask(source)
            if self.source_current:
                if self.tried and source.address != self.source:
                    logger.bind(source=source.vm).info("following another source")
                self.source = source.address
                self.tried = self.tried % len(sources)
                continue
            self.tried += 1
            await asyncio.sleep(SOURCE_PAUSE_S if self.tried % len(sources) == 0 else 0)

    async def _ask(self, source: Replica) -> bool:
        """Ask one source; return whether its view is current and it reaches a majority."""
        view = self.cached_view.view
        wait_s = 0.0
        if source.address == self.source:
            wait_s = WAIT_S if self.source_current else STALE_WAIT_S
        message = Follow(
            view.version,
            view.targets.revision,
            view.replicas.epoch,
            wait_s,
            view.configuration_revision,
            self.cached_view.suspects.checksum() if self.wants_suspects else None,
            view.targets.checksum,
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
        # An answer that is read after the timeout waited here while this VM was stalled, so its age
        # counts from the request.
        in_time = wait_s > 0 and now - asked_at <= wait_s + ANSWER_S
        confirmed_at = (now if in_time else asked_at) - answer.age_s
        self.cached_view.merge(
            answer.view,
            confirmed_at,
            asked_at + answer.complete_s,
            now - answer.recovered_s,
            source.vm,
        )
        self.last_exchange = Exchanged(asked_at, now)
        if answer.suspects is not None:
            self.cached_view.update_suspects(answer.suspects)
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        # A source that has lost the majority reports it at once.  If another source still reaches
        # it, that source is asked next, and the loss lasts for one round trip.
        self.quorum_at = now if answer.quorum else float("-inf")
        if answer.quorum:
            self.quorum_reported()
        return answer.age_s <= FRESH_S and answer.quorum


def ask_over(
    links: Links, expected: type = Followed
) -> Callable[[str, Any, float], Awaitable[Any]]:
    """Return a function that requests updates, of the expected type, from processes over links."""

    async def ask(address: str, message: Any, timeout_s: float) -> Any:
        answer = await links.to(address).request(message, timeout_s)
        if not isinstance(answer, expected):
            raise LinkFailed(f"{address} answered with {type(answer).__name__}", sent=True)
        return answer

    return ask


def nearest_first(replicas: tuple[Replica, ...], zone: ZoneId, key: str) -> list[Replica]:
    """Return replicas with those of a zone first; `key` spreads followers over the others."""
    return sorted(replicas, key=lambda replica: (replica.zone != zone, hash((key, replica.disk))))


__all__ = ["FRESH_S", "LONGEST_AGE_S", "CachedView", "FeedFollower", "ask_over", "nearest_first"]
