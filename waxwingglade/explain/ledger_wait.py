"""Find out when a request waited for the ledger."""

from typing import Any

import msgspec

from waxwingglade.explain.lines import LogLine
from waxwingglade.explain.story import SLOW_ANSWER, Story

BEGIN, END = "BeginTurn", "EndTurn"
"""Messages that an entry sends to the ledger while a caller waits."""

REASONS = {
    BEGIN: "not run: the ledger did not decide",
    END: "the turn could not be kept",
}
"""Prefixes of the logged reasons of requests whose message got no answer in time."""


class Wait(msgspec.Struct, frozen=True):
    """A time span in which an entry waited for the ledger while its caller waited.

    Parameters
    ----------
    begin, end : float
        Limits of the span, in seconds since 1970.
    source : str
        Log file of the entry.
    asked : list of dict
        Requests to replicas during the span, as logged by the entry.
    """

    begin: float
    end: float
    source: str
    asked: list[dict[str, Any]]

    def overlaps(self, line: LogLine) -> bool:
        """Return whether the event of a line overlaps this span."""
        return self.begin <= line.time and line.began_at <= self.end


def waits_for(story: Story, message: str) -> list[Wait]:
    """Return when a request waited for the ledger's answer to one kind of message.

    An entry also resolves reservations after their requests have ended; no caller waits for that.

    Parameters
    ----------
    story : Story
        Log lines about the request.
    message : str
        The kind of message, `BEGIN` or `END`.
    """
    waits = []
    for line in story.turn:
        if line.event != SLOW_ANSWER or not line.has_value("request", message):
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
    """Return whether a request ended because the ledger did not answer one kind of message.

    Parameters
    ----------
    story : Story
        Log lines about the request.
    message : str
        The kind of message, `BEGIN` or `END`.
    """
    return any(_is_reason(line, message) for line in story.own)


def _is_reason(line: LogLine, message: str) -> bool:
    return str(line.fields.get("reason", "")).startswith(REASONS[message])


def _ended_before(line: LogLine, own: list[LogLine]) -> bool:
    """Return whether an entry logged a line before the request's end, if that end is logged."""
    if not own:
        return True
    return any(each.source == line.source and line.time <= each.time for each in own)


__all__ = ["BEGIN", "END", "Wait", "ended_by", "waits_for"]
