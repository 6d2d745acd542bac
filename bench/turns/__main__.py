"""Compare policies for placing turns on many sheets: ``python -m bench.turns --help``."""

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from bench.turns.play import Outcome, play
from bench.turns.policies import POLICIES
from bench.turns.report import draw, table
from bench.turns.sheet import KNOWN_SHEETS, Sheet, random_sheet

RESULTS = Path(__file__).parent.parent / "results"
MAX_SHEETS, MAX_PROCESSES = 2_000, 16
BAD_INPUT = 2


class Plays(msgspec.Struct):
    """Outcomes of all seeds of one sheet under one policy."""

    sheet: str
    policy: str
    outcomes: list[Outcome]


def play_seeds(sheet: Sheet, policy: str, seeds: int) -> Plays:
    """Run a sheet with each seed; all policies receive the same programs."""
    outcomes = [play(sheet, POLICIES[policy], seed) for seed in range(1, seeds + 1)]
    return Plays(sheet.name, policy, outcomes)


def check(condition: bool, message: str) -> None:
    """Exit with one line on standard error unless a condition holds."""
    if not condition:
        typer.echo(f"error: {message}", err=True)
        raise typer.Exit(BAD_INPUT)


def main(
    sheets: Annotated[int, typer.Option(help="random sheets, beside the known ones")] = 20,
    first: Annotated[int, typer.Option(help="number of the first random sheet")] = 1,
    seeds: Annotated[int, typer.Option(help="seeds of each sheet")] = 1,
    known: Annotated[bool, typer.Option(help="play the known firms' sheets, too")] = True,
    policies: Annotated[str, typer.Option(help="names with commas between")] = ",".join(POLICIES),
    processes: Annotated[int, typer.Option(help="processes at a time")] = 6,
    name: Annotated[str, typer.Option(help="name of the results")] = "turns",
    plot: Annotated[bool, typer.Option(help="draw the worth of each sheet")] = False,
) -> None:
    """Play sheets under each policy; print a table, and write it to bench/results."""
    check(0 <= sheets <= MAX_SHEETS, f"--sheets must be 0 to {MAX_SHEETS}")
    check(1 <= processes <= MAX_PROCESSES, f"--processes must be 1 to {MAX_PROCESSES}")
    check(seeds >= 1, "--seeds must be 1 or more")
    check(sheets > 0 or known, "there is no sheet to play")
    chosen = [policy.strip() for policy in policies.split(",")]
    unknown = [policy for policy in chosen if policy not in POLICIES]
    check(not unknown, f"no policy {', '.join(unknown)}; there are {', '.join(POLICIES)}")
    drawn = [random_sheet(number) for number in range(first, first + sheets)]
    played = play_all([*(KNOWN_SHEETS if known else ()), *drawn], chosen, seeds, processes)
    typer.echo(table(played, len(KNOWN_SHEETS) if known else 0))
    RESULTS.mkdir(exist_ok=True)
    content = json.dumps(msgspec.to_builtins(played), indent=1)
    (RESULTS / f"{name}.json").write_text(content + "\n")
    if plot:
        draw(played, RESULTS / f"{name}.png")


def play_all(
    sheets: list[Sheet], policies: list[str], seeds: int, processes: int
) -> dict[str, list[Plays]]:
    """Return the outcomes of each policy, in the order of the sheets."""
    with ProcessPoolExecutor(processes) as pool:
        futures = {
            policy: [pool.submit(play_seeds, sheet, policy, seeds) for sheet in sheets]
            for policy in policies
        }
        return {
            policy: [future.result() for future in several] for policy, several in futures.items()
        }


if __name__ == "__main__":
    sys.exit(typer.run(main))
