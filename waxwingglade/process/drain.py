"""Leaving without cutting off a request.

A leaving entry tells its peers, takes no new programs, lets the calls under way finish, hands each
log to a peer as soon as no call of it runs, waits until other entries' logs no longer rely on
its copies, and closes when its callers have their answers.
"""

import asyncio

from loguru import logger

from waxwingglade.base import EntryRef, ErrorCode, Failure, LogId, Verdict
from waxwingglade.connection.peer_messages import (
    EntryState,
    LogTaken,
    PeerBody,
    Refused,
    TakeLog,
)
from waxwingglade.process.entry import Entry
from waxwingglade.process.log_copy import LogCopy
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.process.ownership import fallback_entry, take_over_log
from waxwingglade.process.placement import rank

POLL_S = 0.05
"""Seconds between looks whether calls have ended and copies are needed no more."""

TAKE_TIMEOUT_S = 10.0
"""Seconds for a peer to take a log over."""

RETRY_AFTER_S = 1.0


async def drain(entry: Entry) -> None:
    """Give away everything that others rely on, for as long as the settings allow.

    Callers are still answered while this runs, and passed on to the new owners.
    """
    entry.members.state = EntryState.DRAINING
    try:
        async with asyncio.timeout(entry.settings.drain_timeout_s):
            await _tell_peers(entry)
            await _give_all_away(entry)
            await _wait_for_copies(entry)
    except TimeoutError:
        left = [log for log, owned in entry.owned.items() if not owned.fenced]
        logger.warning("left with {} logs and {} copies", len(left), len(entry.copies.logs))


async def _tell_peers(entry: Entry) -> None:
    if entry.heartbeats is not None:
        await entry.heartbeats.send_to_all()


async def _give_all_away(entry: Entry) -> None:
    """Hand over every log, those included whose takeover was under way when the leaving began."""
    tried: set[LogId] = set()
    while True:
        logs = [owned for log, owned in entry.owned.items() if log not in tried]
        if not logs and not entry.taking_over:
            return
        tried.update(owned.log for owned in logs)
        await asyncio.gather(*(_give_away(entry, owned) for owned in logs))
        await asyncio.sleep(0 if logs else POLL_S)


async def _give_away(entry: Entry, owned: OwnedLog) -> None:
    """Hand a log to the first peer that takes it, once no call of it runs."""
    owned.handing_over = True
    while not owned.fenced:
        if _calls_running(entry, owned):
            await asyncio.sleep(POLL_S)
            continue
        if not owned.programs and not entry.members.usable():
            return
        for peer in _takers(entry, owned):
            link = entry.links.to(peer.peer_address, peer.incarnation)
            answer = await link.request(TakeLog(owned.log), TAKE_TIMEOUT_S)
            if answer.is_ok() and isinstance(answer.ok_value, LogTaken):
                return
        await asyncio.sleep(POLL_S)


def _takers(entry: Entry, owned: OwnedLog) -> list[EntryRef]:
    """Return the peers to ask: those that hold a copy already come first."""
    holders = {ref.incarnation for ref in owned.copies}
    ranked = rank(owned.log, entry.members.usable())
    at_home = [ref for ref in ranked if ref.zone == entry.own.zone]
    others = [ref for ref in ranked if ref.zone != entry.own.zone]
    ordered = at_home + others
    return sorted(ordered, key=lambda ref: ref.incarnation not in holders)


def _calls_running(entry: Entry, owned: OwnedLog) -> bool:
    return any(
        running.tasks
        for program in owned.programs
        if (running := entry.running.get(program)) is not None
    )


async def _wait_for_copies(entry: Entry) -> None:
    """Wait until the owners of other logs have replaced this entry as a holder.

    A log that has just lost its owner is waited for as well: whoever takes it over needs most
    copies.  So are peers that are silent: on a busy machine all of them may be for a moment.
    """
    while any(_is_needed(entry, copy) for copy in entry.copies.logs.values()):
        await asyncio.sleep(POLL_S)


def _is_needed(entry: Entry, copy: LogCopy) -> bool:
    if not entry.members.any_not_draining() or copy.owner is None:
        return False
    return any(entry.own.answers_to(ref.incarnation) for ref in copy.copies)


async def take_over_on_request(entry: Entry, body: TakeLog) -> PeerBody:
    """Take over a log on request of its owner, or of a leaving holder if the owner is gone."""
    if entry.members.state is EntryState.DRAINING:
        text = "this entry cannot take the log now"
        return Refused(Failure(Verdict.NOT_RUN, ErrorCode.UNAVAILABLE, text, RETRY_AFTER_S))
    copy = entry.copies.logs.get(body.log)
    fallback = fallback_entry(body.log, copy) if copy else None
    taken = await take_over_log(entry, body.log, fallback, requested_by_owner=not body.orphaned)
    return Refused(taken.err_value) if taken.is_err() else LogTaken()
