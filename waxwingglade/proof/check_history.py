"""Check that a program's history is never lost and never mixed with another program's.

Every answer that a caller received must stay in the history, at its position, and the history must
have nothing else.  The prompt of each engine request must be the history up to the call.
"""

from waxwingglade.base import CallId, ProgramId
from waxwingglade.connection.peer_messages import ProgramView, ReadProgram
from waxwingglade.program import Call, Done, Message, ModelCall
from waxwingglade.proof.history import GenerationSeen, History
from waxwingglade.proof.index import (
    CallKey,
    Exchange,
    call_exchanges,
    done_at,
    exchanges,
    last_views,
    quiesced_at,
    views,
)
from waxwingglade.proof.turns import SplitHistory, Turn, split_history
from waxwingglade.proof.violation import Point, Violation
from waxwingglade.standins import engine_text


def check_history(history: History) -> list[Violation]:
    """Return the histories that lost messages or have messages that don't belong to them."""
    submissions = call_exchanges(history)
    calls = _calls_by_program(submissions)
    found = _unreadable(history)
    for program, shown in views(history).items():
        found += _shortened(program, shown)
        found += _missing_answers(program, shown, submissions)
        split = split_history(shown[-1].answer, calls.get(program, {}))
        found += _foreign_messages(program, split)
        found += _wrong_text(program, shown[-1].answer.history, split.turns)
    return found + _wrong_prompts(history, calls)


def _calls_by_program(
    submissions: dict[CallKey, list[Exchange]],
) -> dict[ProgramId, dict[CallId, Call]]:
    calls: dict[ProgramId, dict[CallId, Call]] = {}
    for key, attempts in submissions.items():
        calls.setdefault(key.program, {})[key.call] = attempts[0].submitted.request.call
    return calls


def _unreadable(history: History) -> list[Violation]:
    """Return the programs that could not be read after all faults were over."""
    end = quiesced_at(history)
    asked: dict[ProgramId, list[Exchange]] = {}
    for each in exchanges(history):
        if isinstance(each.submitted.request, ReadProgram) and each.submitted.at >= end:
            asked.setdefault(each.submitted.request.program, []).append(each)
    known = views(history)
    return [
        Violation(Point.HISTORY, program, f"cannot be read: {attempts[-1].answer}")
        for program, attempts in asked.items()
        if program in known and not any(isinstance(a.answer, ProgramView) for a in attempts)
    ]


def _shortened(program: ProgramId, shown: list[Exchange]) -> list[Violation]:
    """Return the views that lack messages of an earlier view."""
    found = []
    longest = shown[0]
    for each in shown[1:]:
        if each.submitted.at < longest.answered.at:
            continue
        before, now = longest.answer.history, each.answer.history
        if now[: len(before)] != before:
            text = f"a history of {len(before)} messages became another of {len(now)}"
            found.append(Violation(Point.HISTORY, program, text, [longest.answered, each.answered]))
        if len(now) >= len(before):
            longest = each
    return found


def _missing_answers(
    program: ProgramId, shown: list[Exchange], submissions: dict[CallKey, list[Exchange]]
) -> list[Violation]:
    """Return the answers that a caller received and that a later view does not have."""
    found = []
    for key, attempts in submissions.items():
        known = done_at(attempts) if key.program == program else None
        if known is None:
            continue
        for exchange in shown:
            if exchange.submitted.at >= known and not _has_answer(exchange.answer, key.call):
                text = f"call {key.call} was answered and is missing from a later view"
                found.append(Violation(Point.HISTORY, program, text, [exchange.answered]))
                break
    return found


def _has_answer(view: ProgramView, call: CallId) -> bool:
    return any(each.call == call and isinstance(each.outcome, Done) for each in view.calls)


def _foreign_messages(program: ProgramId, split: SplitHistory) -> list[Violation]:
    if split.foreign is None:
        return []
    content = split.foreign.content[:80]
    text = f"the history has a message that belongs to none of its calls: {content!r}"
    return [Violation(Point.HISTORY, program, text)]


def _wrong_text(program: ProgramId, messages: list[Message], turns: list[Turn]) -> list[Violation]:
    """Return the answers that differ from the model's answer to this history."""
    found = []
    for turn in turns:
        if not isinstance(turn.call, ModelCall):
            continue
        prompt = messages[: turn.end - 1]
        tokens = engine_text.count_tokens(turn.text)
        if engine_text.answer_text(turn.call.model, prompt, tokens) != turn.text:
            text = f"the answer to call {turn.call.call} belongs to another history"
            found.append(Violation(Point.HISTORY, program, text))
    return found


def _wrong_prompts(history: History, calls: dict[ProgramId, dict[CallId, Call]]) -> list[Violation]:
    """Return the engine requests whose prompt is not the history up to the call."""
    shown = last_views(history)
    allowed: dict[CallKey, set[str]] = {}
    found = []
    for seen in history.of(GenerationSeen):
        key = CallKey(seen.program, seen.call)
        call = calls.get(key.program, {}).get(key.call)
        if key.program not in shown or not isinstance(call, ModelCall):
            continue
        if key not in allowed:
            allowed[key] = _prompts(shown[key.program].history, call)
        if seen.conversation not in allowed[key]:
            text = f"{seen.target} received another history for call {seen.call}"
            found.append(Violation(Point.HISTORY, seen.program, text, [seen]))
    return found


def _prompts(messages: list[Message], call: ModelCall) -> set[str]:
    """Return the digests of the valid prompts of a call."""
    starts = (messages[:end] for end in range(len(messages) + 1))
    return {
        f"{engine_text.answer_seed(call.model, [*start, *call.messages]):016x}" for start in starts
    }
