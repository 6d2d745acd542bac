"""The lifecycle of an entry on a platform: start, serve, drain and stop."""

import asyncio
import math
import random
import time
from typing import Any

import zmq
from loguru import logger
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPMessageDelegate, HTTPServerConnectionDelegate
from tornado.netutil import bind_sockets

from waxwingglade.base.loop_delay import STALL_S, LoopDelay
from waxwingglade.base.tasks import PeriodicSteps, run_forever, start_task
from waxwingglade.decisions.returns import return_after_s
from waxwingglade.follow.feed import (
    LONGEST_AGE_S,
    CachedView,
    FeedFollower,
    ask_over,
    nearest_first,
)
from waxwingglade.follow.messages import SuspectList
from waxwingglade.follow.model import ClientAccount, ClientLimits, Replica, View
from waxwingglade.follow.store import Store, StoreUnavailable
from waxwingglade.follow.suspects import SuspectFollower
from waxwingglade.follow.watcher import Keys, Watcher
from waxwingglade.ingress.accounts import AccountTable, identify
from waxwingglade.ingress.attempt import Attempts
from waxwingglade.ingress.balance import Balancer
from waxwingglade.ingress.dialect import Call, Dialect
from waxwingglade.ingress.exchange import CallerDisconnected, Exchange
from waxwingglade.ingress.load_exchange import LoadExchange
from waxwingglade.ingress.metrics import IngressMetrics
from waxwingglade.ingress.quarantine import Quarantine
from waxwingglade.ingress.quorum_monitor import QuorumMonitor, RotationEstimate
from waxwingglade.ingress.quota import send_grants, take_quota
from waxwingglade.ingress.refusal import Refusal, own_answer
from waxwingglade.ingress.request_log import RequestLog
from waxwingglade.ingress.routes import RouteTable
from waxwingglade.ingress.serving import (
    Serving,
    Trace,
    is_stream,
    read_call,
    serve_plain,
    stopped_refusal,
    timeout_refusal,
)
from waxwingglade.ingress.settings import IngressSettings
from waxwingglade.ingress.shutdown import ShutdownSchedule
from waxwingglade.ingress.streaming import LedgerAccess, serve_stream
from waxwingglade.ledger.client import LedgerClient
from waxwingglade.ledger.messages import LedgerMessage, SharedLoads
from waxwingglade.transport import ConnectionPool
from waxwingglade.transport.links import Codec, Links
from waxwingglade.transport.page import serve_metrics, serve_page

CHECK_INTERVAL_S = 0.2
"""Seconds between checks of the connections, the age of the cached view, and its sources."""

STORE_FALLBACK_DELAY_S = 0.5
"""Seconds without a usable replica before the entry follows the store directly."""

STORE_FALLBACK_AGE_S = 1.3
"""Age of the view in seconds from which on an entry without a usable replica does so at once.  It
then learns within two seconds which targets leave."""

MEMBERS_RETRY_S = 0.3
"""Mean seconds between reads of the store while no replica is known."""

LINK_IDLE_S = 30.0
QUORUM_TIMEOUT_S = 0.8
"""Seconds without a quorum report of a replica after which callers should go to another entry.
Reports arrive twice a second; the balancer takes two more seconds to act."""

FINAL_ANSWER_TIMEOUT_S = 0.1
"""Seconds that an exiting entry waits for its answers to unfinished requests to be written."""

PRIORITY_STEP = 2
MAX_PRIORITY = 9
"""Ranks of routes map to the engine priorities 2, 4 and so on, up to the maximum."""


class CallerServer(HTTPServer):
    """An HTTP server that also notifies its delegate of closed connections."""

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection and notify the delegate."""
        super().on_close(server_conn)
        self.request_callback.on_close(server_conn)


class Ingress(HTTPServerConnectionDelegate):
    """An entry: serves callers and follows the state of the platform.

    Parameters
    ----------
    settings : IngressSettings
        Settings of the entry.
    store : Store
        Store of the platform, used while no replica can be followed.
    keys : Keys
        Keys of the store.
    dialect : Dialect
        Translates the requests and answers of callers and targets.
    """

    def __init__(
        self, settings: IngressSettings, store: Store, keys: Keys, dialect: Dialect
    ) -> None:
        self.settings = settings
        self.store = store
        self.keys = keys
        self.dialect = dialect
        self.codec = Codec(LedgerMessage)
        self.context = zmq.Context()
        self.links = Links(self.context, self.codec)
        self.cached_view = CachedView(heartbeat_s=settings.target_heartbeat_s)
        self.cached_view.listeners += [self._use_configuration, self._use_targets]
        self.balancer = Balancer(settings.zone)
        self.pool = ConnectionPool(settings.connect_timeout_s)
        self.ledger = LedgerClient(
            self.links, lambda: self.cached_view.view.replicas.members, settings.zone
        )
        self.quarantine = Quarantine(
            self.ledger.failures, self.cached_view.suspects, self.pool.shows_life
        )
        self.follower = FeedFollower(
            self.cached_view,
            self.replicas,
            ask_over(self.links),
            wants_suspects=True,
            quorum_reported=self._check_quorum,
        )
        self.suspect_follower = SuspectFollower(
            self.cached_view.suspects,
            self._second_sources,
            ask_over(self.links, SuspectList),
            lambda: self.follower.last_exchange,
            lambda: self.loop_delay.stalled_until,
        )
        self.load_exchange = LoadExchange(
            self.balancer,
            settings.vm,
            settings.zone,
            lambda: self.cached_view.view.replicas.members,
            ask_over(self.links, SharedLoads),
            lambda address, message: self.links.to(address).tell(message),
        )
        self.watcher: Watcher | None = None
        self.sources_lost_at: float | None = None
        self.table: RouteTable | None = None
        self.draining = False
        self.accepts_requests = True
        self.shutdown = ShutdownSchedule()
        self.quorum_monitor = QuorumMonitor(lambda: self.reaches_ledger)
        self.rotation = RotationEstimate()
        self.open_exchanges: dict[object, Exchange] = {}
        self.running: set[asyncio.Task] = set()
        self.callers: HTTPServer | None = None
        self.pages: list[HTTPServer] = []
        self.metrics = IngressMetrics()
        self.loop_delay = LoopDelay()
        self.tasks: list[asyncio.Task] = []
        self.request_log = RequestLog(self.cached_view, self.quorum_monitor, self.loop_delay)

    # Start and stop

    async def start(self) -> None:
        """Start to follow the platform and to serve callers."""
        self.callers = self._listen(self, self.settings.callers)
        self.pages = [serve_page(self.settings.ready, ".*", lambda: (self.ready_status, ""))]
        self.pages += serve_metrics(self.settings.metrics, lambda: self.metrics.text(self))
        self.follower.start()
        self.suspect_follower.start()
        self.tasks = [run_forever(self._find_replicas), run_forever(self._check_forever)]
        logger.bind(vm=self.settings.vm, callers=self.settings.callers).info("started")

    def _listen(self, delegate: HTTPServerConnectionDelegate, address: str) -> HTTPServer:
        limits = ClientLimits()
        server = CallerServer(
            delegate,
            max_header_size=limits.max_header_bytes,
            max_body_size=limits.max_body_bytes,
        )
        host, _, port = address.rpartition(":")
        server.add_sockets(bind_sockets(int(port), host, backlog=1024))
        return server

    async def drain(self) -> None:
        """Stop accepting requests and complete those in progress.

        Callers are served while the balancer may still send some, and their answers have the header
        ``Connection: close``.  After that, requests that may last longer than the process are
        refused.  Then idle connections are closed, and the others after their answer.
        """
        began_at = time.monotonic()
        self.shutdown.notice_at = began_at + self.settings.drain_notice_s
        self.shutdown.exit_at = began_at + self.settings.drain_timeout_s
        self.draining = True
        logger.bind(running=len(self.running)).info("draining")
        await asyncio.sleep(self.settings.drain_wait_s)
        assert self.callers is not None
        self.callers.stop()
        self.accepts_requests = False
        for exchange in list(self.open_exchanges.values()):
            exchange.close_when_idle()
        while self.running and time.monotonic() < self.shutdown.exit_at:
            await asyncio.sleep(CHECK_INTERVAL_S / 4)
        logger.bind(running=len(self.running)).info("drained")
        await self._end_unfinished()
        await self.ledger.finish(self.shutdown.exit_at - time.monotonic())

    async def _end_unfinished(self) -> None:
        """End the requests in progress; callers without any part of an answer get a last one."""
        unfinished = list(self.running)
        for task in unfinished:
            task.cancel()
        if unfinished:
            await asyncio.wait(unfinished, timeout=FINAL_ANSWER_TIMEOUT_S)

    async def stop(self) -> None:
        """Close all connections and cancel all tasks."""
        for server in [*([self.callers] if self.callers else []), *self.pages]:
            server.stop()
            await server.close_all_connections()
        for task in [*self.tasks, *self.running]:
            task.cancel()
        await asyncio.gather(*self.tasks, *self.running, return_exceptions=True)
        await self.ledger.finish(0.0)
        await self.follower.stop()
        await self.suspect_follower.stop()
        await self.load_exchange.stop()
        if self.watcher is not None:
            await self.watcher.stop()
        self.links.close()
        self.pool.close()
        self.context.term()

    # State of the platform

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here.

        An entry that reaches no majority of the ledger serves no turn.  In a partitioned zone no
        entry does; once all of them are not ready, the balancer sends callers to other zones.
        """
        if self.table is None or self.draining or not self.reaches_ledger:
            return False
        return (
            self.table.accounts is None
            or self.cached_view.incomplete_s < self.settings.keys.not_ready_age_s
        )

    @property
    def ready_status(self) -> int:
        """Status of the answer to a readiness check of the balancer."""
        ready = self.ready
        self.rotation.record(ready)
        return 200 if ready else 503

    @property
    def reaches_ledger(self) -> bool:
        """Whether a replica recently reported that it reaches a majority.

        The time of a stall does not count, as this process reads no reports meanwhile.
        """
        return self.follower.quorum_age_s - self.loop_delay.overdue_s < QUORUM_TIMEOUT_S

    def replicas(self) -> list[Replica]:
        """Return the members of the ledger, the nearest first."""
        members = self.cached_view.view.replicas.members
        return nearest_first(members, self.settings.zone, self.settings.vm)

    def _second_sources(self) -> list[Replica]:
        """Return the members that this entry does not follow, the nearest first."""
        return [each for each in self.replicas() if each.address != self.follower.source]

    def _use_configuration(self, view: View) -> None:
        if view.configuration is not None and (
            self.table is None or view.configuration.supersedes(self.table.configuration)
        ):
            table = RouteTable(view.configuration)
            self._use_limits(view.configuration.limits)
            self.table = table

    def _use_targets(self, _view: View) -> None:
        removed = self.balancer.update(self.cached_view.targets_in_use)
        for target in removed:
            self.pool.close_idle(target.address)
        self.quarantine.record_removed(removed)

    def _limits(self) -> ClientLimits:
        """Return the limits in force for callers."""
        return self.table.configuration.limits if self.table is not None else ClientLimits()

    def _use_limits(self, limits: ClientLimits) -> None:
        assert self.callers is not None
        params = self.callers.conn_params
        params.max_header_size = limits.max_header_bytes
        params.max_body_size = limits.max_body_bytes

    async def _find_replicas(self) -> None:
        """Read the members of the ledger from the store while none is known."""
        reader = Watcher(self.store, self.keys)
        while not self.cached_view.view.replicas.members:
            try:
                item = await self.store.read(self.keys.replicas)
            except StoreUnavailable as error:
                logger.bind(reason=str(error)).info("reading ledger members failed")
                item = None
            if item is not None:
                reader.apply_replicas(item)
                self.cached_view.merge(reader.view, float("-inf"))
            if not self.cached_view.view.replicas.members:
                await asyncio.sleep(MEMBERS_RETRY_S * (0.5 + random.random()))

    async def _check_forever(self) -> None:
        steps = PeriodicSteps("Ingress._check_forever")
        while True:
            await self.loop_delay.sleep(CHECK_INTERVAL_S)
            if (delay_s := self.loop_delay.delays[-1]) >= STALL_S:
                self.follower.discount_stall(delay_s)
            await steps.run("quorum", self._check_quorum)
            await steps.run("expired", self.cached_view.drop_expired)
            await steps.run("sources", self._check_sources)
            await steps.run("silent calls", self.quarantine.suspect_silent)
            await steps.run("suspicions", self.quarantine.clear_suspicions)
            await steps.run("held requests", self.quarantine.remove_expired)
            await steps.run("pooled connections", self.pool.close_expired)
            await steps.run("idle callers", self.close_idle)
            await steps.run("slow targets", self.balancer.check_slow)
            await steps.run("idle links", self._close_idle_links)

    def _close_idle_links(self) -> None:
        members = {member.address for member in self.cached_view.view.replicas.members}
        self.links.close_idle_except(members, LINK_IDLE_S)

    async def _check_sources(self) -> None:
        """Follow the store while no replica is usable as a source."""
        if not self.follower.exhausted:
            self.sources_lost_at = None
            await self._stop_watcher()
            return
        self.sources_lost_at = self.sources_lost_at or time.monotonic()
        lost_s = time.monotonic() - self.sources_lost_at
        if lost_s > STORE_FALLBACK_DELAY_S or self._is_outdated or self.watcher is not None:
            self._use_watcher()

    @property
    def _is_outdated(self) -> bool:
        """Whether the store confirmed the view once, but not recently."""
        age_s = self.cached_view.age_s
        return math.isfinite(age_s) and age_s > STORE_FALLBACK_AGE_S

    def close_idle(self) -> None:
        """Close connections that received nothing for longer than the current limit.

        These are idle, or wait for the rest of a body.  The server itself applies the limit that
        was in force when a connection became idle.
        """
        idle_since = time.monotonic() - self._limits().idle_timeout_s
        for exchange in list(self.open_exchanges.values()):
            if exchange.idle and exchange.arrived_at < idle_since:
                exchange.close_when_idle()
            exchange.close_if_stalled(idle_since)

    def _check_quorum(self) -> None:
        """Check whether a majority of the ledger is reachable, and log a change."""
        if not self.quorum_monitor.check():
            return
        event = "ledger quorum regained" if self.quorum_monitor.has_quorum else "ledger quorum lost"
        logger.bind(epoch=self.cached_view.view.replicas.epoch, ready=self.ready).warning(event)

    def _use_watcher(self) -> None:
        """Follow the store directly, since no replica is usable as a source."""
        if self.watcher is None:
            logger.bind(age_s=round(min(self.cached_view.age_s, LONGEST_AGE_S), 2)).warning(
                "no source, following the store"
            )
            self.watcher = Watcher(self.store, self.keys, self._watcher_changed)
            self.watcher.start()
        self._watcher_changed()

    def _watcher_changed(self) -> None:
        if self.watcher is not None:
            watcher = self.watcher
            self.cached_view.merge(
                watcher.view, watcher.confirmed_at, watcher.complete_until, watcher.recovered_at
            )

    async def _stop_watcher(self) -> None:
        if self.watcher is not None:
            watcher, self.watcher = self.watcher, None
            await watcher.stop()
            logger.info("source found, no longer following the store")

    # Serving

    def start_request(self, server_conn: object, request_conn: Any) -> HTTPMessageDelegate:
        """Start to read a request."""
        assert isinstance(request_conn, HTTP1Connection)
        exchange = Exchange(request_conn, self._serve, lambda: not self.ready, self._limits)
        self.open_exchanges[server_conn] = exchange
        if not self.accepts_requests:
            exchange.close_when_idle()
        return exchange

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        self.open_exchanges.pop(server_conn, None)

    def _serve(self, exchange: Exchange) -> asyncio.Task:
        task = start_task(self._serve_call(exchange))
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return task

    async def _serve_call(self, exchange: Exchange) -> None:
        trace = Trace()
        try:
            if await exchange.caller_has_disconnected():
                raise CallerDisconnected
            serving = read_call(exchange, self.dialect, self.table, trace, self._identify)
            serving.shutdown = self.shutdown
            serving.answer_grace_s = self.settings.answer_grace_s
            if not serving.may_start:
                raise stopped_refusal(None)
            await self._serve_in_time(serving)
        except Refusal as refusal:
            trace.reason = refusal.reason
            await self._refuse(exchange, trace, refusal)
        except CallerDisconnected:
            trace.reason = "the caller has left"
        except asyncio.CancelledError:
            trace.reason = "the caller has left" if exchange.disconnected else "stopped"
            if not exchange.disconnected:
                await self._refuse(exchange, trace, stopped_refusal(trace.attempts))
            raise
        except Exception:
            trace.reason = "internal error"
            exchange.abort()
            raise
        finally:
            self._log(exchange, trace)

    async def _serve_in_time(self, serving: Serving) -> None:
        left_s = serving.time_left() + serving.answer_grace_s
        attempts = Attempts(
            self.dialect,
            self.pool,
            self.balancer,
            serving.call,
            serving.service,
            serving.route,
            serving.time_left,
            self.quarantine,
            send_grants(serving, self.ledger),
        )
        serving.trace.attempts = attempts
        if is_stream(serving.route):
            self.load_exchange.turn_arrived(serving.service.name)
        try:
            async with asyncio.timeout(left_s):
                await self.suspect_follower.ensure_current()
                await self.quarantine.check(serving.call)
                if is_stream(serving.route):
                    self._check_quorum()
                    ledger_access = LedgerAccess(self.ledger, self.quorum_monitor, self.rotation)
                    await serve_stream(serving, attempts, ledger_access, self._priority)
                else:
                    await take_quota(serving, self.ledger, attempts.grants)
                    await serve_plain(serving, attempts, self._priority)
        except TimeoutError as error:
            raise timeout_refusal(attempts) from error

    def _identify(self, accounts: AccountTable, call: Call) -> ClientAccount:
        """Return the account of a call; `Refusal` if it has none or the view is too old."""
        age_s = self.cached_view.incomplete_s

        def retry_after_s() -> float | None:
            if not self.reaches_ledger:
                # Other entries may have a newer view; the balancer will send callers there.
                return self.rotation.until_removed_s
            if math.isinf(age_s):
                return None
            # The ledger has no newer view either, so the store is unavailable to all entries.
            return return_after_s(call.deadline_s or 0.0, age_s)

        return identify(accounts, call, age_s, self.settings.keys, retry_after_s)

    def _priority(self, serving: Serving) -> int | None:
        """Return the priority of a call in the queue of an engine."""
        if serving.service.engine is None:
            return None
        return min(MAX_PRIORITY, (serving.route.rank + 1) * PRIORITY_STEP)

    async def _refuse(self, exchange: Exchange, trace: Trace, refusal: Refusal) -> None:
        if exchange.answered:
            exchange.abort()
            return
        request = trace.call.request if trace.call else ""
        status, headers, body = own_answer(
            self.dialect, self.settings.retry_after_s, request, refusal
        )
        try:
            await exchange.answer(status, headers, body)
        except CallerDisconnected:
            return

    def _log(self, exchange: Exchange, trace: Trace) -> None:
        """Count and log a request that has ended."""
        seconds = time.monotonic() - exchange.arrived_at
        self.metrics.record(exchange, trace, seconds)
        self.request_log.record(exchange, trace, seconds)


__all__ = ["Ingress"]
