"""``python -m tests.prove``: prove seeds, replay one, or check a saved history again."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Annotated, get_args

import typer

from tests.prove.mutants import MUTANTS
from tests.prove.run import PLANTED_FAULT_SEED, Result, Shape, planted_fault_shape, run_seed
from tests.prove.schedule import FaultKind, Round
from waxwingglade.proof import check_all, load_history
from waxwingglade.proof.history import (
    ConfigAccepted,
    ConfigInForce,
    EffectSeen,
    Event,
    FaultSeen,
    GenerationSeen,
    Quiesced,
    Submitted,
)

MAX_LINES = 20

app = typer.Typer(no_args_is_help=True, pretty_exceptions_enable=False)


@app.command()
def seeds(
    count: Annotated[int, typer.Option(help="Seeds to run.")] = 20,
    first: Annotated[int, typer.Option(help="First seed.")] = 1,
    rounds: Annotated[int, typer.Option(help="Rounds of faults in each run.")] = 6,
) -> None:
    """Run seeds one after the other; failing runs are saved in runs/."""
    results = [_run(seed, Shape(rounds)) for seed in range(first, first + count)]
    _print_totals(results)
    failed = [result.seed for result in results if not result.passed]
    print(f"{count - len(failed)} of {count} seeds passed; failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


def _print_totals(results: list[Result]) -> None:
    """Print the number of checked events, and how often each fault occurred alone and in a pair."""
    seen: Counter[str] = Counter()
    alone: Counter[FaultKind] = Counter()
    paired: Counter[FaultKind] = Counter()
    for result in results:
        seen.update(type(event).__name__ for event in result.history.events)
        for faults in result.schedule:
            counter = alone if len(faults) == 1 else paired
            counter.update(fault.kind for fault in faults)
    print(f"{len(results)} histories, {seen.total()} events:")
    for kind in (Submitted, EffectSeen, GenerationSeen, ConfigAccepted, ConfigInForce):
        print(f"  {seen[kind.__name__]} {kind.__name__}")
    for fault in FaultKind:
        print(f"  {alone[fault]} alone, {paired[fault]} paired: {fault.value}")


@app.command()
def replay(
    seed: Annotated[int, typer.Argument(help="Seed to run again.")],
    rounds: Annotated[int, typer.Option(help="Rounds of faults.")] = 6,
) -> None:
    """Run one seed again."""
    sys.exit(0 if _run(seed, Shape(rounds)).passed else 1)


@app.command()
def planted(
    name: Annotated[str, typer.Argument(help="One planted fault; all if not given.")] = "",
) -> None:
    """Check that each planted fault is found, and that no violation is found without it."""
    missed = []
    for mutant in [name] if name else MUTANTS:
        planted = MUTANTS[mutant]
        found = _run(PLANTED_FAULT_SEED, planted_fault_shape(mutant), [planted.faults])
        clean = _run(PLANTED_FAULT_SEED, planted_fault_shape(None), [planted.faults])
        seen = planted.point in {violation.point for violation in found.violations}
        print(f"{mutant}: {'found' if seen else 'MISSED'}; without it: {clean.passed}")
        if not seen or not clean.passed:
            missed.append(mutant)
    sys.exit(1 if missed else 0)


@app.command()
def check(path: Annotated[Path, typer.Argument(help="A saved history.jsonl.")]) -> None:
    """Check a saved history again."""
    violations = check_all(load_history(path))
    for violation in violations:
        print(violation)
    print(f"{len(violations)} violations")
    sys.exit(1 if violations else 0)


@app.command()
def show(
    path: Annotated[Path, typer.Argument(help="A saved history.jsonl.")],
    subject: Annotated[str, typer.Argument(help="Part of a program's or an entry's name.")],
) -> None:
    """Print the events of a program or entry, and all faults, by time."""
    history = load_history(path)
    numbers = {
        event.number
        for event in history.of(Submitted)
        if subject in str(getattr(event.request, "program", "")) or subject == event.entry
    }
    start = min(event.at for event in history.events)
    for event in history.of(*get_args(Event)):
        is_request = getattr(event, "number", None) in numbers
        is_subject = subject in str(getattr(event, "program", "")) or subject == getattr(
            event, "entry", ""
        )
        if is_request or is_subject or isinstance(event, FaultSeen | Quiesced):
            print(f"{event.at - start:9.3f} {event}")


def _run(seed: int, shape: Shape, schedule: list[Round] | None = None) -> Result:
    started = time.monotonic()
    result = asyncio.run(run_seed(seed, shape, schedule))
    took_s = time.monotonic() - started
    verdict = "passed" if result.passed else "FAILED"
    print(f"seed {seed}: {verdict}, {len(result.history.events)} events, {took_s:.0f} s")
    lines = [*map(str, result.violations), *result.stuck]
    for line in lines[:MAX_LINES]:
        print(f"  {line}")
    if len(lines) > MAX_LINES:
        print(f"  and {len(lines) - MAX_LINES} more")
    sys.stdout.flush()
    return result


if __name__ == "__main__":
    app()
