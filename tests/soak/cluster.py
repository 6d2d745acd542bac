"""The daemons of the platform behind relays, which can disrupt each of their connections."""

import asyncio
import json
import random
import signal
import time
from collections.abc import Callable, Coroutine, Sequence
from contextvars import ContextVar
from pathlib import Path
from typing import Any

from tests.platform_cluster import Node, PlatformCluster
from tests.prove.relay import ADDRESS, STORE, Relays
from tests.soak.accounts import BOUNDS, FREE, Accounts
from tests.soak.cut_heads import HeadCut, send_cut
from tests.soak.endless_bytes import EndlessAnswer, EndlessKind, send_without_end
from tests.soak.requested_work import work_of
from waxwingglade.platform.registry import REPLICAS_KEY
from waxwingglade.standins.metadata_store import MetadataStore, StoreFault
from waxwingglade.standins.registered_server import Crash, RegisteredServer

CALLERS = 200
"""Relay number of the callers; nodes are numbered from 0."""

SERVERS = 300
"""Relay number of the first server; servers are numbered consecutively."""

MEMBERS = 3
"""Members of the ledger; further ledger processes are spares."""

EXPIRY_HEARTBEATS = 3
"""Heartbeats that a server misses before the store removes its entry."""

RESTART_S = 1.0
"""Seconds after which a server that ended under a request comes back as a new one."""

SPARE_SERVERS = 4
"""Further servers of each service in a run in which requests end servers."""

STRETCH = 2.5
STRETCH_S = 0.6
STRETCHED_ONE_IN = 7
"""Of servers that share their VMs, one in seven takes this many times longer for that long."""

SLOW_ONE_IN = 4
SLOW_EVENT_S = 0.01
"""Seconds that every fourth of these servers takes for an event, twice as long as the others."""

HEARTBEAT_POLL_S = 0.05
STORE_AWAY = (StoreFault.BUSY, StoreFault.UNRESPONSIVE)

REQUESTED_WORK: ContextVar[float | None] = ContextVar("REQUESTED_WORK", default=None)
"""Seconds for which the request that is run now is worked on; None for the usual time."""

SLOW_DISK = Path(__file__).with_name("slow_disk.py")


class SoakServer(RegisteredServer):
    """A server that also records which requests it completed, and writes heartbeats.

    Attributes
    ----------
    left_at : float or None
        When the store accepted that it leaves, in monotonic seconds.
    loses_answer : callable
        Returns whether the answer to the request that it runs now is lost.
    endless : EndlessKind or None
        Bytes without end that it sends instead of answers.
    endless_is_slow : bool
        Whether it sends them slowly.
    endless_answers : list of EndlessAnswer
        Such answers that ended.
    head_cut : HeadCut or None
        Where it closes in the head of an answer.
    """

    def __init__(
        self, store: MetadataStore, service: str, events: int = 0, event_s: float = 0.005
    ) -> None:
        super().__init__(store, service, events, event_s)
        self.completed_at: dict[str, float] = {}
        self.left_at: float | None = None
        self.loses_answer: Callable[[], bool] = lambda: False
        self.endless: EndlessKind | None = None
        self.endless_is_slow = False
        self.endless_answers: list[EndlessAnswer] = []
        self.head_cut: HeadCut | None = None
        self.heartbeats: asyncio.Task | None = None

    def send_heartbeats(self, heartbeat_s: float) -> None:
        """Begin to renew the entry in the store."""
        self.heartbeats = asyncio.create_task(self._send_heartbeats(heartbeat_s))

    async def _send_heartbeats(self, heartbeat_s: float) -> None:
        """Renew the entry; while the store is away it may expire, and be written again later."""
        next_at = renewed_at = time.monotonic()
        while True:
            await asyncio.sleep(HEARTBEAT_POLL_S)
            now = time.monotonic()
            if now >= next_at:
                next_at += heartbeat_s
                if self.store.fault not in STORE_AWAY:
                    renewed_at = now
                    self.register("ready")
            elif now > renewed_at + EXPIRY_HEARTBEATS * heartbeat_s:
                self.deregister()

    def leave(self, reports: bool) -> None:
        """Leave: report that it is draining, or remove the entry; it continues to serve."""
        self.stop_heartbeats()
        if reports:
            self.register("draining")
        else:
            self.deregister()
        self.left_at = time.monotonic()

    def stop_heartbeats(self) -> None:
        """Stop to renew the entry."""
        if self.heartbeats is not None:
            self.heartbeats.cancel()

    def register(self, state: str) -> None:
        """Write the entry in the store; a server that leaves does not renew it."""
        if state == "draining":
            self.stop_heartbeats()
        super().register(state)

    def crash(self, request: str) -> None:
        """End like a killed process; its entry expires later."""
        self.stop_heartbeats()
        super().crash(request)

    async def stop(self) -> None:
        """Deregister, and stop without finishing requests."""
        self.stop_heartbeats()
        await super().stop()

    async def _run(self, writer: asyncio.StreamWriter, request: str, body: bytes) -> bool:
        if self.loses_answer():
            return False
        if self.endless is not None:
            if self.endless is EndlessKind.REFUSAL:
                self.runs[:] = [run for run in self.runs if run.request != request]
            head = self._head(200, request) + "X-Waxwingglade-Server-Seal: seal\r\n"
            answer = await send_without_end(
                writer, self.endless, head, request, self.endless_is_slow, self.events > 0
            )
            self.endless_answers.append(answer)
            return False
        if (cut := self.head_cut) is not None:
            await self._work()
            await send_cut(writer, cut, self._answer_head(request, body))
            return False
        REQUESTED_WORK.set(work_of(body))
        completed = await super()._run(writer, request, body)
        if completed:
            self.completed_at[request] = time.monotonic()
        return completed

    async def _work(self) -> None:
        requested_s = REQUESTED_WORK.get()
        if requested_s is None:
            await super()._work()
        else:
            await asyncio.sleep(requested_s / max(1, self.events))


class LedgerProcess(Node):
    """A ledger process whose flushes take `flush_s` seconds; 0 to flush to the machine's disk."""

    flush_s = 0.0

    def command(self) -> list[str]:
        """Return the command that starts the process."""
        interpreter, option, *command = super().command()
        if not self.flush_s:
            return [interpreter, option, *command]
        return [interpreter, option, str(SLOW_DISK), str(self.flush_s), *command]


class SoakCluster(PlatformCluster):
    """Entries, ledger processes, servers and a store, with relays between them.

    Parameters
    ----------
    entries : int
        Number of entries.
    spares : int
        Number of ledger processes beside the three members, one in each zone.
    flush_s : float
        Duration in seconds of a flush of a ledger process; 0 to use the machine's disk.
    accounts : Accounts or None
        Client accounts, whose keys callers need; None if callers need no keys.
    heartbeat_s : float
        Interval in seconds at which servers renew their entries; 0 if they never do.
    fatal : bytes
        Requests whose bodies contain these bytes end the servers that run them; empty for none.
    crash_kinds : sequence of Crash
        How servers may end so.

    Attributes
    ----------
    lost_shares : list of float
        Shares of their answers that all servers lose at present; the largest one counts.
    left_servers : list of SoakServer
        Servers that have left, with their runs.
    crashed_servers : list of SoakServer
        Servers that ended under a request, with their runs.
    uneven : bool
        Whether servers differ in speed, share their VMs and report their stretch.
    """

    server_type = SoakServer
    uneven = False

    def __init__(
        self,
        entries: int,
        spares: int = 0,
        flush_s: float = 0.0,
        accounts: Accounts | None = None,
        heartbeat_s: float = 0.0,
        fatal: bytes = b"",
        crash_kinds: Sequence[Crash] = (Crash.RESET,),
    ) -> None:
        self.crash_kinds = crash_kinds
        self.accounts = accounts
        self.fatal = fatal
        self.heartbeat_s = heartbeat_s
        self.rng = random.Random(0)
        self.lost_shares: list[float] = []
        self.exits: set[asyncio.Task] = set()
        if accounts is not None:
            self.bounds = BOUNDS
            self.tenants = accounts.tenants()
            self.key = accounts.current_keys(FREE)[0].text
        self.relays = Relays(dict)
        self.store_ports: dict[str, int] = {}
        self.entry_count = entries
        self.ledger_count = MEMBERS + spares
        self.flush_s = flush_s
        self.server_numbers: dict[str, int] = {}
        self.left_servers: list[SoakServer] = []
        self.crashed_servers: list[SoakServer] = []

    async def open(self) -> None:
        """Start everything, beginning with the relays, whose ports the settings contain."""
        super().__init__(entries=0, ledgers=0)
        store_port = int(self.store.address.rpartition(":")[2])
        names = [f"front-{number}" for number in range(self.entry_count)]
        names += [f"storage-{number}" for number in range(self.ledger_count)]
        for number, name in enumerate(names):
            self.store_ports[name] = await self.relays.add(STORE, store_port, source=number)
        self.entries = [Node(self, "front", number) for number in range(self.entry_count)]
        self.ledgers = [
            LedgerProcess(self, "storage", number) for number in range(self.ledger_count)
        ]
        if self.fatal:
            for servers in (self.engines, self.notes):
                servers += [_like(servers[0]) for _ in range(SPARE_SERVERS)]
        for server in [*self.engines, *self.notes]:
            await self.add_server(server)
        for node in self.ledgers:
            node.flush_s = self.flush_s
        for node in [*self.ledgers[:MEMBERS], *self.entries]:
            node.start()
        await self.until(lambda: len(self.members()) == MEMBERS)
        for node in self.ledgers[MEMBERS:]:
            node.start()
        for entry in self.entries:
            await self.until_ready(entry)
            entry.caller_port = await self.relays.add(
                self.number_of(entry), entry.port, source=CALLERS, host=entry.ip
            )

    async def shut(self) -> None:
        """Stop everything."""
        for node in self.nodes():
            if node.process is not None and node.process.poll() is None:
                node.signal(signal.SIGCONT)
        for task in self.exits.copy():
            task.cancel()
        await self.relays.close()
        await self.stop()
        for server in [*self.left_servers, *self.crashed_servers]:
            await server.stop()

    def nodes(self) -> list[Node]:
        """Return all processes of the system."""
        return [*self.entries, *self.ledgers]

    def number_of(self, node: Node) -> int:
        """Return the relay number of a process."""
        return self.nodes().index(node)

    def has_all_members(self) -> bool:
        """Return whether the ledger has its three members, all of them with their current disks."""
        value = self.store.value(REPLICAS_KEY) or b"{}"
        disks = {member[1]: member[0] for member in json.loads(value).get("members", [])}
        return len(self.members()) == MEMBERS and all(
            disks.get(node.name) in (None, node.disk) for node in self.ledgers
        )

    def store_address(self, node: str) -> str:
        """Return the address of the relay through which a process reaches the store."""
        return f"{ADDRESS}:{self.store_ports[node]}"

    async def add_server(self, server: RegisteredServer) -> None:
        """Start a server behind a relay of its own, and register it."""
        await server.listen()
        number = SERVERS + len(self.server_numbers)
        self.server_numbers[server.name] = number
        port = int(server.address.rpartition(":")[2])
        relay = await self.relays.add(number, port, source=CALLERS)
        server.advertised = f"{ADDRESS}:{relay}"
        server.fatal = self.fatal
        server.crash_kind = self.rng.choice(self.crash_kinds)
        server.crashed = lambda: self._replace_crashed(server, relay)
        server.register("ready")
        if isinstance(server, SoakServer):
            if self.uneven:
                make_uneven(server, number)
            server.loses_answer = lambda: self.rng.random() < max(self.lost_shares, default=0.0)
            if self.heartbeat_s:
                server.send_heartbeats(self.heartbeat_s)

    async def replace_server(self, rng: random.Random, reports: bool = True) -> SoakServer | None:
        """Replace a random server by a new one; return the old server, which leaves.

        Returns None if all servers of the chosen service have just ended.
        """
        servers = rng.choice([self.engines, self.notes])
        running = [server for server in servers if server.crashed_at is None]
        if not running:
            return None
        leaving = servers.pop(servers.index(rng.choice(running)))
        added = _like(leaving)
        await self.add_server(added)
        servers.append(added)
        leaving.leave(reports)
        self.left_servers.append(leaving)
        return leaving

    def _replace_crashed(self, server: SoakServer, relay: int) -> None:
        """Let a server that has ended come back as a new one, and its entry expire."""
        self.relays.close_port(relay)
        servers = self.engines if server.service == "engines" else self.notes
        if server in servers:
            self._start(self._restart(server, servers))
        self._start(self._expire(server))

    async def _restart(self, server: SoakServer, servers: list[SoakServer]) -> None:
        await asyncio.sleep(RESTART_S)
        added = _like(server)
        await self.add_server(added)
        servers[servers.index(server)] = added
        self.crashed_servers.append(server)

    async def _expire(self, server: SoakServer) -> None:
        await asyncio.sleep(EXPIRY_HEARTBEATS * self.heartbeat_s)
        server.deregister()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.exits.add(task)
        task.add_done_callback(self.exits.discard)

    def exit_later(self, server: SoakServer, serves_s: float) -> None:
        """Let a server that has left exit after it has served on for some seconds."""
        self._start(self._exit(server, serves_s))

    async def _exit(self, server: SoakServer, serves_s: float) -> None:
        await asyncio.sleep(serves_s)
        await server.stop()

    def all_servers(self) -> list[SoakServer]:
        """Return all servers, including those that have left or ended."""
        return [*self.engines, *self.notes, *self.left_servers, *self.crashed_servers]


def make_uneven(server: SoakServer, number: int) -> None:
    """Let a server share its VM with others, and some servers be slow."""
    if number % SLOW_ONE_IN == 0:
        server.event_s = SLOW_EVENT_S

    def stretch() -> float:
        phase = int(time.monotonic() / STRETCH_S) + number
        return STRETCH if phase % STRETCHED_ONE_IN == 0 else 1.0

    server.stretch = stretch


def _like(server: RegisteredServer) -> SoakServer:
    """Return a new server of the same kind."""
    return SoakServer(server.store, server.service, server.events, server.event_s)
