"""Measure the overhead of an entry: the same model call directly to an engine and through it."""

import contextlib
import time
from collections.abc import Awaitable

import msgspec

from waxwingglade.connection.api_client import ApiClient
from waxwingglade.connection.engine import stream_completion
from waxwingglade.connection.engine_events import EngineDone, EngineRequest
from waxwingglade.connection.http import HttpClient
from waxwingglade.demo.embedded import MODEL, Embedded, EmbeddedSettings, embedded
from waxwingglade.demo.report import percentile
from waxwingglade.demo.session import Measurement, Session
from waxwingglade.program import Message, MessageRole
from waxwingglade.standins import EngineSpeed

TENANT = "bench"
TEXT = "How long does this take? tokens=20"
TIMEOUT_S = 30.0
MILLISECONDS = 1000.0


class Spread(msgspec.Struct):
    """Median and 99th percentile, in milliseconds."""

    p50_ms: float
    p99_ms: float


class Overhead(msgspec.Struct):
    """Time of a call directly to the engine and through an entry, and their ratio."""

    calls: int
    direct: Spread
    through: Spread
    ratio_p50: float
    ratio_p99: float


async def measure_overhead(calls: int) -> Overhead:
    """Compare the times of alternating, sequential calls to the engine and through the entry.

    Entry, engine and caller share one process and therefore one core, so the overhead includes the
    work of all of them.
    """
    system = EmbeddedSettings(tenants=(TENANT,), engines=1, speed=EngineSpeed(step_s=0.001))
    http = HttpClient()
    try:
        async with embedded(system) as running:
            direct, through = await _measure(running, http, calls)
    finally:
        await http.close()
    return Overhead(
        calls,
        direct,
        through,
        through.p50_ms / direct.p50_ms,
        through.p99_ms / direct.p99_ms,
    )


async def _measure(running: Embedded, http: HttpClient, calls: int) -> tuple[Spread, Spread]:
    client = ApiClient(http, running.urls[0], running.tokens[TENANT])
    direct: list[float] = []
    through: list[float] = []
    for number in range(calls):
        direct.append(await _timed(_call_engine(running, http, number)))
        view = await client.json("POST", "/v1/programs", {"program_class": "bench"})
        session = Session(client, view["program"], Measurement("bench"))
        through.append(await _timed(session.say(TEXT)))
        await client.json("DELETE", f"/v1/programs/{session.program}")
    return _spread(direct), _spread(through)


async def _timed(call: Awaitable[object]) -> float:
    """Return the milliseconds that a call takes."""
    started = time.perf_counter()
    await call
    return (time.perf_counter() - started) * MILLISECONDS


async def _call_engine(running: Embedded, http: HttpClient, number: int) -> None:
    target = running.target_settings()[0]
    request = EngineRequest(
        request_id=f"direct-{number}",
        program=f"direct-{number}",
        model=MODEL,
        messages=[Message(MessageRole.USER, TEXT)],
        max_tokens=256,
        priority=0,
        resume_text="",
    )
    async with contextlib.aclosing(stream_completion(http, target, request, TIMEOUT_S)) as events:
        async for event in events:
            if isinstance(event, EngineDone):
                return
    raise RuntimeError("the engine's answer ended before it was complete")


def _spread(times: list[float]) -> Spread:
    ordered = sorted(times)
    return Spread(percentile(ordered, 0.50) or 0.0, percentile(ordered, 0.99) or 0.0)
