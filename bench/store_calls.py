"""Calls to the store by their cause, and the duration of a takeover.

The cluster has six entries in three zones.  Counted are the calls of an idle fleet, the calls for
programs and turns, for logs, and for the consequences of losing an entry (logs that get a new
owner, logs that get new holders).  Timed is the interval from the kill of an entry to the first
successful call of each of its programs.

    python -m bench.store_calls
"""

import asyncio
import re
import sys
import time
import urllib.request
from typing import Annotated, Any

import msgspec
import typer

from bench.cluster import BenchCluster, bench_cluster
from bench.counting_store import StoreCounts
from bench.fit import fit, line
from bench.load import Connection, Samples, model_call
from bench.report import begin, finish
from tests.processes import ZONES, wait_until

ENTRIES = (*ZONES, *ZONES)
KILLED_ENTRY, CALLED_ENTRY = 0, 1
IDLE_S = 10.0
STEP_S = 0.001
POLL_S = 0.02
LOOKUP_CALLS = 10
LOOKUP_PAUSE_S = 2.2
WAIT_LIMIT_S = 60.0
DURABILITY = {
    "heartbeat_s": 0.5,
    "suspect_after_s": 2.5,
    "takeover_period_s": 0.5,
    "append_timeout_s": 5.0,
}
"""The defaults of the package instead of the short times of the tests."""

CHARACTERS_PER_TOKEN = 4
LOOKUPS = re.compile(r'waxwingglade_store_calls_total\{purpose="lookup"\} ([0-9.e+]+)')


class Calls(msgspec.Struct, frozen=True):
    """Calls to the store during an interval."""

    reads: int
    writes: int
    by_path: dict[str, int]


class Size(msgspec.Struct, frozen=True):
    """Logs, programs, turns and tokens per turn of the killed entry."""

    logs: int
    programs: int
    turns: int
    turn_tokens: int


class Loss(msgspec.Struct, frozen=True):
    """Consequences of killing an entry; times are in seconds since the kill."""

    size: Size
    taken_over: int
    holder_changes: int
    calls: Calls
    first_served_s: float
    last_served_s: float
    unserved: int
    settled: bool


LOSSES = [
    Size(1, 8, 2, 50),
    Size(4, 8, 2, 50),
    Size(16, 32, 2, 50),
    Size(32, 64, 2, 50),
    Size(4, 64, 2, 50),
    Size(4, 64, 20, 50),
    Size(4, 16, 10, 2_000),
    Size(4, 16, 10, 19_000),
]

LARGE = [Size(1, 40, 10, 19_000), Size(1, 96, 10, 19_000)]
"""All programs in one log of 30 and 73 MB; the largest allowed message has 64 MiB."""


def between(before: StoreCounts, after: StoreCounts) -> Calls:
    """Return the calls between two counts."""
    by_path = {path: n - before.calls.get(path, 0) for path, n in after.calls.items()}
    writes = after.writes - before.writes
    return Calls(sum(by_path.values()) - writes, writes, {p: n for p, n in by_path.items() if n})


def settings(logs: int) -> dict[str, Any]:
    """Return the settings that differ from those of the tests."""
    return {"durability": {**DURABILITY, "logs_per_entry": logs}}


def wait_until_registered(cluster: BenchCluster, logs: int) -> None:
    """Wait until the store names every log with all its copies."""

    def complete() -> bool:
        records = cluster.log_records()
        fully_copied = [each for each in records if len(each.copies) == 3]
        return len(fully_copied) >= logs * len(ENTRIES) == len(fully_copied)

    wait_until(complete, "the logs to be registered")


async def run_programs(url: str, size: Size) -> list[str]:
    """Run programs at one entry and leave them open; return their paths."""
    connection = Connection(url)
    await connection.open()
    samples = Samples()
    paths = []
    for _ in range(size.programs):
        created = await connection.post("/v1/programs", {"program_class": "load"})
        path = f"/v1/programs/{created['program']}/calls"
        for turn in range(size.turns):
            body = model_call(turn, 1, size.turn_tokens * CHARACTERS_PER_TOKEN)
            await connection.stream(path, body, samples)
        paths.append(path)
    connection.writer.close()
    if samples.failures:
        raise RuntimeError(samples.failures[0])
    return paths


# --- counts -------------------------------------------------------------------------------------


def measure_idle(logs: int) -> dict[str, Any]:
    """Count the calls of an idle fleet, and those of its start."""
    with bench_cluster(ENTRIES, settings(logs), step_s=STEP_S) as cluster:
        wait_until_registered(cluster, logs)
        start = cluster.store_counts()
        time.sleep(IDLE_S)
        idle_calls = between(start, cluster.store_counts())
        return {
            "logs_per_entry": logs,
            "entries": len(ENTRIES),
            "zones": len(ZONES),
            "calls_of_start": between(StoreCounts({}, 0, 0), start),
            "calls_of_rest": idle_calls,
            "seconds": IDLE_S,
            "watches": start.watches,
        }


def measure_turns(programs: int, turns: int) -> dict[str, Any]:
    """Count the calls for programs and turns, and those of the idle fleet in the same time."""
    with bench_cluster(ENTRIES, settings(4), step_s=STEP_S) as cluster:
        wait_until_registered(cluster, 4)
        before, started_at = cluster.store_counts(), time.monotonic()
        asyncio.run(run_programs(cluster.entry_urls()[KILLED_ENTRY], Size(4, programs, turns, 50)))
        calls, seconds = between(before, cluster.store_counts()), time.monotonic() - started_at
        before = cluster.store_counts()
        time.sleep(seconds)
        idle_calls = between(before, cluster.store_counts())
        return {
            "programs": programs,
            "turns": programs * turns,
            "seconds": seconds,
            "calls": calls,
            "calls_at_rest_in_that_time": idle_calls,
        }


def measure_lookups() -> dict[str, Any]:
    """Count the store calls that are caused by calls to a program whose owner has changed.

    The calls are sequential and go through one entry that is neither owner nor holder of the log.
    """
    with bench_cluster(ENTRIES, settings(1), step_s=STEP_S) as cluster:
        wait_until_registered(cluster, 1)
        (path,) = asyncio.run(run_programs(cluster.entry_urls()[KILLED_ENTRY], Size(1, 1, 1, 50)))
        name = cluster.entry_name(KILLED_ENTRY)
        cluster.processes[name].kill()
        asyncio.run(seconds_until_served(cluster.entry_urls()[CALLED_ENTRY], [path]))
        _wait_for_new_holders(cluster, name)
        time.sleep(IDLE_S)
        (log,) = [each for each in cluster.log_records() if each.log in path]
        involved = {ref.entry for ref in (log.owner, *log.copies)}
        uninvolved = [n for n in range(1, len(ENTRIES)) if cluster.entry_name(n) not in involved]
        url = cluster.entry_urls()[uninvolved[0]]
        before = _lookups(url)
        asyncio.run(_spaced_calls(url, path))
        return {"calls": LOOKUP_CALLS, "lookups": _lookups(url) - before}


def _lookups(url: str) -> float:
    """Return how often an entry has asked the store for the owner of a log."""
    with urllib.request.urlopen(url + "/metrics") as answer:
        found = LOOKUPS.search(answer.read().decode())
    assert found is not None
    return float(found[1])


async def _spaced_calls(url: str, path: str) -> None:
    connection, samples = Connection(url), Samples()
    await connection.open()
    for number in range(LOOKUP_CALLS):
        await connection.stream(path, model_call(20_000 + number, 1), samples)
        await asyncio.sleep(LOOKUP_PAUSE_S)
    if samples.failures:
        raise RuntimeError(samples.failures[0])


# --- loss of an entry ---------------------------------------------------------------------------


def measure_loss(size: Size) -> Loss:
    """Kill the entry that owns all programs and measure the consequences."""
    with bench_cluster(
        ENTRIES, settings(size.logs), step_s=STEP_S, module="bench.entry"
    ) as cluster:
        wait_until_registered(cluster, size.logs)
        paths = asyncio.run(run_programs(cluster.entry_urls()[KILLED_ENTRY], size))
        name = cluster.entry_name(KILLED_ENTRY)
        records = cluster.log_records()
        taken_over = sum(each.owner.entry == name for each in records)
        holder_changes = (
            sum(any(ref.entry == name for ref in each.copies) for each in records) - taken_over
        )
        before = cluster.store_counts()
        cluster.processes[name].kill()
        times_to_serve = asyncio.run(
            seconds_until_served(cluster.entry_urls()[CALLED_ENTRY], paths)
        )
        settled = _wait_for_new_holders(cluster, name)
        calls = between(before, cluster.store_counts())
        times = sorted(each for each in times_to_serve if each is not None) or [WAIT_LIMIT_S]
        unserved = times_to_serve.count(None)
        return Loss(size, taken_over, holder_changes, calls, times[0], times[-1], unserved, settled)


def _wait_for_new_holders(cluster: BenchCluster, entry: str) -> bool:
    """Wait until no log names the lost entry as a holder; return whether that happened in time."""
    try:
        wait_until(lambda: not _is_holder(cluster, entry), "all logs to have other holders")
    except AssertionError:
        return False
    return True


def _is_holder(cluster: BenchCluster, entry: str) -> bool:
    return any(ref.entry == entry for each in cluster.log_records() for ref in each.copies)


async def seconds_until_served(url: str, paths: list[str]) -> list[float | None]:
    """Call every program until it is served; return the seconds each took, None if never."""
    killed_at = time.monotonic()
    return await asyncio.gather(*(_seconds_until_served(url, path, killed_at) for path in paths))


async def _seconds_until_served(url: str, path: str, killed_at: float) -> float | None:
    while time.monotonic() < killed_at + WAIT_LIMIT_S:
        connection, samples = Connection(url), Samples()
        await connection.open()
        await connection.stream(path, model_call(10_000, 1), samples)
        connection.writer.close()
        if samples.total_s:
            return time.monotonic() - killed_at
        await asyncio.sleep(POLL_S)
    return None


def main(
    repetitions: Annotated[int, typer.Option(help="Losses of every size.")] = 2,
) -> None:
    """Run the measurements, fit them and write the result."""
    report = begin(" ".join(["python -m bench.store_calls", *sys.argv[1:]]))
    idle_runs = [measure_idle(logs) for logs in (1, 4, 8)]
    turns = [measure_turns(*each) for each in ((8, 2), (8, 20), (64, 2))]
    losses = [measure_loss(size) for _ in range(repetitions) for size in LOSSES]
    large = [measure_loss(size) for size in LARGE]
    logs = [each["logs_per_entry"] * each["entries"] for each in idle_runs]
    changes = {
        "taken_over": [loss.taken_over for loss in losses],
        "holder_changes": [loss.holder_changes for loss in losses],
    }
    report.results = {
        "durability": DURABILITY,
        "rest": idle_runs,
        "turns": turns,
        "lookups": measure_lookups(),
        "losses": losses,
        "losses_of_large_logs": large,
        "start_calls_by_log": {
            "writes": line(logs, [each["calls_of_start"].writes for each in idle_runs]),
            "reads": line(logs, [each["calls_of_start"].reads for each in idle_runs]),
        },
        "loss_calls": {
            "writes": fit(changes, [loss.calls.writes for loss in losses]),
            "reads": fit(changes, [loss.calls.reads for loss in losses]),
        },
        "last_served_s": fit(
            {
                "logs": [loss.size.logs for loss in losses],
                "history_tokens": [
                    loss.size.programs * loss.size.turns * loss.size.turn_tokens for loss in losses
                ],
            },
            [loss.last_served_s for loss in losses],
        ),
    }
    typer.echo(finish(report, "store_calls"))


if __name__ == "__main__":
    typer.run(main)
