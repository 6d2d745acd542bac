"""Reads the load of targets, once for each zone.

Rendezvous hashing assigns each target of a zone to one of the zone's live entries.  That entry
reads the load and sends it to the others.  No agreement is needed: if two entries see different
members for a while, a target is only read twice.
"""

import asyncio

from loguru import logger

from waxwingglade.base import TargetId
from waxwingglade.connection.engine_control import read_load
from waxwingglade.connection.peer_messages import LoadReports, TargetLoad
from waxwingglade.decisions import LoadReport
from waxwingglade.process.entry import Entry
from waxwingglade.process.placement import rank
from waxwingglade.settings import TargetKind


async def sample_loads(entry: Entry) -> None:
    """Read and distribute loads until the process stops."""
    while True:
        await asyncio.sleep(entry.settings.sampling.period_s)
        try:
            await _sample_once(entry)
        except Exception:
            logger.exception("reading the load of targets failed; retrying")


async def _sample_once(entry: Entry) -> None:
    read = await asyncio.gather(*(_read(entry, name) for name in assigned_targets(entry)))
    loads = [load for load in read if load is not None]
    if not loads:
        return
    apply_loads(entry, loads)
    peers = [ref for ref in entry.members.usable() if ref.zone == entry.own.zone]
    links = [entry.links.to(ref.peer_address, ref.incarnation) for ref in peers]
    message = LoadReports(loads)
    period_s = entry.settings.sampling.period_s
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


async def _read(entry: Entry, name: TargetId) -> TargetLoad | None:
    started_at = entry.clock()
    answer = await read_load(entry.http, entry.targets[name])
    if answer.is_err():
        return None
    load = answer.ok_value
    age_s = entry.clock() - started_at
    return TargetLoad(name, load.running, load.waiting, load.kv_used_fraction, age_s)


def apply_loads(entry: Entry, loads: list[TargetLoad]) -> None:
    """Report loads to the dispatcher."""
    for load in loads:
        report = LoadReport(load.running, load.waiting, load.cache_used, load.age_s)
        entry.dispatcher.report_load(load.target, report)
