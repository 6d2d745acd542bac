"""Serves requests of callers at any entry.

The entry that owns a program serves its requests; any other entry forwards a request once to the
owner.  While a log is handed over, the request is retried.  Calls have ids that their callers
choose, so nothing runs twice.
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
PEER_TIMEOUT_S = 4.0
"""Seconds without any message from the owner after which a forwarded request times out."""

RETRY_PAUSE_S = 0.1
"""Mean seconds between attempts to reach the owner of a program whose log is handed over."""

WAIT_LIMIT_PERIODS = 3.0
"""Multiple of `suspect_after_s` for which a request waits while a log is handed over."""

MOVED_CODES = frozenset({ErrorCode.FENCED, ErrorCode.NOT_OWNER, ErrorCode.OWNER_UNAVAILABLE})
"""Codes of failures after which the request may succeed at another owner."""


async def serve_counted(
    entry: Entry, request: CallerRequest, forwarded: bool = False
) -> AsyncIterator[CallerEvent]:
    """Serve a request, and count it while it runs: a draining entry waits for it."""
    entry.active_requests += 1
    try:
        async with contextlib.aclosing(serve(entry, request, forwarded)) as events:
            async for event in events:
                yield event
    finally:
        entry.active_requests -= 1


async def serve(
    entry: Entry, request: CallerRequest, forwarded: bool = False
) -> AsyncIterator[CallerEvent]:
    """Serve a caller's request.

    Parameters
    ----------
    entry : Entry
        The process.
    request : CallerRequest
        The request; its tenant has been checked.
    forwarded : bool
        Whether another entry forwarded the request; it is then not forwarded again.

    Yields
    ------
    CallerEvent
        Events, of which the last is the outcome.
    """
    if isinstance(request, CreateProgram):
        yield await create_program(entry, request)
    elif isinstance(request, ListPrograms):
        yield await list_programs(entry, request, forwarded)
    elif forwarded:
        async for event in _serve_here(entry, request):
            yield event
    else:
        async for event in _serve_anywhere(entry, request):
            yield event


async def _serve_anywhere(entry: Entry, request: CallerRequest) -> AsyncIterator[CallerEvent]:
    """Serve a request at the owner of its program, and follow the program to a new owner."""
    wait_limit_s = entry.settings.durability.suspect_after_s * WAIT_LIMIT_PERIODS
    end_at = entry.clock() + wait_limit_s
    refresh = False
    may_have_run = False
    while True:
        moved: Failure | None = None
        async with contextlib.aclosing(_serve_once(entry, request, refresh)) as events:
            async for received in events:
                event = _as_may_have_run(received) if may_have_run else received
                may_have_run = may_have_run or _shows_execution(event)
                if isinstance(event, Failure) and _may_have_moved(request, event):
                    moved = event
                    break
                request = _continue_after(request, event)
                if isinstance(event, Delta):
                    end_at = entry.clock() + wait_limit_s
                yield event
        if moved is None:
            return
        if entry.clock() >= end_at:
            yield moved
            return
        refresh = True
        await asyncio.sleep(RETRY_PAUSE_S * random.uniform(0.5, 1.5))


def _shows_execution(event: CallerEvent) -> bool:
    """Return whether an event shows that the request has run or may have run."""
    return not isinstance(event, Failure) or event.verdict is not Verdict.NOT_RUN


def _as_may_have_run(event: CallerEvent) -> CallerEvent:
    """Return an event with NOT_RUN replaced by MAY_HAVE_RUN, as an earlier attempt may have run."""
    if not isinstance(event, Failure) or event.verdict is not Verdict.NOT_RUN:
        return event
    return msgspec.structs.replace(event, verdict=Verdict.MAY_HAVE_RUN)


def _may_have_moved(request: CallerRequest, failure: Failure) -> bool:
    if failure.code is ErrorCode.OWNER_LOST:
        # This is the recorded outcome of the call; a retry runs a model call again.
        return isinstance(request, SubmitCall) and isinstance(request.call, ModelCall)
    return failure.code in MOVED_CODES


def _continue_after(request: CallerRequest, event: CallerEvent) -> CallerRequest:
    """Return the request to send on a retry, which continues after `event`."""
    if not isinstance(request, SubmitCall | FollowCall):
        return request
    if isinstance(event, Delta):
        offset = event.offset + len(event.text)
        return msgspec.structs.replace(request, offset=offset, attempt=event.attempt)
    if isinstance(event, Reset):
        return msgspec.structs.replace(request, offset=0, attempt=event.attempt)
    return request


async def _serve_once(
    entry: Entry, request: CallerRequest, refresh: bool
) -> AsyncIterator[CallerEvent]:
    if entry.log_for(request.program) is not None:
        source = _serve_here(entry, request)
    else:
        source = _forward(entry, request, refresh)
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
        # This process may have been replaced without noticing it yet; the new owner may know the
        # program.
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
    """Mark a failure to reach the owner, to distinguish it from an outcome that it reported."""
    if failure.code is not ErrorCode.UNAVAILABLE:
        return failure
    return msgspec.structs.replace(failure, code=ErrorCode.OWNER_UNAVAILABLE)


async def _forward(
    entry: Entry, request: CallerRequest, refresh: bool
) -> AsyncIterator[CallerEvent]:
    log = log_of(request.program)
    if log is None:
        yield unknown_program(request.program)
        return
    found: Outcome = await find_owner(entry, log, refresh)
    if found.is_ok() and found.ok_value.incarnation == entry.incarnation:
        found = not_run(ErrorCode.OWNER_UNAVAILABLE, "the program is changing hands", RETRY_AFTER_S)
    if found.is_err():
        yield found.err_value
        return
    owner = found.ok_value
    link = entry.links.to(owner.peer_address, owner.incarnation)
    answers = link.stream(
        PassedOn(request), PEER_TIMEOUT_S, lambda: not entry.members.is_unreachable(owner)
    )
    async with contextlib.aclosing(answers):
        async for answer in answers:
            if answer.is_err():
                yield _as_owner_unavailable(answer.err_value)
                return
            if isinstance(answer.ok_value, PassedBack):
                yield answer.ok_value.event
