"""Execution of a tool call, from the queue to its durable answer.

The start of the call is durable before its first byte is sent.  A call that is not idempotent is
sent again only if it certainly did not run.
"""

from typing import TYPE_CHECKING

from waxwingglade.base import ErrorCode, Failure, Verdict, not_run
from waxwingglade.connection.tool import call_tool
from waxwingglade.decisions import Work, pool_of_tool
from waxwingglade.program import Done, ProgramState, ToolCall, Usage
from waxwingglade.program.budget import amount_of_tool_call
from waxwingglade.request.cache import tool_pause
from waxwingglade.request.call_execution import (
    CallExecution,
    finish,
    finish_failed,
    reassign,
    record_failed_attempt,
    start,
    work_for,
)
from waxwingglade.settings import ToolSettings

if TYPE_CHECKING:
    from waxwingglade.process.entry import Entry

MAX_ATTEMPTS = 3


async def run_tool_call(execution: CallExecution) -> Done | Failure:
    """Run a tool call and return its durable answer.

    Parameters
    ----------
    execution : CallExecution
        The call, not yet started.

    Returns
    -------
    Done or Failure
        The answer; a failure says whether the call may have run.
    """
    call = execution.call
    assert isinstance(call, ToolCall)
    tool = find_tool(execution.entry, call)
    if tool is None:
        text = f"no target has a tool named {call.tool}"
        return not_run(ErrorCode.NOT_FOUND, text).err_value
    execution.idempotent = tool.idempotent
    work = work_for(execution, pool_of_tool(call.tool))
    started = await start(execution, work, amount_of_tool_call(tool))
    if started.is_err():
        return started.err_value
    with tool_pause(execution, call.tool):
        return await _send(execution, call, tool, work)


def find_tool(entry: "Entry", call: ToolCall) -> ToolSettings | None:
    """Return the settings of the tool that a call names."""
    for target in entry.targets.values():
        for tool in target.tools:
            if tool.tool == call.tool:
                return tool
    return None


def idempotency_key(state: ProgramState, call: ToolCall) -> str:
    """Return the idempotency key of a tool call; it is the same for all attempts."""
    return f"{state.program}.{call.call}"


async def _send(
    execution: CallExecution, call: ToolCall, tool: ToolSettings, work: Work
) -> Done | Failure:
    price = amount_of_tool_call(tool)
    for attempt in range(MAX_ATTEMPTS):
        if attempt and (await reassign(execution, work, price)).is_err():
            break
        assert execution.grant is not None
        execution.is_sent = True
        answer = await call_tool(
            execution.entry.http,
            execution.entry.targets[execution.grant.target],
            tool,
            key=idempotency_key(execution.state, call),
            arguments=call.arguments,
            fencing=execution.owned.epoch,
            timeout_s=execution.policy.tool_timeout_s,
        )
        if answer.is_ok():
            execution.grant.finished(Usage())
            return await finish(execution, Done(result=answer.ok_value.result), price)
        record_failed_attempt(execution, answer.err_value, price)
        if not _may_repeat(answer.err_value, tool):
            break
    return await finish_failed(execution)


def _may_repeat(failure: Failure, tool: ToolSettings) -> bool:
    if failure.code is ErrorCode.FENCED:
        return False
    if failure.verdict is Verdict.NOT_RUN:
        return True
    return tool.idempotent and failure.verdict is Verdict.MAY_HAVE_RUN
