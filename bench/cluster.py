"""Clusters for benchmarks: store, engines and entries, each in its own process."""

import contextlib
import json
import subprocess
import sys
import tempfile
import urllib.request
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import msgspec

from bench.counting_store import COUNTS_PATH, StoreCounts
from bench.fast_engine import Counts
from bench.load import LoadResult
from tests.processes import ZONES, Cluster, Process

SLOTS = 100_000
"""Concurrent calls of an engine: more than any benchmark sends."""


class BenchCluster(Cluster):
    """Entries in front of lightweight engines.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    zones : tuple of str
        Availability zone of each entry.
    overrides : dict
        Settings that differ from the defaults of the tests' cluster.
    step_s : float
        Seconds between the tokens of a stream.
    engine_count : int
        Number of engine processes.
    checkout : Path, optional
        Root of another checkout from which the entries run.
    module : str
        Module that runs an entry: the command of the package, or `bench.entry`.
    """

    def __init__(
        self,
        folder: Path,
        zones: tuple[str, ...],
        overrides: dict[str, Any] | None = None,
        step_s: float = 0.028,
        engine_count: int = 1,
        checkout: Path | None = None,
        module: str = "waxwingglade",
    ) -> None:
        super().__init__(folder, zones, overrides)
        self.module = module
        self.checkout = checkout
        self.step_s = step_s
        self.engine_names = [f"engine-{number + 1}" for number in range(engine_count)]

    def start(self) -> None:
        """Start the stand-ins, then the entries."""
        self.run_module("store", "bench.counting_store", [])
        self.read_url("store")
        for name in self.engine_names:
            self.run_module(name, "bench.fast_engine", ["--step-s", str(self.step_s)])
            self.read_url(name)
        for number in range(len(self.zones)):
            self.run_entry(number)
        for number in range(len(self.zones)):
            self.read_url(self.entry_name(number))

    def run_entry(self, number: int) -> None:
        """Start an entry."""
        name = self.entry_name(number)
        path = str(self.write_settings(number))
        arguments = ["serve", path] if self.module == "waxwingglade" else [path]
        log = self.folder / f"{name}.log"
        self.processes[name] = Process(arguments, log, self.module, self.checkout)

    def run_module(self, name: str, module: str, arguments: list[str]) -> None:
        """Start a benchmark module as a process with the given name."""
        self.processes[name] = Process(arguments, self.folder / f"{name}.log", module)

    def engines(self) -> list[dict[str, Any]]:
        """Return the settings of the engines."""
        return [
            {
                "target": name,
                "kind": "model",
                "zone": self.zones[0],
                "url": self.urls[name],
                "models": ["base"],
                "slots": SLOTS,
            }
            for name in self.engine_names
        ]

    def settings(self, number: int) -> dict[str, Any]:
        """Return the settings of one entry, with a high limit for store calls."""
        settings = super().settings(number)
        settings["store"]["calls_per_second"] = 1000.0
        settings["log_level"] = "WARNING"
        return settings

    def service(self) -> dict[str, Any]:
        """Return the settings of a service that no benchmark calls."""
        return {
            "target": "tool-1",
            "kind": "service",
            "zone": self.zones[0],
            "url": "http://127.0.0.1:1",
            "tools": [{"tool": "lookup", "path": "/lookup", "idempotent": True}],
        }

    def store_counts(self) -> StoreCounts:
        """Return the number of store calls so far."""
        request = urllib.request.Request(self.urls["store"] + COUNTS_PATH, b"{}")
        with urllib.request.urlopen(request) as answer:
            return msgspec.json.decode(answer.read(), type=StoreCounts)

    def counts(self) -> Counts:
        """Return the totals of all engines so far."""
        per_engine = [self._counts_of(name) for name in self.engine_names]
        return Counts(
            calls=sum(counts.calls for counts in per_engine),
            tokens=sum(counts.tokens for counts in per_engine),
            running=sum(counts.running for counts in per_engine),
            prompt_bytes=sum(counts.prompt_bytes for counts in per_engine),
        )

    def _counts_of(self, name: str) -> Counts:
        with urllib.request.urlopen(self.urls[name] + "/bench/counts") as answer:
            return msgspec.json.decode(answer.read(), type=Counts)

    def pid(self, number: int) -> int:
        """Return the process id of an entry."""
        return self.processes[self.entry_name(number)].popen.pid


@contextlib.contextmanager
def bench_cluster(
    zones: tuple[str, ...] = ZONES,
    overrides: dict[str, Any] | None = None,
    cluster: type[BenchCluster] = BenchCluster,
    **more: Any,
) -> Iterator[BenchCluster]:
    """Run a cluster for the duration of a measurement."""
    with tempfile.TemporaryDirectory() as folder:
        benchmark_cluster = cluster(Path(folder), zones, overrides, **more)
        try:
            benchmark_cluster.start()
            yield benchmark_cluster
        finally:
            benchmark_cluster.close()


def start_load(url: str, arguments: Sequence[str]) -> subprocess.Popen:
    """Start the callers of `bench.load` in a process of their own."""
    command = [sys.executable, "-m", "bench.load", url, *arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def load_result(process: subprocess.Popen) -> LoadResult:
    """Wait for the callers to end and return their measurements."""
    output, _ = process.communicate()
    return msgspec.convert(json.loads(output), LoadResult)


__all__ = ["BenchCluster", "bench_cluster", "load_result", "start_load"]
