"""What a request waited for at the ledger: its program's account, a majority, or a process."""

from collections import Counter
from collections.abc import Iterable
from enum import Enum
from typing import Any

import msgspec

from waxwingglade.explain.ledger_wait import BEGIN, END, Wait, ended_by, waits_for
from waxwingglade.explain.lines import LogLine
from waxwingglade.explain.story import LOOP_DELAYED, Story

LEDGER = "ledger"
"""Kind of the ledger's processes."""

HELD_UP_ANSWER = "kept, not settled"
"""What a replica answers if a majority has a turn and its account is late."""

OUT_OF_TIME = "no majority in time"
"""Reason of a change that was given up, which says nothing of the members."""

LATE_S = 0.1
"""Seconds from which on copies, or an account after them, are named as what was waited for."""


class CauseKind(Enum):
    """What an answer of the ledger waited for."""

    ACCOUNT = "account"
    MAJORITY = "majority"
    PROCESS = "process"
    UNKNOWN = "unknown"


class LedgerCause(msgspec.Struct, frozen=True):
    """One thing that held up an answer of the ledger.

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

    What lines of its turn say comes before what merely happened at the same time, and a majority
    that some process reached before one that another did not reach.  The list is empty if the
    request did not wait for the ledger.  Where it ended since the ledger did not answer, only that
    answer counts.

    Parameters
    ----------
    story : Story
        What the logs tell of the request.
    """
    ends = waits_for(story, END)
    begins = [] if ended_by(story, END) else waits_for(story, BEGIN)
    waits = [*ends, *begins]
    if not waits:
        return []
    causes = [*_causes_of_end(story, ends), *_causes_of_begin(story, begins)]
    causes += _stalled_processes(story, waits)
    return causes or [_nothing_tells(waits)]


# The end of a turn


def _causes_of_end(story: Story, waits: list[Wait]) -> list[LedgerCause]:
    if not waits:
        return []
    end = max(wait.end for wait in waits)
    slow = _lines(story, "turn slow to end")
    copied = [line for line in slow if _was_copied(line) and _asked_at(line) <= end]
    kept = [line for line in copied if line.fields.get("kept")]
    failed = [line for line in copied if not line.fields.get("kept")]
    refused = _lines(story, "turn not kept")
    causes = [*_late_accounts(story, waits, kept), *_late_copies(kept)]
    if refused or failed:
        subject = "no majority kept it"
        if kept or causes:
            sources = dict.fromkeys(line.source for line in refused or failed)
            subject = f"{', '.join(sources)} reached no majority to keep it"
        causes.append(LedgerCause(CauseKind.MAJORITY, _without_majority(subject, refused)))
    return causes


def _was_copied(line: LogLine) -> bool:
    """Return whether a turn was to be kept: a settlement alone takes no time for copies."""
    return line.fields.get("kept_s", 0.0) > 0


def _asked_at(line: LogLine) -> float:
    """Return when a ledger process began to end a turn; one that was stopped does so too late."""
    return line.time - max(line.fields["kept_s"], line.fields.get("settled_s", 0.0))


def _kept_at(line: LogLine) -> float:
    return _asked_at(line) + line.fields["kept_s"]


def _late_accounts(story: Story, waits: list[Wait], kept: list[LogLine]) -> list[LedgerCause]:
    """Return whether a majority kept a turn while its program's account was late."""
    end = max(wait.end for wait in waits)
    in_time = [line for line in kept if _kept_at(line) <= end]
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
    if any(_was_held_up(asked) for wait in waits for asked in wait.asked):
        text = f"a majority kept it; its program's account held up the answer, beside {others}"
        return [LedgerCause(CauseKind.ACCOUNT, text)]
    return []


def _after_copies_s(line: LogLine) -> float:
    """Return how much longer the account of a turn's program took than its copies."""
    return line.fields.get("settled_s", 0.0) - line.fields["kept_s"]


def _was_held_up(asked: dict[str, Any]) -> bool:
    """Return whether a replica was long in saying that a turn is kept and not settled."""
    return asked.get("answer") == HELD_UP_ANSWER and asked.get("seconds", 0.0) >= LATE_S


def _late_copies(kept: list[LogLine]) -> list[LedgerCause]:
    """Return whether copies came to a majority late."""
    seconds = [line.fields["kept_s"] for line in kept]
    if not seconds or min(seconds) < LATE_S:
        return []
    return [LedgerCause(CauseKind.MAJORITY, f"a majority kept it only after {min(seconds):g} s")]


# The beginning of a turn


def _causes_of_begin(story: Story, waits: list[Wait]) -> list[LedgerCause]:
    if not waits:
        return []
    refused = _lines(story, "turn not begun")
    telling = [line for line in refused if _tells_of_members(line)]
    if telling:
        text = _without_majority("no majority let it begin", telling)
        return [LedgerCause(CauseKind.MAJORITY, text)]
    if not _held_up(story, waits):
        return []
    others = _other_changes(story, waits, refused)
    text = f"its program's account was held up when it was to begin, beside {others}"
    return [LedgerCause(CauseKind.ACCOUNT, text)]


def _tells_of_members(line: LogLine) -> bool:
    return bool(line.fields.get("silent")) or not line.names("reason", OUT_OF_TIME)


# Both


def _lines(story: Story, event: str) -> list[LogLine]:
    return [line for line in story.turn if line.event == event]


def _without_majority(subject: str, refused: list[LogLine]) -> str:
    """Return who was silent, those that most processes name first, and who was joining."""
    text = subject
    if silent := _named(refused, "silent"):
        text += f": no answer from {', '.join(silent)}"
    elif reasons := dict.fromkeys(str(line.fields.get("reason", "")) for line in refused):
        text += f": {', '.join(reasons)}"
    # A settled set of members still names the one that was added to it last.
    unsettled = [line for line in refused if line.fields.get("settled") is False]
    if joining := _named(unsettled, "joining"):
        text += f"; joining: {', '.join(joining)}"
    return text


def _named(lines: Iterable[LogLine], field: str) -> list[str]:
    counts = Counter(name for line in lines for name in line.fields.get(field, []))
    return sorted(counts, key=lambda name: (-counts[name], name))


def _held_up(story: Story, waits: list[Wait]) -> list[LogLine]:
    """Return the changes of a program's account that were held up during a wait."""
    return [line for line in story.account if any(wait.overlaps(line) for wait in waits)]


def _other_changes(story: Story, waits: list[Wait], own: list[LogLine]) -> str:
    """Return how many changes were held up, without those that lines of the turn itself tell of."""
    own_sources = Counter(line.source for line in own)
    all_sources = Counter(line.source for line in _held_up(story, waits))
    others = (all_sources - own_sources).total()
    return f"{others or 'no'} other change{'' if others == 1 else 's'}"


def _stalled_processes(story: Story, waits: list[Wait]) -> list[LedgerCause]:
    """Return which of the processes that a wait is about stood still during it."""
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


def _nothing_tells(waits: list[Wait]) -> LedgerCause:
    asked = [
        f"{each.get('replica')} ({each.get('answer')})" for wait in waits for each in wait.asked
    ]
    text = "nothing in these logs tells what it waited for"
    if asked:
        text += f"; asked were {', '.join(asked)}"
    return LedgerCause(CauseKind.UNKNOWN, text)


__all__ = ["CauseKind", "LedgerCause", "ledger_causes"]
