"""The task that gives the zone's orders while this entry holds the duty."""

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
"""Entries of a zone that try to acquire a free lease; more would only add calls to the store."""

DUTY = LogId("target-orders")
"""Key by which entries are ranked for the duty."""


async def give_orders(entry: Entry) -> None:
    """Acquire the duty whenever it is free, and perform it, until the process stops."""
    settings = entry.settings
    if not settings.store.urls or not models_in_zone(settings.targets, entry.own.zone):
        return
    while True:
        await asyncio.sleep(settings.target_orders.follow_s)
        try:
            if is_candidate(entry):
                await _try_to_hold(entry)
        except Exception:
            logger.exception("giving orders to targets failed; retrying")


def is_candidate(entry: Entry) -> bool:
    """Return whether this entry should try to acquire a free lease."""
    if not is_not_draining(entry):
        return False
    zone = [ref for ref in entry.members.usable() if ref.zone == entry.own.zone]
    return entry.own in rank(DUTY, [entry.own, *zone])[:CANDIDATES]


def is_not_draining(entry: Entry) -> bool:
    """Return whether this entry is not draining."""
    return entry.members.state is EntryState.ALIVE


async def _try_to_hold(entry: Entry) -> None:
    """Acquire the duty if the zone has a desired state, and perform it until it is lost."""
    desired = await read_desired(entry.store, entry.own.zone)
    if desired.is_err() or desired.ok_value.zone is None:
        return
    acquired = await acquire(entry.store, entry.settings, entry.own, entry.clock)
    if acquired.is_err():
        if acquired.err_value.code is not ErrorCode.CONFLICT:
            logger.info("could not acquire the duty to give orders: {}", acquired.err_value.message)
        return
    await _hold(entry, acquired.ok_value)


async def _hold(entry: Entry, term: Term) -> None:
    logger.info("giving the orders of zone {} with fencing number {}", entry.own.zone, term.fencing)
    apply = functools.partial(apply_reports, entry)
    reporter = Reporter(term.fencing, entry.members, entry.links, apply)
    try:
        await OrderController(term, entry.http, reporter).run(lambda: is_not_draining(entry))
    finally:
        await term.resign()
    logger.info("no longer giving the orders of zone {}", entry.own.zone)
