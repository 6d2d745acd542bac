"""Measure the cost of the ledger: memory of a stored turn, and processor time of a complete turn.

    python -m bench.ledger

Three replicas and a coordinator run in one process, with their folders in a temporary directory.
They are called directly, so the results exclude the cost of sockets.  A turn has 3 kB of input.
"""

import asyncio
import resource
import time
from collections.abc import Callable

from waxwingglade.base import ProgramId
from waxwingglade.ledger.messages import BeginTurn, EndTurn, Turn, TurnId
from waxwingglade.ledger.tests.builders import FAR_FUTURE, Cluster

TURNS = 3_000
TURNS_PER_PROGRAM = 6
INPUT = b"x" * 3_000
OUTPUT = b"y" * 1_500
BUDGET = 10**6


def resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def processor_s() -> float:
    """Return the processor time of this process, in seconds."""
    return time.process_time()


async def run_turns(cluster: Cluster, first: int, count: int) -> None:
    """Begin and end turns, six consecutive ones in each program."""
    coordinator = cluster.coordinator("vm-0")
    for number in range(first, first + count):
        program = ProgramId(f"program-{number // TURNS_PER_PROGRAM}")
        turn_id = TurnId(f"turn-{number:012d}")
        await coordinator.begin(BeginTurn(turn_id, program, 300, BUDGET))
        stored_turn = Turn(turn_id, None, INPUT, OUTPUT, FAR_FUTURE)
        await coordinator.end(EndTurn(turn_id, program, 250, stored_turn))


async def measure(report: Callable[[str], None]) -> None:
    """Run the turns and report the costs."""
    cluster = Cluster()
    await cluster.start()
    for replica in cluster.replicas.values():
        # The cache of turns has a bounded size and is excluded from the measurement.
        replica._add_to_cache = lambda turn: None
    await run_turns(cluster, 0, TURNS)
    memory, processor = resident_bytes(), processor_s()
    await run_turns(cluster, TURNS, TURNS)
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
