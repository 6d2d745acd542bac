"""Processor time of an entry for streamed tokens and for calls.

Entries, engine, store and callers run as separate processes.  Calls are sent either to the entry
that owns the programs, or to another entry, which forwards them and is named the door in the
results.  The costs per token and per call are fitted from measurements at several rates.

    python -m bench.stream_rate [--repetitions 3] [--baseline CHECKOUT]
"""

import itertools
import statistics
import sys
import time
from collections.abc import Sequence
from enum import Enum
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from bench.cluster import BenchCluster, bench_cluster, load_result, start_load
from bench.fit import Fit, fit
from bench.load import LoadResult
from bench.report import Report, begin, finish, spread
from bench.usage import cpu_s

OWNER, FORWARDER, HOLDER = range(3)
WARM_UP_S = 4.0
WINDOW_S = 4.0
RAMP_S = 2.0
STEP_S = 0.028
"""Seconds between the tokens of a stream, as at the target size of the fleet."""


class Way(Enum):
    """Entry to which the calls are sent."""

    OWNER = "owner"
    FORWARDER = "door"


class Load(msgspec.Struct, frozen=True):
    """Number of concurrent callers, and tokens of each answer."""

    streams: int
    tokens: int


LOADS = [Load(30, 350), Load(100, 350), Load(200, 350), Load(20, 10), Load(40, 20), Load(80, 40)]
HEAVY_LOAD = Load(200, 350)
TARGET_LOADS = [Load(streams, 350) for streams in (250, 300, 350, 400)]
"""Loads around the target size (300 streams are 10,700 tokens a second)."""


class Point(msgspec.Struct, frozen=True):
    """Measurement of one load; processor time is in cores."""

    way: Way
    load: Load
    tokens_per_s: float
    calls_per_s: float
    owner_cores: float
    door_cores: float
    holder_cores: float
    callers: LoadResult


def measure(cluster: BenchCluster, way: Way, load: Load) -> Point:
    """Run callers and measure the entries after a warm-up."""
    urls = cluster.entry_urls()
    arguments = [f"--streams={load.streams}", f"--tokens={load.tokens}", f"--ramp-s={RAMP_S}"]
    arguments.append(f"--seconds={WARM_UP_S + WINDOW_S}")
    if way is Way.FORWARDER:
        arguments.append(f"--via={urls[FORWARDER]}")
    callers = start_load(urls[OWNER], arguments)
    time.sleep(WARM_UP_S)
    pids = [cluster.pid(number) for number in (OWNER, FORWARDER, HOLDER)]
    before, counts, started = [cpu_s(pid) for pid in pids], cluster.counts(), time.monotonic()
    time.sleep(WINDOW_S)
    after, counts_after = [cpu_s(pid) for pid in pids], cluster.counts()
    elapsed_s = time.monotonic() - started
    cores = [
        (after_s - before_s) / elapsed_s for before_s, after_s in zip(before, after, strict=True)
    ]
    return Point(
        way,
        load,
        (counts_after.tokens - counts.tokens) / elapsed_s,
        (counts_after.calls - counts.calls) / elapsed_s,
        *cores,
        load_result(callers),
    )


def measure_all(loads: Sequence[Load], ways: Sequence[Way], checkout: Path | None) -> list[Point]:
    """Measure every load in every way on a new cluster."""
    with bench_cluster(step_s=STEP_S, checkout=checkout) as cluster:
        return [measure(cluster, way, load) for way, load in itertools.product(ways, loads)]


def slopes(points: Sequence[Point], way: Way, attribute: str) -> Fit:
    """Fit the processor time of one entry by tokens and calls per second."""
    selected = [point for point in points if point.way is way]
    inputs = {
        "tokens_per_s": [point.tokens_per_s for point in selected],
        "calls_per_s": [point.calls_per_s for point in selected],
    }
    return fit(inputs, [getattr(point, attribute) for point in selected])


def compare(report: Report, repetitions: int, baseline: Path) -> None:
    """Measure this version and another alternately, under the same load."""
    current_points: list[Point] = []
    baseline_points: list[Point] = []
    for _ in range(repetitions):
        baseline_points += measure_all([HEAVY_LOAD], list(Way), baseline)
        current_points += measure_all([HEAVY_LOAD], list(Way), None)
    report.results["comparison"] = {
        f"{way.value}.{attribute}": {
            "baseline": spread(_values(baseline_points, way, attribute)),
            "this": spread(_values(current_points, way, attribute)),
            "ratio": statistics.median(_values(current_points, way, attribute))
            / statistics.median(_values(baseline_points, way, attribute)),
        }
        for way in Way
        for attribute in ("owner_cores", "door_cores")
    }


def _values(points: Sequence[Point], way: Way, attribute: str) -> list[float]:
    return [getattr(point, attribute) for point in points if point.way is way]


def main(
    repetitions: Annotated[int, typer.Option(help="Measurements of every load.")] = 3,
    baseline: Annotated[Path | None, typer.Option(help="Checkout to compare with.")] = None,
    name: Annotated[str, typer.Option(help="Name of the result.")] = "stream_rate",
) -> None:
    """Run the measurements, fit them and write the result."""
    report = begin(" ".join(["python -m bench.stream_rate", *sys.argv[1:]]))
    if baseline is not None:
        compare(report, repetitions, baseline)
        typer.echo(finish(report, name))
        return
    points = [each for _ in range(repetitions) for each in measure_all(LOADS, list(Way), None)]
    target_size_points = measure_all(TARGET_LOADS, list(Way), None)
    report.results = {
        "owner_when_called": slopes(points, Way.OWNER, "owner_cores"),
        "owner_behind_door": slopes(points, Way.FORWARDER, "owner_cores"),
        "door": slopes(points, Way.FORWARDER, "door_cores"),
        "holder": slopes(points, Way.OWNER, "holder_cores"),
        "points": points,
        "full": target_size_points,
    }
    typer.echo(finish(report, name))


if __name__ == "__main__":
    typer.run(main)
