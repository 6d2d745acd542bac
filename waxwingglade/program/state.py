"""The state of a program, computed from its records."""

from collections.abc import Callable

import msgspec

from waxwingglade.base import CallId, ErrorCode, Failure, ProgramId, TargetId, Verdict
from waxwingglade.program.messages import (
    Call,
    Done,
    Message,
    MessageRole,
    ModelCall,
    SubProgramCall,
    ToolCall,
)
from waxwingglade.program.records import (
    Amount,
    CacheReleased,
    CallEnded,
    CallMoved,
    CallStarted,
    Created,
    ProgramEnded,
    Record,
)


class CallState(msgspec.Struct):
    """State of one call; `outcome` is None until the call ends."""

    call: Call
    reserved: Amount
    targets: list[TargetId]
    outcome: Done | Failure | None = None
    attempt: str = ""
    idempotent: bool = True

    def repeatable(self) -> bool:
        """Return whether the call failed but may succeed if repeated with the same identifier."""
        if not isinstance(self.outcome, Failure) or not self.idempotent:
            return False
        return self.outcome.code in TRANSIENT_ERRORS


TRANSIENT_ERRORS = frozenset(
    {
        ErrorCode.FENCED,
        ErrorCode.OVERLOADED,
        ErrorCode.OWNER_LOST,
        ErrorCode.TARGET_FAILED,
        ErrorCode.TIMEOUT,
        ErrorCode.UNAVAILABLE,
    }
)
"""Codes of failures after which a repeat of the call may succeed."""


class Account(msgspec.Struct):
    """The part of the budget that a program and its sub-agents have used.

    `reserved` is the sum of the reservations of unfinished calls, which count as spent until the
    calls end.
    """

    spent: Amount = Amount()
    reserved: Amount = Amount()
    turns: int = 0


class ProgramState(msgspec.Struct):
    """State of one program.

    `root` is the program whose account is charged: the topmost parent, or the program itself.
    `out_of_turns` is True if this process rejected a call because the budget had no turns left.
    `history_tokens` is the size of the history, in tokens, after the last model call.
    """

    program: ProgramId
    created: Created
    root: ProgramId
    depth: int
    account: Account
    history: list[Message]
    calls: dict[CallId, CallState]
    next_order: int = 1
    history_tokens: int = 0
    ended: ProgramEnded | None = None
    cached_on: set[TargetId] = msgspec.field(default_factory=set)
    children: list[ProgramId] = msgspec.field(default_factory=list)
    out_of_turns: bool = False

    def unfinished(self) -> list[CallState]:
        """Return the calls that have started and have not ended."""
        return [state for state in self.calls.values() if state.outcome is None]


Programs = dict[ProgramId, ProgramState]


def apply_record(programs: Programs, record: Record) -> None:
    """Apply one record to the programs of its log.

    Parameters
    ----------
    programs : dict
        Programs of the log, changed in place.
    record : Record
        The next record of the log.
    """
    if record.program is None:
        return
    if isinstance(record.body, Created):
        _apply_created(programs, record.program, record.body)
        return
    state = programs.get(record.program)
    if state is None:
        return
    _APPLY[type(record.body)](programs, state, record.body)


def _apply_created(programs: Programs, program: ProgramId, body: Created) -> None:
    parent = programs.get(body.parent) if body.parent else None
    programs[program] = ProgramState(
        program=program,
        created=body,
        root=parent.root if parent else program,
        depth=parent.depth + 1 if parent else 0,
        account=Account(),
        history=[],
        calls={},
    )
    if parent:
        parent.children.append(program)


def _apply_call_started(programs: Programs, state: ProgramState, body: CallStarted) -> None:
    targets = [body.target] if body.target else []
    state.calls[body.call.call] = CallState(
        body.call, body.reserved, targets, attempt=body.attempt, idempotent=body.idempotent
    )
    if isinstance(body.call, ModelCall):
        state.cached_on.update(targets)
    account = programs[state.root].account
    account.reserved = account.reserved.plus(body.reserved)
    account.turns += 1


def _apply_call_moved(programs: Programs, state: ProgramState, body: CallMoved) -> None:
    call = state.calls[body.call]
    call.targets.append(body.target)
    call.reserved = call.reserved.plus(body.reserved)
    account = programs[state.root].account
    account.reserved = account.reserved.plus(body.reserved)
    if isinstance(call.call, ModelCall):
        state.cached_on.add(body.target)


def _apply_call_ended(programs: Programs, state: ProgramState, body: CallEnded) -> None:
    call = state.calls[body.call]
    account = programs[state.root].account
    account.reserved = account.reserved.minus(call.reserved)
    account.spent = account.spent.plus(body.spent)
    if isinstance(body.outcome, Failure) and body.outcome.verdict is Verdict.NOT_RUN:
        # The call certainly did not run, so a repeat with the same call id may run it.
        account.turns -= 1
        del state.calls[body.call]
        return
    call.outcome = body.outcome
    if call.call.order is not None and not call.repeatable():
        state.next_order = max(state.next_order, call.call.order + 1)
    if isinstance(body.outcome, Done):
        _extend_history(state, call.call, body.outcome)


def _extend_history(state: ProgramState, call: Call, done: Done) -> None:
    if isinstance(call, SubProgramCall):
        return
    if isinstance(call, ToolCall):
        content = msgspec.json.encode(done.result).decode()
        state.history.append(Message(MessageRole.TOOL, content))
        return
    state.history.extend(call.messages)
    state.history.append(Message(MessageRole.ASSISTANT, done.text))
    state.history_tokens = done.usage.prompt_tokens + done.usage.output_tokens


def _apply_program_ended(programs: Programs, state: ProgramState, body: ProgramEnded) -> None:
    state.ended = body


def _apply_cache_released(programs: Programs, state: ProgramState, body: CacheReleased) -> None:
    state.cached_on.difference_update(body.targets)


_APPLY: dict[type, Callable] = {
    CallStarted: _apply_call_started,
    CallMoved: _apply_call_moved,
    CallEnded: _apply_call_ended,
    ProgramEnded: _apply_program_ended,
    CacheReleased: _apply_cache_released,
}
