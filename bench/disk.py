"""What a data folder costs: ``python -m bench.disk``.

Senders add a record to one of several logs, wait until it is durable, and begin again.  Rounds of
the ways that are compared follow each other in turn, each in a fresh folder:

- group: as the entry does it; what is queued while a group is written makes up the next.
- single: every record has a commit of its own.
- unguarded: as group, but the index is not flushed.  It shows what the index costs.
- large: as group, while one large log is opened over and over.  It shows what others wait for.
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
    """What is put on the disk.

    Parameters
    ----------
    senders : int
        Records that are under way at the same time.
    logs : int
        Logs that they go to.
    record_bytes : int
        Size of a record.
    seconds : float
        Length of a round.
    flush_s : float
        Seconds added to each flush of a file, to stand in for a slower disk.
    large_bytes : int
        Size of the log that is opened anew in the way `large`.
    """

    senders: int
    logs: int
    record_bytes: int
    seconds: float
    flush_s: float
    large_bytes: int


class Measured(msgspec.Struct):
    """Result of one way; latencies in seconds."""

    latencies: list[float] = []
    opened: list[float] = []
    elapsed_s: float = 0.0

    @property
    def rate(self) -> float:
        """Records a second."""
        return len(self.latencies) / self.elapsed_s

    def percentile(self, part: float) -> float:
        """Return the latency that `part` of the records do not exceed."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


# --- ways ---------------------------------------------------------------------------------------


def operations_for(load: Load, way: str) -> FileOperations:
    """Return the operations of a way."""

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
    """Return how a record is made durable."""
    one_at_a_time = asyncio.Lock()

    async def together(log: LogId, change: Callable[[], None]) -> None:
        change()
        await disk.sync(log)

    async def alone(log: LogId, change: Callable[[], None]) -> None:
        async with one_at_a_time:
            await together(log, change)

    return alone if way == "single" else together


# --- rounds -------------------------------------------------------------------------------------


async def run_round(load: Load, way: str, seed: int, measured: Measured) -> None:
    """Run one round in a fresh folder and add its latencies to `measured`."""
    chooser = random.Random(seed)
    with tempfile.TemporaryDirectory(dir=Path.cwd()) as folder:
        disk = open_disk(Path(folder), operations_for(load, way))
        logs = [LogId(f"zone.entry.a1.{number}") for number in range(load.logs)]
        for log in logs:
            disk.open_epoch(log, LogCopy(Epoch(1), Epoch(1), OWNER, [OWNER]))
        await disk.sync()
        commit = commit_for(disk, way)
        began = time.monotonic()
        end = began + load.seconds
        senders = [
            send(disk, chooser.choice(logs), load.record_bytes, commit, end, measured.latencies)
            for _ in range(load.senders)
        ]
        if way == "large":
            senders.append(open_large(disk, load.large_bytes, end, measured.opened))
        await asyncio.gather(*senders)
        measured.elapsed_s += time.monotonic() - began
        await disk.close()


async def send(
    disk: Disk, log: LogId, size: int, commit: Commit, end: float, latencies: list[float]
) -> None:
    """Add records to a log, one after the other, until the round ends."""
    record = os.urandom(size)

    def add() -> None:
        disk.append(log, disk.queued_states[log].length, [record], [OWNER], False)

    while (began := time.monotonic()) < end:
        await commit(log, add)
        latencies.append(time.monotonic() - began)


async def open_large(disk: Disk, size: int, end: float, opened: list[float]) -> None:
    """Open a large log again and again."""
    records = [os.urandom(LARGE_RECORD_BYTES) for _ in range(size // LARGE_RECORD_BYTES)]
    epoch = 1
    while (began := time.monotonic()) < end:
        disk.open_epoch(LARGE_LOG, LogCopy(Epoch(epoch), Epoch(epoch), OWNER, [OWNER], records))
        await disk.sync(LARGE_LOG)
        opened.append(time.monotonic() - began)
        epoch += 1


def report(results: dict[str, Measured]) -> None:
    """Print a line for each way, as a ratio to `single` too."""
    base = results["single"]
    typer.echo("way        records  records/s   ratio    p50 ms    p99 ms    max ms")
    for way, measured in results.items():
        latencies = [measured.percentile(part) * 1000 for part in (0.5, 0.99, 1.0)]
        typer.echo(
            f"{way:10} {len(measured.latencies):7} {measured.rate:10.0f}"
            f" {measured.rate / base.rate:7.2f}" + "".join(f"{ms:10.2f}" for ms in latencies)
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
    """Compare group commits with a commit for each record."""
    load = Load(senders, logs, record_bytes, seconds, flush_ms / 1000, int(large_mb * 1_000_000))
    results = {way: Measured() for way in WAYS}
    for number in range(rounds):
        for way, measured in results.items():
            asyncio.run(run_round(load, way, seed + number, measured))
    report(results)


if __name__ == "__main__":
    typer.run(main)
