"""The task by which an entry gives its zone's orders whenever it holds the duty."""

import asyncio
import functools

from loguru import logger

from waxwingglade.base import ErrorCode, LogId
from waxwingglade.connection.peer_messages import EntryState
from waxwingglade.process.duties.controller import OrderController
from waxwingglade.process.duties.desired import models_in_zone, read_desired
from waxwingglade.process.duties.lease import Term, acquire
from waxwingglade.process.duties.reports import Reporter, apply_reports
from waxwingglade.process.entry import Entry
from waxwingglade.process.placement import rank

CANDIDATES = 2
"""Entries of a zone that look for a free lease; more would only cost calls to the store."""

DUTY = LogId("target-orders")
"""Name by which entries are ranked for the duty."""


async def give_orders(entry: Entry) -> None:
    """Hold the duty whenever it is free, until the process ends."""
    settings = entry.settings
    if not settings.store.urls or not models_in_zone(settings.targets, entry.own.zone):
        return
    while True:
        await asyncio.sleep(settings.target_orders.follow_s)
        try:
            if is_candidate(entry):
                await _try_to_hold(entry)
        except Exception:
            logger.exception("giving orders to targets failed; trying again")


def is_candidate(entry: Entry) -> bool:
    """Return whether this entry should look for a free lease."""
    if not stays(entry):
        return False
    zone = [ref for ref in entry.members.usable() if ref.zone == entry.own.zone]
    return entry.own in rank(DUTY, [entry.own, *zone])[:CANDIDATES]


def stays(entry: Entry) -> bool:
    """Return whether this entry is not about to leave."""
    return entry.members.state is EntryState.ALIVE


async def _try_to_hold(entry: Entry) -> None:
    """Take the duty if there is anything to do, and do it until it is lost."""
    desired = await read_desired(entry.store, entry.own.zone)
    if desired.is_err() or desired.ok_value.zone is None:
        return
    acquired = await acquire(entry.store, entry.settings, entry.own, entry.clock)
    if acquired.is_err():
        if acquired.err_value.code is not ErrorCode.CONFLICT:
            logger.info("the duty to give orders was not taken: {}", acquired.err_value.message)
        return
    await _hold(entry, acquired.ok_value)


async def _hold(entry: Entry, term: Term) -> None:
    logger.info("gives the orders of zone {} with number {}", entry.own.zone, term.fencing)
    take = functools.partial(apply_reports, entry)
    reporter = Reporter(term.fencing, entry.members, entry.links, take)
    try:
        await OrderController(term, entry.http, reporter).keep(lambda: stays(entry))
    finally:
        await term.resign()
    logger.info("gives the orders of zone {} no longer", entry.own.zone)
