"""``waxwingglade demo``: run the programs of two firms on an embedded system."""

import asyncio
import sys
from typing import Annotated

import typer
from loguru import logger

from waxwingglade.cli.exits import ExitStatus
from waxwingglade.cli.output import Json, print_json, print_table
from waxwingglade.demo.report import ClassReport
from waxwingglade.demo.run import DemoSettings, run_demo

STEPS_SHOWN = 10
HEADERS = [
    "CLASS",
    "FINISHED",
    "P50 S",
    "P95 S",
    "P99 S",
    "WASTED CACHE",
    "EFFECTS",
    "DOUBLED",
    "REFUSALS",
]


def demo(
    programs: Annotated[int, typer.Option(min=4, help="Programs to run.")] = 100,
    arrivals: Annotated[float, typer.Option(min=0, help="Seconds over which they begin.")] = 5.0,
    seed: Annotated[int, typer.Option(help="Of the choice of programs.")] = 1,
    as_json: Json = False,
) -> None:
    """Run programs of both firms on an entry, engines, services and a store in this process."""
    logger.remove()
    logger.add(sys.stderr, level="ERROR", diagnose=False)
    settings = DemoSettings(programs=programs, arrivals_s=arrivals, seed=seed)
    typer.echo(f"running {programs} programs of two firms on an embedded system", err=True)
    report = asyncio.run(run_demo(settings, _print_progress))
    if as_json:
        print_json(report)
    else:
        print_table(HEADERS, [_row(each) for each in report.classes])
        held = f"{report.ended_token_seconds:.0f} token-seconds"
        typer.echo(f"cache held for programs that had ended: {held}")
    succeeded = all(each.finished == each.started and not each.doubled for each in report.classes)
    raise typer.Exit(int(ExitStatus.OK if succeeded else ExitStatus.FAILED))


def _print_progress(ended: int, count: int) -> None:
    step = max(1, count // STEPS_SHOWN)
    if ended % step == 0 or ended == count:
        typer.echo(f"  {ended} of {count} programs ended", err=True)


def _row(report: ClassReport) -> list[object]:
    return [
        report.program_class,
        f"{report.finished} of {report.started}",
        _seconds(report.p50_s),
        _seconds(report.p95_s),
        _seconds(report.p99_s),
        "-" if report.wasted_cache is None else f"{report.wasted_cache:.1%}",
        report.effects,
        report.doubled,
        report.refusals,
    ]


def _seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"
