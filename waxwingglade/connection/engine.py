"""Streamed completions on a model engine.

Every function takes the shared HTTP client and the settings of a target.  Only this adapter (the
modules `engine`, `engine_control` and `engine_wire`) depends on the kind of engine.
"""

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus

import msgspec

from waxwingglade.base import ErrorCode, Failure, FormatError, Verdict, monotonic
from waxwingglade.connection.engine_control import cancel
from waxwingglade.connection.engine_events import (
    EngineDelta,
    EngineDone,
    EngineEvent,
    EngineFailed,
    EngineRequest,
    StreamTimeouts,
)
from waxwingglade.connection.engine_sse import EventDecoder
from waxwingglade.connection.engine_wire import (
    WireChunk,
    WireUsage,
    completion_body,
    failure_of_answer,
    failure_of_error,
)
from waxwingglade.connection.http import Exchange, HttpAnswer, HttpClient, HttpRequest
from waxwingglade.settings import TargetSettings

COMPLETIONS_PATH = "/v1/chat/completions"
STREAM_END = "[DONE]"
ABORT_REASONS = frozenset({None, "abort", "error"})


async def stream_completion(
    client: HttpClient,
    target: TargetSettings,
    request: EngineRequest,
    timeout_s: float,
    timeouts: StreamTimeouts = StreamTimeouts(),
) -> AsyncIterator[EngineEvent]:
    """Generate an answer.

    Yields `EngineDelta` events and then exactly one `EngineDone` or `EngineFailed`.  Closing the
    iterator early closes the connection and cancels the request on the engine, also while no bytes
    arrive.  Both happen before `EngineFailed` is yielded.

    Parameters
    ----------
    client : HttpClient
        The shared HTTP client.
    target : TargetSettings
        The engine.
    request : EngineRequest
        The completion to generate.
    timeout_s : float
        Timeout of the complete answer, in seconds.
    timeouts : StreamTimeouts
        Timeouts of the first and of further pieces of text.
    """
    stream = _AnswerStream(Exchange(client, _http_request(target, request, timeout_s)), timeouts)
    try:
        while not stream.ended:
            events = await stream.next_events()
            if isinstance(stream.ended, EngineFailed):
                _cancel_request(client, target, request, stream)
            for event in events:
                yield event
    finally:
        if not stream.ended:
            _cancel_request(client, target, request, stream)


def _http_request(target: TargetSettings, request: EngineRequest, timeout_s: float) -> HttpRequest:
    return HttpRequest(
        "POST",
        target.url + COMPLETIONS_PATH,
        headers={"x-request-id": request.request_id, "x-program-id": request.program},
        body=completion_body(request),
        timeout_s=timeout_s,
    )


def _cancel_request(
    client: HttpClient, target: TargetSettings, request: EngineRequest, stream: "_AnswerStream"
) -> None:
    """Close the connection, and cancel the request on the engine if it may still run."""
    stream.exchange.abort()
    if stream.may_run():
        client.track(asyncio.ensure_future(cancel(client, target, request.request_id)))


class _AnswerStream:
    """The parsed part of one answer; `ended` is its last event, or None before that."""

    def __init__(self, exchange: Exchange, timeouts: StreamTimeouts) -> None:
        self.exchange = exchange
        self.timeouts = timeouts
        self.end_at = monotonic() + exchange.request.timeout_s
        self.last_text_at = monotonic()
        self.decoder = EventDecoder()
        self.usage = WireUsage()
        self.delivered_tokens = 0
        self.finish_reason: str | None = None
        self.produced_text_len = 0
        self.ended: EngineDone | EngineFailed | None = None

    async def next_events(self) -> list[EngineEvent]:
        """Wait for a piece of the answer and return the events that it completes."""
        try:
            piece = await self.exchange.next_piece(self._piece_timeout_s())
        except TimeoutError:
            return [self._fail(self._stream_failure(ErrorCode.TIMEOUT, "engine fell silent"))]
        if self.exchange.status not in (0, HTTPStatus.OK):
            return [self._fail(await self._error_failure(piece))]
        if not piece:
            return [self._fail(self._truncation_failure())]
        try:
            messages = self.decoder.feed(piece)
        except FormatError as error:
            return [self._fail(self._format_failure(error))]
        return self._process_events(messages)

    def may_run(self) -> bool:
        """Return whether the engine may have run the request or still run it."""
        if isinstance(self.ended, EngineFailed):
            return self.ended.failure.verdict is Verdict.MAY_HAVE_RUN
        return self.exchange.verdict() is Verdict.MAY_HAVE_RUN

    def _piece_timeout_s(self) -> float:
        """Return the maximum seconds to wait for the next piece."""
        first = not self.produced_text_len
        timeout_s = self.timeouts.first_token_s if first else self.timeouts.between_tokens_s
        return max(0.0, min(self.last_text_at + timeout_s, self.end_at) - monotonic())

    def _process_events(self, messages: list[str]) -> list[EngineEvent]:
        """Return the events of server-sent messages, up to the last event of the answer."""
        events: list[EngineEvent] = []
        for message in messages:
            event = self._end() if message == STREAM_END else self._process_chunk(message)
            if event is not None:
                events.append(event)
            if self.ended:
                break
        return events

    def _process_chunk(self, message: str) -> EngineEvent | None:
        try:
            chunk = msgspec.json.decode(message, type=WireChunk)
        except msgspec.DecodeError as error:
            return self._fail(self._format_failure(error))
        if chunk.error is not None:
            return self._fail(failure_of_error(chunk.error, HTTPStatus.OK))
        self.usage = chunk.usage or self.usage
        if not chunk.choices:
            return None
        self.finish_reason = chunk.choices[0].finish_reason or self.finish_reason
        text = chunk.choices[0].delta.content
        return self._delta(text, chunk.usage is not None) if text else None

    def _delta(self, text: str, counted: bool) -> EngineDelta:
        """Return new text; without a token count, each delta counts as one token."""
        self.produced_text_len += len(text)
        self.last_text_at = monotonic()
        total = self.usage.completion_tokens if counted else self.delivered_tokens + 1
        tokens = max(0, total - self.delivered_tokens)
        self.delivered_tokens = total
        return EngineDelta(text, tokens)

    def _end(self) -> EngineEvent:
        if self.finish_reason in ABORT_REASONS:
            reason = f"engine broke off: {self.finish_reason}"
            return self._fail(self._stream_failure(ErrorCode.TARGET_FAILED, reason))
        self.ended = EngineDone(self.finish_reason, self.usage.usage())
        return self.ended

    def _fail(self, failure: Failure) -> EngineFailed:
        # Text proves that the engine ran the request, whatever it reports afterwards.
        if self.produced_text_len:
            failure = msgspec.structs.replace(failure, verdict=Verdict.MAY_HAVE_RUN)
        self.ended = EngineFailed(failure, self.produced_text_len)
        return self.ended

    def _stream_failure(self, code: ErrorCode, message: str) -> Failure:
        return Failure(self.exchange.verdict(), code, message)

    def _format_failure(self, error: Exception) -> Failure:
        return self._stream_failure(ErrorCode.TARGET_FAILED, f"engine sent garbage: {error}")

    def _truncation_failure(self) -> Failure:
        failure = self.exchange.failure()
        return failure or self._stream_failure(ErrorCode.UNAVAILABLE, "engine cut the stream")

    async def _error_failure(self, piece: bytes) -> Failure:
        body = await self.exchange.error_body(piece)
        return failure_of_answer(HttpAnswer(self.exchange.status, self.exchange.headers, body))


__all__ = ["stream_completion"]
