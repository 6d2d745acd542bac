"""A graceful shutdown cuts off no request.

A request that an entry took in, before or while it shuts down, gets its answer.  A refused
connection is no cut: the balancer tries another entry.  Nor may the shutdown show in the answer as
a call that was broken off, unless the call's program had ended.
"""

from typing import NamedTuple

from waxwingglade.base import EntryId, ErrorCode, Failure, ProgramId
from waxwingglade.proof.history import (
    DrainEnded,
    DrainStarted,
    EntryDown,
    History,
    NoAnswer,
    NoAnswerCause,
)
from waxwingglade.proof.index import Exchange, end_requests, ended_at, exchanges, last_views
from waxwingglade.proof.violation import Point, Violation

LIMIT_REASON = "budget exceeded"
"""How the reason of an end at a limit begins."""

LIMIT_SEEN_S = 5.0
"""Seconds from such an end until a caller is shown it."""


def check_drain(history: History) -> list[Violation]:
    """Return the requests that a graceful shutdown cut off, and shutdowns that went wrong."""
    found = []
    for start in history.of(DrainStarted):
        end = _end_of(history, start)
        if end is None:
            found.append(Violation(Point.DRAIN, start.entry, "it did not end", [start]))
            continue
        if end.exit_status != 0:
            text = f"it ended with status {end.exit_status}"
            found.append(Violation(Point.DRAIN, start.entry, text, [start, end]))
        found += _cut_off(history, start, end)
    return found


def _end_of(history: History, start: DrainStarted) -> DrainEnded | None:
    ends = [e for e in history.of(DrainEnded) if e.entry == start.entry and e.at >= start.at]
    return ends[0] if ends else None


def _cut_off(history: History, start: DrainStarted, end: DrainEnded) -> list[Violation]:
    killed = [e.at for e in history.of(EntryDown) if e.entry == start.entry]
    if any(start.at <= at < end.at for at in killed):
        # It was killed on top; then nothing can be asked of it.
        return []
    breaks = _breaks(history)
    return [
        Violation(
            Point.DRAIN,
            start.entry,
            f"a request was cut off: {each.answer}",
            [start, each.submitted, each.answered, end],
        )
        for each in exchanges(history)
        if _under_way(each, start, end) and _is_cut(each, start.entry, breaks)
    ]


def _under_way(each: Exchange, start: DrainStarted, end: DrainEnded) -> bool:
    if each.answered is None:
        return False
    return each.submitted.at <= end.at and each.answered.at >= start.at


class Span(NamedTuple):
    """A part of the time."""

    start: float
    end: float


def _breaks(history: History) -> dict[ProgramId, list[Span]]:
    """Return when each program's own end may have broken its calls off."""
    found: dict[ProgramId, list[Span]] = {}
    shown = last_views(history)
    for program, seen_at in ended_at(history).items():
        if shown[program].end_reason.startswith(LIMIT_REASON):
            found.setdefault(program, []).append(Span(seen_at - LIMIT_SEEN_S, seen_at))
    for program, requests in end_requests(history).items():
        asked = Span(requests[0].submitted.at, float("inf"))
        found.setdefault(program, []).append(asked)
    return found


def _is_cut(each: Exchange, leaving: EntryId, breaks: dict[ProgramId, list[Span]]) -> bool:
    answer = each.answer
    if isinstance(answer, NoAnswer):
        return answer.cause is NoAnswerCause.CUT and each.submitted.entry == leaving
    if not isinstance(answer, Failure) or answer.code is not ErrorCode.CANCELLED:
        return False
    # Whichever entry the caller asked, the call may have run on the leaving one.  Only a program
    # that ends, by its caller or at a limit, breaks its own calls off.
    program = getattr(each.submitted.request, "program", None)
    spans = breaks.get(program, [])
    return not any(span.start <= each.answered.at <= span.end for span in spans)
