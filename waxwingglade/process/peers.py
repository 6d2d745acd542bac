"""Handles requests of peers."""

import asyncio
import contextlib

from waxwingglade.base.tasks import start_task
from waxwingglade.connection.peer import Reply
from waxwingglade.connection.peer_messages import (
    CheckPrograms,
    FetchConfig,
    Heartbeat,
    LoadReports,
    Noted,
    PassedBack,
    PassedOn,
    PeerBody,
    ProgramsChecked,
    StillRunning,
    TakeLog,
    TargetReports,
)
from waxwingglade.process.drain import take_over_on_request
from waxwingglade.process.duties import apply_reports
from waxwingglade.process.entry import Entry
from waxwingglade.process.log_requests import answer_log_request
from waxwingglade.process.sampling import apply_loads
from waxwingglade.process.serving import serve_counted
from waxwingglade.process.sweep import releasable_here
from waxwingglade.program import Delta, Reset

KEEPALIVE_INTERVAL_S = 1.0
"""Seconds between messages to the entry that forwarded a request, which show that the request is
still running."""


async def answer_peer(entry: Entry, body: PeerBody, reply: Reply) -> None:
    """Handle one request of a peer and send the replies to it."""
    if isinstance(body, PassedOn):
        await _serve_forwarded(entry, body, reply)
        return
    if isinstance(body, TakeLog):
        await reply(await take_over_on_request(entry, body), True)
        return
    await reply(await _answer(entry, body), True)


async def _answer(entry: Entry, body: PeerBody) -> PeerBody:
    if isinstance(body, Heartbeat) and entry.heartbeats is not None:
        return entry.heartbeats.answer(body)
    if isinstance(body, CheckPrograms):
        return ProgramsChecked(releasable_here(entry, body.programs))
    if isinstance(body, LoadReports):
        apply_loads(entry, body.loads)
        return Noted()
    if isinstance(body, TargetReports):
        apply_reports(entry, body.reports)
        return Noted()
    if isinstance(body, FetchConfig) and entry.configuration is not None:
        return entry.configuration.answer(body)
    return await answer_log_request(entry, body)


async def _serve_forwarded(entry: Entry, body: PassedOn, reply: Reply) -> None:
    keepalives = start_task(_send_keepalives(reply))
    try:
        events = serve_counted(entry, body.request, forwarded=True)
        async with contextlib.aclosing(events):
            async for event in events:
                last = not isinstance(event, Delta | Reset)
                await reply(PassedBack(event), last)
                if last:
                    return
    finally:
        keepalives.cancel()


async def _send_keepalives(reply: Reply) -> None:
    # One task serves the whole answer.  A timeout on the wait for each event would need a task for
    # each event.
    while True:
        await asyncio.sleep(KEEPALIVE_INTERVAL_S)
        await reply(StillRunning(), False)
