"""Cost of membership for one entry, by the number of its peers.

The measured entry runs alone in a process; a few other processes simulate its peers.

    python -m bench.heartbeats
    python -m bench.heartbeats --entry PERIOD SECONDS   (the entry; started by the first command)
"""

import asyncio
import os
import subprocess
import sys
from collections.abc import Sequence
from typing import Annotated

import msgspec
import typer
import zmq.asyncio

from bench.crowd import KnownEntries, ref_of
from bench.fit import Fit, fit
from bench.report import begin, finish
from bench.usage import cpu_s, resident_bytes
from waxwingglade.base import ConfigVersion, EntryRef
from waxwingglade.connection.member_messages import Heartbeat
from waxwingglade.connection.peer import PeerLinks, PeerServer, Reply
from waxwingglade.connection.peer_messages import PeerBody
from waxwingglade.process.members import Heartbeats, Members
from waxwingglade.settings import DurabilitySettings
from waxwingglade.version import ConfigDigest

PEERS = (4, 8, 16, 32, 64, 128)
PEER_PROCESSES = 3
"""Processes that simulate the peers."""

ZONES = 21
PERIOD_S = 0.5
WARM_UP_S = 4.0
RUN_S = 6.0
OWN_NUMBER = 9_999
NO_CONFIG = ConfigDigest(ConfigVersion(0), "")


class Usage(msgspec.Struct, frozen=True):
    """Resources that the entry used per second; processor time in cores.

    Bytes are those of the messages, excluding the frames of ZeroMQ and TCP.
    """

    cores: float
    sent_bytes: float
    received_bytes: float
    peers_alive: int
    resident_bytes: int


class Point(msgspec.Struct, frozen=True):
    """One run; `agree` tells whether the peers knew the same entries as the measured entry."""

    peers: int
    agree: bool
    usage: Usage


class Entry:
    """The parts of an entry that implement membership."""

    def __init__(self, period_s: float, peers: Sequence[EntryRef]) -> None:
        context = zmq.asyncio.Context()
        context.set(zmq.MAX_SOCKETS, 4096)
        self.server = PeerServer(context, lambda _: True, self.answer)
        own = ref_of(OWN_NUMBER, ZONES, self.server.start("127.0.0.1", 0))
        settings = DurabilitySettings(
            heartbeat_s=period_s, suspect_after_s=5 * period_s, watch_all_up_to=len(peers) + 1
        )
        self.members = Members(own, settings)
        self.links = PeerLinks(context)
        seeds = [peer.peer_address for peer in peers]
        self.heartbeats = Heartbeats(
            self.members,
            self.links,
            seeds,
            lambda: ConfigDigest(ConfigVersion(0), "", True),
            lambda *_: None,
        )

    async def answer(self, body: PeerBody, reply: Reply) -> None:
        """Answer a heartbeat."""
        assert isinstance(body, Heartbeat)
        await reply(self.heartbeats.answer(body), True)

    def traffic(self) -> tuple[int, int]:
        """Return the bytes sent and received so far."""
        links = self.links.links.values()
        sent = self.server.bytes_sent + sum(link.bytes_sent for link in links)
        received = self.server.bytes_received + sum(link.bytes_received for link in links)
        return sent, received


async def run_entry(period_s: float, seconds: float) -> None:
    """Run the entry: print its reference, read those of its peers, and print its usage."""
    entry = Entry(period_s, [])
    print(msgspec.json.encode(entry.members.own).decode(), flush=True)
    peers = msgspec.json.decode(await asyncio.to_thread(sys.stdin.readline), type=list[EntryRef])
    entry.heartbeats.seeds = [peer.peer_address for peer in peers]
    await asyncio.sleep(WARM_UP_S)
    before, used = entry.traffic(), cpu_s(os.getpid())
    await asyncio.sleep(seconds)
    after, used_after = entry.traffic(), cpu_s(os.getpid())
    usage = Usage(
        (used_after - used) / seconds,
        (after[0] - before[0]) / seconds,
        (after[1] - before[1]) / seconds,
        len(entry.members.usable()),
        resident_bytes(os.getpid()),
    )
    print(msgspec.json.encode(usage).decode(), flush=True)
    os._exit(0)


class ChildProcess:
    """A child process that communicates by lines of JSON."""

    def __init__(self, *arguments: str) -> None:
        command = [sys.executable, "-m", *arguments]
        self.popen = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def read(self, model: type):
        """Read and decode one line."""
        return msgspec.json.decode(self.popen.stdout.readline(), type=model)

    def write(self, value: object) -> None:
        """Encode and write one line."""
        self.popen.stdin.write(msgspec.json.encode(value).decode() + "\n")
        self.popen.stdin.flush()

    def close(self) -> None:
        """Kill the process and wait for its end."""
        self.popen.kill()
        self.popen.wait()


def measure(peers: int, agree: bool = True) -> Point:
    """Measure the entry with a number of peers."""
    entry = ChildProcess(
        "bench.heartbeats", "--entry", f"--period-s={PERIOD_S}", f"--seconds={RUN_S}"
    )
    own = entry.read(EntryRef)
    shares = [len(range(number, peers, PEER_PROCESSES)) for number in range(PEER_PROCESSES)]
    peer_processes = [
        ChildProcess(
            "bench.crowd",
            own.peer_address,
            *map(str, (sum(shares[:number]), share, ZONES, PERIOD_S)),
        )
        for number, share in enumerate(shares)
        if share
    ]
    try:
        refs = [ref for process in peer_processes for ref in process.read(list[EntryRef])]
        for process in peer_processes:
            process.write(KnownEntries([own, *refs], agree))
        entry.write(refs)
        return Point(peers, agree, entry.read(Usage))
    finally:
        for child in (entry, *peer_processes):
            child.close()


def slopes(points: Sequence[Point]) -> dict[str, Fit]:
    """Fit processor time and bytes by the number of peers.

    Processor time has a quadratic term, as the digest of each heartbeat costs more with more peers.
    """
    counts = [point.peers for point in points]
    inputs = {"peers": counts, "peers_squared": [count**2 for count in counts]}
    return {
        "cores": fit(inputs, [point.usage.cores for point in points]),
        "sent_bytes": fit({"peers": counts}, [point.usage.sent_bytes for point in points]),
        "received_bytes": fit({"peers": counts}, [point.usage.received_bytes for point in points]),
        "resident_bytes": fit({"peers": counts}, [point.usage.resident_bytes for point in points]),
    }


def main(
    entry: Annotated[bool, typer.Option("--entry", hidden=True)] = False,
    period_s: Annotated[float, typer.Option(hidden=True)] = PERIOD_S,
    seconds: Annotated[float, typer.Option(hidden=True)] = RUN_S,
    repetitions: Annotated[int, typer.Option(help="Measurements of every size.")] = 3,
    name: Annotated[str, typer.Option(help="Name of the result.")] = "heartbeats",
) -> None:
    """Measure, fit and write the result."""
    if entry:
        asyncio.run(run_entry(period_s, seconds))
    report = begin(" ".join(["python -m bench.heartbeats", *sys.argv[1:]]))
    points = [measure(peers) for _ in range(repetitions) for peers in PEERS]
    disagreeing = [measure(peers, agree=False) for peers in PEERS[2:6]]
    report.results = {
        "period_s": PERIOD_S,
        "agreeing": slopes(points),
        "points": points,
        "disagreeing": disagreeing,
    }
    typer.echo(finish(report, name))


if __name__ == "__main__":
    typer.run(main)
