"""Tell from logs why a request ended as it did."""

import json
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from waxwingglade.cli.exits import ExitStatus, stop
from waxwingglade.cli.output import Json, as_time, print_fields, print_json, print_table
from waxwingglade.explain import LedgerCause, LogLine, cause_of, ledger_causes, read_files, tell
from waxwingglade.explain.story import SLOW_ANSWER

INPUTS = ("route", "version", "view_age_s", "epoch", "status", "reason", "seconds", "events")
"""Fields of a request's line that decided it, in the order in which they are shown."""

ATTEMPT = ("target", "load", "load_age_s", "read_tokens", "verdict", "status", "seconds", "reason")

ASKED = ("replica", "after_s", "seconds", "answer")

HELD_UP = ("seconds", "waited_s", "overtaken")

TELLING = (
    "request",
    "status",
    "reason",
    "kept",
    "kept_s",
    "settled",
    "settled_s",
    "silent",
    "seconds",
)
"""Fields that are shown before the others of a line in a table."""

HIDDEN = ("asked", "attempts", "program", "route")
"""Fields that are left out of a table: too long, or the same in all lines."""


def explain(
    request: Annotated[str, typer.Argument(help="Id of the request.")],
    logs: Annotated[list[Path], typer.Argument(help="Log files of entries and ledger processes.")],
    as_json: Json = False,
) -> None:
    """Tell from the daemons' logs why a request ended as it did."""
    story = tell(request, lambda: read_files(logs))
    if not story.own and not story.turn:
        text = f"no line of these logs names {request}; lines are sampled, see left_out"
        raise stop(ExitStatus.NOT_FOUND, text)
    causes = ledger_causes(story)
    if as_json:
        print_json({**msgspec.structs.asdict(story), "ledger_causes": causes})
        return
    for line in story.own:
        _print_request(line)
    _print_causes(causes)
    _print_lines("its turn at the ledger", story.turn)
    for line in story.turn:
        _print_asked(line)
    _print_held_up(story.account)
    _print_lines("other requests of its program that did not end well", story.program)
    _print_lines("losses and changes around it", story.around)


def _print_request(line: LogLine) -> None:
    """Print the end of a request: its cause, what decided it, and each sending."""
    typer.echo(f"{_moment(line.time)}  {line.source}: {cause_of(line)}")
    shown = [(name, line.fields[name]) for name in INPUTS if name in line.fields]
    if shown:
        print_fields(shown)
    if attempts := line.fields.get("attempts"):
        print_table(ATTEMPT, [[attempt.get(name) for name in ATTEMPT] for attempt in attempts])


def _print_causes(causes: list[LedgerCause]) -> None:
    """Print what it waited for at the ledger, if it did."""
    if not causes:
        return
    typer.echo("\nwhat it waited for at the ledger")
    for cause in causes:
        typer.echo(f"- {cause.text}")


def _print_asked(line: LogLine) -> None:
    """Print each asking of the ledger that an entry's line tells of."""
    asked = line.fields.get("asked")
    if line.event != SLOW_ANSWER or not asked:
        return
    typer.echo(f"\n{line.fields.get('request')} of {line.source}, from {_moment(line.began_at)}")
    print_table(ASKED, [[each.get(name) for name in ASKED] for each in asked])


def _print_held_up(lines: list[LogLine]) -> None:
    """Print the changes of its program's account that were held up, if there are any."""
    if not lines:
        return
    typer.echo("\nchanges of its program's account that were held up")
    rows = [
        [_moment(line.time), line.source, *(line.fields.get(name) for name in HELD_UP)]
        for line in lines
    ]
    print_table(("time", "log", *HELD_UP), rows)


def _print_lines(title: str, lines: list[LogLine]) -> None:
    """Print lines under a title, if there are any."""
    if not lines:
        return
    typer.echo(f"\n{title}")
    rows = [[_moment(line.time), line.source, line.event, _short(line)] for line in lines]
    print_table(("time", "log", "event", "fields"), rows)


def _moment(seconds: float) -> str:
    return f"{as_time(seconds)}.{int(seconds % 1 * 1000):03d}"


def _short(line: LogLine) -> str:
    """Return the fields of a line, what tells most first, since a cell is cut."""
    first = {name: line.fields[name] for name in TELLING if name in line.fields}
    rest = {name: value for name, value in line.fields.items() if name not in HIDDEN}
    return json.dumps({**first, **rest}, ensure_ascii=False)


__all__ = ["explain"]
