"""Explain in a sentence why a request ended as it did, from the line that its entry logged."""

from typing import Any

import msgspec

from waxwingglade.explain.lines import LogLine

SUCCESS = range(200, 300)


class Cause(msgspec.Struct, frozen=True):
    """A reason that entries log, and its explanation.

    Parameters
    ----------
    prefix : str
        Beginning of the logged reason.
    meaning : str
        What happened, and which other log lines to read.
    """

    prefix: str
    meaning: str


CAUSES = (
    Cause(
        "not run: the ledger did not decide",
        "too few ledger members were reached in time; see the ledgers' lines on this turn and the "
        "failures around it",
    ),
    Cause(
        "not run: the ledger has too much to do",
        "the ledger processes asked were already handling as many turns as they accept",
    ),
    Cause(
        "not run: the engines have all that they can do",
        "by the entry's load estimates, no engine could begin the turn in time",
    ),
    Cause(
        "not run: the client account is over its limit",
        "no ledger member that was asked had room left in its share of the account's limit; see "
        "'over the limit here' in the ledgers' lines around it",
    ),
    Cause(
        "not run: keys were confirmed",
        "the entry had not heard of the store for longer than the removal or the addition of a "
        "key may go unnoticed",
    ),
    Cause(
        "not run: limits were confirmed",
        "the ledger member asked had received nothing from the store for so long that other "
        "members may grant its share of the limits",
    ),
    Cause("not run: no member granted", "no ledger member that counts limits answered in time"),
    Cause("no key", "the request named no key, or more than one, on a route that needs one"),
    Cause("unknown key", "no client account of the configuration in force holds the request's key"),
    Cause("not run: the time of the request is over", "no target accepted it before its deadline"),
    Cause("not run: no route for a turn that goes on", "the entry's configuration was outdated"),
    Cause(
        "not run: held back",
        "targets had ended or broken off under this request or its repeats under other ids; "
        "'waxwingglade held' lists such requests and releases them",
    ),
    Cause("not run: refused", "each target that was asked refused it as full"),
    Cause("not run:", "no target could be reached; see the attempts"),
    Cause(
        "no configuration is known yet",
        "the entry had just started and had not reached a source of the configuration",
    ),
    Cause("no target", "no target of the service was registered and in use"),
    Cause("no route", "no route of the configuration in force has this host and path"),
    Cause("no such turn", "a majority of the ledger's members did not have the previous turn"),
    Cause("the budget is spent", "what was used and reserved left too little for another turn"),
    Cause(
        "the turn could not be kept",
        "its stream was aborted because the ledger did not say in time that the turn is stored",
    ),
    Cause(
        "the turn's reservation was not confirmed",
        "the ledger did not confirm in time that its tokens are reserved, or had given them to "
        "another turn of its program; it may have run, and its caller received no token",
    ),
    Cause("the time of the request is over", "a target had it until its time was over"),
    Cause(
        "the target broke off, not sent again",
        "a target, or the path to it, ended the connection, and the client account had no quota "
        "left to send it again; it may have run",
    ),
    Cause(
        "the target broke off", "a target, or the path to it, ended the connection; it may have run"
    ),
    Cause(
        "the target did not vouch", "the target's answer had no signature, so it was not passed on"
    ),
    Cause("the target answered", "the target's status would have misled the caller"),
    Cause("the caller has left", "the caller closed its connection first"),
    Cause("stopped", "the entry was stopped before the request had ended"),
)
"""Explanations of reasons; the first one whose prefix matches applies."""


def cause_of(line: LogLine) -> str:
    """Return a sentence that explains the end of a request.

    Parameters
    ----------
    line : LogLine
        The line that an entry wrote when the request ended.
    """
    reason = str(line.fields.get("reason", ""))
    for cause in CAUSES:
        if reason.startswith(cause.prefix):
            return cause.meaning
    status = line.fields.get("status", 0)
    if status in SUCCESS:
        return "it was served"
    if any(_is_answer(attempt, status) for attempt in line.fields.get("attempts", [])):
        return f"the target itself answered {status}"
    return reason or "the line does not say"


def _is_answer(attempt: Any, status: int) -> bool:
    """Return whether an attempt ended with the status that the caller got."""
    return isinstance(attempt, dict) and attempt.get("status") == status


__all__ = ["CAUSES", "cause_of"]
