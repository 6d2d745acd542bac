"""Memory of an owner and of a holder by programs, turns and length of history.

Each point uses a new cluster of three entries: one owns all programs, the others hold copies.

    python -m bench.memory
"""

import asyncio
import sys
import time
from collections.abc import Sequence
from typing import Annotated

import msgspec
import typer

from bench.cluster import bench_cluster
from bench.fit import Fit, fit, line
from bench.load import Connection, Samples, model_call
from bench.report import begin, finish
from bench.usage import cpu_s, resident_bytes

OWNER, HOLDER = 0, 1
CONCURRENT_PROGRAMS = 2
"""Programs that run concurrently: few, so that running calls use little of the memory."""

SETTLE_S = 1.0
IDLE_S = 3.0
STEP_S = 0.001


class Size(msgspec.Struct, frozen=True):
    """Number of programs, turns of each, and tokens that each turn adds to the history."""

    programs: int
    turns: int
    turn_tokens: int


SIZES = [
    Size(0, 0, 0),
    Size(100, 2, 50),
    Size(400, 2, 50),
    Size(800, 2, 50),
    Size(50, 20, 50),
    Size(50, 60, 50),
    Size(50, 79, 50),
    Size(50, 10, 1_000),
    Size(50, 10, 4_000),
    Size(10, 10, 19_000),
    Size(20, 10, 19_000),
    Size(40, 10, 19_000),
    Size(80, 10, 19_000),
]
"""The last four sizes have histories of 190,000 tokens."""

CHARACTERS_PER_TOKEN = 4


class Point(msgspec.Struct, frozen=True):
    """Memory growth of the processes after running programs of a size, in bytes.

    `owner_idle_cores` is the processor time of the owner while no call runs.
    """

    size: Size
    owner_bytes: int
    holder_bytes: int
    owner_before: int
    owner_idle_cores: float
    failures: int


def measure(size: Size) -> Point:
    """Run the programs and measure the growth of memory."""
    with bench_cluster(step_s=STEP_S, module="bench.entry") as cluster:
        time.sleep(SETTLE_S)
        pids = [cluster.pid(number) for number in (OWNER, HOLDER)]
        before = [resident_bytes(pid) for pid in pids]
        samples = asyncio.run(fill(cluster.entry_urls()[OWNER], size))
        time.sleep(SETTLE_S)
        after = [resident_bytes(pid) for pid in pids]
        cpu_before_s = cpu_s(pids[OWNER])
        time.sleep(IDLE_S)
        idle_cores = (cpu_s(pids[OWNER]) - cpu_before_s) / IDLE_S
    growth = [
        after_bytes - before_bytes for before_bytes, after_bytes in zip(before, after, strict=True)
    ]
    failures = len(samples.failures)
    return Point(size, growth[0], growth[1], before[0], idle_cores, failures)


async def fill(url: str, size: Size) -> Samples:
    """Run all programs, a limited number concurrently, and leave them open."""
    samples = Samples()
    slots = asyncio.Semaphore(CONCURRENT_PROGRAMS)

    async def run_one() -> None:
        async with slots:
            await _run_program(url, size, samples)

    await asyncio.gather(*(run_one() for _ in range(size.programs)))
    return samples


async def _run_program(url: str, size: Size, samples: Samples) -> None:
    connection = Connection(url)
    await connection.open()
    created = await connection.post("/v1/programs", {"program_class": "load"})
    path = f"/v1/programs/{created['program']}/calls"
    for turn in range(size.turns):
        body = model_call(turn, 1, size.turn_tokens * CHARACTERS_PER_TOKEN)
        await connection.stream(path, body, samples)
    connection.writer.close()


def slopes(points: Sequence[Point], attribute: str) -> Fit:
    """Fit memory by programs, turns and tokens of history."""
    points = [point for point in points if point.size.programs]
    sizes = [point.size for point in points]
    inputs = {
        "programs": [size.programs for size in sizes],
        "turns": [size.programs * size.turns for size in sizes],
        "history_tokens": [size.programs * size.turns * size.turn_tokens for size in sizes],
    }
    return fit(inputs, [getattr(point, attribute) for point in points], relative=True)


def main(
    repetitions: Annotated[int, typer.Option(help="Measurements of every size.")] = 2,
) -> None:
    """Run the measurements, fit them and write the result."""
    report = begin(" ".join(["python -m bench.memory", *sys.argv[1:]]))
    points = [measure(size) for _ in range(repetitions) for size in SIZES]
    report.results = {
        "owner": slopes(points, "owner_bytes"),
        "holder": slopes(points, "holder_bytes"),
        "owner_idle_cores": line(
            [point.size.programs for point in points], [point.owner_idle_cores for point in points]
        ),
        "points": points,
    }
    typer.echo(finish(report, "memory"))


if __name__ == "__main__":
    typer.run(main)
