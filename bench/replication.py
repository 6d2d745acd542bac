"""Cost of copying the records of turns to two holders.

The owner's log runs in this process, each holder in its own process.  A turn consists of two
records: the start of a call with its message, and its outcome with the answer.

    python -m bench.replication
"""

import asyncio
import itertools
import os
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

import msgspec
import typer
import zmq.asyncio

from bench.fit import fit, line
from bench.report import begin, finish, percentile
from bench.usage import cpu_s
from tests.processes import Process
from waxwingglade.base import (
    CallId,
    ClassName,
    ConfigVersion,
    EntryId,
    EntryRef,
    Epoch,
    Incarnation,
    LogId,
    ModelName,
    ProgramId,
    TargetId,
    TenantId,
    ZoneId,
)
from waxwingglade.connection.peer import PeerLink, PeerLinks
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.program import Amount, CallEnded, CallStarted, Created, Done, ModelCall, Usage
from waxwingglade.program.messages import Message, MessageRole
from waxwingglade.settings import DurabilitySettings, ProgramPolicy

HOLDERS = 2
RUN_S = 2.0
WARM_UP_S = 0.3
LOG = LogId("home.zone-1.entry-1.owner.0")
CONCURRENCIES = (1, 4, 16, 64)
TURN_BYTES = (200, 1_400, 8_000)
"""Total bytes of message and answer; 350 tokens are 1,400."""


class Point(msgspec.Struct, frozen=True):
    """One run.

    Parameters
    ----------
    concurrency : int
        Concurrent turns.
    turn_bytes : int
        Bytes of text in a turn.
    turns : int
        Turns in the run.
    messages_per_turn, bytes_per_turn : float
        Sent to both holders together, excluding answers.
    answer_bytes_per_turn : float
        Received from both holders together.
    owner_cpu_s, holder_cpu_s : float
        Processor time per turn, of the owner and of one holder.
    turn_p50, turn_p99 : float
        Seconds that the two appends of a turn take together.
    """

    concurrency: int
    turn_bytes: int
    turns: int
    messages_per_turn: float
    bytes_per_turn: float
    answer_bytes_per_turn: float
    owner_cpu_s: float
    holder_cpu_s: float
    turn_p50: float
    turn_p99: float


class Traffic(msgspec.Struct, frozen=True):
    """Total traffic of the owner's links."""

    messages: int
    sent: int
    received: int


class Run(msgspec.Struct):
    """Size of the turns of one run, and the seconds that each took."""

    turn_bytes: int
    seconds: list[float] = []
    measuring: bool = False


def ref(name: str, zone: str, address: str) -> EntryRef:
    """Return a reference to an entry."""
    return EntryRef(EntryId(name), Incarnation(name), ZoneId(zone), address)


def owned_log(links: PeerLinks, holders: Sequence[EntryRef]) -> OwnedLog:
    """Return a log with copies at the owner and the holders."""
    own = ref("owner", "zone-1", "")
    settings = DurabilitySettings()
    copies = [own, *holders]
    return OwnedLog(LOG, Epoch(1), own, copies, [], links, settings, lambda _: True)


async def measure(
    addresses: Sequence[str], pids: Sequence[int], run: Run, concurrency: int
) -> Point:
    """Run a number of concurrent turns on a new log and measure them."""
    links = PeerLinks(zmq.asyncio.Context())
    zones = ("zone-1", "zone-2")
    names = [f"holder-{number}" for number in range(HOLDERS)]
    holders = [ref(*each) for each in zip(names, zones, addresses, strict=True)]
    log = owned_log(links, holders)
    log.start()
    workers = [asyncio.create_task(_run_turns(log, number, run)) for number in range(concurrency)]
    await asyncio.sleep(WARM_UP_S)
    holder_links = [links.to(holder.peer_address, holder.incarnation) for holder in holders]
    before, cpu_before = traffic(holder_links), [cpu_s(os.getpid()), *map(cpu_s, pids)]
    run.measuring = True
    await asyncio.sleep(RUN_S)
    run.measuring = False
    after, cpu_after = traffic(holder_links), [cpu_s(os.getpid()), *map(cpu_s, pids)]
    for worker in workers:
        worker.cancel()
    await asyncio.gather(*workers, return_exceptions=True)
    await log.stop()
    await links.close()
    turn_count = len(run.seconds)
    cpu_s_used = [
        after_s - before_s for before_s, after_s in zip(cpu_before, cpu_after, strict=True)
    ]
    return Point(
        concurrency=concurrency,
        turn_bytes=run.turn_bytes,
        turns=turn_count,
        messages_per_turn=(after.messages - before.messages - HOLDERS) / turn_count,
        bytes_per_turn=(after.sent - before.sent) / turn_count,
        answer_bytes_per_turn=(after.received - before.received) / turn_count,
        owner_cpu_s=cpu_s_used[0] / turn_count,
        holder_cpu_s=sum(cpu_s_used[1:]) / HOLDERS / turn_count,
        turn_p50=percentile(run.seconds, 0.5),
        turn_p99=percentile(run.seconds, 0.99),
    )


def traffic(links: Sequence[PeerLink]) -> Traffic:
    """Return the total traffic of some links.

    Each call of this function uses up one message number of every link.
    """
    return Traffic(
        messages=sum(next(link.request_numbers) for link in links),
        sent=sum(link.bytes_sent for link in links),
        received=sum(link.bytes_received for link in links),
    )


async def _run_turns(log: OwnedLog, number: int, run: Run) -> None:
    program = ProgramId(f"{LOG}.{number}")
    await log.append(program, created())
    for turn in itertools.count():
        started_at = time.monotonic()
        call = CallId(f"m{turn}")
        await log.append(program, call_started(call, "x" * (run.turn_bytes // 2)))
        await log.append(program, call_ended(call, "y" * (run.turn_bytes // 2)))
        if run.measuring:
            run.seconds.append(time.monotonic() - started_at)


def created() -> Created:
    """Return the record of a new program."""
    return Created(
        TenantId("kettu"),
        ClassName("load"),
        ProgramPolicy(),
        ConfigVersion(0),
        0.0,
        CallId("create"),
    )


def call_started(call: CallId, text: str) -> CallStarted:
    """Return the record of a started model call."""
    model_call = ModelCall(call, ModelName("base"), [Message(MessageRole.USER, text)], 350)
    return CallStarted(model_call, Amount(700, 70_000), TargetId("engine-1"), 1.5e9, "0" * 16)


def call_ended(call: CallId, text: str) -> CallEnded:
    """Return the record of a completed model call."""
    done = Done(text, usage=Usage(350, 300, 350))
    return CallEnded(call, done, Amount(700, 70_000), 1.5e9)


@contextmanager
def holder_processes() -> Iterator[list[Process]]:
    """Run the holders for the duration of a measurement."""
    with tempfile.TemporaryDirectory() as folder:
        processes = [
            Process([f"holder-{number}"], Path(folder) / f"{number}.log", "bench.holder")
            for number in range(HOLDERS)
        ]
        try:
            yield processes
        finally:
            for process in processes:
                process.close()


def measure_all() -> list[Point]:
    """Measure every size and concurrency, each with new holder processes."""
    points = []
    for turn_bytes, concurrency in itertools.product(TURN_BYTES, CONCURRENCIES):
        with holder_processes() as processes:
            addresses = [process.first_line() for process in processes]
            pids = [process.popen.pid for process in processes]
            points.append(asyncio.run(measure(addresses, pids, Run(turn_bytes), concurrency)))
    return points


def main(
    repetitions: Annotated[int, typer.Option(help="Measurements of every size.")] = 3,
) -> None:
    """Run the measurements, fit them and write the result."""
    report = begin(" ".join(["python -m bench.replication", *sys.argv[1:]]))
    points = [point for _ in range(repetitions) for point in measure_all()]
    inputs = {
        "messages": [point.messages_per_turn for point in points],
        "turn_bytes": [point.turn_bytes for point in points],
    }
    single = [point for point in points if point.concurrency == 1]
    sizes = [point.turn_bytes for point in single]
    report.results = {
        "owner_cpu_s_per_turn": fit(inputs, [point.owner_cpu_s for point in points]),
        "holder_cpu_s_per_turn": fit(inputs, [point.holder_cpu_s for point in points]),
        "bytes_per_turn_alone": line(sizes, [point.bytes_per_turn for point in single]),
        "answer_bytes_per_turn_alone": line(
            sizes, [point.answer_bytes_per_turn for point in single]
        ),
        "points": points,
    }
    typer.echo(finish(report, "replication"))


if __name__ == "__main__":
    typer.run(main)
