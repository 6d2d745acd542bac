"""Split a program's message history into the calls that produced it."""

import msgspec

from waxwingglade.base import CallId
from waxwingglade.connection.peer_messages import ProgramView
from waxwingglade.program import Call, Done, Message, MessageRole, ModelCall, ToolCall


class Turn(msgspec.Struct, frozen=True):
    """The messages of one call in a history.

    Parameters
    ----------
    call : Call
        The call, as it was submitted.
    start, end : int
        Index of its first message and the index after its last one.
    text : str
        Text of the model's answer; empty for tool calls.
    """

    call: Call
    start: int
    end: int
    text: str = ""


class SplitHistory(msgspec.Struct, frozen=True):
    """The turns of a history, and the first message that belongs to none of the calls."""

    turns: list[Turn]
    foreign: Message | None = None


def split_history(view: ProgramView, calls: dict[CallId, Call]) -> SplitHistory:
    """Split a history into turns.

    Parameters
    ----------
    view : ProgramView
        The program, as shown to a caller.
    calls : dict
        The program's calls, as submitted by callers.
    """
    results = {
        summary.call: summary.outcome.result
        for summary in view.calls
        if isinstance(summary.outcome, Done)
    }
    remaining = dict(calls)
    turns: list[Turn] = []
    position = 0
    while position < len(view.history):
        turn = _turn_at(view.history, position, remaining, results)
        if turn is None:
            return SplitHistory(turns, view.history[position])
        turns.append(turn)
        remaining.pop(turn.call.call)
        position = turn.end
    return SplitHistory(turns)


def _turn_at(
    history: list[Message], start: int, calls: dict[CallId, Call], results: dict
) -> Turn | None:
    for call in calls.values():
        if isinstance(call, ModelCall):
            turn = _model_turn(history, start, call)
        elif isinstance(call, ToolCall):
            turn = _tool_turn(history, start, call, results)
        else:
            turn = None
        if turn is not None:
            return turn
    return None


def _model_turn(history: list[Message], start: int, call: ModelCall) -> Turn | None:
    end = start + len(call.messages)
    if history[start:end] != call.messages or end >= len(history):
        return None
    if history[end].role is not MessageRole.ASSISTANT:
        return None
    return Turn(call, start, end + 1, history[end].content)


def _tool_turn(history: list[Message], start: int, call: ToolCall, results: dict) -> Turn | None:
    if history[start].role is not MessageRole.TOOL or call.call not in results:
        return None
    if msgspec.json.decode(history[start].content) != results[call.call]:
        return None
    return Turn(call, start, start + 1)
