"""An entry in the process of the test, with real connections and a fake ledger."""

import asyncio
import socket
import time
from enum import Enum
from typing import Any, cast
from unittest import mock

from waxwingglade.base import ZoneId
from waxwingglade.follow.model import (
    CallKind,
    ClientAccount,
    ClientAccountId,
    IncarnationName,
    Route,
    ServiceName,
    Share,
    Target,
    View,
)
from waxwingglade.follow.store import Store
from waxwingglade.ingress.accounts import KeyAgeLimits
from waxwingglade.ingress.entry import Ingress
from waxwingglade.ingress.settings import IngressSettings
from waxwingglade.ingress.tests.builders import configuration, route, target, targets
from waxwingglade.ledger.client import LedgerClient
from waxwingglade.ledger.messages import (
    BeginTurn,
    ConfirmTurn,
    EndTurn,
    Grant,
    QuotaSpent,
    QuotaTaken,
    TakeQuota,
    Turn,
    TurnBegun,
    Unavailable,
)
from waxwingglade.platform.headers import DIALECT
from waxwingglade.platform.process import KEYS
from waxwingglade.transport import HttpRequest
from waxwingglade.transport.http1 import Http1Connection, open_connection

HOST = "shop"
PLAIN, ONCE, TURNS = "/notes/", "/orders/", "/turns/"
SEALED = "X-Waxwingglade-Server-Seal: seal\r\n"


GRANT = Grant("vm-1", version=1, epoch=2, share=3, used=1)


class Behaviour(Enum):
    """Behaviour of a fake target on a request."""

    ANSWER = "answers at once"
    HOLD = "reads it and says nothing"
    EVENT = "answers with one event and says no more"
    EVENTS = "answers with a whole stream"
    EVENT_AND_END = "answers with one event, and ends the stream when it may proceed"
    ERROR = "answers 500"
    ERROR_AND_END = "answers 500, and ends with its socket and all connections"
    CUT = "closes the connection without an answer"
    GARBLE = "sends bytes that are no answer"
    END = "ends, with its socket and all connections"
    REFUSE = "promises not to run it, and is slow to finish saying so"


class FakeTarget:
    """A target whose behaviour a test controls.

    Attributes
    ----------
    arrived : list of bytes
        First line of each request that was read.
    heads : list of bytes
        Head of each request that was read.
    open : int
        Number of open connections.
    opened : int
        Number of connections opened so far.
    proceed : asyncio.Event
        Set to let `REFUSE` and `EVENT_AND_END` proceed.
    delay_s : float
        Seconds before an answer.
    advertised : str
        Address under which it is registered; its own if empty.
    ended_at : float or None
        Monotonic time in seconds at which it ended under a request.
    """

    def __init__(self, behaviour: Behaviour = Behaviour.ANSWER) -> None:
        self.behaviour = behaviour
        self.arrived: list[bytes] = []
        self.heads: list[bytes] = []
        self.open = 0
        self.opened = 0
        self.proceed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.address = ""
        self.delay_s = 0.0
        self.advertised = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self.ended_at: float | None = None

    async def start(self) -> None:
        """Start to accept connections."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop accepting connections."""
        assert self.server is not None
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        self.opened += 1
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(_length(head))
                self.arrived.append(head.partition(b"\r\n")[0])
                self.heads.append(head)
                await self._answer(writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The entry closed the connection, which tests wait for, or the test ended.
        finally:
            self.open -= 1
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.delay_s)
        if self.behaviour is Behaviour.CUT:
            writer.transport.abort()
        if self.behaviour is Behaviour.GARBLE:
            writer.write(b"no answer\r\n\r\n")
        if self.behaviour is Behaviour.ERROR_AND_END:
            writer.write(f"HTTP/1.1 500 No\r\n{SEALED}Content-Length: 2\r\n\r\nno".encode())
            await asyncio.sleep(0)
        if self.behaviour in (Behaviour.END, Behaviour.ERROR_AND_END):
            self.ended_at = self.ended_at or time.monotonic()
            self.stop()
            for each in self.writers:
                each.transport.abort()
        if self.behaviour is Behaviour.ANSWER:
            writer.write(f"HTTP/1.1 200 OK\r\n{SEALED}Content-Length: 2\r\n\r\nok".encode())
        if self.behaviour is Behaviour.ERROR:
            writer.write(f"HTTP/1.1 500 No\r\n{SEALED}Content-Length: 2\r\n\r\nno".encode())
        if self.behaviour in (Behaviour.EVENT, Behaviour.EVENTS, Behaviour.EVENT_AND_END):
            head = f"HTTP/1.1 200 OK\r\n{SEALED}Transfer-Encoding: chunked\r\n\r\n"
            writer.write(head.encode() + b"11\r\nid: 1\ndata: one\n\n\r\n")
        if self.behaviour is Behaviour.EVENT_AND_END:
            await self.proceed.wait()
        if self.behaviour in (Behaviour.EVENTS, Behaviour.EVENT_AND_END):
            writer.write(b"0\r\n\r\n")
        if self.behaviour is Behaviour.REFUSE:
            head = "HTTP/1.1 503 Full\r\nX-Waxwingglade-Not-Run: 1\r\nContent-Length: 2\r\n\r\n"
            writer.write(head.encode())
            await self.proceed.wait()
            writer.write(b"no")


def _length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


class FakeLedger:
    """A ledger whose decisions a test controls.

    Attributes
    ----------
    begun, ended, settled : list
        Requests received, in order.
    may_begin, may_end : asyncio.Event
        Clear to delay the answers to turns that begin or end.
    chain : tuple of Turn
        Previous turns of each turn that begins.
    failed_at : IncarnationName or None
        Target that failed the last turn of the program.
    taken : list
        Accounts of the requests for quota.
    spent : QuotaSpent or None
        Answer to all requests for quota, if the accounts are over their limits.
    no_program : QuotaSpent or None
        Answer to programs that would begin, if their accounts may not begin any.
    refused : list
        Accounts of the requests that were refused as over the limit.
    undecided : bool
        Whether turns that begin get no decision.
    granter : str
        Member that confirms reservations; empty if no confirmation is needed.
    expired : bool
        Whether reservations expired before their confirmation.
    confirmed : list
        Requests to confirm the reservation of a turn.
    may_confirm, may_settle : asyncio.Event
        Clear to delay confirmations, or the release of reservations before an answer.
    """

    def __init__(self) -> None:
        self.begun: list[BeginTurn] = []
        self.ended: list[EndTurn] = []
        self.settled: list[EndTurn] = []
        self.chain: tuple[Turn, ...] = ()
        self.taken: list[ClientAccountId] = []
        self.spent: QuotaSpent | None = None
        self.no_program: QuotaSpent | None = None
        self.refused: list[ClientAccountId] = []
        self.undecided = False
        self.granter = ""
        self.expired = False
        self.confirmed: list[ConfirmTurn] = []
        self.may_confirm = asyncio.Event()
        self.may_confirm.set()
        self.may_settle = asyncio.Event()
        self.may_settle.set()
        self.failed_at: IncarnationName | None = None
        self.may_begin = asyncio.Event()
        self.may_end = asyncio.Event()
        self.may_begin.set()
        self.may_end.set()

    @property
    def quotas(self) -> "FakeLedger":
        """The limits of client accounts."""
        return self

    async def take(self, message: TakeQuota, timeout_s: float) -> QuotaTaken | QuotaSpent:
        """Grant a request."""
        self.taken.append(message.client)
        return self.spent or QuotaTaken(GRANT)

    async def begin_program(self, client: ClientAccountId) -> QuotaSpent | None:
        """Allow a program to begin, unless `no_program` is set."""
        return self.no_program

    def record_refused(self, client: ClientAccountId) -> None:
        """Record a refusal."""
        self.refused.append(client)

    async def begin(self, message: BeginTurn, timeout_s: float) -> Any:
        """Begin a turn."""
        if self.spent is not None:
            return self.spent
        if self.undecided:
            return Unavailable("no majority")
        self.begun.append(message)
        await self.may_begin.wait()
        grant = GRANT if message.client is not None else None
        return TurnBegun(self.chain, failed_at=self.failed_at, granter=self.granter, grant=grant)

    async def confirm(self, message: ConfirmTurn, timeout_s: float) -> bool:
        """Confirm a reservation."""
        self.confirmed.append(message)
        await self.may_confirm.wait()
        return not self.expired

    async def end(self, message: EndTurn, timeout_s: float) -> bool:
        """Store a turn."""
        self.ended.append(message)
        await self.may_end.wait()
        return True

    def resolve_later(self, message: EndTurn) -> None:
        """Resolve a reservation."""
        self.settled.append(message)

    async def resolve_first(self, message: EndTurn) -> None:
        """Resolve a reservation before an answer."""
        self.settled.append(message)
        await self.may_settle.wait()

    def resolve_refused(self, message: EndTurn) -> list[asyncio.Task[bool]]:
        """Resolve what may be reserved."""
        self.settled.append(message)
        return []

    async def wait_until_recorded(self, notifying: list[asyncio.Task[bool]]) -> bool:
        """Return at once that all replicas recorded it."""
        return True

    async def finish(self, timeout_s: float) -> None:
        """Return at once, since all reservations are resolved."""


class EntryUnderTest:
    """An entry that serves callers, with the targets and routes of a test.

    Parameters
    ----------
    fakes : FakeTarget
        The targets of its only service.
    accounts : tuple of ClientAccount or None
        Client accounts; if given, callers need a key of one.
    keys : KeyAgeLimits
        Limits on the age of the view by which keys are checked.
    fields : dict
        Fields of all routes.
    """

    def __init__(
        self,
        *fakes: FakeTarget,
        accounts: tuple[ClientAccount, ...] | None = None,
        keys: KeyAgeLimits = KeyAgeLimits(),
        **fields: Any,
    ) -> None:
        self.fakes = fakes
        self.accounts = accounts
        self.fields = fields
        self.ledger = FakeLedger()
        settings = IngressSettings("vm", ZoneId("zone-a"), "127.0.0.1:0", "", keys=keys)
        # Metrics can be registered only once per process.
        with mock.patch("waxwingglade.ingress.entry.IngressMetrics"):
            self.ingress = Ingress(settings, cast(Store, mock.Mock()), KEYS, DIALECT)
        self.ingress.ledger = cast(LedgerClient, self.ledger)
        self.ingress.follower.quorum_at = float("inf")
        self.ingress.quorum_monitor.check()
        self.address = ""

    async def start(self) -> None:
        """Start to serve callers."""
        for fake in self.fakes:
            if not fake.address:
                await fake.start()
        self.ingress.callers = self.ingress._listen(self.ingress, "127.0.0.1:0")
        (listening,) = self.ingress.callers._sockets.values()
        self.address = f"127.0.0.1:{listening.getsockname()[1]}"
        self.ingress.cached_view.merge(
            View(
                configuration=configuration(*self._routes(), accounts=self.accounts),
                targets=targets(*self._targets()),
            ),
            time.monotonic(),
            time.monotonic(),
        )

    async def stop(self) -> None:
        """Stop the entry, its targets and all tasks."""
        self.ledger.may_begin.set()
        self.ledger.may_end.set()
        self.ledger.may_confirm.set()
        self.ledger.may_settle.set()
        for fake in self.fakes:
            fake.proceed.set()
            fake.stop()
        assert self.ingress.callers is not None
        self.ingress.callers.stop()
        await self.ingress.callers.close_all_connections()
        for task in list(self.ingress.running):
            task.cancel()
        await asyncio.gather(*self.ingress.running, return_exceptions=True)
        self.ingress.pool.close()
        self.ingress.links.close()
        self.ingress.context.term()

    def _routes(self) -> list[Route]:
        fields = {"max_attempts": 2, "target_latency_s": 0.2, **self.fields}
        return [
            route(PLAIN, HOST, **fields),
            route(ONCE, HOST, kind=CallKind.ONCE, **fields),
            route(
                TURNS,
                HOST,
                kind=CallKind.STREAM,
                shares=(Share(ServiceName("notes"), 1.0),),
                keeps_turns=True,
                retention_s=60.0,
                **fields,
            ),
        ]

    def _targets(self) -> list[Target]:
        return [target(fake.advertised or fake.address) for fake in self.fakes]

    async def call(self, path: str, request: str, *headers: tuple[str, str]) -> tuple[int, float]:
        """Send a request and read the complete answer; return its status and the seconds taken."""
        began_at = time.monotonic()
        connection = await self.send(path, request, *headers)
        try:
            head = await connection.read_head(lambda _: True)
            await connection.read_body(1_000)
        finally:
            connection.close()
        return head.status, time.monotonic() - began_at

    async def send_half(self, path: str) -> socket.socket:
        """Send a request without its last two bytes, ``dy``, and wait until the entry reads it."""
        caller = socket.create_connection(("127.0.0.1", int(self.address.rpartition(":")[2])))
        head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Waxwingglade-Request-Id: r\r\n"
        caller.sendall(f"{head}Content-Length: 4\r\n\r\nbo".encode())
        await asyncio.sleep(0.1)
        return caller

    async def send(
        self, path: str, request: str = "r1", *headers: tuple[str, str]
    ) -> Http1Connection:
        """Send a request as a caller; return the connection on which the answer arrives."""
        sent = [
            *headers,
            ("Host", HOST),
            ("X-Waxwingglade-Request-Id", request),
            ("X-Waxwingglade-Program-Id", "p1"),
            ("X-Waxwingglade-Token-Budget", "100"),
            ("X-Waxwingglade-Token-Count", "10,10"),
        ]
        connection = await open_connection(self.address, 5.0)
        connection.send(HttpRequest("POST", path, sent, b"body"))
        return connection


async def until(condition: Any, within_s: float) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    end_at = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > end_at:
            return False
        await asyncio.sleep(0.005)
    return True


__all__ = ["ONCE", "PLAIN", "TURNS", "Behaviour", "EntryUnderTest", "FakeTarget", "until"]
