"""Cost for an entry of reading the load of targets, choosing entries and choosing targets.

Three idle entries of one zone share the reading of the zone's targets.  The choices are timed in
this process, by the number of entries or targets to choose from.

    python -m bench.zone_duties
"""

import re
import sys
import time
import timeit
import urllib.request
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from bench.cluster import BenchCluster, bench_cluster
from bench.crowd import ref_of
from bench.fit import fit, line
from bench.report import begin, finish
from bench.usage import cpu_s
from waxwingglade.base import LogId, TargetId, TenantId, ZoneId, make_log_id, monotonic
from waxwingglade.connection.peer_messages import Envelope, LoadReports, TargetLoad, encode_envelope
from waxwingglade.decisions import DecisionSettings, Pool, TargetTable, Work
from waxwingglade.decisions.route import choose
from waxwingglade.process.placement import choose_copies, rank
from waxwingglade.settings import ProgramPolicy, TargetKind, TargetSettings

ZONES = ("zone-1", "zone-1", "zone-1")
TARGETS = (0, 100, 300, 600)
CANDIDATES = (10, 30, 100, 200, 389)
WARM_UP_S = 3.0
RUN_S = 6.0
TIMED_S = 0.2
PEER_BYTES = re.compile(r'waxwingglade_peer_bytes_total\{direction="sent"\} ([0-9.e+]+)')


class Point(msgspec.Struct, frozen=True):
    """One run: cores and bytes per second of one entry; `reads` is its share of the targets."""

    targets: int
    reads: float
    cores: float
    sent_bytes: float


class ManyTargets(BenchCluster):
    """Entries with many targets that are all served by one engine.

    Parameters
    ----------
    target_count : int
        Targets of the zone.
    """

    def __init__(self, folder: Path, zones: tuple[str, ...], *rest: Any, target_count: int) -> None:
        super().__init__(folder, zones, *rest)
        self.target_count = target_count

    def engines(self) -> list[dict[str, Any]]:
        """Return the settings of the targets."""
        engine = super().engines()[0]
        return [{**engine, "target": f"engine-{n:05d}"} for n in range(self.target_count)]

    def settings(self, number: int) -> dict[str, Any]:
        """Return the settings of one entry, with the default periods of the package."""
        settings = super().settings(number)
        settings["durability"] = {"heartbeat_s": 0.5, "suspect_after_s": 2.5}
        return settings


def measure(targets: int) -> Point:
    """Measure an entry that shares a number of targets with two others."""
    with bench_cluster(ZONES, cluster=ManyTargets, target_count=targets) as cluster:
        time.sleep(WARM_UP_S)
        before, cpu_before_s = _sent_bytes(cluster), cpu_s(cluster.pid(0))
        time.sleep(RUN_S)
        sent, cpu_after_s = _sent_bytes(cluster) - before, cpu_s(cluster.pid(0))
        reads = targets / len(ZONES)
        return Point(targets, reads, (cpu_after_s - cpu_before_s) / RUN_S, sent / RUN_S)


def _sent_bytes(cluster: BenchCluster) -> float:
    with urllib.request.urlopen(cluster.entry_urls()[0] + "/metrics") as answer:
        found = PEER_BYTES.search(answer.read().decode())
    assert found is not None
    return float(found[1])


# --- choices ------------------------------------------------------------------------------------


def best_time_s(function: Callable[[], object]) -> float:
    """Return the duration of one call in seconds: the shortest of several repetitions."""
    number, seconds = timeit.Timer(function).autorange()
    repeat = max(3, int(TIMED_S / seconds))
    return min(timeit.Timer(function).repeat(repeat, number)) / number


def reader_choice_s(entries: int) -> float:
    """Return the seconds to choose the entry that reads one target."""
    refs = [ref_of(number, 1, "tcp://10.0.0.1:7000") for number in range(entries)]
    return best_time_s(lambda: rank(LogId("engine-00001"), refs)[0])


def holder_choice_s(entries: int) -> float:
    """Return the seconds to choose the holders of one log."""
    refs = [ref_of(number, 21, "tcp://10.0.0.1:7000") for number in range(entries)]
    log = make_log_id(refs[0], "home", 0)
    return best_time_s(lambda: choose_copies(log, refs[0], refs[1:], 3))


def target_choice_s(targets: int) -> float:
    """Return the seconds to choose the target of one call."""
    table = TargetTable(DecisionSettings(), ZoneId("zone-1"), monotonic)
    for number in range(targets):
        settings = TargetSettings(
            target=f"engine-{number:05d}",
            kind=TargetKind.MODEL,
            zone="zone-1",
            url="http://10.0.0.1",
            models=["base"],
        )
        table.add(settings)
    now = monotonic()
    work = Work(
        program="program",
        tenant=TenantId("kettu"),
        program_class="load",
        policy=ProgramPolicy(),
        pool=Pool("base"),
        created_at=now,
        deadline_at=now + 3600.0,
        service_received_s=0.0,
        prompt_tokens=1000,
    )
    return best_time_s(lambda: choose(table, work))


def load_bytes(loads: int) -> int:
    """Return the size in bytes of a message with the loads of some targets."""
    each = [TargetLoad(TargetId(f"engine-{n:05d}"), 7, 3, 0.4375, 0.00213) for n in range(loads)]
    return len(encode_envelope(Envelope(1, 100_000, "0123456789abcdef", LoadReports(each))))


def fitted(sizes: Sequence[int], function: Callable[[int], float]) -> dict[str, Any]:
    """Return the measured values by size, and a line fitted to them."""
    values = [function(size) for size in sizes]
    return {"sizes": list(sizes), "values": values, "fit": line(sizes, values)}


def main(
    repetitions: Annotated[int, typer.Option(help="Measurements of every size.")] = 2,
) -> None:
    """Run the measurements, fit them and write the result."""
    report = begin(" ".join(["python -m bench.zone_duties", *sys.argv[1:]]))
    points = [measure(targets) for _ in range(repetitions) for targets in TARGETS]
    reads = {"reads": [point.reads for point in points]}
    report.results = {
        "points": points,
        "cores_by_reads": fit(reads, [point.cores for point in points]),
        "sent_bytes_by_reads": fit(reads, [point.sent_bytes for point in points]),
        "load_message_bytes": fitted((1, 10, 30, 100), load_bytes),
        "reader_choice_s": fitted(CANDIDATES[:3], reader_choice_s),
        "holder_choice_s": fitted(CANDIDATES, holder_choice_s),
        "target_choice_s": fitted(CANDIDATES, target_choice_s),
    }
    typer.echo(finish(report, "zone_duties"))


if __name__ == "__main__":
    typer.run(main)
