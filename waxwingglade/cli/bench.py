"""``waxwingglade bench``: the overhead that an entry adds to a call."""

import asyncio
import sys
from typing import Annotated

import typer
from loguru import logger

from waxwingglade.cli.output import Json, print_json, print_table
from waxwingglade.demo.overhead import Overhead, Spread, measure_overhead


def bench(
    calls: Annotated[int, typer.Option(min=1, help="Calls each way.")] = 200,
    as_json: Json = False,
) -> None:
    """Compare model calls straight to an engine stand-in with the same through an entry."""
    logger.remove()
    logger.add(sys.stderr, level="ERROR", diagnose=False)
    measured = asyncio.run(measure_overhead(calls))
    if as_json:
        print_json(measured)
        return
    print_table(["WAY", "P50 MS", "P99 MS"], _rows(measured))


def _rows(measured: Overhead) -> list[list[object]]:
    return [
        _row("straight to the engine", measured.direct),
        _row("through an entry", measured.through),
        ["ratio", f"{measured.ratio_p50:.2f}", f"{measured.ratio_p99:.2f}"],
    ]


def _row(name: str, spread: Spread) -> list[object]:
    return [name, f"{spread.p50_ms:.2f}", f"{spread.p99_ms:.2f}"]
