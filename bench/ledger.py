"""Measure what the ledger takes: memory of a kept turn, processor time of a turn begun and kept.

    python -m bench.ledger

Three replicas and a coordinator run in one process on the folders of a temporary directory, without
links between them, so the figures leave out the sockets.  A turn has 3 kB of input.
"""

import asyncio
import resource
import time
from collections.abc import Callable

from waxwingglade.base import ProgramId
from waxwingglade.ledger.messages import BeginTurn, EndTurn, Turn, TurnId
from waxwingglade.ledger.tests.builders import FAR_FUTURE, Cluster

TURNS = 3_000
TURNS_OF_A_PROGRAM = 6
INPUT = b"x" * 3_000
OUTPUT = b"y" * 1_500
BUDGET = 10**6


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def processor_s() -> float:
    """Return the processor time of this process."""
    return time.process_time()


async def serve(cluster: Cluster, first: int, count: int) -> None:
    """Begin and end turns, six of a program in a row."""
    coordinator = cluster.coordinator("vm-0")
    for number in range(first, first + count):
        program = ProgramId(f"program-{number // TURNS_OF_A_PROGRAM}")
        name = TurnId(f"turn-{number:012d}")
        await coordinator.begin(BeginTurn(name, program, 300, BUDGET))
        kept = Turn(name, None, INPUT, OUTPUT, FAR_FUTURE)
        await coordinator.end(EndTurn(name, program, 250, kept))


async def measure(report: Callable[[str], None]) -> None:
    """Run and report."""
    cluster = Cluster()
    await cluster.start()
    for replica in cluster.replicas.values():
        # The cache of turns is bounded and not counted here.
        replica._add_to_cache = lambda turn: None
    await serve(cluster, 0, TURNS)
    memory, processor = resident_bytes(), processor_s()
    await serve(cluster, TURNS, TURNS)
    memory, processor = resident_bytes() - memory, processor_s() - processor
    written = sum(replica.journal.flushed_bytes for replica in cluster.replicas.values())
    report(f"memory of a kept turn in one replica: {memory / TURNS / 3:.0f} B")
    report(
        f"processor time of a turn begun and kept, three replicas: {processor / TURNS * 1e3:.2f} ms"
    )
    report(
        f"written for a turn of {len(INPUT) + len(OUTPUT)} B: {written / TURNS / 6:.0f} B a replica"
    )
    await cluster.close()


if __name__ == "__main__":
    asyncio.run(measure(print))
