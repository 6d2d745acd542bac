"""When a request waited for the ledger."""

from typing import Any

import msgspec

from waxwingglade.explain.lines import LogLine
from waxwingglade.explain.story import SLOW_ANSWER, Story

BEGIN, END = "BeginTurn", "EndTurn"
"""What an entry asks the ledger while a caller waits."""

REASONS = {
    BEGIN: "not run: the ledger did not decide",
    END: "the turn could not be kept",
}
"""Beginnings of the reasons of requests that waited in vain."""


class Wait(msgspec.Struct, frozen=True):
    """A time in which an entry waited for the ledger while its caller waited.

    Parameters
    ----------
    begin, end : float
        The time, in seconds since 1970.
    source : str
        Log of the entry.
    asked : list of dict
        The askings of replicas.
    """

    begin: float
    end: float
    source: str
    asked: list[dict[str, Any]]

    def overlaps(self, line: LogLine) -> bool:
        """Return whether what a line tells of went on during this time."""
        return self.begin <= line.time and line.began_at <= self.end


def waits_for(story: Story, message: str) -> list[Wait]:
    """Return when a request waited for the ledger's answer to one kind of message.

    An entry also settles turns after their requests have ended, and nobody waits for that.

    Parameters
    ----------
    story : Story
        What the logs tell of the request.
    message : str
        The kind of message, `BEGIN` or `END`.
    """
    waits = []
    for line in story.turn:
        if line.event != SLOW_ANSWER or not line.names("request", message):
            continue
        if _ended_before(line, story.own):
            waits.append(Wait(line.began_at, line.time, line.source, line.fields.get("asked", [])))
    if waits:
        return waits
    return [
        Wait(line.began_at, line.time, line.source, [])
        for line in story.own
        if _is_reason(line, message)
    ]


def ended_by(story: Story, message: str) -> bool:
    """Return whether a request ended since the ledger did not answer one kind of message.

    Parameters
    ----------
    story : Story
        What the logs tell of the request.
    message : str
        The kind of message, `BEGIN` or `END`.
    """
    return any(_is_reason(line, message) for line in story.own)


def _is_reason(line: LogLine, message: str) -> bool:
    return str(line.fields.get("reason", "")).startswith(REASONS[message])


def _ended_before(line: LogLine, own: list[LogLine]) -> bool:
    """Return whether an entry wrote a line before the request's own, if that is in the logs."""
    if not own:
        return True
    return any(each.source == line.source and line.time <= each.time for each in own)


__all__ = ["BEGIN", "END", "Wait", "ended_by", "waits_for"]
