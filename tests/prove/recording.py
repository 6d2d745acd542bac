"""A caller that records every request and every answer."""

import asyncio
import itertools
from collections.abc import Callable

import msgspec
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.simple_httpclient import (
    HTTPStreamClosedError,
    HTTPTimeoutError,
    SimpleAsyncHTTPClient,
)

from tests.processes import TENANT, TOKEN
from waxwingglade.base import CallId, EntryId, ProgramId, TenantId, monotonic
from waxwingglade.connection.peer_messages import (
    CallerEvent,
    CreateProgram,
    EndProgram,
    FollowCall,
    ReadProgram,
    SubmitCall,
)
from waxwingglade.program import Delta, Reset
from waxwingglade.proof.history import (
    Answer,
    Answered,
    History,
    NoAnswer,
    NoAnswerCause,
    Request,
    Submitted,
    TextReceived,
    TextReset,
)

CONNECT_TIMEOUT_S = 3.0
TIMEOUT_S = 15.0
MAX_CLIENTS = 1000
SSE_PREFIX = b"data: "
SSE_END = b"data: [DONE]"

_event = msgspec.json.Decoder(CallerEvent)


class RecordingCaller:
    """Sends requests to entries, and records the answers.

    Parameters
    ----------
    history : History
        Receives the events.
    urls : dict
        URL of each entry; it may change while requests are open.
    """

    def __init__(self, history: History, urls: dict[EntryId, str]) -> None:
        self.history = history
        self.urls = urls
        self.numbers = itertools.count(1)
        self.attempts: dict[tuple[ProgramId, CallId], str] = {}
        self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)

    async def send(self, entry: EntryId, request: Request, stream: bool = False) -> Answer:
        """Send a request and return its final answer, or a `Broken` for a failed connection."""
        number = next(self.numbers)
        self.history.record(Submitted(monotonic(), number, entry, request))
        answer = await self._send(number, entry, request, stream)
        self.history.record(Answered(monotonic(), number, answer))
        return answer

    def close(self) -> None:
        """Close every connection."""
        self.client.close()

    def _record_attempt(self, request: Request, attempt: str) -> None:
        if isinstance(request, SubmitCall):
            self.attempts[request.program, request.call.call] = attempt

    async def _send(self, number: int, entry: EntryId, request: Request, stream: bool) -> Answer:
        parser = _StreamParser(self.history, number)
        parser.on_attempt = lambda attempt: self._record_attempt(request, attempt)
        http = _http_request(self.urls[entry], request)
        if stream:
            http.headers["Accept"] = "text/event-stream"
            http.streaming_callback = parser.feed
        try:
            response = await self.client.fetch(http, raise_error=False)
        except (HTTPStreamClosedError, HTTPTimeoutError, HTTPError, OSError) as error:
            return parser.answer or _broken(error)
        if stream and parser.answer is not None:
            return parser.answer
        body = response.body or parser.buffer
        try:
            return _event.decode(body)
        except msgspec.DecodeError as error:
            excerpt = body[:200].decode("utf-8", "replace")
            return NoAnswer(NoAnswerCause.CUT, f"{response.code} {excerpt!r}: {error}")


class _StreamParser:
    """Parses a stream of server-sent events while it arrives."""

    def __init__(self, history: History, number: int) -> None:
        self.history = history
        self.number = number
        self.buffer = b""
        self.answer: Answer | None = None
        self.on_attempt: Callable[[str], None] = lambda _: None

    def feed(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            if line.startswith(SSE_PREFIX) and line != SSE_END:
                self._handle(_event.decode(line.removeprefix(SSE_PREFIX)))

    def _handle(self, event) -> None:
        now = monotonic()
        if isinstance(event, Delta):
            received = TextReceived(now, self.number, event.offset, event.text, event.attempt)
            self.history.record(received)
            self.on_attempt(event.attempt)
        elif isinstance(event, Reset):
            self.history.record(TextReset(now, self.number, event.attempt))
        else:
            self.answer = event


def _broken(error: Exception) -> NoAnswer:
    text = f"{type(error).__name__}: {error}"
    if isinstance(error, ConnectionRefusedError):
        return NoAnswer(NoAnswerCause.REFUSED, text)
    if isinstance(error, HTTPTimeoutError | asyncio.TimeoutError):
        return NoAnswer(NoAnswerCause.TIMEOUT, text)
    return NoAnswer(NoAnswerCause.CUT, text)


def _http_request(url: str, request: Request) -> HTTPRequest:
    method, path, body = _request_parts(request)
    return HTTPRequest(
        url + path,
        method=method,
        headers={"Authorization": f"Bearer {TOKEN}"},
        body=None if body is None else msgspec.json.encode(body),
        connect_timeout=CONNECT_TIMEOUT_S,
        request_timeout=TIMEOUT_S,
    )


def _request_parts(request: Request):
    if isinstance(request, CreateProgram):
        body = {"program_class": request.program_class, "request": request.request}
        if request.budget is not None:
            body["budget"] = request.budget
        return "POST", "/v1/programs", body
    path = f"/v1/programs/{request.program}"
    if isinstance(request, SubmitCall):
        return "POST", f"{path}/calls", request.call
    if isinstance(request, FollowCall):
        query = f"offset={request.offset}&attempt={request.attempt}"
        return "GET", f"{path}/calls/{request.call}/events?{query}", None
    if isinstance(request, EndProgram):
        return "DELETE", path, None
    assert isinstance(request, ReadProgram)
    return "GET", path, None


TENANT_ID = TenantId(TENANT)
