"""Outcomes of calls that are cancelled, or that raise an unexpected exception.

A call is cancelled when its program ends, when another entry takes its program over, or when the
entry stops.  The outcome says which of these it was, and whether the call may have run.
"""

import msgspec
from loguru import logger

from waxwingglade.base import CallId, ErrorCode, Failure, Verdict
from waxwingglade.connection.peer_messages import EntryState
from waxwingglade.process.entry import RunningProgram
from waxwingglade.process.owned_log import TAKEN_OVER, OwnedLog
from waxwingglade.program import ProgramState
from waxwingglade.request.call_execution import CallExecution, append_end, program_ended

RETRY_AFTER_S = 1.0


def interrupted(
    owned: OwnedLog,
    state: ProgramState,
    running: RunningProgram,
    call: CallId,
    cancelled: bool,
) -> Failure:
    """Return the answer to a call that was interrupted before it had an outcome.

    Parameters
    ----------
    owned : OwnedLog
        Log of the program.
    state : ProgramState
        The program.
    running : RunningProgram
        State of the program in this process.
    call : CallId
        The call.
    cancelled : bool
        Whether the call was cancelled; otherwise it raised an unexpected exception.
    """
    verdict = _recorded_verdict(state, call)
    if owned.fenced:
        return Failure(verdict, ErrorCode.FENCED, TAKEN_OVER, RETRY_AFTER_S)
    return _failure(state, running, verdict, cancelled)


async def record_interruption(
    execution: CallExecution, running: RunningProgram, cancelled: bool
) -> None:
    """Record that a call was interrupted, unless its outcome is in the log already.

    A later owner answers a repeat of the call from this record.
    """
    entry, state = execution.entry, execution.state
    failure = _failure(state, running, _verdict(execution), cancelled)
    if failure.code is ErrorCode.CANCELLED and entry.members.state is EntryState.DRAINING:
        # The next owner may run an idempotent call again if its caller repeats it.
        failure = msgspec.structs.replace(failure, code=ErrorCode.OWNER_LOST)
    if execution.grant is not None:
        execution.grant.failed(failure)
    known = state.calls.get(execution.call.call)
    if execution.owned.fenced or known is None or known.outcome is not None:
        return
    spent = execution.reserved if execution.is_sent else execution.possibly_spent
    appended = await append_end(execution, failure, spent)
    if appended.is_err():
        logger.warning("the outcome of the interrupted call could not be made durable")


def _failure(
    state: ProgramState, running: RunningProgram, verdict: Verdict, cancelled: bool
) -> Failure:
    if not cancelled:
        return Failure(verdict, ErrorCode.INTERNAL, "the entry failed while it ran the call")
    if running.ended:
        return program_ended(state, verdict)
    text = "the entry stopped before the call ended"
    return Failure(verdict, ErrorCode.CANCELLED, text, RETRY_AFTER_S)


def _verdict(execution: CallExecution) -> Verdict:
    """Return whether a call may have run, given its attempts so far."""
    if execution.is_sent:
        return Verdict.MAY_HAVE_RUN
    failed = execution.reported_failure
    return Verdict.NOT_RUN if failed is None else failed.verdict


def _recorded_verdict(state: ProgramState, call: CallId) -> Verdict:
    """Return whether a call may have run, given the log: the start of a call that ran is in it."""
    known = state.calls.get(call)
    if known is None:
        return Verdict.NOT_RUN
    return known.outcome.verdict if isinstance(known.outcome, Failure) else Verdict.MAY_HAVE_RUN
