"""Measure the processor time of the platform daemons: start, idle second, turn and call.

    python -m bench.daemon_cost [--before CHECKOUT] [--rounds 5]

Real processes run against stand-ins on the loopback address: two entries and three ledger
processes.  With another checkout, the rounds of both versions alternate, so that other load on the
machine affects both equally; the table shows the median of each.  Processor time is that of the
kernel's scheduler, summed over all threads of a process.  A checkout that was built as on the
platform runs with its own libraries, any other one with those of this interpreter.
"""

import asyncio
import compileall
import statistics
import time
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from tests.platform_cluster import CALL, ROOT, Node, PlatformCluster

ENTRIES, LEDGERS = 2, 3
IDLE_S = 4.0
PROGRAMS, TURNS_PER_PROGRAM, CALLS_PER_TURN = 24, 5, 1
CONCURRENT_PROGRAMS = 8
"""Programs that run at the same time."""

BUDGET = 100_000
STARTS_PER_ROUND = 6
"""Starts of each kind of process in a round."""

POLL_S = 0.002


class Cost(msgspec.Struct, frozen=True):
    """Processor time of one round in milliseconds; idle times are those of one second."""

    entry_start_ms: float
    ledger_start_ms: float
    entry_idle_ms: float
    ledger_idle_ms: float
    entry_turn_ms: float
    ledger_turn_ms: float
    entry_ready_ms: float
    """Wall-clock time from an entry's start to its first positive answer to a health check."""


def processor_ms(node: Node) -> float:
    """Return the processor time used by all threads of a process."""
    assert node.process is not None
    tasks = Path(f"/proc/{node.process.pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e6


def total_processor_ms(nodes: list[Node]) -> float:
    """Return the total processor time used by several processes."""
    return sum(processor_ms(node) for node in nodes)


async def measure_start_ms(node: Node) -> float:
    """Return the median processor time that a process uses until it reports its start."""
    times_ms = []
    for _ in range(STARTS_PER_ROUND):
        node.kill()
        node.start()
        while not node.has_started:
            await asyncio.sleep(POLL_S)
        times_ms.append(processor_ms(node))
    return statistics.median(times_ms)


async def run_program(cluster: PlatformCluster, entry: Node, number: int) -> None:
    """Run one program: turns in order, each followed by a call."""
    previous: dict[str, str] = {}
    for turn in range(TURNS_PER_PROGRAM):
        turn_id = f"program-{number}-{turn}"
        fields = {"program_id": f"program-{number}", "token_budget": BUDGET, **previous}
        answer = await cluster.turn(entry, turn_id, b"x" * 3000, **fields)
        if answer.status != 200:
            raise RuntimeError(f"{turn_id} was answered {answer.status}")
        previous = {"previous_turn": turn_id}
        for _ in range(CALLS_PER_TURN):
            await cluster.call(entry, "POST", CALL)


async def run_load(cluster: PlatformCluster) -> None:
    """Run all programs, a limited number of them concurrently, each through one entry."""
    slots = asyncio.Semaphore(CONCURRENT_PROGRAMS)

    async def run_one(number: int) -> None:
        async with slots:
            await run_program(cluster, cluster.entries[number % ENTRIES], number)

    await asyncio.gather(*(run_one(number) for number in range(PROGRAMS)))


async def measure(checkout: Path) -> Cost:
    """Measure one version in one round."""
    built = checkout / "target" / "deps"
    libraries = built if built.exists() else None
    cluster = PlatformCluster(ENTRIES, LEDGERS, checkout, libraries)
    try:
        await cluster.start()
        entries, ledgers = cluster.entries, cluster.ledgers
        await asyncio.sleep(1.0)
        idle = total_processor_ms(entries), total_processor_ms(ledgers)
        await asyncio.sleep(IDLE_S)
        before = total_processor_ms(entries), total_processor_ms(ledgers)
        await run_load(cluster)
        after = total_processor_ms(entries), total_processor_ms(ledgers)
        turns = PROGRAMS * TURNS_PER_PROGRAM
        entry_start = await measure_start_ms(entries[0])
        ledger_start = await measure_start_ms(ledgers[0])
        began_at = time.monotonic()
        entries[0].kill()
        entries[0].start()
        await cluster.until_ready(entries[0])
        ready_s = time.monotonic() - began_at
        return Cost(
            entry_start,
            ledger_start,
            (before[0] - idle[0]) / IDLE_S / ENTRIES,
            (before[1] - idle[1]) / IDLE_S / LEDGERS,
            (after[0] - before[0]) / turns,
            (after[1] - before[1]) / turns,
            ready_s * 1e3,
        )
    finally:
        await cluster.stop()


def print_medians(name: str, costs: list[Cost]) -> None:
    """Print the medians of a version."""
    fields = [
        f"{field} {statistics.median(getattr(cost, field) for cost in costs):.2f}"
        for field in Cost.__struct_fields__
    ]
    print(f"{name:8}" + "  ".join(fields), flush=True)


def main(
    before: Annotated[Path | None, typer.Option(help="another checkout")] = None,
    rounds: Annotated[int, typer.Option(help="rounds of each version")] = 5,
) -> None:
    """Print the cost of both versions; a turn includes the call after it."""
    checkouts = {"before": before.resolve()} if before else {}
    checkouts["now"] = ROOT
    for checkout in checkouts.values():
        compileall.compile_dir(checkout / "waxwingglade", quiet=2)
    costs: dict[str, list[Cost]] = {name: [] for name in checkouts}
    for _ in range(rounds):
        for name, checkout in checkouts.items():
            costs[name].append(asyncio.run(measure(checkout)))
    for name in checkouts:
        print_medians(name, costs[name])


if __name__ == "__main__":
    typer.run(main)
