"""Cost of a data folder: ``python -m bench.disk``.

Each sender appends a record to one of several logs, waits until it is durable, and repeats.  Rounds
of the compared ways alternate, each in a new folder:

- group: as in an entry; the changes that are queued during one write form the next group.
- single: every record is committed separately.
- unguarded: as group, but without flushing the index, which shows the cost of the index.
- large: as group, while one large log is opened repeatedly, which shows the delay for the others.
"""

import asyncio
import os
import random
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from waxwingglade.base import EntryId, EntryRef, Epoch, Incarnation, LogId, ZoneId
from waxwingglade.process.disk import Disk, open_disk
from waxwingglade.process.disk_files import INDEX_NAME, REAL_OPERATIONS, FileOperations
from waxwingglade.process.log_copy import LogCopy

OWNER = EntryRef(EntryId("entry"), Incarnation("a1"), ZoneId("zone"), "tcp://127.0.0.1:1")
LARGE_LOG = LogId("zone.entry.a1.large")
LARGE_RECORD_BYTES = 2000
WAYS = ("group", "single", "unguarded", "large")

Commit = Callable[[LogId, Callable[[], None]], Awaitable[None]]
"""Makes a change to a log and returns once it is durable."""


class Load(msgspec.Struct, frozen=True):
    """Load on the disk.

    Parameters
    ----------
    senders : int
        Concurrent records.
    logs : int
        Number of logs to which they are appended.
    record_bytes : int
        Size of a record.
    seconds : float
        Duration of a round.
    flush_s : float
        Seconds added to each flush of a file, to simulate a slower disk.
    large_bytes : int
        Size of the log that is opened repeatedly in the way `large`.
    """

    senders: int
    logs: int
    record_bytes: int
    seconds: float
    flush_s: float
    large_bytes: int


class Measured(msgspec.Struct):
    """Results of one way; latencies are in seconds."""

    latencies: list[float] = []
    opened: list[float] = []
    elapsed_s: float = 0.0

    @property
    def rate(self) -> float:
        """Records per second."""
        return len(self.latencies) / self.elapsed_s

    def percentile(self, fraction: float) -> float:
        """Return the latency that a `fraction` of the records do not exceed."""
        ranked = sorted(self.latencies)
        return ranked[min(len(ranked) - 1, int(fraction * len(ranked)))]


# --- ways ---------------------------------------------------------------------------------------


def operations_for(load: Load, way: str) -> FileOperations:
    """Return the file operations of a way."""

    def write(path: Path, offset: int, parts: Iterable[bytes]) -> None:
        if way == "unguarded" and offset and path.name == INDEX_NAME:
            _write_unflushed(path, offset, parts)
            return
        REAL_OPERATIONS.write(path, offset, parts)
        if load.flush_s:
            time.sleep(load.flush_s)

    return msgspec.structs.replace(REAL_OPERATIONS, write=write)


def _write_unflushed(path: Path, offset: int, parts: Iterable[bytes]) -> None:
    descriptor = os.open(path, os.O_WRONLY)
    try:
        os.pwrite(descriptor, b"".join(parts), offset)
    finally:
        os.close(descriptor)


def commit_for(disk: Disk, way: str) -> Commit:
    """Return the function that makes a record durable in a way."""
    commit_lock = asyncio.Lock()

    async def commit_group(log: LogId, change: Callable[[], None]) -> None:
        change()
        await disk.sync(log)

    async def commit_single(log: LogId, change: Callable[[], None]) -> None:
        async with commit_lock:
            await commit_group(log, change)

    return commit_single if way == "single" else commit_group


# --- rounds -------------------------------------------------------------------------------------


async def run_round(load: Load, way: str, seed: int, measured: Measured) -> None:
    """Run one round in a new folder and add its latencies to `measured`."""
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory(dir=Path.cwd()) as folder:
        disk = open_disk(Path(folder), operations_for(load, way))
        logs = [LogId(f"zone.entry.a1.{number}") for number in range(load.logs)]
        for log in logs:
            disk.open_epoch(log, LogCopy(Epoch(1), Epoch(1), OWNER, [OWNER]))
        await disk.sync()
        commit = commit_for(disk, way)
        started_at = time.monotonic()
        end = started_at + load.seconds
        senders = [
            send(disk, rng.choice(logs), load.record_bytes, commit, end, measured.latencies)
            for _ in range(load.senders)
        ]
        if way == "large":
            senders.append(open_large(disk, load.large_bytes, end, measured.opened))
        await asyncio.gather(*senders)
        measured.elapsed_s += time.monotonic() - started_at
        await disk.close()


async def send(
    disk: Disk, log: LogId, size: int, commit: Commit, end: float, latencies: list[float]
) -> None:
    """Append records to a log, one after the other, until the round ends."""
    record = os.urandom(size)

    def add() -> None:
        disk.append(log, disk.queued_states[log].length, [record], [OWNER], False)

    while (started_at := time.monotonic()) < end:
        await commit(log, add)
        latencies.append(time.monotonic() - started_at)


async def open_large(disk: Disk, size: int, end: float, opened: list[float]) -> None:
    """Open a large log repeatedly until the round ends."""
    records = [os.urandom(LARGE_RECORD_BYTES) for _ in range(size // LARGE_RECORD_BYTES)]
    epoch = 1
    while (started_at := time.monotonic()) < end:
        disk.open_epoch(LARGE_LOG, LogCopy(Epoch(epoch), Epoch(epoch), OWNER, [OWNER], records))
        await disk.sync(LARGE_LOG)
        opened.append(time.monotonic() - started_at)
        epoch += 1


def report(results: dict[str, Measured]) -> None:
    """Print a line for each way, including its ratio to `single`."""
    baseline = results["single"]
    typer.echo("way        records  records/s   ratio    p50 ms    p99 ms    max ms")
    for way, measured in results.items():
        latencies = [measured.percentile(fraction) * 1000 for fraction in (0.5, 0.99, 1.0)]
        typer.echo(
            f"{way:10} {len(measured.latencies):7} {measured.rate:10.0f}"
            f" {measured.rate / baseline.rate:7.2f}" + "".join(f"{ms:10.2f}" for ms in latencies)
        )
    opened = sorted(results["large"].opened)
    typer.echo(f"large log opened {len(opened)} times, median {opened[len(opened) // 2]:.3f} s")


def main(
    senders: Annotated[int, typer.Option(help="Records under way at the same time.")] = 48,
    logs: Annotated[int, typer.Option(help="Logs that they go to.")] = 12,
    record_bytes: Annotated[int, typer.Option(help="Size of a record.")] = 400,
    seconds: Annotated[float, typer.Option(help="Length of a round.")] = 2.0,
    rounds: Annotated[int, typer.Option(help="Rounds of each way.")] = 5,
    flush_ms: Annotated[float, typer.Option(help="Added to each flush of a file.")] = 0.0,
    large_mb: Annotated[float, typer.Option(help="Size of the large log.")] = 20.0,
    seed: Annotated[int, typer.Option(help="Seed of the choice of logs.")] = 1,
) -> None:
    """Compare group commits with separate commits of each record."""
    load = Load(senders, logs, record_bytes, seconds, flush_ms / 1000, int(large_mb * 1_000_000))
    results = {way: Measured() for way in WAYS}
    for number in range(rounds):
        for way, measured in results.items():
            asyncio.run(run_round(load, way, seed + number, measured))
    report(results)


if __name__ == "__main__":
    typer.run(main)
