"""Drains an entry without interrupting a request.

A draining entry notifies its peers, accepts no new programs and lets running calls finish.  It
hands each log over to a peer as soon as no call of the log runs.  Then it waits until the logs of
other entries no longer depend on its copies, and closes when its callers have their answers.
"""

import asyncio

from loguru import logger

from waxwingglade.base import EntryRef, ErrorCode, Failure, Verdict
from waxwingglade.connection.peer_messages import (
    EntryState,
    LogTaken,
    PeerBody,
    Refused,
    TakeLog,
)
from waxwingglade.process.entry import Entry, RunningProgram
from waxwingglade.process.log_copy import LogCopy
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.process.ownership import fallback_entry, take_over_log
from waxwingglade.process.placement import rank
from waxwingglade.program import ProgramState

POLL_S = 0.05
"""Seconds between checks whether calls have ended and copies are still needed."""

TAKE_TIMEOUT_S = 10.0
"""Seconds after which a request to a peer to take a log over times out."""

RETRY_AFTER_S = 1.0


async def drain(entry: Entry) -> None:
    """Hand over everything that other entries depend on, within `drain_timeout_s`.

    Meanwhile callers still get answers; their requests are forwarded to the new owners.
    """
    entry.members.state = EntryState.DRAINING
    try:
        async with asyncio.timeout(entry.settings.drain_timeout_s):
            await _notify_peers(entry)
            await _hand_over_all(entry)
            await _wait_for_copies(entry)
        logger.info("drained; {} copies of other logs remain", len(entry.copies.logs))
    except TimeoutError:
        remaining = [log for log, owned in entry.owned.items() if not owned.fenced]
        logger.warning(
            "drain timed out with {} logs and {} copies", len(remaining), len(entry.copies.logs)
        )


async def _notify_peers(entry: Entry) -> None:
    if entry.heartbeats is not None:
        await entry.heartbeats.send_to_all()


async def _hand_over_all(entry: Entry) -> None:
    """Hand over every log, including those whose takeover was running when the drain began.

    Such a takeover may be of a log that this entry owned before.
    """
    tried: set[OwnedLog] = set()
    while True:
        logs = [owned for owned in entry.owned.values() if owned not in tried]
        if not logs and not entry.taking_over:
            return
        tried.update(logs)
        await asyncio.gather(*(_hand_over(entry, owned) for owned in logs))
        await asyncio.sleep(0 if logs else POLL_S)


async def _hand_over(entry: Entry, owned: OwnedLog) -> None:
    """Hand a log over to the first peer that accepts it, once no call of the log runs.

    Calls that still wait for their turn are then sent to the new owner.
    """
    owned.handing_over = True
    while not owned.fenced:
        if _calls_running(entry, owned):
            await asyncio.sleep(POLL_S)
            continue
        if not owned.programs and not entry.members.usable():
            return
        for peer in _handover_candidates(entry, owned):
            link = entry.links.to(peer.peer_address, peer.incarnation)
            answer = await link.request(TakeLog(owned.log), TAKE_TIMEOUT_S)
            if answer.is_ok() and isinstance(answer.ok_value, LogTaken):
                return
        await asyncio.sleep(POLL_S)


def _handover_candidates(entry: Entry, owned: OwnedLog) -> list[EntryRef]:
    """Return the peers to ask, in order: those that already hold a copy come first."""
    holders = {ref.incarnation for ref in owned.copies}
    ranked = rank(owned.log, entry.members.usable())
    local = [ref for ref in ranked if ref.zone == entry.own.zone]
    remote = [ref for ref in ranked if ref.zone != entry.own.zone]
    ordered = local + remote
    return sorted(ordered, key=lambda ref: ref.incarnation not in holders)


def _calls_running(entry: Entry, owned: OwnedLog) -> bool:
    """Return whether a call of the log runs or may begin to run.

    A call whose predecessor has not arrived cannot: a draining entry starts no new calls.
    """
    return any(
        _may_proceed(state, running)
        for program, state in owned.programs.items()
        if (running := entry.running.get(program)) is not None
    )


def _may_proceed(state: ProgramState, running: RunningProgram) -> bool:
    calls = [events.call for events in running.tasks.values()]
    return bool(calls) and (
        running.order.busy
        or any(call.order is None or call.order <= state.next_order for call in calls)
    )


async def _wait_for_copies(entry: Entry) -> None:
    """Wait until the owners of other logs have dropped their copies here.

    It also waits for a log that has just lost its owner, because the takeover needs a majority of
    the copies, and for unresponsive peers, because on a busy machine all may be so for a moment.
    """
    while any(_is_needed(entry, copy) for copy in entry.copies.logs.values()):
        await asyncio.sleep(POLL_S)


def _is_needed(entry: Entry, copy: LogCopy) -> bool:
    """Return whether the log of a copy may depend on it.

    The holders that a copy names do not decide this: a new holder receives the log before the store
    names it, and its owner may send it nothing more.
    """
    return copy.owner is not None and entry.members.any_not_draining()


async def take_over_on_request(entry: Entry, body: TakeLog) -> PeerBody:
    """Take a log over for a draining peer: its owner, or a holder if the owner is unreachable."""
    if entry.members.state is EntryState.DRAINING:
        text = "this entry cannot take the log now"
        return Refused(Failure(Verdict.NOT_RUN, ErrorCode.UNAVAILABLE, text, RETRY_AFTER_S))
    copy = entry.copies.logs.get(body.log)
    fallback = fallback_entry(body.log, copy) if copy else None
    taken = await take_over_log(entry, body.log, fallback, requested_by_owner=not body.orphaned)
    return Refused(taken.err_value) if taken.is_err() else LogTaken()
