"""Lists the programs of all entries."""

import asyncio
import heapq

from waxwingglade.base import EntryRef
from waxwingglade.connection.peer_messages import (
    ListPrograms,
    PassedBack,
    PassedOn,
    ProgramFilter,
    ProgramListing,
    ProgramSummary,
)
from waxwingglade.process.entry import Entry
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.program import ProgramState

ANSWER_TIMEOUT_S = 2.0
"""Seconds after which a request to a peer for its programs times out."""

REPORT_UNRESPONSIVE_S = 60.0
"""Seconds after the last contact until which an unresponsive entry is listed as unanswered."""


async def list_programs(entry: Entry, request: ListPrograms, forwarded: bool) -> ProgramListing:
    """List programs of this entry and, unless the request was forwarded, of all peers.

    A program whose log is being handed over may be missing.  One that two entries report is listed
    once.
    """
    own = own_programs(entry, request)
    if forwarded:
        return ProgramListing(own)
    peers = [peer.ref for peer in entry.members.peers.values() if entry.members.alive(peer.ref)]
    answers = await asyncio.gather(*(_ask(entry, peer, request) for peer in peers))
    unanswered = {peer.entry for peer, answer in zip(peers, answers, strict=True) if answer is None}
    found = {each.program: each for each in own}
    for answer in answers:
        found.update({each.program: each for each in answer or []})
    programs = [found[name] for name in sorted(found)][: request.limit]
    next_after = programs[-1].program if len(programs) == request.limit else ""
    return ProgramListing(programs, sorted(unanswered | _recently_unresponsive(entry)), next_after)


def own_programs(entry: Entry, request: ListPrograms) -> list[ProgramSummary]:
    """Return the programs of this entry that match a request, ordered by id."""
    matching = (
        _summary(entry, owned, state)
        for owned in entry.owned.values()
        if not owned.fenced
        for state in owned.programs.values()
        if _matches(state, request)
    )
    return heapq.nsmallest(request.limit, matching, key=lambda each: each.program)


def _matches(state: ProgramState, request: ListPrograms) -> bool:
    if request.tenant is not None and state.created.tenant != request.tenant:
        return False
    if state.program <= request.after:
        return False
    if request.filter is ProgramFilter.ALL:
        return True
    return (state.ended is not None) == (request.filter is ProgramFilter.ENDED)


def _summary(entry: Entry, owned: OwnedLog, state: ProgramState) -> ProgramSummary:
    return ProgramSummary(
        program=state.program,
        tenant=state.created.tenant,
        program_class=state.created.program_class,
        state="ended" if state.ended else "open",
        created_at=state.created.created_at,
        turns=owned.programs[state.root].account.turns,
        entry=entry.own.entry,
        end_reason=state.ended.reason if state.ended else "",
    )


async def _ask(entry: Entry, peer: EntryRef, request: ListPrograms) -> list[ProgramSummary] | None:
    link = entry.links.to(peer.peer_address, peer.incarnation)
    reply = await link.request(PassedOn(request), ANSWER_TIMEOUT_S)
    if reply.is_err() or not isinstance(reply.ok_value, PassedBack):
        return None
    listing = reply.ok_value.event
    return listing.programs if isinstance(listing, ProgramListing) else None


def _recently_unresponsive(entry: Entry) -> set[str]:
    """Return the unresponsive entries that were last seen within `REPORT_UNRESPONSIVE_S`."""
    members = entry.members
    now = members.clock()
    return {
        peer.ref.entry
        for peer in members.peers.values()
        if not members.alive(peer.ref) and now - peer.last_heard < REPORT_UNRESPONSIVE_S
    }
