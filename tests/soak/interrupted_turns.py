"""Checks for turns that an entry interrupted, or refused due to the ledger, without any fault."""

from collections.abc import Mapping, Sequence

import msgspec

from tests.platform_cluster import ROUTE_S, STREAM
from tests.soak.cluster import MEMBERS
from tests.soak.kinds import FaultOccurrence
from tests.soak.workload import Attempt

LEDGER_WAIT_S = 1.5
"""Longest time in seconds for which a request waits for the ledger if a fault affects it."""

ASKED_LAST_S = 1.0
"""Seconds for which unresponsive processes are asked last."""

EXCUSED_AFTER_S = LEDGER_WAIT_S + ASKED_LAST_S
"""Seconds after the end of a fault for which it still excuses an interruption."""

LEDGER_REFUSALS = (b"the ledger did not decide", b"the ledger has too much to do")
"""Texts of refusals that the ledger causes."""


class Completion(msgspec.Struct, frozen=True):
    """The server that completed a request, and the time."""

    server: str
    at: float


def check_completed_turns(
    attempts: Sequence[Attempt],
    completions: Mapping[str, Completion],
    occurrences: Sequence[FaultOccurrence],
    ledgers: Sequence[str],
) -> list[str]:
    """Return the turns that a server completed but that ended early and incomplete for the caller.

    Turns that ended after the timeout of the route, or during a fault that excuses it, are skipped.

    Parameters
    ----------
    completions : mapping
        Requests that servers completed.
    occurrences : sequence of FaultOccurrence
        All faults of the run.
    ledgers : sequence of str
        Names of the ledger processes.
    """
    violations = []
    for attempt in attempts:
        completion = completions.get(attempt.request)
        if completion is None or not _is_interrupted(attempt):
            continue
        if _is_excused(attempt, completion.server, occurrences, ledgers):
            continue
        violations.append(
            f"{attempt.request} of {attempt.program}: broken off by {attempt.entry} after "
            f"{attempt.ended_at - attempt.sent_at:.2f} s with status {attempt.status} and "
            f"{attempt.events} events; {completion.server} had ended it after "
            f"{completion.at - attempt.sent_at:.2f} s"
        )
    return violations


def _is_interrupted(attempt: Attempt) -> bool:
    is_answered = attempt.status == 200 and attempt.whole
    in_time = attempt.ended_at - attempt.sent_at < ROUTE_S
    return attempt.path == STREAM and not is_answered and in_time


def _is_excused(
    attempt: Attempt, server: str, occurrences: Sequence[FaultOccurrence], ledgers: Sequence[str]
) -> bool:
    """Return whether faults affected the entry, the server, or a majority of the ledger."""
    begin, end = attempt.sent_at - EXCUSED_AFTER_S, attempt.ended_at
    overlapping = [each for each in occurrences if each.overlaps(begin, end)]
    if any(each.affects(attempt.entry) or each.affects(server) for each in overlapping):
        return True
    moments = [max(begin, each.began_at) for each in overlapping]
    return any(is_majority_lost(overlapping, moment, ledgers) for moment in moments)


def is_majority_lost(
    overlapping: Sequence[FaultOccurrence], moment: float, ledgers: Sequence[str]
) -> bool:
    """Return whether too few members of the ledger were unaffected at a moment."""
    concurrent = [each for each in overlapping if each.is_active(moment, moment)]
    affected = [name for name in ledgers if any(each.affects(name) for each in concurrent)]
    return MEMBERS - len(affected) < MEMBERS // 2 + 1


def check_ledger_refusals(
    attempts: Sequence[Attempt], occurrences: Sequence[FaultOccurrence]
) -> list[str]:
    """Return the turns that were refused due to the ledger in a run without faults."""
    if occurrences:
        return []
    return [
        f"{attempt.request} of {attempt.program}: refused by {attempt.entry} after "
        f"{attempt.ended_at - attempt.sent_at:.2f} s: {attempt.answer.decode().strip()}"
        for attempt in attempts
        if attempt.status == 503 and any(text in attempt.answer for text in LEDGER_REFUSALS)
    ]


__all__ = ["Completion", "check_completed_turns", "check_ledger_refusals", "is_majority_lost"]
