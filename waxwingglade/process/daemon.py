"""The lifecycle of an entry process, from start to stop."""

import asyncio
from functools import partial
from socket import socket

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from waxwingglade.connection.caller import caller_application, http_server
from waxwingglade.connection.peer import PeerServer
from waxwingglade.connection.peer_messages import EntryState
from waxwingglade.process.configuration import Configuration
from waxwingglade.process.drain import POLL_S, drain
from waxwingglade.process.duties import give_orders
from waxwingglade.process.entry import Entry
from waxwingglade.process.expiry import expire_programs
from waxwingglade.process.members import Heartbeats
from waxwingglade.process.operating import operating_application
from waxwingglade.process.ownership import maintain_logs, open_logs
from waxwingglade.process.peers import answer_peer
from waxwingglade.process.release import release_ended
from waxwingglade.process.sampling import sample_loads
from waxwingglade.process.scrape import MetricsCollector, metrics_route
from waxwingglade.process.serving import serve_counted
from waxwingglade.process.sweep import sweep_caches
from waxwingglade.process.vms import watch_vms

REQUEST_READ_S = 0.3
"""Seconds without a request after which a draining entry closes the connections of its callers.  A
request that has begun to arrive is read within this time, also on a VM that stalls for a while."""


class Daemon:
    """The sockets and tasks of one entry."""

    def __init__(self, entry: Entry) -> None:
        self.entry = entry
        self.peer_server: PeerServer | None = None
        self.http_server: HTTPServer | None = None
        self.operator_server: HTTPServer | None = None
        self.url = ""
        self.operator_url = ""
        self.drain_requested = asyncio.Event()

    async def start(self) -> None:
        """Open the sockets, contact the peers, open the logs and begin to serve."""
        entry = self.entry
        peer_server = PeerServer(entry.context, entry.answers_to, partial(answer_peer, entry))
        self.peer_server = peer_server
        caller_sockets = self._bind_addresses(peer_server)
        configuration = Configuration(entry)
        entry.configuration = configuration
        entry.heartbeats = Heartbeats(
            entry.members,
            entry.links,
            [peer.peer_address for peer in entry.settings.peers],
            entry.config.digest,
            configuration.on_peer_digest,
            entry.log_partners,
        )
        configuration.start()
        await self._wait_for_peers()
        await configuration.wait_until_current()
        open_logs(entry)
        self._start_tasks()
        self._serve_callers(peer_server, caller_sockets)
        self._serve_operators(configuration)
        logger.info("entry {} serves callers at {}", entry.own.entry, self.url)

    def _bind_addresses(self, peer_server: PeerServer) -> list[socket]:
        """Open the peers' socket and bind the callers' sockets; heartbeats carry both addresses."""
        listen = self.entry.settings.listen
        bound_address = peer_server.start(listen.address, listen.peer_port)
        peer_address = listen.advertised_peer_address or bound_address
        sockets = bind_sockets(listen.caller_port, listen.address)
        port = sockets[0].getsockname()[1]
        self.url = f"http://{listen.address}:{port}"
        self.entry.set_addresses(peer_address, f"{listen.address}:{port}")
        return sockets

    def _start_tasks(self) -> None:
        """Start the background tasks of the entry."""
        entry = self.entry
        entry.keep_running(maintain_logs, entry)
        entry.keep_running(release_ended, entry)
        entry.keep_running(expire_programs, entry)
        entry.keep_running(sample_loads, entry)
        entry.keep_running(sweep_caches, entry)
        entry.keep_running(watch_vms, entry)
        entry.keep_running(give_orders, entry)

    def _serve_callers(self, peer_server: PeerServer, sockets: list[socket]) -> None:
        """Begin to serve callers on sockets that are already bound."""
        entry = self.entry
        application = caller_application(
            entry.settings,
            lambda request: serve_counted(entry, request),
            lambda: entry.members.state is EntryState.ALIVE,
            [metrics_route(MetricsCollector(entry, peer_server))],
            entry.metrics.count_refusal,
        )
        self.http_server = http_server(application, entry.settings.limits)
        self.http_server.add_sockets(sockets)

    def _serve_operators(self, configuration: Configuration) -> None:
        """Open the port for operators."""
        entry = self.entry
        listen = entry.settings.listen
        application = operating_application(
            entry,
            configuration,
            lambda request: serve_counted(entry, request),
            self.drain_requested.set,
        )
        sockets = bind_sockets(listen.operator_port, listen.address)
        self.operator_server = http_server(application, entry.settings.limits)
        self.operator_server.add_sockets(sockets)
        self.operator_url = f"http://{listen.address}:{sockets[0].getsockname()[1]}"
        logger.info("entry {} serves operators at {}", entry.own.entry, self.operator_url)

    async def _wait_for_peers(self) -> None:
        """Wait up to `suspect_after_s` for the configured peers, so that new logs get copies."""
        wanted = len(self.entry.settings.peers)
        wait_limit_s = self.entry.settings.durability.suspect_after_s
        try:
            async with asyncio.timeout(wait_limit_s):
                while len(self.entry.members.usable()) < wanted:
                    await asyncio.sleep(self.entry.settings.durability.heartbeat_s / 5)
        except TimeoutError:
            logger.info(
                "{} of {} configured peers reachable", len(self.entry.members.usable()), wanted
            )

    async def drain_and_stop(self) -> None:
        """Hand over logs and copies, let callers receive their answers, and close."""
        await drain(self.entry)
        if self.http_server is not None:
            # Connections in the backlog are reset when the port closes.  The event loop, which may
            # have stalled for long, first gets time to accept them.
            await asyncio.sleep(POLL_S)
            self.http_server.stop()
        try:
            async with asyncio.timeout(self.entry.settings.drain_timeout_s):
                await self._wait_for_requests()
        except TimeoutError:
            logger.warning("closed with {} requests unanswered", self.entry.active_requests)
        await self.stop()

    async def _wait_for_requests(self) -> None:
        """Wait until no request has been active for `REQUEST_READ_S`."""
        idle_s = 0.0
        while idle_s < REQUEST_READ_S:
            await asyncio.sleep(POLL_S)
            idle_s = 0.0 if self.entry.active_requests else idle_s + POLL_S

    async def stop(self) -> None:
        """Close everything immediately, without a drain."""
        entry = self.entry
        if self.http_server is not None:
            self.http_server.stop()
            await self.http_server.close_all_connections()
        if self.operator_server is not None:
            self.operator_server.stop()
            await self.operator_server.close_all_connections()
        if entry.heartbeats is not None:
            await entry.heartbeats.stop()
        if entry.configuration is not None:
            entry.configuration.stop()
        for task in list(entry.tasks):
            task.cancel()
        await asyncio.gather(*entry.tasks, return_exceptions=True)
        for owned in entry.owned.values():
            await owned.stop()
        if self.peer_server is not None:
            await self.peer_server.stop()
        await entry.links.close()
        await entry.store.close()
        await entry.http.close()
        if entry.disk is not None:
            await entry.disk.close()
        entry.context.term()
