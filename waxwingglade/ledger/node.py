"""The lifecycle of a ledger process."""

import asyncio
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import zmq
from loguru import logger
from tornado.httpserver import HTTPServer

from waxwingglade.base import WaxwinggladeError, ZoneId, monotonic
from waxwingglade.base.logs import Sampler
from waxwingglade.base.loop_delay import LoopDelay
from waxwingglade.base.tasks import PeriodicSteps, run_forever, start_task
from waxwingglade.decisions.quota import QuotaRules
from waxwingglade.follow.feed import (
    FRESH_S,
    HEARTBEAT_S,
    CachedView,
    FeedFollower,
    ask_over,
    nearest_first,
)
from waxwingglade.follow.messages import Follow, Followed, FollowSuspects
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet, View
from waxwingglade.follow.store import Store
from waxwingglade.follow.watcher import WAIT_S, Keys, Watcher
from waxwingglade.ledger.candidacy import Candidacy
from waxwingglade.ledger.coordinator import Coordinator
from waxwingglade.ledger.load_board import LoadBoard
from waxwingglade.ledger.membership import Membership
from waxwingglade.ledger.messages import (
    BeginProgram,
    BeginTurn,
    Busy,
    ConfirmTurn,
    EndTurn,
    LedgerMessage,
    ListFailures,
    MergeFailures,
    MergeLoads,
    NoteEnd,
    NotHere,
    Ping,
    ReportLoad,
    TakeQuota,
    ToReplica,
    TurnBegun,
    Unavailable,
)
from waxwingglade.ledger.metrics import LedgerMetrics
from waxwingglade.ledger.quotas import Granted, Quotas
from waxwingglade.ledger.replica import Replica
from waxwingglade.ledger.turn_repair import TurnRepair
from waxwingglade.transport.links import Codec, Links, LinkServer
from waxwingglade.transport.page import serve_metrics

UPDATE_INTERVAL_S = 0.1
"""Seconds between updates of the view that followers receive.  Much shorter than the half second
after which a lost majority is noticed."""

MAX_BEGINNING = 24
"""Turns that this process begins concurrently.  With more, callers time out before they are
answered and retry elsewhere, and the duplicate work leaves no time to answer any."""

MAX_ENDING = 4 * MAX_BEGINNING
"""Turns that it ends concurrently; more, since ending turns reduces load."""

REFUSALS_LOGGED_PER_S = 2.0
"""Log lines per second for refused turns, so that logging does not add to the load."""

MAX_CONCURRENT = {BeginTurn: MAX_BEGINNING, EndTurn: MAX_ENDING}

STANDBY_WATCH_S = 2.0
"""Seconds that a watch of a standby process waits.  In a large fleet most ledger processes are on
standby, and their calls to the store would grow with the fleet."""

STANDBY_FRESH_S = 2 * STANDBY_WATCH_S
"""Age in seconds up to which the view of a standby process, which nobody follows, is fresh."""

FINISH_TIMEOUT_S = 0.4
"""Seconds for which a stopping process continues earlier requests; entries wait no longer for one
replica."""

LINK_IDLE_S = 30.0
"""Seconds after which a connection to a process that is no longer a member is closed."""


class LedgerSettings(msgspec.Struct, frozen=True):
    """Settings of a ledger process.

    Parameters
    ----------
    vm : str
        Name of its VM.
    zone : ZoneId
        Its availability zone.
    endpoint : str
        ZeroMQ endpoint where it answers, ``tcp://IP:PORT``.
    folder : Path
        Data folder.
    wanted_members : int
        Members that are enough to tolerate the expected faults.
    zones : int
        Number of availability zones.
    status_prefix : str
        Prefix of the keys for the states of retiring VMs.
    metrics : str
        ``IP:PORT`` of the metrics page; empty for none.
    quota : QuotaRules
        Rules for the limits of client accounts.
    bootstrap : bool
        Whether the whole system starts for the first time.
    target_heartbeat_s : float
        Interval in seconds at which targets renew their entries in the store.
    """

    vm: str
    zone: ZoneId
    endpoint: str
    folder: Path
    wanted_members: int
    zones: int
    status_prefix: str
    metrics: str = ""
    quota: QuotaRules = QuotaRules(1.0)
    bootstrap: bool = False
    target_heartbeat_s: float = HEARTBEAT_S


class LedgerNode:
    """State of a ledger process.

    Parameters
    ----------
    settings : LedgerSettings
        Settings of the process.
    store : Store
        The platform's store.
    keys : Keys
        Keys in the store.
    """

    def __init__(self, settings: LedgerSettings, store: Store, keys: Keys) -> None:
        self.settings = settings
        self.store = store
        self.codec = Codec(LedgerMessage)
        self.context = zmq.Context()
        self.server = LinkServer(self.context, self.codec, self.answer, self.answer_at_once)
        self.links = Links(self.context, self.codec)
        self.cached_view = CachedView(heartbeat_s=settings.target_heartbeat_s)
        self.watcher = Watcher(store, keys, self._store_changed, wait_s=self._watch_s)
        self.replica = Replica(settings.folder)
        self.own = Member(self.replica.disk, settings.vm, settings.endpoint, settings.zone)
        self.coordinator = Coordinator(
            self.own,
            lambda: self.replica.replicas,
            self.ask_member,
            self.observe_replicas,
            self.replica.confirmations,
            unresolved_ends=self.replica.unresolved_ends,
        )
        self.membership = Membership(
            self.own,
            self.replica,
            self.watcher,
            store,
            self.ask_member,
            settings.wanted_members,
            settings.zones,
            keys.replicas,
            settings.status_prefix,
            Candidacy(self.own, self.watcher, store, keys.candidates),
            overdue_s=lambda: self.loop_delay.overdue_s,
        )
        self.membership.observe_replicas = self.observe_replicas
        self.turn_repair = TurnRepair(
            self.own, self.replica, lambda: self.replica.replicas, self.ask_member
        )
        self.follower = FeedFollower(
            self.cached_view, self._sources, ask_over(self.links), self._needs_source
        )
        self.quotas = Quotas(
            settings.quota,
            settings.wanted_members,
            self.cached_view,
            self.replica,
            settings.bootstrap,
            vm=settings.vm,
        )
        self.load_board = LoadBoard(
            self.own, lambda: self.replica.replicas.members, self.tell_member
        )
        self.handlers: dict[type, Callable[[Any], Any]] = {
            BeginTurn: self.begin,
            TakeQuota: self.quotas.take,
            BeginProgram: self.quotas.begin_program,
            ConfirmTurn: self.coordinator.confirm,
            EndTurn: self.coordinator.end,
            NoteEnd: self.replica.note_end,
            MergeFailures: self.replica.merge_failures,
            ListFailures: self.replica.list_failures,
            ReportLoad: self.load_board.report,
            MergeLoads: self.load_board.merge,
            Follow: self.follow,
            FollowSuspects: self.cached_view.answer_suspects,
            ToReplica: self.to_replica,
        }
        self.replica.failures_changed = self._update_suspects
        self.stopping = False
        self.in_progress: Counter[type] = Counter()
        self.refusals = Sampler(REFUSALS_LOGGED_PER_S)
        self.tasks: list[asyncio.Task] = []
        self.metrics = LedgerMetrics()
        self.loop_delay = LoopDelay()
        self.reported_quorum = False
        self.pages: list[HTTPServer] = []

    async def start(self) -> None:
        """Read the disk, and start to answer requests and to follow the store."""
        self.replica.open()
        self._update_suspects()
        self.quotas.open()
        if self.replica.replicas.epoch:
            self.cached_view.merge(View(replicas=self.replica.replicas), float("-inf"))
        self.server.start(self.settings.endpoint)
        self.pages = serve_metrics(self.settings.metrics, lambda: self.metrics.text(self))
        self.watcher.start()
        self.follower.start()
        self.tasks = [
            run_forever(self.membership.ping_forever),
            run_forever(self.membership.run),
            run_forever(self.replica.sweep_forever),
            run_forever(self.turn_repair.run),
            run_forever(self._close_idle_links),
            run_forever(self._update_forever),
        ]
        logger.bind(vm=self.own.vm, disk=self.own.disk, endpoint=self.own.address).info("started")

    async def stop(self) -> None:
        """Stop answering; all that was acknowledged is durable.

        New requests are refused from now on, so that their senders try another process at once.
        """
        self.stopping = True
        # Followers wait longer for an update than a stop takes.
        self.cached_view.notify()
        self.cached_view.notify_suspects()
        await self.server.finish(FINISH_TIMEOUT_S)
        self.load_board.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for page in self.pages:
            page.stop()
        await self.follower.stop()
        await self.watcher.stop()
        await self.server.stop()
        self.links.close()
        await self.replica.stop()
        self.context.term()

    # Cached view

    def _store_changed(self) -> None:
        self._take_watched()
        self._adopt_members(self.watcher.view.replicas)

    def _take_watched(self) -> None:
        watcher = self.watcher
        self.cached_view.merge(
            watcher.view, watcher.confirmed_at, watcher.complete_until, watcher.recovered_at
        )

    def _update_suspects(self) -> None:
        self.cached_view.update_suspects(self.replica.failures.suspects())

    def observe_replicas(self, replicas: ReplicaSet) -> None:
        """Record a set of members that another replica reported."""
        self.cached_view.merge(View(replicas=replicas), float("-inf"))
        self._adopt_members(replicas)

    def _adopt_members(self, replicas: ReplicaSet) -> None:
        known = (self.replica.replicas.epoch, self.replica.replicas.settled)
        if (replicas.epoch, replicas.settled) > known:
            start_task(self.replica.adopt_members(replicas))

    async def _update_forever(self) -> None:
        """Update the view and the quorum that followers receive, periodically."""
        steps = PeriodicSteps("LedgerNode._update_forever")
        while True:
            await self.loop_delay.sleep(UPDATE_INTERVAL_S)
            self.membership.discount_stall(self.loop_delay.delays[-1])
            await steps.run("watched", self._take_watched)
            await steps.run("expired", self.cached_view.drop_expired)
            await steps.run("members", self._adopt_known_members)
            await steps.run("quotas", self.quotas.record_state)
            await steps.run("loads", self.load_board.update)
            await steps.run("quorum", self._report_quorum)

    def _adopt_known_members(self) -> None:
        self._adopt_members(self.cached_view.view.replicas)

    def _report_quorum(self) -> None:
        """Notify followers when a majority of the members is lost or regained."""
        quorum = self.membership.quorum
        if quorum != self.reported_quorum:
            self.reported_quorum = quorum
            self.cached_view.notify()

    def _watch_s(self) -> float:
        """Return the seconds that a watch of the store waits for an update."""
        return STANDBY_WATCH_S if self.membership.stands_by else WAIT_S

    def _needs_source(self) -> bool:
        """Return whether another process may know more than the store told this one.

        That is so if the view is older than the store's confirmations usually let it become, and
        after an outage, which other processes may not have seen.
        """
        age_s = STANDBY_FRESH_S if self.membership.stands_by else FRESH_S
        return self.cached_view.age_s > age_s or self.cached_view.retention.active

    def _sources(self) -> list[Member]:
        members = self.replica.replicas.members
        others = tuple(member for member in members if member.disk != self.own.disk)
        return nearest_first(others, self.own.zone, self.own.vm)

    async def _close_idle_links(self) -> None:
        while True:
            await asyncio.sleep(LINK_IDLE_S / 2)
            self.links.close_idle_except(
                {member.address for member in self.replica.replicas.members}, LINK_IDLE_S
            )

    # Requests to members

    def ask_member(self, member: Member, message: Any, timeout_s: float) -> Awaitable[Any]:
        """Send a request to a member, which may be the replica of this process."""
        if isinstance(message, Ping):
            return self.links.to(member.address).post(message, timeout_s)
        if member.disk == self.own.disk:
            return self.replica.handle(message)
        return self.links.to(member.address).post(ToReplica(member.disk, message), timeout_s)

    def tell_member(self, member: Member, message: Any) -> None:
        """Send a message without an answer to another member."""
        self.links.to(member.address).tell(message)

    # Requests to this process

    def answer_at_once(self, message: Any) -> Any:
        """Answer a ping of another replica; None for all other requests."""
        if not isinstance(message, Ping):
            return None
        asked_at = monotonic()
        if (unavailable := self._unavailable()) is not None:
            return self._record(message, unavailable, asked_at)
        return self._record(message, self.membership.answer_ping(message), asked_at)

    async def answer(self, message: Any) -> Any:
        """Answer a request of an entry or another replica."""
        handler = self.handlers.get(type(message))
        if handler is None:
            logger.warning("{} is not a request", type(message).__name__)
            return None
        asked_at = monotonic()
        if (unavailable := self._unavailable()) is not None:
            return self._record(message, unavailable, asked_at)
        kind = type(message)
        if self.in_progress[kind] >= MAX_CONCURRENT.get(kind, sys.maxsize):
            self._log_busy(message)
            return self._record(message, Busy(), asked_at)
        self.in_progress[kind] += 1
        try:
            answer = await handler(message)
        except WaxwinggladeError as error:
            answer = Unavailable(str(error))
        finally:
            self.in_progress[kind] -= 1
        return self._record(message, answer, asked_at)

    def _unavailable(self) -> Unavailable | None:
        """Return the refusal of all requests, or None if they can be answered."""
        if self.stopping:
            return Unavailable("the process stops")
        failure = self.replica.journal.failure
        return None if failure is None else Unavailable(str(failure))

    def _log_busy(self, message: BeginTurn | EndTurn) -> None:
        """Log a refusal at a limited rate; the entry logs every refused request itself."""
        if self.refusals.allows():
            logger.bind(
                turn=message.turn,
                beginning=self.in_progress[BeginTurn],
                ending=self.in_progress[EndTurn],
                left_out=self.refusals.take_left_out(),
            ).warning("too much to do")

    def _record(self, message: Any, answer: Any, asked_at: float) -> Any:
        if answer is not None and not isinstance(message, Follow | FollowSuspects):
            kinds = type(message).__name__, type(answer).__name__
            self.metrics.record(*kinds, monotonic() - asked_at)
        return answer

    async def begin(self, message: BeginTurn) -> Any:
        """Begin a turn if the limit of its client account allows it."""
        client = message.client
        if client is None or message.is_counted:
            return await self.coordinator.begin(message)
        granted = self.quotas.count(client, message.limit, message.is_first)
        if not isinstance(granted, Granted):
            return granted
        answer = await self.coordinator.begin(message)
        if not isinstance(answer, TurnBegun):
            self.quotas.give_back(client, granted)
            return answer
        if granted.durable is not None:
            await granted.durable
        return msgspec.structs.replace(answer, grant=granted.grant)

    async def follow(self, message: Follow) -> Followed:
        """Answer a follower with the view and the quorum, once there is an update."""
        answer = await self.cached_view.answer(message)
        return msgspec.structs.replace(answer, quorum=self.membership.quorum)

    async def to_replica(self, message: ToReplica) -> Any:
        """Pass a request on to the replica of this process, if it is the addressed one."""
        if message.disk != self.own.disk:
            return NotHere()
        return await self.replica.handle(message.body)


__all__ = ["LedgerNode", "LedgerSettings"]
