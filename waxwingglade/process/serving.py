"""Callers' requests, whichever entry they reach.

The entry that owns a program serves it; any other passes the request on once.  While a program
changes hands the request is passed on again: callers name their calls, so nothing runs twice.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

import msgspec

from waxwingglade.base import ErrorCode, Failure, Outcome, Verdict, log_of, not_run
from waxwingglade.connection.peer_messages import (
    CallerEvent,
    CallerRequest,
    CreateProgram,
    EndProgram,
    FollowCall,
    ListPrograms,
    PassedBack,
    PassedOn,
    ReadProgram,
    SubmitCall,
)
from waxwingglade.process.calls import follow, submit
from waxwingglade.process.entry import Entry
from waxwingglade.process.listing import list_programs
from waxwingglade.process.locate import find_owner
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.process.programs import (
    create_program,
    end_program,
    read_program,
    unknown_program,
)
from waxwingglade.program import Delta, ModelCall, ProgramState, Reset

RETRY_AFTER_S = 1.0
PEER_SILENCE_S = 4.0
"""Seconds without any sign from the owner after which a request passed on is given up."""

AGAIN_S = 0.1
"""Seconds between attempts to reach the owner of a program that changes hands."""

PATIENCE_PERIODS = 3.0
"""Times of suspicion that a request waits for a program that changes hands."""

MOVED = frozenset({ErrorCode.FENCED, ErrorCode.NOT_OWNER, ErrorCode.OWNER_UNAVAILABLE})
"""Reasons of failure that another owner may not have."""


async def serve_counted(
    entry: Entry, request: CallerRequest, passed_on: bool = False
) -> AsyncIterator[CallerEvent]:
    """Serve a request, and count it while it runs: a leaving entry waits for it."""
    entry.active_requests += 1
    try:
        async with contextlib.aclosing(serve(entry, request, passed_on)) as events:
            async for event in events:
                yield event
    finally:
        entry.active_requests -= 1


async def serve(
    entry: Entry, request: CallerRequest, passed_on: bool = False
) -> AsyncIterator[CallerEvent]:
    """Serve a caller's request.

    Parameters
    ----------
    entry : Entry
        The process.
    request : CallerRequest
        The request; its tenant has been checked.
    passed_on : bool
        Whether it came from another entry; it is then not passed on again.

    Yields
    ------
    CallerEvent
        Events, of which the last is the outcome.
    """
    if isinstance(request, CreateProgram):
        yield await create_program(entry, request)
    elif isinstance(request, ListPrograms):
        yield await list_programs(entry, request, passed_on)
    elif passed_on:
        async for event in _serve_here(entry, request):
            yield event
    else:
        async for event in _serve_anywhere(entry, request):
            yield event


async def _serve_anywhere(entry: Entry, request: CallerRequest) -> AsyncIterator[CallerEvent]:
    """Serve a request where its program is, also if that changes meanwhile."""
    patience_s = entry.settings.durability.suspect_after_s * PATIENCE_PERIODS
    end_at = entry.clock() + patience_s
    fresh = False
    ran_perhaps = False
    while True:
        moved: Failure | None = None
        async with contextlib.aclosing(_serve_once(entry, request, fresh)) as events:
            async for heard in events:
                event = _in_doubt(heard) if ran_perhaps else heard
                ran_perhaps = ran_perhaps or _shows_a_run(event)
                if isinstance(event, Failure) and _may_have_moved(request, event):
                    moved = event
                    break
                request = _past(request, event)
                if isinstance(event, Delta):
                    end_at = entry.clock() + patience_s
                yield event
        if moved is None:
            return
        if entry.clock() >= end_at:
            yield moved
            return
        fresh = True
        await asyncio.sleep(AGAIN_S * random.uniform(0.5, 1.5))


def _shows_a_run(event: CallerEvent) -> bool:
    """Return whether an event says that the request has run, or may have."""
    return not isinstance(event, Failure) or event.verdict is not Verdict.NOT_RUN


def _in_doubt(event: CallerEvent) -> CallerEvent:
    """Return an event that does not deny what an earlier attempt may have done."""
    if not isinstance(event, Failure) or event.verdict is not Verdict.NOT_RUN:
        return event
    return msgspec.structs.replace(event, verdict=Verdict.MAY_HAVE_RUN)


def _may_have_moved(request: CallerRequest, failure: Failure) -> bool:
    if failure.code is ErrorCode.OWNER_LOST:
        # The call's recorded outcome; asking again runs a model call anew.
        return isinstance(request, SubmitCall) and isinstance(request.call, ModelCall)
    return failure.code in MOVED


def _past(request: CallerRequest, event: CallerEvent) -> CallerRequest:
    """Return the request for what follows `event`, should it have to be made again."""
    if not isinstance(request, SubmitCall | FollowCall):
        return request
    if isinstance(event, Delta):
        offset = event.offset + len(event.text)
        return msgspec.structs.replace(request, offset=offset, attempt=event.attempt)
    if isinstance(event, Reset):
        return msgspec.structs.replace(request, offset=0, attempt=event.attempt)
    return request


async def _serve_once(
    entry: Entry, request: CallerRequest, fresh: bool
) -> AsyncIterator[CallerEvent]:
    if entry.log_for(request.program) is not None:
        source = _serve_here(entry, request)
    else:
        source = _pass_on(entry, request, fresh)
    async with contextlib.aclosing(source) as events:
        async for event in events:
            yield event


async def _serve_here(entry: Entry, request: CallerRequest) -> AsyncIterator[CallerEvent]:
    owned = entry.log_for(request.program)
    if owned is None:
        text = "this entry does not own the program"
        yield Failure(Verdict.NOT_RUN, ErrorCode.NOT_OWNER, text, RETRY_AFTER_S)
        return
    state = owned.programs.get(request.program)
    if state is None:
        # A later owner may know a program that this process, replaced unawares, does not.
        confirmed = await owned.confirm_ownership()
        yield confirmed.err_value if confirmed.is_err() else unknown_program(request.program)
        return
    if request.tenant is not None and state.created.tenant != request.tenant:
        yield unknown_program(request.program)
        return
    async for event in _serve_owned(entry, owned, state, request):
        yield event


async def _serve_owned(
    entry: Entry, owned: OwnedLog, state: ProgramState, request: CallerRequest
) -> AsyncIterator[CallerEvent]:
    if isinstance(request, SubmitCall):
        async for event in submit(entry, owned, state, request):
            yield event
    elif isinstance(request, FollowCall):
        async for event in follow(entry, owned, state, request):
            yield event
    elif isinstance(request, ReadProgram):
        yield await read_program(owned, state)
    elif isinstance(request, EndProgram):
        yield await end_program(entry, owned, state, request.reason)


def _as_owner_unavailable(failure: Failure) -> Failure:
    """Tell silence of the owner from an outcome that the owner reported."""
    if failure.code is not ErrorCode.UNAVAILABLE:
        return failure
    return msgspec.structs.replace(failure, code=ErrorCode.OWNER_UNAVAILABLE)


async def _pass_on(entry: Entry, request: CallerRequest, fresh: bool) -> AsyncIterator[CallerEvent]:
    log = log_of(request.program)
    if log is None:
        yield unknown_program(request.program)
        return
    found: Outcome = await find_owner(entry, log, fresh)
    if found.is_ok() and found.ok_value.incarnation == entry.incarnation:
        found = not_run(ErrorCode.OWNER_UNAVAILABLE, "the program is changing hands", RETRY_AFTER_S)
    if found.is_err():
        yield found.err_value
        return
    owner = found.ok_value
    link = entry.links.to(owner.peer_address, owner.incarnation)
    answers = link.stream(
        PassedOn(request), PEER_SILENCE_S, lambda: not entry.members.is_unreachable(owner)
    )
    async with contextlib.aclosing(answers):
        async for answer in answers:
            if answer.is_err():
                yield _as_owner_unavailable(answer.err_value)
                return
            if isinstance(answer.ok_value, PassedBack):
                yield answer.ok_value.event
