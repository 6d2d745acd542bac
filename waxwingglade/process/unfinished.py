"""Calls that the last owner of a log left unfinished.

Each call gets a truthful outcome.  A call that may have run is never sent again automatically.  A
tool that answers by key is asked for the outcome.  Otherwise, a repeat by the caller runs the call
again if it is idempotent, and is answered with MAY_HAVE_RUN if it is not.  The reservation counts
as spent.
"""

from waxwingglade.base import ErrorCode, Failure, Ok, Outcome, Verdict, may_have_run
from waxwingglade.connection.tool import ask_outcome
from waxwingglade.process.entry import Entry
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.program import CallState, Done, ProgramState, ToolCall
from waxwingglade.request.call_execution import finish, new_execution
from waxwingglade.request.events import CallEvents
from waxwingglade.request.tool_call import find_tool, idempotency_key

OUTCOME_UNKNOWN = "the entry that ran the call was lost; the call may have run"


def resolve_unfinished(entry: Entry, owned: OwnedLog) -> None:
    """Start to resolve every unfinished call of a log that was just taken over.

    Meanwhile, callers who repeat such a call wait for its outcome, and later calls of the program
    wait until it has ended.
    """
    for state in owned.programs.values():
        for call_state in state.unfinished():
            running = entry.running_program(state)
            events = CallEvents(call_state.attempt, call_state.call)
            running.calls[call_state.call.call] = events
            running.order.busy = True
            entry.spawn(_resolve(entry, owned, state, call_state, events))


async def _resolve(
    entry: Entry, owned: OwnedLog, state: ProgramState, call_state: CallState, events: CallEvents
) -> None:
    running = entry.running_program(state)
    outcome: Done | Failure = Failure(
        Verdict.MAY_HAVE_RUN, ErrorCode.OWNER_LOST, OUTCOME_UNKNOWN, 1.0
    )
    try:
        answer = await _ask_tool(entry, state, call_state)
        if answer.is_ok():
            outcome = answer.ok_value
        execution = new_execution(entry, owned, state, call_state.call, call_state.attempt)
        outcome = await finish(execution, outcome, call_state.reserved)
    finally:
        running.calls.pop(call_state.call.call, None)
        events.finish(outcome)
        await running.order.release()


async def _ask_tool(entry: Entry, state: ProgramState, call_state: CallState) -> Outcome[Done]:
    """Ask the tool for the outcome of a call; only an outcome that the tool knows counts.

    A tool that does not know the key proves nothing: the last owner may only be paused and may
    still send the call.
    """
    if not isinstance(call_state.call, ToolCall) or call_state.idempotent:
        return may_have_run(ErrorCode.OWNER_LOST, OUTCOME_UNKNOWN)
    tool = find_tool(entry, call_state.call)
    if tool is None or not tool.answers_by_key:
        return may_have_run(ErrorCode.OWNER_LOST, OUTCOME_UNKNOWN)
    for name in call_state.targets:
        target = entry.targets.get(name)
        if target is None:
            continue
        answer = await ask_outcome(
            entry.http, target, tool, idempotency_key(state, call_state.call)
        )
        if answer.is_ok() and answer.ok_value is not None:
            return Ok(Done(result=answer.ok_value.result))
    return may_have_run(ErrorCode.OWNER_LOST, OUTCOME_UNKNOWN)
