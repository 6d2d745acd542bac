"""Check that a graceful shutdown cuts off no request.

A request that an entry accepted before or during its shutdown gets its answer.  A refused
connection is no violation, because the load balancer tries another entry.  An answer that a call
was cancelled is also a violation, unless the call's program had ended.
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
"""Prefix of the reason if a program ended at a limit of its budget."""

LIMIT_VISIBLE_S = 5.0
"""Greatest delay in seconds from an end at a limit until a caller sees it."""


def check_drain(history: History) -> list[Violation]:
    """Return the requests that a graceful shutdown cut off, and the failed shutdowns."""
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
        # The entry was killed during its shutdown, so nothing can be required of it.
        return []
    cancellations = _cancellations(history)
    return [
        Violation(
            Point.DRAIN,
            start.entry,
            f"a request was cut off: {each.answer}",
            [start, each.submitted, each.answered, end],
        )
        for each in exchanges(history)
        if _in_progress(each, start, end) and _is_cut(each, start.entry, cancellations)
    ]


def _in_progress(each: Exchange, start: DrainStarted, end: DrainEnded) -> bool:
    if each.answered is None:
        return False
    return each.submitted.at <= end.at and each.answered.at >= start.at


class Span(NamedTuple):
    """A time span."""

    start: float
    end: float


def _cancellations(history: History) -> dict[ProgramId, list[Span]]:
    """Return the time spans in which each program's end may have cancelled its calls."""
    found: dict[ProgramId, list[Span]] = {}
    shown = last_views(history)
    for program, seen_at in ended_at(history).items():
        if shown[program].end_reason.startswith(LIMIT_REASON):
            found.setdefault(program, []).append(Span(seen_at - LIMIT_VISIBLE_S, seen_at))
    for program, requests in end_requests(history).items():
        after_request = Span(requests[0].submitted.at, float("inf"))
        found.setdefault(program, []).append(after_request)
    return found


def _is_cut(each: Exchange, leaving: EntryId, cancellations: dict[ProgramId, list[Span]]) -> bool:
    answer = each.answer
    if isinstance(answer, NoAnswer):
        return answer.cause is NoAnswerCause.CUT and each.submitted.entry == leaving
    if not isinstance(answer, Failure) or answer.code is not ErrorCode.CANCELLED:
        return False
    # The call may have run on the leaving entry, whichever entry its caller used.  Only a program
    # that is ended by its caller or at a limit cancels its own calls.
    program = getattr(each.submitted.request, "program", None)
    spans = cancellations.get(program, [])
    return not any(span.start <= each.answered.at <= span.end for span in spans)
