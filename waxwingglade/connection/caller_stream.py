"""Answers to requests of callers over HTTP, as one body or as a stream of events."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import msgspec
from loguru import logger

from waxwingglade.base import ErrorCode, Failure, Verdict
from waxwingglade.base.tasks import run_detached
from waxwingglade.connection.http_api import ApiHandler
from waxwingglade.connection.peer_messages import CallerEvent, CallerRequest
from waxwingglade.program import Delta, Reset

Serve = Callable[[CallerRequest], AsyncIterator[CallerEvent]]

EVENT_STREAM = "text/event-stream"
RETRY_AFTER_S = 1.0
ANSWER_INTERRUPTED = Failure(
    Verdict.MAY_HAVE_RUN,
    ErrorCode.UNAVAILABLE,
    "the answer broke off; repeat with the same call id to get the rest",
    RETRY_AFTER_S,
)


async def until_outcome(events: AsyncIterator[CallerEvent]) -> AsyncIterator[CallerEvent]:
    """Yield events up to the outcome; if they end without one, yield a failure instead."""
    try:
        async with contextlib.aclosing(events):
            async for event in events:
                yield event
                if not isinstance(event, Delta | Reset):
                    return
    except Exception:
        logger.exception("events of an answer ended with an error")
    yield ANSWER_INTERRUPTED


async def outcome_of(events: AsyncIterator[CallerEvent]) -> CallerEvent:
    """Return the outcome, which ends the events."""
    async with contextlib.aclosing(until_outcome(events)) as relayed:
        async for event in relayed:
            if not isinstance(event, Delta | Reset):
                return event
    return ANSWER_INTERRUPTED


async def run_to_completion(events: AsyncIterator[CallerEvent]) -> AsyncIterator[CallerEvent]:
    """Yield the outcome of a request that is completed even if its caller disconnects."""
    yield await asyncio.shield(run_detached(outcome_of(events)))


async def answer(handler: ApiHandler, events: AsyncIterator[CallerEvent]) -> None:
    """Answer with the outcome, or with a stream of all events if the caller accepts one."""
    if EVENT_STREAM in handler.request.headers.get("Accept", ""):
        await _answer_stream(handler, events)
        return
    outcome = await outcome_of(events)
    if isinstance(outcome, Failure):
        handler.fail(outcome)
        return
    handler.finish_json(outcome)


async def _answer_stream(handler: ApiHandler, events: AsyncIterator[CallerEvent]) -> None:
    started = False
    async with contextlib.aclosing(until_outcome(events)) as relayed:
        async for event in relayed:
            if not started and isinstance(event, Failure):
                handler.fail(event)
                return
            if not started:
                start_stream(handler)
                started = True
            if isinstance(event, Failure):
                handler.api.on_failure(event)
            await write_event(handler, msgspec.json.encode(event))


def start_stream(handler: ApiHandler) -> None:
    """Set the headers of an event stream."""
    handler.set_header("Content-Type", EVENT_STREAM)
    handler.set_header("Cache-Control", "no-store")


async def write_event(handler: ApiHandler, data: bytes) -> None:
    """Send one event without buffering."""
    handler.write(b"data: " + data + b"\n\n")
    await handler.flush()
