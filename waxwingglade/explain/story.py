"""Collect the log lines about one request: its own, its turn's, and failures around that time."""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from waxwingglade.explain.lines import LogLine

REQUEST = "request"
"""Event of the line that an entry writes when a request has ended."""

SLOW_ANSWER = "ledger slow to answer"
"""Event of the line in which an entry lists the ledger replicas that it asked."""

ACCOUNT_DELAYED = "account held up"
"""Event of a delayed change of a program's account; the line names no turn."""

LOOP_DELAYED = "event loop delayed"
"""Event of a process that was stalled."""

BEFORE_S = 5.0
"""Seconds before a request in which a failure can be its cause.  A failure is noticed within half a
second, and everything must work again three seconds after it."""

CONTEXT_EVENTS = frozenset(
    {
        "change of members",
        "configuration in force",
        "disk lost",
        "disk regained",
        "draining",
        "failures of a request cleared",
        LOOP_DELAYED,
        "idle connections dropped",
        "ledger quorum lost",
        "ledger quorum regained",
        "log lines dropped",
        "request held back",
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
"""Events that change what processes can reach or which state they have cached."""

Lines = Callable[[], Iterable[LogLine]]


class Story(msgspec.Struct, frozen=True):
    """The log lines about a request, each list in order of time.

    Parameters
    ----------
    own : list of LogLine
        Lines of its end; several if several entries received the same id.
    turn : list of LogLine
        Lines of other processes that name it as a turn.
    program : list of LogLine
        Ends of the other requests of its program that failed.
    around : list of LogLine
        Failures and changes of state shortly before and during the request.
    account : list of LogLine
        Changes of its program's account that were delayed during the request.
    repeats : list of LogLine
        Ends of other requests with the same fingerprint: the same work under another id.
    """

    own: list[LogLine]
    turn: list[LogLine]
    program: list[LogLine]
    around: list[LogLine]
    account: list[LogLine]
    repeats: list[LogLine]


def tell(request: str, lines: Lines) -> Story:
    """Return the log lines about a request.

    Parameters
    ----------
    request : str
        Its id.
    lines : callable
        Returns the lines of all logs.  It is called twice, so that logs need not fit into memory.
    """
    own: list[LogLine] = []
    turn: list[LogLine] = []
    for line in lines():
        if line.event == REQUEST and line.has_value("request", request):
            own.append(line)
        elif line.has_value("turn", request) or line.has_value("previous", request):
            turn.append(line)
    during = [(line.began_at, line.time) for line in own]
    spans = [(began_at - BEFORE_S, ended_at) for began_at, ended_at in during]
    programs = {line.fields.get("program") for line in own} - {None}
    fingerprints = {line.fields.get("fingerprint") for line in own} - {None}
    repeats: list[LogLine] = []
    program: list[LogLine] = []
    around: list[LogLine] = []
    account: list[LogLine] = []
    for line in lines():
        if line.event in CONTEXT_EVENTS and _is_within(line, spans):
            around.append(line)
        if (
            line.event == ACCOUNT_DELAYED
            and _belongs_to(line, programs)
            and _is_within(line, during)
        ):
            account.append(line)
        if not _failed(line) or line in own:
            continue
        if line.fields.get("fingerprint") in fingerprints:
            repeats.append(line)
        elif _belongs_to(line, programs):
            program.append(line)
    lists = (own, turn, program, around, account, repeats)
    return Story(*(sorted(each, key=_time) for each in lists))


def _is_within(line: LogLine, spans: list[tuple[float, float]]) -> bool:
    """Return whether the event of a line overlaps one of the time spans."""
    return any(begin <= line.time and line.began_at <= end for begin, end in spans)


def _belongs_to(line: LogLine, programs: set[Any]) -> bool:
    return line.fields.get("program") in programs


def _failed(line: LogLine) -> bool:
    """Return whether a line is the end of a request that failed."""
    if line.event != REQUEST:
        return False
    return line.fields.get("status", 0) >= 400 or "reason" in line.fields


def _time(line: LogLine) -> float:
    return line.time


__all__ = ["Story", "tell"]
