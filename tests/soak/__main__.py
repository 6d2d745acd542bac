"""Run the soak: ``python -m tests.soak --first 1 --count 50``, or ``--regressions``."""

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from tests.soak.fatal_requests import HIDING_KINDS, KILLING_KINDS, VISIBLE_CRASHES
from tests.soak.kinds import (
    ACCOUNT_KINDS,
    EARLIER_KINDS,
    FIRST_KINDS,
    FOREIGN_KINDS,
    GAP_KINDS,
    LEAVING_KINDS,
    LEDGER_KINDS,
    LIMIT_KINDS,
    PAUSE_KINDS,
    STOP_KINDS,
)
from tests.soak.regressions import LATER_REGRESSIONS, LEDGER_REGRESSIONS, REGRESSIONS
from tests.soak.run import FAULT_FREE_SIZE, Size, soak

ARTIFACTS = Path("runs/soak")
LOST_SHARE = 0.2
"""Share of their answers that servers lose in runs with accounts."""

LIMIT_FAULTS_PER_S = 0.4
STOP_CALLERS = 24

LEDGER_SIZE = Size(entries=4, programs=24, kinds=LEDGER_KINDS, fatal=0)
"""Many programs, so that many turns are in progress while the ledger does not answer."""


PAUSED_SIZE = Size(
    entries=6, programs=1, plain=1, kinds=PAUSE_KINDS, sub_agents=0, fatal=0, single=4
)
"""Few callers, so that entries are idle at times."""


def main(
    first: Annotated[int, typer.Option(help="first seed")] = 1,
    count: Annotated[int, typer.Option(help="how many seeds")] = 10,
    seconds: Annotated[float, typer.Option(help="seconds of faults in each run")] = 12.0,
    entries: Annotated[int, typer.Option(help="entries")] = 3,
    spares: Annotated[int, typer.Option(help="ledger processes beside the three members")] = 1,
    programs: Annotated[int, typer.Option(help="programs at a time")] = 6,
    swarms: Annotated[int, typer.Option(help="programs with sub-agents at a time")] = 2,
    regressions: Annotated[bool, typer.Option(help="only the seeds that once failed")] = False,
    ledger: Annotated[
        bool,
        typer.Option(
            help="many programs, faults of the ledger only; seconds, entries and programs are set"
        ),
    ] = False,
    quiet: Annotated[
        bool,
        typer.Option(help="many sub-agents on slow disks, no faults; all other sizes are set"),
    ] = False,
    fatal: Annotated[
        int, typer.Option(help="callers at a time whose requests end the servers that run them")
    ] = 2,
    endings: Annotated[
        bool, typer.Option(help="requests end servers in several ways, not only by a reset")
    ] = False,
    killed: Annotated[
        bool, typer.Option(help="ends of servers count although their entry is killed meanwhile")
    ] = False,
    leaving: Annotated[
        bool, typer.Option(help="only servers that leave, and a store that refuses some processes")
    ] = False,
    accounts: Annotated[
        bool, typer.Option(help="callers need keys, which are replaced; some have a limit")
    ] = False,
    limits: Annotated[
        bool,
        typer.Option(
            help="accounts at their limits, and only faults between which they stay there"
        ),
    ] = False,
    paused: Annotated[
        bool,
        typer.Option(
            help="idle entries, and servers that pause or send bytes without end, beside changes"
        ),
    ] = False,
    stops: Annotated[
        bool,
        typer.Option(help="planned work only, and requests that take long on open connections"),
    ] = False,
    uneven: Annotated[
        bool,
        typer.Option(help="servers differ in speed and report the stretch of their VMs"),
    ] = False,
    store_gaps: Annotated[
        bool,
        typer.Option(
            help="the store withholds changes, has odd entries, and servers cut the heads of "
            "answers"
        ),
    ] = False,
    foreign: Annotated[
        bool,
        typer.Option(help="others write to the store what no process can use, beside changes"),
    ] = False,
    pressing: Annotated[
        int, typer.Option(help="callers at a time that keep the account with a limit at it")
    ] = 8,
    flush_ms: Annotated[
        float, typer.Option(help="milliseconds that a flush takes in a quiet run")
    ] = 1000
    * FAULT_FREE_SIZE.flush_s,
    machine_disk: Annotated[
        bool, typer.Option(help="ledger processes flush to the machine's disk")
    ] = False,
) -> None:
    """Run seeds one after the other; exit with 1 if a guarantee was violated.

    The seeds of earlier failures run twice each, with and without restarts of processes that end by
    themselves.
    """
    hiding = tuple(kind for kind in HIDING_KINDS if not (killed and kind in KILLING_KINDS))
    size = Size(
        seconds,
        entries,
        programs,
        spares=spares,
        sub_agents=swarms,
        fatal=0 if stops else fatal,
        hiding=hiding,
        stops=STOP_CALLERS if stops else 0,
    )
    if machine_disk:
        size = msgspec.structs.replace(size, flush_s=0.0)
    if accounts or limits:
        size = msgspec.structs.replace(
            size,
            accounts=True,
            pressing=pressing,
            lost_share=LOST_SHARE,
            kinds=ACCOUNT_KINDS,
        )
    if limits:
        size = msgspec.structs.replace(size, kinds=LIMIT_KINDS, faults_per_s=LIMIT_FAULTS_PER_S)
    if paused:
        size = msgspec.structs.replace(
            PAUSED_SIZE, seconds=seconds, entries=max(entries, PAUSED_SIZE.entries)
        )
    if endings:
        size = msgspec.structs.replace(size, crash_kinds=VISIBLE_CRASHES)
    if uneven:
        size = msgspec.structs.replace(size, uneven=True)
    choices = (
        (leaving, LEAVING_KINDS),
        (store_gaps, GAP_KINDS),
        (foreign, FOREIGN_KINDS),
        (stops, STOP_KINDS),
    )
    for kinds in (kinds for is_chosen, kinds in choices if is_chosen):
        size = msgspec.structs.replace(size, kinds=kinds)
    if ledger:
        size = LEDGER_SIZE
    if quiet:
        size = msgspec.structs.replace(FAULT_FREE_SIZE, flush_s=flush_ms / 1000)
    runs = [(seed, size) for seed in range(first, first + count)]
    if regressions:
        # These seeds failed on the machine's disk, without sub-agents and heartbeats of servers.
        later_size = Size(
            seconds,
            entries,
            programs,
            kinds=EARLIER_KINDS,
            sub_agents=0,
            flush_s=0.0,
            heartbeat_s=0.0,
            fatal=0,
        )
        first_size = msgspec.structs.replace(later_size, spares=0, kinds=FIRST_KINDS)
        ledger_size = msgspec.structs.replace(
            LEDGER_SIZE, sub_agents=0, flush_s=0.0, heartbeat_s=0.0, fatal=0
        )
        runs = [(seed, first_size) for seed in REGRESSIONS]
        runs += [(seed, later_size) for seed in LATER_REGRESSIONS]
        runs += [(seed, ledger_size) for seed in LEDGER_REGRESSIONS]
        runs += [(seed, msgspec.structs.replace(each, restarts=False)) for seed, each in runs]
    failed = 0
    for seed, run_size in runs:
        outcome = asyncio.run(soak(seed, run_size, ARTIFACTS))
        failed += bool(outcome.violations)
        suffix = "" if run_size.restarts else " without restarts"
        usage = outcome.usage
        at_limit = f"{usage.runs} of {usage.allowed:.0f} runs in a window, " if usage else ""
        print(
            f"seed {seed}{suffix}: {outcome.requests} requests, {outcome.served} served, "
            f"{outcome.faults} faults, {outcome.ended} servers ended, {at_limit}"
            f"{len(outcome.violations)} broken",
            flush=True,
        )
        for line in outcome.violations[:10]:
            print(f"  {line}", flush=True)
    print(f"{len(runs) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
