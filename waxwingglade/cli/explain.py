"""``waxwingglade explain``: explain from logs why a request ended as it did."""

import json
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from waxwingglade.cli.exits import ExitStatus, stop
from waxwingglade.cli.output import Json, as_time, print_fields, print_json, print_table
from waxwingglade.explain import LedgerCause, LogLine, cause_of, ledger_causes, read_files, tell
from waxwingglade.explain.story import SLOW_ANSWER

DECISION_FIELDS = (
    "route",
    "version",
    "view_age_s",
    "incomplete_s",
    "epoch",
    "status",
    "reason",
    "seconds",
    "events",
)
"""Fields of a request's line that determined its end, in display order."""

ATTEMPT_FIELDS = (
    "target",
    "load",
    "load_age_s",
    "targets_revision",
    "read_tokens",
    "connect_s",
    "verdict",
    "status",
    "seconds",
    "ending",
    "siblings_lost",
    "siblings_open",
    "reason",
)

GRANT_FIELDS = ("replica", "after_s", "version", "epoch", "share", "used")

REPLICA_REQUEST_FIELDS = ("replica", "after_s", "seconds", "answer")

DELAYED_CHANGE_FIELDS = ("seconds", "waited_s", "overtaken")

LEADING_FIELDS = (
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
"""Fields that a table shows first, because long cells are truncated."""

HIDDEN_FIELDS = ("asked", "attempts", "grants", "program", "route")
"""Fields that are not shown in tables, because they are long or the same in all lines."""


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
        _print_replica_requests(line)
    _print_delayed_changes(story.account)
    _print_lines("repeats of it under other ids", story.repeats)
    _print_lines("other failed requests of its program", story.program)
    _print_lines("failures and changes around it", story.around)


def _print_request(line: LogLine) -> None:
    """Print the end of a request: its cause, the fields that determined it, and each attempt."""
    typer.echo(f"{_format_time(line.time)}  {line.source}: {cause_of(line)}")
    shown = [(name, line.fields[name]) for name in DECISION_FIELDS if name in line.fields]
    if shown:
        print_fields(shown)
    if attempts := line.fields.get("attempts"):
        print_table(
            ATTEMPT_FIELDS, [[attempt.get(name) for name in ATTEMPT_FIELDS] for attempt in attempts]
        )
    if grants := line.fields.get("grants"):
        typer.echo("granted within the limit of its client account by")
        print_table(GRANT_FIELDS, [[grant.get(name) for name in GRANT_FIELDS] for grant in grants])


def _print_causes(causes: list[LedgerCause]) -> None:
    """Print what the request waited for at the ledger, if it did wait."""
    if not causes:
        return
    typer.echo("\nwhat it waited for at the ledger")
    for cause in causes:
        typer.echo(f"- {cause.text}")


def _print_replica_requests(line: LogLine) -> None:
    """Print each request to a ledger replica that an entry logged in a line."""
    asked = line.fields.get("asked")
    if line.event != SLOW_ANSWER or not asked:
        return
    typer.echo(
        f"\n{line.fields.get('request')} of {line.source}, from {_format_time(line.began_at)}"
    )
    print_table(
        REPLICA_REQUEST_FIELDS,
        [[each.get(name) for name in REPLICA_REQUEST_FIELDS] for each in asked],
    )


def _print_delayed_changes(lines: list[LogLine]) -> None:
    """Print the delayed changes of the program's account, if there are any."""
    if not lines:
        return
    typer.echo("\ndelayed changes of its program's account")
    rows = [
        [
            _format_time(line.time),
            line.source,
            *(line.fields.get(name) for name in DELAYED_CHANGE_FIELDS),
        ]
        for line in lines
    ]
    print_table(("time", "log", *DELAYED_CHANGE_FIELDS), rows)


def _print_lines(title: str, lines: list[LogLine]) -> None:
    """Print lines under a title, if there are any."""
    if not lines:
        return
    typer.echo(f"\n{title}")
    rows = [
        [_format_time(line.time), line.source, line.event, _format_fields(line)] for line in lines
    ]
    print_table(("time", "log", "event", "fields"), rows)


def _format_time(seconds: float) -> str:
    return f"{as_time(seconds)}.{int(seconds % 1 * 1000):03d}"


def _format_fields(line: LogLine) -> str:
    """Return the fields of a line as JSON, the most informative ones first."""
    first = {name: line.fields[name] for name in LEADING_FIELDS if name in line.fields}
    rest = {name: value for name, value in line.fields.items() if name not in HIDDEN_FIELDS}
    return json.dumps({**first, **rest}, ensure_ascii=False)


__all__ = ["explain"]
