"""Test data for the adapters: settings, requests and a server with scripted answers."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from typing import TypeVar

import msgspec
from hypothesis import settings

from waxwingglade.base import ModelName, ProgramId, monotonic
from waxwingglade.connection import EngineDelta, EngineEvent, EngineRequest
from waxwingglade.program.messages import Message, MessageRole
from waxwingglade.settings import TargetKind, TargetSettings, ToolSettings

T = TypeVar("T")

PROGRAM = ProgramId("zone-a.entry-1.abc.1.def")
MODEL = ModelName("small")
BOOKING = ToolSettings("booking", "/booking", answers_by_key=True)
# The same examples in each run, without a time limit for an example.
FIXED = settings(derandomize=True, deadline=None)
TEST_TIMEOUT_S = 20.0
MEASURE_EVERY_S = 0.005
OK_STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"


def engine_target(url: str) -> TargetSettings:
    """Return the settings of an engine."""
    return TargetSettings("engine-1", TargetKind.MODEL, "zone-a", url, models=[MODEL])


def service_target(url: str) -> TargetSettings:
    """Return the settings of a service that takes bookings."""
    return TargetSettings("service-1", TargetKind.SERVICE, "zone-a", url, tools=[BOOKING])


def conversation(text: str = "book me a slot tokens=6") -> list[Message]:
    """Return a conversation of one message."""
    return [Message(MessageRole.USER, text)]


def engine_request(
    request_id: str = "request-1",
    messages: list[Message] | None = None,
    max_tokens: int = 100,
    resume_text: str = "",
) -> EngineRequest:
    """Return a request for a short answer."""
    return EngineRequest(
        request_id,
        PROGRAM,
        MODEL,
        messages or conversation(),
        max_tokens,
        resume_text=resume_text,
    )


def answer_bytes(status: str, body: bytes, headers: str = "") -> bytes:
    """Return an HTTP answer that leaves the connection open."""
    head = f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def event_bytes(content: str | None = None, finish_reason: str | None = None) -> bytes:
    """Return one server-sent event of a stream."""
    choice = {"delta": {"content": content}, "finish_reason": finish_reason}
    return b"data: " + msgspec.json.encode({"choices": [choice]}) + b"\n\n"


async def with_timeout(awaitable: Awaitable[T]) -> T:
    """Return the result of `awaitable`; fails the test after `TEST_TIMEOUT_S`."""
    return await asyncio.wait_for(awaitable, TEST_TIMEOUT_S)


async def until(condition: Callable[[], object]) -> None:
    """Wait until `condition` holds."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)


async def collect(events: AsyncIterator[EngineEvent]) -> tuple[str, EngineEvent]:
    """Return text and last event of a stream; check that all other events are deltas."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        found = [each async for each in events]
    assert not any(not isinstance(each, EngineDelta) for each in found[:-1]), found
    return "".join(each.text for each in found[:-1]), found[-1]


@asynccontextmanager
async def longest_delay() -> AsyncIterator[Callable[[], float]]:
    """Measure for how long other tasks wait for the event loop.

    Yields
    ------
    callable
        Returns the longest delay so far, in seconds.
    """
    longest = 0.0

    async def measure() -> None:
        nonlocal longest
        while True:
            since = monotonic()
            await asyncio.sleep(MEASURE_EVERY_S)
            longest = max(longest, monotonic() - since - MEASURE_EVERY_S)

    measuring = asyncio.create_task(measure())
    await asyncio.sleep(0)
    try:
        yield lambda: longest
        await asyncio.sleep(2 * MEASURE_EVERY_S)
    finally:
        measuring.cancel()


class ScriptedServer:
    """Answers each request with the next bytes of a script.

    An empty answer closes the connection before the first byte.  Unless `close` is set, other
    answers leave the connection open.  `requests` is the number of received requests, `paths` lists
    their paths, `request_received` is set by each request, and `closed` is set when a caller
    disconnects.
    """

    def __init__(self, *script: bytes, close: bool = True) -> None:
        self.script = list(script)
        self.close = close
        self.requests = 0
        self.paths: list[str] = []
        self.closed = asyncio.Event()
        self.request_received = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.tasks: dict[asyncio.Task, asyncio.StreamWriter] = {}
        self.url = ""

    async def __aenter__(self) -> "ScriptedServer":
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.url = f"http://127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_error: object) -> None:
        self.server.close()
        for writer in self.tasks.values():
            writer.transport.abort()
        await asyncio.gather(*self.tasks)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.tasks[asyncio.current_task()] = writer
        try:
            while await self._answer(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(_content_length(head))
        self.requests += 1
        self.paths.append(head.split(b" ", 2)[1].decode())
        self.request_received.set()
        answer = self.script.pop(0) if self.script else b""
        writer.write(answer)
        await writer.drain()
        return bool(answer) and not self.close


class DrippingServer:
    """Answers each connection with a start and then repeats bytes until it is closed.

    Parameters
    ----------
    start, repeated : bytes
        Bytes that are sent once, and again and again.
    pause_s : float
        Seconds between repetitions.
    """

    def __init__(self, start: bytes, repeated: bytes, pause_s: float) -> None:
        self.start = start
        self.repeated = repeated
        self.pause_s = pause_s
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()
        self.url = ""

    async def __aenter__(self) -> "DrippingServer":
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.url = f"http://127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_error: object) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.tasks.add(asyncio.current_task())
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.start)
            while True:
                writer.write(self.repeated)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        writer.transport.abort()


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0
