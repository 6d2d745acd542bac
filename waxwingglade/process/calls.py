"""Executes the calls of programs that this process owns."""

import asyncio
from collections.abc import AsyncIterator
from functools import partial

import msgspec

from waxwingglade.base import ErrorCode, Failure, Verdict, make_program_id, new_nonce
from waxwingglade.connection.peer_messages import CallerEvent, FollowCall, SubmitCall
from waxwingglade.process.entry import Entry, RunningProgram
from waxwingglade.process.interruption import interrupted, record_interruption
from waxwingglade.process.logs import log_context, log_interruption, log_outcome
from waxwingglade.process.owned_log import TAKEN_OVER, OwnedLog
from waxwingglade.program import (
    Call,
    CallState,
    Done,
    ModelCall,
    ProgramState,
    ToolCall,
)
from waxwingglade.program.budget import check_depth
from waxwingglade.request.call_execution import (
    ZERO_AMOUNT,
    CallExecution,
    finish,
    new_execution,
    program_ended,
    record_start,
)
from waxwingglade.request.events import CallEvents, replay
from waxwingglade.request.model_call import run_model_call
from waxwingglade.request.tool_call import run_tool_call

RETRY_AFTER_S = 1.0
ORDER_WAIT_LIMIT_S = 30.0
"""Seconds that a call waits for the calls before it in its program."""


async def submit(
    entry: Entry, owned: OwnedLog, state: ProgramState, request: SubmitCall
) -> AsyncIterator[CallerEvent]:
    """Yield the events of a call: run a new call, follow a running one, or replay a recorded one.

    Parameters
    ----------
    entry : Entry
        The process.
    owned : OwnedLog
        Log of the program.
    state : ProgramState
        The program.
    request : SubmitCall
        The call, and the offset up to which the caller has its text.

    Yields
    ------
    CallerEvent
        Events, of which the last is the outcome.
    """
    running = entry.running_program(state)
    events = running.calls.get(request.call.call)
    known = state.calls.get(request.call.call)
    original = events.call if events is not None else known.call if known is not None else None
    if original is not None and original != _with_recorded_defaults(request.call, original):
        text = f"call {request.call.call} was made before with other content"
        yield Failure(Verdict.NOT_RUN, ErrorCode.CONFLICT, text)
        return
    if events is None and known is not None and known.outcome and not known.repeatable():
        async for event in _replay_recorded(owned, known, request.offset, request.attempt):
            yield event
        return
    if events is None and owned.handing_over:
        yield await _wait_for_handover(entry, owned)
        return
    if events is None:
        if state.ended is not None:
            yield program_ended(state)
            return
        events = start_call(entry, owned, state, running, request)
    async for event in events.follow(request.offset, request.attempt):
        yield event


async def _wait_for_handover(entry: Entry, owned: OwnedLog) -> Failure:
    """Delay a new call until another entry owns the log; return the failure that redirects it."""
    try:
        async with asyncio.timeout(entry.settings.drain_timeout_s):
            await owned.handed_over.wait()
    except TimeoutError:
        text = "this entry is leaving"
        return Failure(Verdict.NOT_RUN, ErrorCode.DRAINING, text, RETRY_AFTER_S)
    return Failure(Verdict.NOT_RUN, ErrorCode.FENCED, TAKEN_OVER, RETRY_AFTER_S)


def _with_recorded_defaults(call: Call, recorded: Call) -> Call:
    """Return `call` with the defaults that were set when it was recorded."""
    if isinstance(call, ModelCall) and isinstance(recorded, ModelCall) and call.max_tokens is None:
        return msgspec.structs.replace(call, max_tokens=recorded.max_tokens)
    return call


async def _replay_recorded(
    owned: OwnedLog, known: CallState, offset: int, attempt: str
) -> AsyncIterator[CallerEvent]:
    durable = await owned.wait_until_durable()
    if durable.is_err():
        yield durable.err_value
        return
    async for event in replay(known.outcome, known.attempt, offset, attempt):
        yield event


async def follow(
    entry: Entry, owned: OwnedLog, state: ProgramState, request: FollowCall
) -> AsyncIterator[CallerEvent]:
    """Yield the events of a submitted call, starting at the offset in the request."""
    running = entry.running_program(state)
    events = running.calls.get(request.call)
    if events is not None:
        async for event in events.follow(request.offset, request.attempt):
            yield event
        return
    known = state.calls.get(request.call)
    if known is None or known.outcome is None:
        yield Failure(Verdict.NOT_RUN, ErrorCode.NOT_FOUND, f"no call {request.call}")
        return
    async for event in _replay_recorded(owned, known, request.offset, request.attempt):
        yield event


def start_call(
    entry: Entry,
    owned: OwnedLog,
    state: ProgramState,
    running: RunningProgram,
    request: SubmitCall,
) -> CallEvents:
    """Start a call in its own task, which continues when the caller disconnects.

    Its callers are answered when the task ends; a task that is cancelled early runs no line.
    """
    on_text = entry.metrics.text_timer(state.created)
    events = CallEvents(new_nonce(), request.call, on_text)
    running.calls[request.call.call] = events
    task = entry.spawn(_run(entry, owned, state, running, request, events))
    running.tasks[task] = events
    task.add_done_callback(partial(_end_call, owned, state, running))
    return events


async def _run(
    entry: Entry,
    owned: OwnedLog,
    state: ProgramState,
    running: RunningProgram,
    request: SubmitCall,
    events: CallEvents,
) -> Done | Failure:
    started_at = entry.clock()
    try:
        with log_context(owned, state, request.call.call):
            return await _run_in_order(entry, owned, state, running, request, events)
    finally:
        running.service_received_s += entry.clock() - started_at
        entry.metrics.observe_call(state.created, entry.clock() - started_at)


def _end_call(
    owned: OwnedLog, state: ProgramState, running: RunningProgram, task: asyncio.Task
) -> None:
    """Answer the callers of a call whose task has ended."""
    events = running.tasks.pop(task)
    call = events.call.call
    running.calls.pop(call, None)
    if not task.cancelled() and task.exception() is None:
        events.finish(task.result())
        return
    failure = interrupted(owned, state, running, call, task.cancelled())
    with log_context(owned, state, call):
        log_interruption(failure)
    events.finish(failure)


async def _run_in_order(
    entry: Entry,
    owned: OwnedLog,
    state: ProgramState,
    running: RunningProgram,
    request: SubmitCall,
    events: CallEvents,
) -> Done | Failure:
    async with running.order.turn(state, request.call, ORDER_WAIT_LIMIT_S) as turn:
        if turn.is_err():
            return turn.err_value
        if request.history_length not in (None, len(state.history)):
            text = "the history has changed since the call was prepared"
            return Failure(Verdict.NOT_RUN, ErrorCode.CONFLICT, text)
        outcome = await _run_in_turn(entry, owned, state, running, request.call, events)
    log_outcome(outcome)
    return outcome


async def _run_in_turn(
    entry: Entry,
    owned: OwnedLog,
    state: ProgramState,
    running: RunningProgram,
    call: Call,
    events: CallEvents,
) -> Done | Failure:
    execution = new_execution(entry, owned, state, call, events.attempt)
    try:
        if isinstance(call, ModelCall):
            return await run_model_call(execution, events)
        if isinstance(call, ToolCall):
            return await run_tool_call(execution)
        return await run_sub_program(execution)
    except BaseException as error:
        await record_interruption(execution, running, isinstance(error, asyncio.CancelledError))
        raise


async def run_sub_program(execution: CallExecution) -> Done | Failure:
    """Create a sub-agent in the log of its program, so that both share one account."""
    owned, state = execution.owned, execution.state
    allowed = check_depth(state, owned.programs[state.root].created.policy.budget)
    if allowed.is_err():
        return allowed.err_value
    started = await record_start(execution, ZERO_AMOUNT)
    if started.is_err():
        return started.err_value
    child = make_program_id(owned.log)
    execution.is_sent = True
    created = msgspec.structs.replace(
        state.created,
        created_at=execution.entry.wall_clock(),
        request=execution.call.call,
        parent=state.program,
    )
    appended = await owned.append(child, created)
    if appended.is_err():
        return appended.err_value
    return await finish(execution, Done(result={"program": child}), ZERO_AMOUNT)
