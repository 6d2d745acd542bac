"""Time from the acceptance of a configuration until it is in force at every entry.

A few processes (`bench.spread_worker`) run several entries each, with the stand-in of the store.
Changes are accepted one after the other at the first entry.  With `cut`, all other entries use a
store that never answers, so they receive each change only from peers.

    python -m bench.config_spread
    python -m bench.config_spread --heartbeat-s 5 --sizes 130x7,130x21,390x21 --workers 6
"""

import itertools
import random
import statistics
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Annotated

import msgspec
import typer

from bench.fit import Fit, fit
from bench.report import begin, finish, percentile
from bench.spread_worker import Answer, Command, InForce, Plan, Usage
from tests.client import Caller
from tests.processes import Process
from waxwingglade.base import EntryRef

SIZES = "4x2,8x2,8x4,16x2,16x8,32x4,32x16"
WORKERS = 4
CHANGES = 12
PAUSE_BETWEEN_CHANGES_S = (0.7, 1.3)
IDLE_S = 5.0
START_S = 60.0
SETTLE_S = 8.0
"""Wait limits in seconds: `START_S` for the first version, `SETTLE_S` after the last change."""

SUSPECT_PERIODS = 5
"""Heartbeat periods without a heartbeat before a peer is suspected, as in the default settings."""

SEED = 11


class SpreadResult(msgspec.Struct, frozen=True):
    """One run.

    Parameters
    ----------
    entries, zones : int
        Size of the system.
    cut : bool
        Whether only the first entry could reach the store.
    changes, missing : int
        Accepted changes, and pairs of change and entry where it was not in force at the end.
    p50_s, p99_s, worst_s : float
        Time from the answer to the acceptance until the version is in force, over all pairs of
        change and entry except the accepting entry; 0 where it was in force before the answer.
    before_answer : float
        Share of these pairs where it was in force before the answer.
    idle_bytes_per_s, bytes_per_s : float
        Mean bytes sent and received in an entry's peer messages, without and with changes.
    fetches_per_change, fetch_bytes_per_change : float
        Mean fetches from peers by an entry for each change, and their bytes; on average, an entry
        serves as many.
    idle_cores, cores : float
        Mean processor time of an entry, without and with changes.
    idle_store_calls_per_s, store_calls_per_change : float
        Calls of all entries without changes, and the additional calls for each change.
    watchers : int
        Entries that follow the store.
    watched : float
        Mean number of peers to which an entry sends heartbeats.
    fell : int
        Number of times that a version at an entry was lower than the preceding one.
    """

    entries: int
    zones: int
    cut: bool
    changes: int
    missing: int
    p50_s: float
    p99_s: float
    worst_s: float
    before_answer: float
    idle_bytes_per_s: float
    bytes_per_s: float
    fetches_per_change: float
    fetch_bytes_per_change: float
    idle_cores: float
    cores: float
    idle_store_calls_per_s: float
    store_calls_per_change: float
    watchers: int
    watched: float
    fell: int


class Worker:
    """A process that runs some of the entries."""

    def __init__(self) -> None:
        self.popen = subprocess.Popen(
            [sys.executable, "-m", "bench.spread_worker"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def send(self, command: Command) -> None:
        """Send a command."""
        assert self.popen.stdin is not None
        self.popen.stdin.write(msgspec.json.encode(command) + b"\n")
        self.popen.stdin.flush()

    def read(self) -> Answer:
        """Read the answer to the last command."""
        assert self.popen.stdout is not None
        return msgspec.json.decode(self.popen.stdout.readline(), type=Answer)

    def close(self) -> None:
        """End the process and close its pipes."""
        self.popen.kill()
        self.popen.wait()
        for pipe in (self.popen.stdin, self.popen.stdout):
            assert pipe is not None
            pipe.close()


class System:
    """Entries, a store that answers and a store that does not."""

    def __init__(self, entries: int, workers: int) -> None:
        self.entries = entries
        self.workers = [Worker() for _ in range(min(workers, entries))]
        self.stores: list[Process] = []

    def start(self, folder: Path, zones: int, cut: bool, heartbeat_s: float) -> None:
        """Start all processes, and wait for the first version at all entries."""
        self.stores = [
            Process(["standin", "store"], folder / name) for name in ("store.log", "dead.log")
        ]
        store, unresponsive = (each.first_line() for each in self.stores)
        Caller(unresponsive).send("POST", "/standin/faults", {"outage": "hang"})
        for index, worker in enumerate(self.workers):
            numbers = list(range(self.entries))[index :: len(self.workers)]
            urls = [unresponsive if cut and number else store for number in numbers]
            worker.send(
                Command(plan=Plan(numbers, zones, urls, heartbeat_s, SUSPECT_PERIODS * heartbeat_s))
            )
        refs: list[EntryRef] = [ref for worker in self.workers for ref in worker.read().refs]
        for index, worker in enumerate(self.workers):
            worker.send(Command(refs=refs, seed=index == 0))
        for worker in self.workers:
            worker.read()
        if not self.wait_for(1, START_S):
            raise TimeoutError("the first version is not in force at all entries")

    def request_all(self, command: Command) -> list[Answer]:
        """Send a command to all processes and return their answers."""
        for worker in self.workers:
            worker.send(command)
        return [worker.read() for worker in self.workers]

    def wait_for(self, version: int, timeout_s: float) -> bool:
        """Wait until a version is in force at all entries; return whether that happened in time."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            seen = [each for answer in self.request_all(Command()) for each in answer.in_force]
            if len({each.entry for each in seen if each.version >= version}) == self.entries:
                return True
            time.sleep(0.3)
        return False

    def change(self, number: int) -> Answer:
        """Propose, approve and accept a change at the first entry."""
        self.workers[0].send(Command(change=number))
        return self.workers[0].read()

    def close(self) -> None:
        """End all processes."""
        for process in (*self.workers, *self.stores):
            process.close()


def run(entries: int, zones: int, cut: bool, heartbeat_s: float, workers: int) -> SpreadResult:
    """Measure one system."""
    rng = random.Random(SEED)
    system = System(entries, workers)
    with TemporaryDirectory() as folder:
        try:
            system.start(Path(folder), zones, cut, heartbeat_s)
            time.sleep(IDLE_S)
            before = system.request_all(Command())
            time.sleep(IDLE_S)
            idle = system.request_all(Command())
            accepted = []
            for number in range(CHANGES):
                accepted.append(system.change(number))
                time.sleep(rng.uniform(*PAUSE_BETWEEN_CHANGES_S))
            busy = system.request_all(Command())
            system.wait_for(accepted[-1].version, SETTLE_S)
            final = system.request_all(Command())
        finally:
            system.close()
    return summary(entries, zones, cut, accepted, [before, idle, busy, final])


def summary(
    entries: int, zones: int, cut: bool, accepted: list[Answer], snapshots: list[list[Answer]]
) -> SpreadResult:
    """Return the results of one run from snapshots at four moments."""
    before, idle, busy, final = snapshots
    seen: dict[str, list[InForce]] = {}
    for each in (each for answer in final for each in answer.in_force):
        seen.setdefault(each.entry, []).append(each)
    times = [
        first_in_force_at(reports, change.version) - change.accepted_at
        for change in accepted
        for entry, reports in sorted(seen.items())
        if entry != "entry-000"
    ]
    delays = [max(0.0, each) for each in times if each != float("inf")]
    idle_rates, change_rates = difference(before, idle), difference(idle, busy)
    usage_pairs = [(a.usage, b.usage) for a, b in zip(idle, final, strict=True)]
    fetches = sum(b.fetches - a.fetches for a, b in usage_pairs)
    fetch_bytes = sum(b.fetch_bytes - a.fetch_bytes for a, b in usage_pairs)
    return SpreadResult(
        entries=entries,
        zones=zones,
        cut=cut,
        changes=len(accepted),
        missing=len(times) - len(delays),
        p50_s=percentile(delays, 0.5),
        p99_s=percentile(delays, 0.99),
        worst_s=max(delays),
        before_answer=sum(each <= 0.0 for each in times) / len(times),
        idle_bytes_per_s=idle_rates.bytes_per_s / entries,
        bytes_per_s=change_rates.bytes_per_s / entries,
        fetches_per_change=fetches / len(accepted) / entries,
        fetch_bytes_per_change=fetch_bytes / len(accepted) / entries,
        idle_cores=idle_rates.cores / entries,
        cores=change_rates.cores / entries,
        idle_store_calls_per_s=idle_rates.calls_per_s,
        store_calls_per_change=(change_rates.calls_per_s - idle_rates.calls_per_s)
        * change_rates.seconds
        / len(accepted),
        watchers=sum(answer.watchers for answer in final),
        watched=sum(answer.watched for answer in final) / entries,
        fell=sum(count_decreases(reports) for reports in seen.values()),
    )


def first_in_force_at(reports: Sequence[InForce], version: int) -> float:
    """Return when a version or a higher one came into force; infinite where none did."""
    return min((each.at for each in reports if each.version >= version), default=float("inf"))


def count_decreases(reports: Sequence[InForce]) -> int:
    """Return how often a version was followed by a lower one."""
    versions = [each.version for each in reports]
    return sum(later < earlier for earlier, later in itertools.pairwise(versions))


class Rates(msgspec.Struct, frozen=True):
    """Usage of all entries per second, over an interval of `seconds`."""

    seconds: float
    bytes_per_s: float
    cores: float
    calls_per_s: float


def difference(earlier: list[Answer], later: list[Answer]) -> Rates:
    """Return the rates between two snapshots."""
    pairs = [(before.usage, after.usage) for before, after in zip(earlier, later, strict=True)]
    seconds = statistics.mean(after.at - before.at for before, after in pairs)
    used_bytes = sum(total_bytes(after) - total_bytes(before) for before, after in pairs)
    used_s = sum(after.cpu_s - before.cpu_s for before, after in pairs)
    calls = sum(after.store_calls - before.store_calls for before, after in pairs)
    return Rates(seconds, used_bytes / seconds, used_s / seconds, calls / seconds)


def total_bytes(usage: Usage) -> int:
    """Return the bytes sent and received by the entries of a process."""
    return sum(usage.sent_bytes) + sum(usage.received_bytes)


def fits(runs: Sequence[SpreadResult]) -> dict[str, Fit]:
    """Fit the results by entries and zones."""
    inputs = {
        "entries": [float(each.entries) for each in runs],
        "zones": [float(each.zones) for each in runs],
    }
    names = ("p50_s", "p99_s", "worst_s", "idle_bytes_per_s", "idle_cores", "fetches_per_change")
    return {name: fit(inputs, [getattr(each, name) for each in runs]) for name in names}


def parse_sizes(text: str) -> list[tuple[int, int]]:
    """Return the pairs of entries and zones in a text such as ``8x2,16x4``."""
    pairs = [each.split("x") for each in text.split(",")]
    return [(int(entries), int(zones)) for entries, zones in pairs]


def main(
    sizes: Annotated[str, typer.Option(help="Entries x zones, separated by commas.")] = SIZES,
    heartbeat_s: Annotated[float, typer.Option(help="Period of heartbeats.")] = 0.5,
    workers: Annotated[int, typer.Option(help="Processes for the entries.")] = WORKERS,
    name: Annotated[str, typer.Option(help="Name of the result.")] = "config_spread",
) -> None:
    """Run the measurements, fit them and write the result."""
    report = begin(" ".join(["python -m bench.config_spread", *sys.argv[1:]]))
    runs = []
    for cut in (False, True):
        for entries, zones in parse_sizes(sizes):
            runs.append(run(entries, zones, cut, heartbeat_s, workers))
            print(msgspec.json.encode(runs[-1]).decode(), flush=True)
            report.results["runs"] = runs
            finish(report, name)
    for cut in (False, True):
        chosen = [each for each in runs if each.cut is cut]
        if len(chosen) > len(("entries", "zones", "intercept")):
            report.results["fits, cut" if cut else "fits, store"] = fits(chosen)
    print(finish(report, name))


if __name__ == "__main__":
    typer.run(main)
