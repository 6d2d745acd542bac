"""Find out what a request waited for at the ledger: its account, a majority, or a process."""

from collections import Counter
from collections.abc import Iterable
from enum import Enum
from typing import Any

import msgspec

from waxwingglade.explain.ledger_wait import BEGIN, END, Wait, ended_by, waits_for
from waxwingglade.explain.lines import LogLine
from waxwingglade.explain.story import LOOP_DELAYED, Story

LEDGER = "ledger"
"""Kind of process of the ledger's replicas."""

UNRESOLVED_ANSWER = "kept, not settled"
"""A replica's answer if a majority has stored a turn but its reservation is not resolved."""

TIMEOUT_REASON = "no majority in time"
"""Reason of a change that was abandoned, which does not identify the failed members."""

LATE_S = 0.1
"""Least seconds for which copies, or an account change after them, are reported as a cause."""


class CauseKind(Enum):
    """Kind of cause of a delayed answer of the ledger."""

    ACCOUNT = "account"
    MAJORITY = "majority"
    PROCESS = "process"
    UNKNOWN = "unknown"


class LedgerCause(msgspec.Struct, frozen=True):
    """One cause of a delayed answer of the ledger.

    Parameters
    ----------
    kind : CauseKind
        Kind of the cause.
    text : str
        The cause in a sentence.
    """

    kind: CauseKind
    text: str


def ledger_causes(story: Story) -> list[LedgerCause]:
    """Return what a request waited for at the ledger, the strongest cause first.

    Causes that are logged for the turn itself come before events that merely happened at the same
    time.  If one process reached a majority and another did not, the cause from the former comes
    first.  The list is empty if the request did not wait for the ledger.  If the request ended
    because the ledger did not answer the end of its turn, the turn's beginning is not considered.

    Parameters
    ----------
    story : Story
        Log lines about the request.
    """
    ends = waits_for(story, END)
    begins = [] if ended_by(story, END) else waits_for(story, BEGIN)
    waits = [*ends, *begins]
    if not waits:
        return []
    causes = [*_causes_of_end(story, ends), *_causes_of_begin(story, begins)]
    causes += _stalled_processes(story, waits)
    return causes or [_unknown_cause(waits)]


# The end of a turn


def _causes_of_end(story: Story, waits: list[Wait]) -> list[LedgerCause]:
    if not waits:
        return []
    end = max(wait.end for wait in waits)
    slow = _lines(story, "turn slow to end")
    to_store = [line for line in slow if _had_to_be_stored(line) and _asked_at(line) <= end]
    stored = [line for line in to_store if line.fields.get("kept")]
    failed = [line for line in to_store if not line.fields.get("kept")]
    refused = _lines(story, "turn not kept")
    causes = [*_late_accounts(story, waits, stored), *_late_copies(stored)]
    if refused or failed:
        subject = "no majority kept it"
        if stored or causes:
            sources = dict.fromkeys(line.source for line in refused or failed)
            subject = f"{', '.join(sources)} reached no majority to keep it"
        causes.append(LedgerCause(CauseKind.MAJORITY, _without_majority(subject, refused)))
    return causes


def _had_to_be_stored(line: LogLine) -> bool:
    """Return whether a turn had to be stored; resolving only its reservation takes no copies."""
    return line.fields.get("kept_s", 0.0) > 0


def _asked_at(line: LogLine) -> float:
    """Return when a ledger process began to end a turn, which is late after a stall."""
    return line.time - max(line.fields["kept_s"], line.fields.get("settled_s", 0.0))


def _stored_at(line: LogLine) -> float:
    return _asked_at(line) + line.fields["kept_s"]


def _late_accounts(story: Story, waits: list[Wait], stored: list[LogLine]) -> list[LedgerCause]:
    """Return the account as the cause if a majority had stored the turn before it."""
    end = max(wait.end for wait in waits)
    in_time = [line for line in stored if _stored_at(line) <= end]
    late = [line for line in in_time if _after_copies_s(line) >= LATE_S]
    others = _other_changes(story, waits, late)
    if late:
        kept_s = min(line.fields["kept_s"] for line in late)
        settled_s = max(line.fields["settled_s"] for line in late)
        text = (
            f"a majority kept it within {kept_s:g} s; its program's account held up the answer "
            f"for {settled_s:g} s, beside {others}"
        )
        return [LedgerCause(CauseKind.ACCOUNT, text)]
    if any(_was_account_delayed(asked) for wait in waits for asked in wait.asked):
        text = f"a majority kept it; its program's account held up the answer, beside {others}"
        return [LedgerCause(CauseKind.ACCOUNT, text)]
    return []


def _after_copies_s(line: LogLine) -> float:
    """Return the seconds from storing a turn's copies to changing its program's account."""
    return line.fields.get("settled_s", 0.0) - line.fields["kept_s"]


def _was_account_delayed(asked: dict[str, Any]) -> bool:
    """Return whether a replica answered late that a turn is stored but not resolved."""
    return asked.get("answer") == UNRESOLVED_ANSWER and asked.get("seconds", 0.0) >= LATE_S


def _late_copies(stored: list[LogLine]) -> list[LedgerCause]:
    """Return the majority as the cause if its copies were stored late."""
    seconds = [line.fields["kept_s"] for line in stored]
    if not seconds or min(seconds) < LATE_S:
        return []
    return [LedgerCause(CauseKind.MAJORITY, f"a majority kept it only after {min(seconds):g} s")]


# The beginning of a turn


def _causes_of_begin(story: Story, waits: list[Wait]) -> list[LedgerCause]:
    if not waits:
        return []
    refused = _lines(story, "turn not begun")
    informative = [line for line in refused if _concerns_members(line)]
    if informative:
        text = _without_majority("no majority let it begin", informative)
        return [LedgerCause(CauseKind.MAJORITY, text)]
    if not _delayed_changes(story, waits):
        return []
    others = _other_changes(story, waits, refused)
    text = f"its program's account was held up when it was to begin, beside {others}"
    return [LedgerCause(CauseKind.ACCOUNT, text)]


def _concerns_members(line: LogLine) -> bool:
    return bool(line.fields.get("silent")) or not line.has_value("reason", TIMEOUT_REASON)


# Common to both


def _lines(story: Story, event: str) -> list[LogLine]:
    return [line for line in story.turn if line.event == event]


def _without_majority(subject: str, refused: list[LogLine]) -> str:
    """Return the subject with the members that did not answer and those that were joining.

    Members that more processes name come first.
    """
    text = subject
    if unresponsive := _named(refused, "silent"):
        text += f": no answer from {', '.join(unresponsive)}"
    elif reasons := dict.fromkeys(str(line.fields.get("reason", "")) for line in refused):
        text += f": {', '.join(reasons)}"
    # A settled set of members still names the member that was added last.
    unsettled = [line for line in refused if line.fields.get("settled") is False]
    if joining := _named(unsettled, "joining"):
        text += f"; joining: {', '.join(joining)}"
    return text


def _named(lines: Iterable[LogLine], field: str) -> list[str]:
    counts = Counter(name for line in lines for name in line.fields.get(field, []))
    return sorted(counts, key=lambda name: (-counts[name], name))


def _delayed_changes(story: Story, waits: list[Wait]) -> list[LogLine]:
    """Return the changes of a program's account that were delayed during a wait."""
    return [line for line in story.account if any(wait.overlaps(line) for wait in waits)]


def _other_changes(story: Story, waits: list[Wait], own: list[LogLine]) -> str:
    """Return in words how many delayed changes the turn's own lines don't report."""
    own_sources = Counter(line.source for line in own)
    all_sources = Counter(line.source for line in _delayed_changes(story, waits))
    others = (all_sources - own_sources).total()
    return f"{others or 'no'} other change{'' if others == 1 else 's'}"


def _stalled_processes(story: Story, waits: list[Wait]) -> list[LedgerCause]:
    """Return the processes involved in a wait that were stalled during it."""
    entries = {wait.source for wait in waits}
    longest: dict[str, float] = {}
    for line in story.around:
        if line.event != LOOP_DELAYED or not any(wait.overlaps(line) for wait in waits):
            continue
        if line.process == LEDGER or line.source in entries:
            longest[line.source] = max(line.seconds, longest.get(line.source, 0.0))
    if not longest:
        return []
    named = sorted(longest.items(), key=lambda item: -item[1])
    subject = "a process" if len(named) == 1 else "processes"
    text = f"{subject} stood still: " + ", ".join(f"{name} for {s:g} s" for name, s in named)
    return [LedgerCause(CauseKind.PROCESS, text)]


def _unknown_cause(waits: list[Wait]) -> LedgerCause:
    asked = [
        f"{each.get('replica')} ({each.get('answer')})" for wait in waits for each in wait.asked
    ]
    text = "nothing in these logs tells what it waited for"
    if asked:
        text += f"; asked were {', '.join(asked)}"
    return LedgerCause(CauseKind.UNKNOWN, text)


__all__ = ["CauseKind", "LedgerCause", "ledger_causes"]
