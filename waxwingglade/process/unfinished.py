"""Calls that the last owner of a log left open.

Each gets an outcome that is true.  A call that may have run is never sent again by itself: a tool
that answers by key is asked what became of it; otherwise a caller's repeat runs the call again
if it is idempotent, and gets MAY_HAVE_RUN if it is not.  The reservation counts as spent.
"""

from waxwingglade.base import ErrorCode, Failure, Ok, Outcome, Verdict, may_have_run
from waxwingglade.connection.tool import ask_outcome
from waxwingglade.process.entry import Entry
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.program import CallState, Done, ProgramState, ToolCall
from waxwingglade.request.call_execution import finish, new_execution
from waxwingglade.request.events import CallEvents
from waxwingglade.request.tool_call import find_tool, idempotency_key

LOST = "the entry that ran the call was lost; the call may have run"


def resolve_unfinished(entry: Entry, owned: OwnedLog) -> None:
    """Start to settle every open call of a log that was just taken over.

    Callers who repeat such a call meanwhile wait for the outcome; later calls of the program wait
    for their turn.
    """
    for state in owned.programs.values():
        for known in state.unfinished():
            running = entry.running_program(state)
            events = CallEvents(known.attempt, known.call)
            running.calls[known.call.call] = events
            running.order.busy = True
            entry.spawn(_resolve(entry, owned, state, known, events))


async def _resolve(
    entry: Entry, owned: OwnedLog, state: ProgramState, known: CallState, events: CallEvents
) -> None:
    running = entry.running_program(state)
    outcome: Done | Failure = Failure(Verdict.MAY_HAVE_RUN, ErrorCode.OWNER_LOST, LOST, 1.0)
    try:
        asked = await _ask(entry, state, known)
        if asked.is_ok():
            outcome = asked.ok_value
        execution = new_execution(entry, owned, state, known.call, known.attempt)
        outcome = await finish(execution, outcome, known.reserved)
    finally:
        running.calls.pop(known.call.call, None)
        events.finish(outcome)
        await running.order.release()


async def _ask(entry: Entry, state: ProgramState, known: CallState) -> Outcome[Done]:
    """Ask the tool what became of a call; only a definite answer counts.

    That the tool knows nothing of the key proves nothing: the last owner may only be paused, and
    send the call yet.
    """
    if not isinstance(known.call, ToolCall) or known.idempotent:
        return may_have_run(ErrorCode.OWNER_LOST, LOST)
    tool = find_tool(entry, known.call)
    if tool is None or not tool.answers_by_key:
        return may_have_run(ErrorCode.OWNER_LOST, LOST)
    for name in known.targets:
        target = entry.targets.get(name)
        if target is None:
            continue
        asked = await ask_outcome(entry.http, target, tool, idempotency_key(state, known.call))
        if asked.is_ok() and asked.ok_value is not None:
            return Ok(Done(result=asked.ok_value.result))
    return may_have_run(ErrorCode.OWNER_LOST, LOST)
