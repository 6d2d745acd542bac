"""A small deployment on loopback for the cases from 6 on: the deploy file's own processes.

The platform's store is the project's stand-in; servers and clients are small ones of this module.
Everything runs on the real clock.  All that was sent, answered and run is written to a record.
"""

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from tests.ports import ReservedPorts
from waxwingglade.standins.metadata_store import MetadataStore

ROOT = Path(__file__).resolve().parent.parent

HOST = "ficu95.example"
HEARTBEAT_MS = 1200
GRACE_S = 8
METRICS_PORT = 9464
NETWORKS = range(100, 250)
PREFIX = "X-Waxwingglade-"
REGION = "suomi-etela"
ZONES = ("sali-a", "sali-b", "sali-c")

BROKEN, HELD, NOT_RUN = 1, 0, 2
"""Exit statuses of a case: its rule was broken, its rule held, it could not run."""

BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4.8,
    "drain_ms": 2000,
    "grace_s": GRACE_S,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_extension_ms": 5000,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "finish_s": 10,
    "settle_ms": 1000,
}


class Record:
    """The record of a run, with the seconds since its start."""

    def __init__(self, path: Path) -> None:
        self.began_at = time.monotonic()
        self.file = path.open("w")

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")
        self.file.flush()


@dataclass
class Run:
    """A request that a server ran."""

    request: str
    path: str
    headers: dict[str, str]
    body: bytes
    began_at: float
    ended_at: float | None = None


class Server:
    """A sound server that registers itself in the store.

    Parameters
    ----------
    events : int
        Number of events of its streams; 0 for a plain service.
    event_s : float
        Seconds before each event, or before a plain answer.
    """

    def __init__(
        self,
        store: MetadataStore,
        record: Record,
        service: str,
        events: int = 0,
        event_s: float = 0.01,
        slots: int = 16,
        zone: str = "sali-a",
    ) -> None:
        self.store = store
        self.record = record
        self.service = service
        self.events = events
        self.event_s = event_s
        self.slots = slots
        self.zone = zone
        self.name = "i-" + secrets.token_hex(4)
        self.runs: list[Run] = []
        self.seq = 0
        self.state = "ready"
        self.extra_header = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.beating: asyncio.Task | None = None
        self.address = ""

    async def start(self) -> None:
        """Start to serve, register, and renew the entry periodically."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.beating = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """Stop at once."""
        assert self.server is not None and self.beating is not None
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _beat(self) -> None:
        while True:
            self.seq += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold_left_ms": 0,
                "seq": self.seq,
            }
            self.store.put(f"servers/{self.name}", entry)
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                await self._serve_one(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
        _, path, _ = first.split(" ")
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request = headers.get("x-waxwingglade-request-id", "")
        if path == "/health":
            writer.write(self._answer(200, request, b"ok", sealed=False))
            return
        if headers.get("x-waxwingglade-expect-instance", self.name) != self.name:
            writer.write(self._answer(421, request, b"", sealed=False, not_run=True))
            return
        run = Run(request, path, headers, body, time.monotonic())
        self.runs.append(run)
        self.record.write(f"server {self.name} runs {request} {path} body {body!r}")
        working = asyncio.create_task(self._work(writer, headers, request))
        closing = asyncio.create_task(_until_closed(reader))
        # Most servers drop a request when its connection closes.
        await asyncio.wait({working, closing}, return_when=asyncio.FIRST_COMPLETED)
        run.ended_at = time.monotonic()
        closing.cancel()
        if not working.done():
            working.cancel()
            self.record.write(f"server {self.name} dropped {request}: its connection was closed")
            raise ConnectionResetError
        working.result()
        self.record.write(f"server {self.name} completed {request}")

    async def _work(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], request: str
    ) -> None:
        if not self.events:
            await asyncio.sleep(self.event_s)
            writer.write(self._answer(200, request, f"done {request}\n".encode()))
            await writer.drain()
            return
        head = f"HTTP/1.1 200 OK\r\n{self._common(request)}{PREFIX}Server-Seal: seal\r\n"
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for number in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = b"id: %d\ndata: <%d>\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _common(self, request: str) -> str:
        return f"{PREFIX}Request-Id: {request}\r\n{PREFIX}Instance-Id: {self.name}\r\n"

    def _answer(
        self, status: int, request: str, body: bytes, sealed: bool = True, not_run: bool = False
    ) -> bytes:
        head = f"HTTP/1.1 {status} Status\r\n{self._common(request)}"
        head += f"{PREFIX}Server-Seal: seal\r\n" if sealed else ""
        head += f"{PREFIX}Not-Run: 1\r\n" if not_run else ""
        head += f"{self.extra_header}\r\n" if self.extra_header else ""
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def _until_closed(reader: asyncio.StreamReader) -> None:
    """Return once the peer has closed; the entry sends nothing more before the answer."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the first line of a head, and its headers by their lower-case names."""
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


@dataclass
class Answer:
    """What a client saw of an answer."""

    request: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""

    @property
    def whole(self) -> bool:
        """Whether it is a complete success of a server."""
        return self.complete and self.status == 200 and "x-waxwingglade-server-seal" in self.headers


class Client:
    """One connection of a client to an entry."""

    def __init__(self, record: Record, address: str, name: str = "client") -> None:
        self.record = record
        self.address = address
        self.name = name
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.sent_at = 0.0

    async def connect(self) -> None:
        """Open the connection, with the second that clients allow for it."""
        host, _, port = self.address.rpartition(":")
        async with asyncio.timeout(1.0):
            self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(
        self,
        method: str,
        path: str,
        request: str,
        body: bytes = b"",
        deadline_s: float = 5.0,
        headers: dict[str, str] | None = None,
        events_wanted: int | None = None,
    ) -> Answer:
        """Send a request and read its answer, or a number of its events."""
        answer = Answer(request)
        try:
            async with asyncio.timeout(deadline_s + 1.0):
                if self.writer is None:
                    await self.connect()
                await self._send(method, path, request, body, deadline_s, headers or {})
                await self._read(answer, events_wanted)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            answer.error = type(error).__name__
        taken_s = time.monotonic() - self.sent_at
        self.record.write(
            f"{self.name} {request}: status {answer.status}, "
            f"{'complete' if answer.complete else 'incomplete'} after {taken_s:.3f} s"
            f"{', ' + answer.error if answer.error else ''}, body {answer.body!r}"
        )
        if answer.headers.get("connection", "").lower() == "close" or not answer.complete:
            self.close()
        return answer

    async def _send(
        self,
        method: str,
        path: str,
        request: str,
        body: bytes,
        deadline_s: float,
        headers: dict[str, str],
    ) -> None:
        assert self.writer is not None
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"{PREFIX}Request-Id: {request}",
            f"{PREFIX}Deadline-Ms: {int(deadline_s * 1000)}",
            *(f"{name}: {value}" for name, value in headers.items()),
            f"Content-Length: {len(body)}",
        ]
        self.record.write(f"{self.name} sends {request} {method} {path} {headers} body {body!r}")
        self.sent_at = time.monotonic()
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await self.writer.drain()

    async def _read(self, answer: Answer, events_wanted: int | None) -> None:
        assert self.reader is not None
        first, answer.headers = parse_head(await self.reader.readuntil(b"\r\n\r\n"))
        answer.status = int(first.split(" ")[1])
        if "chunked" not in answer.headers.get("transfer-encoding", ""):
            answer.body = await self.reader.readexactly(int(answer.headers["content-length"]))
            answer.complete = True
            return
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            answer.body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
            if events_wanted is not None and answer.body.count(b"\n\n") >= events_wanted:
                return
        await self.reader.readexactly(2)
        answer.complete = True


class Process:
    """A process of the deploy file."""

    def __init__(self, cluster: "Cluster", serves: str, number: int) -> None:
        self.cluster = cluster
        self.serves = serves
        self.name = f"{serves}-{number}"
        self.zone = cluster.zones[number % len(cluster.zones)]
        self.ip = f"{cluster.network}.{1 if serves == 'front' else 2}.{number + 1}"
        front, ready, link = (cluster.ports.reserve() for _ in range(3))
        self.front = f"{self.ip}:{front}"
        self.ready = f"{self.ip}:{ready}"
        self.folder = cluster.folder / self.name
        self.folder.mkdir()
        data = self.folder / "data"
        data.mkdir()
        settings = {
            "node_name": self.name,
            "role": "entry" if serves == "front" else "ledger",
            "machine_class": serves,
            "serves": [serves],
            "ip": self.ip,
            "zone": self.zone,
            "region": REGION,
            "zones": dict.fromkeys(cluster.zones, REGION),
            "listen": {"front": self.front, "ready": self.ready} if serves == "front" else {},
            "port_range": [link, link],
            "seeds": [],
            "bootstrap": True,
            "fault_counted": serves == "storage",
            "data_dir": str(data) if serves == "storage" else None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": HEARTBEAT_MS,
            "fault_tolerance": {"machines": cluster.lost_machines, "zones": 1, "regions": 0},
            "bounds": {**BOUNDS, **cluster.bounds},
            "provider": {
                "address": cluster.store.address,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        self.settings = self.folder / "boot.yaml"
        self.settings.write_text(json.dumps(settings))
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"].values()
        command = next(role["run"] for role in roles if self.serves in role["serves"]).split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "WAXWINGGLADE_NODE_FILE": str(self.settings),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.cluster.record.write(f"{self.name} started, process {self.process.pid}")

    @property
    def starts(self) -> int:
        """Number of times that the process has logged that it started."""
        return (self.folder / "log").read_bytes().count(b'"event":"started"')

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.cluster.record.write(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Cluster:
    """A store, entries and ledger processes; servers are added by the case."""

    def __init__(
        self,
        record: Record,
        entries: int = 2,
        ledgers: int = 3,
        bounds: dict[str, float] | None = None,
        lost_machines: int = 1,
        zones: tuple[str, ...] = ZONES,
    ) -> None:
        self.zones = zones
        self.record = record
        self.lost_machines = lost_machines
        self.wanted_members = min(ledgers, 2 * lost_machines + 1)
        self.bounds = bounds or {}
        self.reserved, self.network = _reserve_network()
        self.ports = ReservedPorts()
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.store = MetadataStore()
        self.store.start()
        self.servers: list[Server] = []
        self.started_at = 0.0
        self.entries = [Process(self, "front", number) for number in range(entries)]
        self.ledgers = [Process(self, "storage", number) for number in range(ledgers)]

    def server(self, service: str, **options: object) -> Server:
        """Add a server, which `start` starts."""
        server = Server(self.store, self.record, service, **options)  # type: ignore[arg-type]
        self.servers.append(server)
        return server

    async def start(self, configuration: dict) -> None:
        """Start everything; return once the ledger has its members and entries are ready."""
        self.store.put("op/config", configuration)
        for server in self.servers:
            await server.start()
        for process in [*self.ledgers, *self.entries]:
            process.start()
        self.started_at = time.monotonic()
        async with asyncio.timeout(30.0):
            while len(self.members()) < self.wanted_members:
                await asyncio.sleep(0.1)
            for entry in self.entries:
                while not await self._is_ready(entry):
                    await asyncio.sleep(0.2)
        # The configuration and the servers have reached all processes after this time.
        await asyncio.sleep(2.0)
        self.record.write(f"members of the ledger: {self.members()}; all entries are ready")

    def members(self) -> list[str]:
        """Return the machines of the ledger's members; none while the set changes."""
        value = self.store.value("waxwingglade/replicas")
        replicas = json.loads(value) if value else {"members": [], "settled": False}
        return [member[1] for member in replicas["members"]] if replicas["settled"] else []

    async def _is_ready(self, entry: Process) -> bool:
        host, _, port = entry.ready.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return b" 200 " in head.split(b"\r\n", 1)[0]
        return False

    async def stop(self) -> None:
        """End all processes, and stop the stand-ins."""
        for process in [*self.entries, *self.ledgers]:
            process.end()
        for server in self.servers:
            if server.server is not None:
                await server.stop()
        await self.store.stop()
        if folder := os.environ.get("KEEP_LOGS"):
            for process in [*self.entries, *self.ledgers]:
                log = process.folder / "log"
                if log.exists():
                    Path(folder, process.name + ".log").write_bytes(log.read_bytes())
        self.reserved.close()
        self.ports.close()
        self.temporary.cleanup()


def _reserve_network():
    """Reserve loopback addresses, as the metrics port is the same on every machine."""
    for number in NETWORKS:
        reserved = socket.socket()
        try:
            reserved.bind((f"127.{number}.0.1", METRICS_PORT))
        except OSError:
            reserved.close()
            continue
        return reserved, f"127.{number}"
    raise RuntimeError("no loopback network is free")


def has_trouble() -> bool:
    """Return whether the run has the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(folder: Path, case) -> None:
    """Run `case(record)`, which returns whether the rule held, and exit with its status."""
    record = Record(folder / "record.txt")
    record.write(f"disruption: {'yes' if has_trouble() else 'no'}")

    async def limited() -> bool:
        async with asyncio.timeout(110.0):
            return await case(record)

    try:
        held = asyncio.run(limited())
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        raise SystemExit(NOT_RUN) from error
    record.write("the rule held" if held else "the rule was broken")
    raise SystemExit(HELD if held else BROKEN)
