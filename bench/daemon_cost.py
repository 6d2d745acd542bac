"""Measure what the daemons on the platform cost: a start, an idle second, a turn and a call.

    python -m bench.daemon_cost [--before CHECKOUT] [--rounds 5]

Real processes run against stand-ins on loopback: two entries and three ledger processes.  With
another checkout, rounds of both versions alternate, so that what else the machine does falls on
both; the table gives the median of each.  Processor time is that of the kernel's scheduler, all
threads of a process together.  A checkout that was built as on the platform runs on its own
libraries, another one on those of this interpreter.
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
PROGRAMS, TURNS_OF_A_PROGRAM, CALLS_OF_A_TURN = 24, 5, 1
AT_ONCE = 8
"""Programs under way at the same moment."""

BUDGET = 100_000
STARTS = 6
"""Starts of each kind in a round."""

LOOK_S = 0.002


class Cost(msgspec.Struct, frozen=True):
    """Processor time of one round: milliseconds, and for idle processes that of a second."""

    entry_start_ms: float
    ledger_start_ms: float
    entry_idle_ms: float
    ledger_idle_ms: float
    entry_turn_ms: float
    ledger_turn_ms: float
    entry_ready_ms: float
    """From an entry's start to its first good answer to the balancer, by the wall clock."""


def processor_ms(node: Node) -> float:
    """Return the processor time of all threads of a process so far."""
    assert node.process is not None
    tasks = Path(f"/proc/{node.process.pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e6


def total_ms(nodes: list[Node]) -> float:
    """Return the processor time of processes together."""
    return sum(processor_ms(node) for node in nodes)


async def start_ms(node: Node) -> float:
    """Start a process again and again, and return what it took until it said so, at the median."""
    taken = []
    for _ in range(STARTS):
        node.kill()
        node.start()
        while not node.has_started:
            await asyncio.sleep(LOOK_S)
        taken.append(processor_ms(node))
    return statistics.median(taken)


async def run_program(cluster: PlatformCluster, entry: Node, number: int) -> None:
    """Play one program: turns in order, with a call after each."""
    previous: dict[str, str] = {}
    for turn in range(TURNS_OF_A_PROGRAM):
        name = f"program-{number}-{turn}"
        fields = {"program_id": f"program-{number}", "token_budget": BUDGET, **previous}
        answer = await cluster.turn(entry, name, b"x" * 3000, **fields)
        if answer.status != 200:
            raise RuntimeError(f"{name} was answered {answer.status}")
        previous = {"previous_turn": name}
        for _ in range(CALLS_OF_A_TURN):
            await cluster.call(entry, "POST", CALL)


async def run_load(cluster: PlatformCluster) -> None:
    """Play all programs, some of them at once, each through one entry."""
    room = asyncio.Semaphore(AT_ONCE)

    async def run_one(number: int) -> None:
        async with room:
            await run_program(cluster, cluster.entries[number % ENTRIES], number)

    await asyncio.gather(*(run_one(number) for number in range(PROGRAMS)))


async def measure(checkout: Path) -> Cost:
    """Measure one version once."""
    built = checkout / "target" / "deps"
    libraries = built if built.exists() else None
    cluster = PlatformCluster(ENTRIES, LEDGERS, checkout, libraries)
    try:
        await cluster.start()
        entries, ledgers = cluster.entries, cluster.ledgers
        await asyncio.sleep(1.0)
        idle = total_ms(entries), total_ms(ledgers)
        await asyncio.sleep(IDLE_S)
        before = total_ms(entries), total_ms(ledgers)
        await run_load(cluster)
        after = total_ms(entries), total_ms(ledgers)
        turns = PROGRAMS * TURNS_OF_A_PROGRAM
        entry_start = await start_ms(entries[0])
        ledger_start = await start_ms(ledgers[0])
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


def report(name: str, costs: list[Cost]) -> None:
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
    """Print what both versions cost; a turn includes the call after it."""
    checkouts = {"before": before.resolve()} if before else {}
    checkouts["now"] = ROOT
    for checkout in checkouts.values():
        compileall.compile_dir(checkout / "waxwingglade", quiet=2)
    costs: dict[str, list[Cost]] = {name: [] for name in checkouts}
    for _ in range(rounds):
        for name, checkout in checkouts.items():
            costs[name].append(asyncio.run(measure(checkout)))
    for name in checkouts:
        report(name, costs[name])


if __name__ == "__main__":
    typer.run(main)
