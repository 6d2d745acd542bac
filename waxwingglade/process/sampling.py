"""Reads the load of targets, once for each zone.

Rendezvous hashing assigns each target of a zone to one of the zone's live entries.  That entry
reads the load and sends it to the others.  No agreement is needed: if two entries see different
members for a while, a target is only read twice.
"""

import asyncio

import msgspec
from loguru import logger

from waxwingglade.base import Outcome, TargetId
from waxwingglade.connection.engine_control import read_load
from waxwingglade.connection.engine_events import EngineLoad
from waxwingglade.connection.peer_messages import LoadReports, TargetLoad
from waxwingglade.decisions import LoadReport
from waxwingglade.process.entry import Entry
from waxwingglade.process.placement import rank
from waxwingglade.settings import TargetKind


class LoadRead(msgspec.Struct, frozen=True):
    """Answer of a target about its load, and when it was requested, in monotonic seconds."""

    answer: Outcome[EngineLoad]
    started_at: float


async def sample_loads(entry: Entry) -> None:
    """Read and distribute loads until the process stops."""
    reads: dict[TargetId, asyncio.Task[LoadRead]] = {}
    try:
        while True:
            await asyncio.sleep(entry.settings.sampling.period_s)
            try:
                await _sample_once(entry, reads)
            except Exception:
                logger.exception("reading the load of targets failed; retrying")
    finally:
        for read in reads.values():
            read.cancel()


async def _sample_once(entry: Entry, reads: dict[TargetId, asyncio.Task[LoadRead]]) -> None:
    """Start reads, and distribute the loads that arrive within a period.

    A target that takes longer does not delay the loads of the others: its read stays in `reads`,
    and its load is distributed when it has arrived.
    """
    period_s = entry.settings.sampling.period_s
    for name in assigned_targets(entry):
        if name not in reads:
            reads[name] = asyncio.create_task(_read(entry, name))
    if not reads:
        return
    done, _ = await asyncio.wait(reads.values(), timeout=period_s)
    finished = [name for name, read in reads.items() if read in done]
    loads = [load for name in finished if (load := _load(entry, name, reads.pop(name).result()))]
    if not loads:
        return
    apply_loads(entry, loads)
    peers = [ref for ref in entry.members.usable() if ref.zone == entry.own.zone]
    links = [entry.links.to(ref.peer_address, ref.incarnation) for ref in peers]
    message = LoadReports(loads)
    await asyncio.gather(*(link.request(message, period_s) for link in links))


def assigned_targets(entry: Entry) -> list[TargetId]:
    """Return the model engines that this entry reads for its zone."""
    zone = entry.own.zone
    entries = [entry.own, *(ref for ref in entry.members.usable() if ref.zone == zone)]
    return [
        name
        for name, target in entry.targets.items()
        if target.zone == zone
        and target.kind is TargetKind.MODEL
        and rank(name, entries)[0].incarnation == entry.incarnation
    ]


async def _read(entry: Entry, name: TargetId) -> LoadRead:
    started_at = entry.clock()
    return LoadRead(await read_load(entry.http, entry.targets[name]), started_at)


def _load(entry: Entry, name: TargetId, read: LoadRead) -> TargetLoad | None:
    if read.answer.is_err():
        return None
    load = read.answer.ok_value
    age_s = entry.clock() - read.started_at
    return TargetLoad(name, load.running, load.waiting, load.kv_used_fraction, age_s)


def apply_loads(entry: Entry, loads: list[TargetLoad]) -> None:
    """Report loads to the dispatcher."""
    for load in loads:
        report = LoadReport(load.running, load.waiting, load.cache_used, load.age_s)
        entry.dispatcher.report_load(load.target, report)
