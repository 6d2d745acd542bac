"""Stand-in for the platform's key-value service, for tests and trials.

It implements the etcd v3 JSON gateway with its state in memory.  Faults are read and set at
``/standin/faults``.  That path is also served on a port of its own, which is reachable while the
store refuses connections.
"""

import asyncio
from http import HTTPStatus

import msgspec
from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback
from tornado.web import Application, RequestHandler

from waxwingglade.base import Clock, monotonic
from waxwingglade.connection.store_codec import (
    TOO_MANY_MESSAGE,
    GrpcCode,
    WatchCreateRequest,
    WatchRequest,
    WatchResponse,
    WatchResult,
    decode_message,
    encode_message,
)
from waxwingglade.standins.server import LOOPBACK, listen, log_nothing
from waxwingglade.standins.store_calls import Reply, is_write, refusal, run_call
from waxwingglade.standins.store_faults import (
    ActiveFaults,
    CallRates,
    Outage,
    StoreFaults,
    StoreLimits,
)
from waxwingglade.standins.store_state import StoreState

EXPIRY_PERIOD_MS = 20
MAX_BODY_BYTES = 8_000_000


class StoreStandin:
    """A store with its HTTP servers and faults.

    Parameters
    ----------
    limits : StoreLimits or None
        Rates above which calls are refused; None for the default rates, which are the platform's.
    clock : Clock
        Time source of leases and rates, in seconds.
    """

    def __init__(self, limits: StoreLimits | None = None, clock: Clock = monotonic) -> None:
        self.state = StoreState(clock)
        self.rates = CallRates(limits or StoreLimits(), clock)
        self.active_faults = ActiveFaults()
        self.changed = asyncio.Event()
        self.notified_revision = self.state.revision
        self.watch_generation = 0
        self.server: HTTPServer | None = None
        self.control: HTTPServer | None = None
        self.expiry_timer = PeriodicCallback(self.revoke_expired, EXPIRY_PERIOD_MS)
        self.port = 0
        self.control_port = 0

    @property
    def url(self) -> str:
        """Base URL of the gateway."""
        return f"http://{LOOPBACK}:{self.port}"

    @property
    def control_url(self) -> str:
        """Base URL of the fault controls, which answer during any outage."""
        return f"http://{LOOPBACK}:{self.control_port}"

    async def start(self, port: int = 0, control_port: int = 0) -> None:
        """Listen; port 0 selects a free one."""
        faults_route = (r"/standin/faults", FaultsHandler, {"standin": self})
        self.control = HTTPServer(Application([faults_route], log_function=log_nothing))
        self.control_port = listen(self.control, control_port)
        self.port = port
        self.open_gateway()
        self.expiry_timer.start()

    async def stop(self) -> None:
        """Close the servers and all connections."""
        self.expiry_timer.stop()
        self.active_faults.set(StoreFaults())
        await self.close_gateway()
        self.control.stop()
        await self.control.close_all_connections()

    def open_gateway(self) -> None:
        """Listen on the port of the gateway."""
        routes = [
            (r"/standin/faults", FaultsHandler, {"standin": self}),
            (r"/v3/watch", WatchHandler, {"standin": self}),
            (r"(/v3/.*)", CallHandler, {"standin": self}),
        ]
        self.server = HTTPServer(
            Application(routes, log_function=log_nothing), max_body_size=MAX_BODY_BYTES
        )
        self.port = listen(self.server, self.port)

    async def close_gateway(self) -> None:
        """Refuse new connections, and close the open ones."""
        if self.server is None:
            return
        server = self.server
        self.server = None
        server.stop()
        self.drop_watches()
        await server.close_all_connections()

    async def set_faults(self, faults: StoreFaults) -> None:
        """Apply faults, and execute the one-shot ones."""
        self.active_faults.set(faults)
        if faults.release_held:
            self.release_held()
        for lease in list(self.state.leases) if faults.lapse_all_leases else faults.lapse_leases:
            if lease in self.state.leases:
                self.state.revoke(lease)
        if faults.compact:
            self.state.compact(self.state.revision)
        if faults.drop_watches:
            self.drop_watches()
        self.notify_watches()
        if faults.outage is Outage.REFUSE:
            await self.close_gateway()
        elif self.server is None:
            self.open_gateway()

    def run(self, path: str, body: bytes) -> Reply:
        """Execute one call."""
        self.revoke_expired()
        reply = run_call(self.state, path, body)
        self.notify_watches()
        return reply

    def release_held(self) -> None:
        """Execute the held writes, in order."""
        held = self.active_faults.held
        self.active_faults.held = []
        for write in held:
            self.run(write.path, write.body)

    def revoke_expired(self) -> None:
        """Revoke expired leases."""
        self.state.revoke_expired()
        self.notify_watches()

    def notify_watches(self) -> None:
        """Wake the watches if the revision has changed."""
        if self.notified_revision != self.state.revision:
            self.notified_revision = self.state.revision
            self.wake_watches()

    def wake_watches(self) -> None:
        """Make every watch check for changes and for its end."""
        self.changed.set()
        self.changed = asyncio.Event()

    def drop_watches(self) -> None:
        """Close the connections of all watches."""
        self.watch_generation += 1
        self.wake_watches()


class CallHandler(RequestHandler):
    """Handles a call with a single answer."""

    def initialize(self, standin: StoreStandin) -> None:
        """Set the stand-in; called by tornado."""
        self.standin = standin

    async def post(self, path: str) -> None:
        """Execute the call, subject to the faults."""
        active_faults = self.standin.active_faults
        body = self.request.body
        if await active_faults.wait_while_hanging():
            return self.cut()
        await active_faults.wait_half_latency()
        write = is_write(path, body)
        if not self.standin.rates.admit(write):
            return self.answer(refusal(GrpcCode.RESOURCE_EXHAUSTED, TOO_MANY_MESSAGE))
        if write and active_faults.holds_write(path, body):
            return self.cut()
        reply = self.standin.run(path, body)
        if write and active_faults.loses_answer():
            return self.cut()
        await active_faults.wait_half_latency()
        return self.answer(reply)

    def cut(self) -> None:
        """Close the connection without an answer."""
        self.detach().close()

    def answer(self, reply: Reply) -> None:
        """Send the answer."""
        self.set_status(reply.status)
        self.set_header("Content-Type", "application/json")
        self.finish(reply.body)


class WatchHandler(RequestHandler):
    """Handles a watch until its connection ends."""

    def initialize(self, standin: StoreStandin) -> None:
        """Set the stand-in; called by tornado."""
        self.standin = standin
        self.is_disconnected = False

    def on_connection_close(self) -> None:
        """Record that the client has disconnected."""
        self.is_disconnected = True
        self.standin.wake_watches()

    async def post(self) -> None:
        """Stream the changes of a range."""
        # Without this, each line would wait until the client has acknowledged the previous one.
        self.request.connection.stream.set_nodelay(True)
        await self.standin.active_faults.wait_while_hanging()
        create = decode_message(self.request.body, WatchRequest).create_request
        if not self.standin.rates.open_watch():
            self.set_status(HTTPStatus.TOO_MANY_REQUESTS)
            self.finish(refusal(GrpcCode.RESOURCE_EXHAUSTED, TOO_MANY_MESSAGE).body)
            return
        try:
            await self.stream(create)
        finally:
            self.standin.rates.close_watch()

    async def stream(self, create: WatchCreateRequest) -> None:
        """Send changes until the watch is dropped, its client leaves or its start is compacted."""
        standin = self.standin
        state = standin.state
        generation = standin.watch_generation
        revision = create.start_revision or state.revision + 1
        await self.send(WatchResponse(header=state.header(), created=True))
        while not self.is_disconnected and generation == standin.watch_generation:
            changed = standin.changed
            if revision <= state.compacted:
                await self.send(compacted(state))
                return
            events = state.events_since(revision, create.key, create.range_end)
            revision = max(revision, state.revision + 1)
            if events:
                await self.send(WatchResponse(header=state.header(), events=events))
            await changed.wait()

    async def send(self, response: WatchResponse) -> None:
        """Send one line, unless the client has disconnected."""
        await self.standin.active_faults.wait_while_hanging()
        if self.is_disconnected:
            return
        self.write(encode_message(WatchResult(result=response)) + b"\n")
        await self.flush()


class FaultsHandler(RequestHandler):
    """Returns and sets the faults."""

    def initialize(self, standin: StoreStandin) -> None:
        """Set the stand-in; called by tornado."""
        self.standin = standin

    def get(self) -> None:
        """Answer with the current faults."""
        self.finish(msgspec.json.encode(self.standin.active_faults.faults))

    async def post(self) -> None:
        """Apply the faults of the body."""
        try:
            faults = msgspec.json.decode(self.request.body, type=StoreFaults)
        except msgspec.MsgspecError as error:
            self.set_status(HTTPStatus.BAD_REQUEST)
            self.finish(str(error))
            return
        self.finish(msgspec.json.encode(faults))
        await self.standin.set_faults(faults)


def compacted(state: StoreState) -> WatchResponse:
    """Return the last response of a watch whose changes were compacted."""
    return WatchResponse(header=state.header(), canceled=True, compact_revision=state.compacted + 1)


__all__ = ["StoreStandin"]
