"""Check that each caller gets the complete answer to its own request, in any order of arrival.

An answer belongs to its request if it equals the answer to that call in the program's history, or
the result of the tool's effect.
"""

from waxwingglade.base import Failure, ProgramId
from waxwingglade.connection.peer_messages import (
    CreateProgram,
    FollowCall,
    ProgramView,
    SubmitCall,
)
from waxwingglade.program import Done, ModelCall, ToolCall
from waxwingglade.proof.history import EffectSeen, History, TextReset
from waxwingglade.proof.index import (
    CallKey,
    Exchange,
    call_exchanges,
    exchanges,
    last_views,
    quiesced_at,
)
from waxwingglade.proof.violation import Point, Violation
from waxwingglade.standins import engine_text

STOP = "stop"


def check_answers(history: History) -> list[Violation]:
    """Return the answers that belong to another request, are truncated or were never received."""
    results = _results(history)
    texts = _texts(history)
    found: list[Violation] = []
    for key, attempts in call_exchanges(history).items():
        answered = [each for each in attempts if isinstance(each.answer, Done)]
        found += _differing(key, answered)
        for each in answered:
            found += _foreign_result(key, each, results)
            found += _foreign_text(key, each, texts)
            found += _truncated(key, each)
    for each in exchanges(history):
        found += _inconsistent_stream(each)
        found += _other_program(each)
    return found + _unanswered(history)


def _results(history: History) -> dict[CallKey, list]:
    results: dict[CallKey, list] = {}
    for seen in history.of(EffectSeen):
        results.setdefault(CallKey(seen.program, seen.call), []).append(seen.result)
    return results


def _texts(history: History) -> dict[CallKey, str]:
    return {
        CallKey(program, each.call): each.outcome.text
        for program, view in last_views(history).items()
        for each in view.calls
        if isinstance(each.outcome, Done)
    }


def _violation(key: CallKey, text: str, *seen: Exchange) -> Violation:
    events = [each.answered for each in seen if each.answered]
    return Violation(Point.ANSWERS, key.program, f"call {key.call}: {text}", events)


def _differing(key: CallKey, answered: list[Exchange]) -> list[Violation]:
    for each in answered[1:]:
        if each.answer != answered[0].answer:
            return [_violation(key, "two callers got different answers", answered[0], each)]
    return []


def _foreign_result(key: CallKey, each: Exchange, results: dict[CallKey, list]) -> list[Violation]:
    if not isinstance(each.submitted.request.call, ToolCall):
        return []
    if each.answer.result in results.get(key, []):
        return []
    return [_violation(key, "the result differs from that of the call's own effect", each)]


def _foreign_text(key: CallKey, each: Exchange, texts: dict[CallKey, str]) -> list[Violation]:
    if key not in texts or texts[key] == each.answer.text:
        return []
    return [_violation(key, "the text differs from the one in the program's history", each)]


def _truncated(key: CallKey, each: Exchange) -> list[Violation]:
    """Return the violation if a finished answer's length differs from the requested one."""
    call = each.submitted.request.call
    if not isinstance(call, ModelCall) or each.answer.finish_reason != STOP:
        return []
    requested = engine_text.LENGTH_REQUEST.search(call.messages[-1].content)
    tokens = engine_text.count_tokens(each.answer.text)
    if requested is None or tokens == int(requested[1]):
        return []
    return [_violation(key, f"{tokens} tokens arrived instead of {requested[1]}", each)]


def _inconsistent_stream(each: Exchange) -> list[Violation]:
    """Return the violation if the pieces of streamed text don't make up the final answer."""
    request = each.submitted.request
    if not each.pieces or not isinstance(request, SubmitCall | FollowCall):
        return []
    call = request.call if isinstance(request, FollowCall) else request.call.call
    key = CallKey(request.program, call)
    start = request.offset
    text = ""
    for piece in each.pieces:
        if isinstance(piece, TextReset):
            start, text = 0, ""
        elif piece.offset != start + len(text):
            return [_violation(key, f"text at {piece.offset} came after {len(text)}", each)]
        else:
            text += piece.text
    if isinstance(each.answer, Done) and text != each.answer.text[start:]:
        return [_violation(key, "the streamed text differs from the answer", each)]
    return []


def _other_program(each: Exchange) -> list[Violation]:
    request = each.submitted.request
    if not isinstance(each.answer, ProgramView) or isinstance(request, CreateProgram):
        return []
    if each.answer.program == request.program and each.answer.tenant == request.tenant:
        return []
    text = f"a read returned {each.answer.program}"
    return [Violation(Point.ANSWERS, request.program, text, [each.answered])]


def _unanswered(history: History) -> list[Violation]:
    """Return the requests sent after all faults were over that got no answer."""
    end = quiesced_at(history)
    return [
        Violation(Point.ANSWERS, _subject(each), f"no answer: {each.answer}", [each.submitted])
        for each in exchanges(history)
        if each.submitted.at >= end and not isinstance(each.answer, ProgramView | Done | Failure)
    ]


def _subject(each: Exchange) -> ProgramId:
    return getattr(each.submitted.request, "program", ProgramId(""))
