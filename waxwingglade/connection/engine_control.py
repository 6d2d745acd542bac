"""Control of a model engine: cancellation, cache, load and orders."""

from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample

from waxwingglade.base import Err, ErrorCode, Ok, Outcome, ProgramId, monotonic, ran
from waxwingglade.connection.engine_events import (
    CacheEvent,
    CacheEvents,
    EngineLoad,
    EngineOrder,
    EngineState,
)
from waxwingglade.connection.engine_wire import failure_of_answer
from waxwingglade.connection.http import HttpAnswer, HttpClient, HttpRequest, send
from waxwingglade.settings import TargetSettings

T = TypeVar("T")

CONTROL_TIMEOUT_S = 5.0
CACHE_TRANSFER_TIMEOUT_S = 60.0
RUNNING_METRIC = "vllm:num_requests_running"
WAITING_METRIC = "vllm:num_requests_waiting"
KV_METRICS = ("vllm:kv_cache_usage_perc", "vllm:gpu_cache_usage_perc")
LOAD_METRICS = tuple(name.encode() for name in (RUNNING_METRIC, WAITING_METRIC, *KV_METRICS))
MAX_LOAD_BYTES = 65_536
"""Maximum size in bytes of the metrics that state the load; parsing blocks the event loop."""


class HeldPrograms(msgspec.Struct, frozen=True):
    """Programs for which an engine holds cache blocks."""

    programs: list[ProgramId]


class EventPage(msgspec.Struct, frozen=True):
    """Cache events as an engine sends them; `last` is the latest published sequence number."""

    events: list[CacheEvent]
    last: int


async def cancel(client: HttpClient, target: TargetSettings, request_id: str) -> Outcome[None]:
    """Cancel a request; an ended or unknown request is not a failure."""
    return await _post(client, target, "/v1/cancel", {"request_id": request_id})


async def release(client: HttpClient, target: TargetSettings, program: ProgramId) -> Outcome[None]:
    """Release the cache of an ended program on the engine; idempotent."""
    return await _post(client, target, "/v1/cache/release", {"program": program})


async def send_order(
    client: HttpClient,
    target: TargetSettings,
    order: EngineOrder,
    timeout_s: float = CONTROL_TIMEOUT_S,
) -> Outcome[None]:
    """Send an order; an engine that supports fencing rejects an outdated fencing number."""
    return await _post(client, target, "/v1/orders", order, timeout_s)


async def held_programs(client: HttpClient, target: TargetSettings) -> Outcome[list[ProgramId]]:
    """Return the programs for which the engine holds cache."""
    answer = await _get(client, target, "/v1/cache/held")
    return answer.and_then(lambda each: _decode(each, HeldPrograms)).map(lambda held: held.programs)


async def read_state(client: HttpClient, target: TargetSettings) -> Outcome[EngineState]:
    """Return what the engine has loaded, to verify that an order was carried out."""
    answer = await _get(client, target, "/v1/state")
    return answer.and_then(lambda each: _decode(each, EngineState))


async def read_load(client: HttpClient, target: TargetSettings) -> Outcome[EngineLoad]:
    """Return the load that the engine reports."""
    stamp = monotonic()
    answer = await _get(client, target, "/metrics")
    return answer.and_then(lambda each: _parse_load(each, stamp))


async def cache_events(
    client: HttpClient, target: TargetSettings, after: int
) -> Outcome[CacheEvents]:
    """Return the cache events that were published after sequence number `after`."""
    answer = await _get(client, target, f"/v1/cache/events?after={after}")
    page = answer.and_then(lambda each: _decode(each, EventPage))
    return page.map(lambda each: _check_sequence(each, after))


async def export_cache(
    client: HttpClient, target: TargetSettings, program: ProgramId
) -> Outcome[bytes]:
    """Return the KV cache of a program as opaque bytes."""
    answer = await _get(
        client, target, f"/v1/cache/export?program={quote(program)}", CACHE_TRANSFER_TIMEOUT_S
    )
    return answer.map(lambda each: each.body)


async def import_cache(
    client: HttpClient, target: TargetSettings, program: ProgramId, cache: bytes
) -> Outcome[None]:
    """Import the KV cache that another engine exported."""
    request = HttpRequest(
        "POST",
        f"{target.url}/v1/cache/import?program={quote(program)}",
        headers={"Content-Type": "application/octet-stream"},
        body=cache,
        timeout_s=CACHE_TRANSFER_TIMEOUT_S,
    )
    return (await _send(client, request)).map(lambda _: None)


async def _post(
    client: HttpClient,
    target: TargetSettings,
    path: str,
    body: Any,
    timeout_s: float = CONTROL_TIMEOUT_S,
) -> Outcome[None]:
    request = HttpRequest(
        "POST", target.url + path, body=msgspec.json.encode(body), timeout_s=timeout_s
    )
    return (await _send(client, request)).map(lambda _: None)


async def _get(
    client: HttpClient, target: TargetSettings, path: str, timeout_s: float = CONTROL_TIMEOUT_S
) -> Outcome[HttpAnswer]:
    return await _send(
        client, HttpRequest("GET", target.url + path, timeout_s=timeout_s, repeatable=True)
    )


async def _send(client: HttpClient, request: HttpRequest) -> Outcome[HttpAnswer]:
    return (await send(client, request)).and_then(_check_status)


def _check_status(answer: HttpAnswer) -> Outcome[HttpAnswer]:
    return Ok(answer) if answer.status == HTTPStatus.OK else Err(failure_of_answer(answer))


def _decode(answer: HttpAnswer, model: type[T]) -> Outcome[T]:
    try:
        return Ok(msgspec.json.decode(answer.body, type=model))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return ran(ErrorCode.TARGET_FAILED, f"engine sent garbage: {error}")


def _parse_load(answer: HttpAnswer, stamp: float) -> Outcome[EngineLoad]:
    lines = [line for line in answer.body.splitlines() if line.startswith(LOAD_METRICS)]
    size = sum(map(len, lines))
    if size > MAX_LOAD_BYTES:
        text = f"engine reports no load: its metrics have {size} bytes, {MAX_LOAD_BYTES} allowed"
        return ran(ErrorCode.TARGET_FAILED, text)
    try:
        families = text_string_to_metric_families(b"\n".join(lines).decode("utf-8"))
        samples = [sample for family in families for sample in family.samples]
        running = _values(samples, RUNNING_METRIC)
        waiting = _values(samples, WAITING_METRIC)
        used = _values(samples, *KV_METRICS)
        return Ok(EngineLoad(int(sum(running)), int(sum(waiting)), max(used), stamp))
    except (ValueError, OverflowError) as error:
        return ran(ErrorCode.TARGET_FAILED, f"engine reports no load: {error}")


def _values(samples: list[Sample], *names: str) -> list[float]:
    values = [each.value for each in samples if each.name in names]
    if not values:
        raise ValueError(f"no {names[0]}")
    return values


def _check_sequence(page: EventPage, after: int) -> CacheEvents:
    """Sort events by sequence number, and check whether some are missing."""
    events = sorted((each for each in page.events if each.sequence > after), key=_sequence_of)
    expected = list(range(after + 1, page.last + 1))
    complete = [each.sequence for each in events] == expected and page.last >= after
    return CacheEvents(events, not complete, page.last)


def _sequence_of(event: CacheEvent) -> int:
    return event.sequence


__all__ = [
    "cache_events",
    "cancel",
    "export_cache",
    "held_programs",
    "import_cache",
    "read_load",
    "read_state",
    "release",
    "send_order",
]
