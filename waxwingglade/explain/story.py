"""Gather what logs tell of one request: its own lines, its turn's, and what was lost around it."""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from waxwingglade.explain.lines import LogLine

REQUEST = "request"
"""Event of the line that an entry writes when a request has ended."""

SLOW_ANSWER = "ledger slow to answer"
"""Event of the line in which an entry tells whom it asked of the ledger."""

HELD_UP = "account held up"
"""Event of a late change of a program's account, which names no turn."""

LOOP_DELAYED = "event loop delayed"
"""Event of a process that stood still."""

BEFORE_S = 5.0
"""Seconds before a request in which a loss can be its cause: half a second until a loss is noticed,
and the three seconds after which all has to work again."""

SURROUNDINGS = frozenset(
    {
        "change of members",
        "configuration in force",
        "disk lost",
        "disk regained",
        "draining",
        LOOP_DELAYED,
        "idle connections dropped",
        "ledger quorum lost",
        "ledger quorum regained",
        "log lines dropped",
        "no source, following the store",
        "source lost",
        "started",
        "store lost",
        "store regained",
        "target gone",
        "target leaving",
        "target started again",
    }
)
"""Events that change what processes can do or believe."""

Lines = Callable[[], Iterable[LogLine]]


class Story(msgspec.Struct, frozen=True):
    """What the logs tell of a request, each list in order of time.

    Parameters
    ----------
    own : list of LogLine
        Lines of its end; more than one where the same id came to several entries.
    turn : list of LogLine
        Lines of other processes that name it as a turn.
    program : list of LogLine
        Ends of the other requests of its program that did not end well.
    around : list of LogLine
        Losses and changes shortly before it and during it.
    account : list of LogLine
        Changes of its program's account that were held up during it.
    """

    own: list[LogLine]
    turn: list[LogLine]
    program: list[LogLine]
    around: list[LogLine]
    account: list[LogLine]


def tell(request: str, lines: Lines) -> Story:
    """Return what logs tell of a request.

    Parameters
    ----------
    request : str
        Its id.
    lines : callable
        Returns the lines of all logs; it is called twice, so that logs need not fit into memory.
    """
    own: list[LogLine] = []
    turn: list[LogLine] = []
    for line in lines():
        if line.event == REQUEST and line.names("request", request):
            own.append(line)
        elif line.names("turn", request) or line.names("previous", request):
            turn.append(line)
    during = [(line.began_at, line.time) for line in own]
    spans = [(began_at - BEFORE_S, ended_at) for began_at, ended_at in during]
    programs = {line.fields.get("program") for line in own} - {None}
    program: list[LogLine] = []
    around: list[LogLine] = []
    account: list[LogLine] = []
    for line in lines():
        if line.event in SURROUNDINGS and _is_within(line, spans):
            around.append(line)
        if line.event == HELD_UP and _is_of(line, programs) and _is_within(line, during):
            account.append(line)
        if _is_of(line, programs) and _failed(line) and line not in own:
            program.append(line)
    return Story(*(sorted(each, key=_time) for each in (own, turn, program, around, account)))


def _is_within(line: LogLine, spans: list[tuple[float, float]]) -> bool:
    """Return whether what a line says falls into one of some times, if only in part."""
    return any(begin <= line.time and line.began_at <= end for begin, end in spans)


def _is_of(line: LogLine, programs: set[Any]) -> bool:
    return line.fields.get("program") in programs


def _failed(line: LogLine) -> bool:
    """Return whether a line is that of a request which did not end well."""
    if line.event != REQUEST:
        return False
    return line.fields.get("status", 0) >= 400 or "reason" in line.fields


def _time(line: LogLine) -> float:
    return line.time


__all__ = ["Story", "tell"]
