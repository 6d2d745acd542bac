"""Print answers as tables for people or as JSON for programs."""

import json
import time
from collections.abc import Sequence
from typing import Annotated, Any

import msgspec
import typer

Json = Annotated[bool, typer.Option("--json", help="Print JSON, for programs.")]
"""Option of the commands that can print their answer as JSON."""

COLUMN_GAP = "  "
MAX_CELL_CHARACTERS = 60


def print_json(value: Any) -> None:
    """Print a value as JSON, for programs."""
    typer.echo(json.dumps(msgspec.to_builtins(value, str_keys=True), indent=2, ensure_ascii=False))


def print_table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows in columns under headers."""
    lines = [[_cell(each) for each in row] for row in [headers, *rows]]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headers))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        typer.echo(COLUMN_GAP.join(cells).rstrip())


def print_fields(fields: Sequence[tuple[str, object]]) -> None:
    """Print one line for each name and value."""
    width = max(len(name) for name, _ in fields)
    for name, value in fields:
        typer.echo(f"{name.ljust(width)}{COLUMN_GAP}{_text(value)}".rstrip())


def as_time(seconds: float) -> str:
    """Return a time in seconds since 1970 as readable text, in UTC."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(seconds))


def _cell(value: object) -> str:
    text = _text(value)
    return text if len(text) <= MAX_CELL_CHARACTERS else text[: MAX_CELL_CHARACTERS - 1] + "…"


def _text(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, list | tuple):
        return ", ".join(str(each) for each in value) or "-"
    return " ".join(str(value).split())
