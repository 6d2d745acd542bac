"""Stand-in for a server that registers itself in the metadata store: an engine or a plain service.

It implements HTTP itself, so that its answers can be late, duplicated, truncated or missing.
"""

import asyncio
import contextlib
import hashlib
import secrets
import time
from collections.abc import Callable
from enum import Enum

import msgspec

from waxwingglade.standins.metadata_store import MetadataStore

PREFIX = "x-waxwingglade-"
HEALTH_PATH = "/health"


class ServerFault(Enum):
    """Fault of a server in its next requests."""

    NONE = "none"
    REFUSED = "refuses as not run"
    CUT = "runs, then closes without an answer"
    TRUNCATED = "closes in the middle of its answer"
    DUPLICATED = "answers twice"
    PLAIN_503 = "answers 503 without promising anything"


class Crash(Enum):
    """What a server still does when a request ends it."""

    RESET = "ends all connections at once"
    PARTIAL = "sends a part of the answer"
    GARBLED = "sends bytes that are no answer"
    ERROR = "answers 500"
    UNFRAMED = "sends an answer without a length, which the end of the connection completes"
    LEAVING = "reports that it leaves, and runs the request for a while"
    SILENT = "sends nothing any more, and leaves its connections open"


LEAVING_S = 0.7
"""Seconds for which a server that reported that it leaves still runs the request that ends it."""

LAST_BYTES_S = 0.02
"""Seconds for which a server that ends still sends its last bytes."""

FOREVER_S = 3600.0


class Run(msgspec.Struct, frozen=True):
    """One request that a server ran, with its start in monotonic seconds."""

    request: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    began_at: float = 0.0


class RegisteredServer:
    """One instance of a server.

    Parameters
    ----------
    store : MetadataStore
        Store in which it registers itself.
    service : str
        Name of its service.
    events : int
        Number of events of a stream; 0 for a plain service.
    event_s : float
        Seconds between events, or until a plain answer.

    Attributes
    ----------
    advertised : str
        Address that it registers instead of its own, unless it is empty.
    runs : list of Run
        Requests that it ran.
    fault : ServerFault
        Current fault.
    fatal : bytes
        Requests whose bodies contain these bytes end the process of the server; empty for none.
    fatal_after_s : float
        Seconds after which such a request ends it.
    crash_kind : Crash
        What it still does then.
    crashed : callable
        Called when the process has ended so.
    crashed_at : float or None
        When it ended, in monotonic seconds.
    crashed_by : str
        Id of the request that ended it.
    paused_until : float
        When it goes on after a pause, in monotonic seconds.
    stopped : asyncio.Event
        Set once it was stopped.
    stretch : callable or None
        Returns how many times longer than usual its work takes at present, which it reports; None
        if it always takes as long and nothing is reported.
    """

    def __init__(
        self, store: MetadataStore, service: str, events: int = 0, event_s: float = 0.005
    ) -> None:
        self.store = store
        self.service = service
        self.events = events
        self.event_s = event_s
        self.name = "i-" + secrets.token_hex(5)
        self.runs: list[Run] = []
        self.fault = ServerFault.NONE
        self.server: asyncio.Server | None = None
        self.address = ""
        self.advertised = ""
        self.active = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.fatal = b""
        self.fatal_after_s = 0.0
        self.crash_kind = Crash.RESET
        self.crashed: Callable[[], None] = lambda: None
        self.crashed_at: float | None = None
        self.crashed_by = ""
        self.paused_until = 0.0
        self.stopped = asyncio.Event()
        self.stretch: Callable[[], float] | None = None

    async def start(self, host: str = "127.0.0.1") -> None:
        """Start to serve, and register."""
        await self.listen(host)
        self.register("ready")

    async def listen(self, host: str = "127.0.0.1") -> None:
        """Start to serve."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def register(self, state: str) -> None:
        """Write this server's item in the store."""
        self.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.advertised or self.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": 8,
                "state": state,
                "cold_left_ms": 0,
                "seq": self.store.revision,
            },
        )

    def deregister(self) -> None:
        """Remove this server's item from the store; it continues to serve."""
        self.store.remove(f"servers/{self.name}")

    async def stop(self) -> None:
        """Deregister, and stop without finishing requests."""
        self.stopped.set()
        self.deregister()
        assert self.server is not None
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def crash(self, request: str) -> None:
        """End like a killed process: its port refuses, and its item stays in the store.

        A silent one ends like a machine without power: its connections stay open.
        """
        if self.crashed_at is not None:
            return
        self.crashed_by = request
        self.crashed_at = time.monotonic()
        assert self.server is not None
        self.server.close()
        if self.crash_kind is Crash.SILENT:
            self.pause(FOREVER_S)
        else:
            for writer in list(self.writers):
                writer.transport.abort()
        self.crashed()

    def pause(self, seconds: float) -> None:
        """Stand still like a stopped process: connections stay open, and nothing is sent."""
        self.paused_until = time.monotonic() + seconds

    async def _until_resumed(self) -> None:
        while (left_s := self.paused_until - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.stopped.wait(), left_s)
                raise ConnectionAbortedError("the server was stopped while it was paused")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._serve_one(reader, writer):
                pass
        self.writers.discard(writer)
        writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        method, path, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        await self._until_resumed()
        request = headers.get(PREFIX + "request-id", "")
        if path == HEALTH_PATH:
            writer.write(self._plain(200, request, b"healthy\n"))
            return True
        expected = headers.get(PREFIX + "expect-instance")
        if expected not in (None, self.name):
            writer.write(self._plain(421, request, b"other\n", not_run=True))
            return True
        if self.fault is ServerFault.REFUSED:
            writer.write(self._plain(503, request, b"full\n", not_run=True))
            return True
        if self.fault is ServerFault.PLAIN_503:
            writer.write(self._plain(503, request, b"broken\n", not_run=False))
            return True
        self.runs.append(Run(request, method, path, headers, body, time.monotonic()))
        self.active += 1
        try:
            if self.fatal and self.fatal in body:
                await asyncio.sleep(self.fatal_after_s)
                await self._crash_under(writer, request)
                return False
            return await self._run(writer, request, body)
        finally:
            self.active -= 1

    async def _crash_under(self, writer: asyncio.StreamWriter, request: str) -> None:
        """End under a request, after the last bytes of its kind of crash."""
        seal = "X-Waxwingglade-Server-Seal: seal\r\n"
        head = self._head(200, request) + seal
        last_bytes = {
            Crash.PARTIAL: f"{head}Content-Length: 5000\r\n\r\npart".encode(),
            Crash.GARBLED: b"\x00\x01 no answer \r\n\r\n",
            Crash.ERROR: self._plain(500, request, b"fatal\n"),
            Crash.UNFRAMED: f"{head}\r\nid: 1\ndata: x\n\n".encode(),
        }.get(self.crash_kind)
        if last_bytes is not None:
            writer.write(last_bytes)
            await asyncio.sleep(LAST_BYTES_S)
        if self.crash_kind is Crash.LEAVING:
            self.register("draining")
            await asyncio.sleep(LEAVING_S)
        self.crash(request)
        await self._until_resumed()

    async def _run(self, writer: asyncio.StreamWriter, request: str, body: bytes) -> bool:
        if self.fault is ServerFault.CUT:
            return False
        if self.events:
            return await self._stream(writer, request, body)
        await self._work()
        await self._until_resumed()
        answer = self._plain(200, request, answer_to(body))
        if self.fault is ServerFault.TRUNCATED:
            writer.write(answer[:-3])
            return False
        writer.write(answer)
        if self.fault is ServerFault.DUPLICATED:
            writer.write(answer)
        return True

    async def _work(self) -> None:
        await asyncio.sleep(self.event_s * (self.stretch() if self.stretch else 1.0))

    async def _stream(self, writer: asyncio.StreamWriter, request: str, body: bytes) -> bool:
        writer.write(self._stream_head(request))
        for number in range(1, self.events + 1):
            await self._work()
            await self._until_resumed()
            event = b"id: %d\ndata: %s\n\n" % (number, event_data(body, number))
            if self.fault is ServerFault.TRUNCATED and number == self.events:
                event = event[: len(event) // 2]
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        if self.fault is ServerFault.TRUNCATED:
            return False
        writer.write(b"0\r\n\r\n")
        return True

    def _answer_head(self, request: str, body: bytes) -> bytes:
        """Return the head of the answer to a request."""
        if self.events:
            return self._stream_head(request)
        head, end, _ = self._plain(200, request, answer_to(body)).partition(b"\r\n\r\n")
        return head + end

    def _stream_head(self, request: str) -> bytes:
        head = self._head(200, request) + "X-Waxwingglade-Server-Seal: seal\r\n"
        head += "Content-Type: text/event-stream\r\n"
        return (head + "Transfer-Encoding: chunked\r\n\r\n").encode()

    def _head(self, status: int, request: str) -> str:
        stretch = f",{100 * self.stretch():.0f}" if self.stretch else ""
        return (
            f"HTTP/1.1 {status} Status\r\n"
            f"X-Waxwingglade-Request-Id: {request}\r\n"
            f"X-Waxwingglade-Instance-Id: {self.name}\r\n"
            f"X-Waxwingglade-Server-Load: {self.active},0,8{stretch}\r\n"
        )

    def _plain(self, status: int, request: str, body: bytes, not_run: bool = False) -> bytes:
        head = self._head(status, request)
        head += (
            "X-Waxwingglade-Not-Run: 1\r\n" if not_run else "X-Waxwingglade-Server-Seal: seal\r\n"
        )
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def answer_to(body: bytes) -> bytes:
    """Return the body of a plain answer, which depends on the request's body."""
    return b"answer to " + hashlib.sha256(body).hexdigest().encode() + b"\n"


def event_data(body: bytes, number: int) -> bytes:
    """Return the data of an event, which depends on the complete request body."""
    return b"%d-%s" % (number, hashlib.sha256(body).hexdigest()[:12].encode())


__all__ = ["Crash", "RegisteredServer", "Run", "ServerFault", "answer_to", "event_data"]
