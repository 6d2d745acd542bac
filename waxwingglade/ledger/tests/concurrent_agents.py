"""Callers of one program that begin and end turns concurrently, through entries of all zones.

They run in virtual time with disks in memory, so that a seed always gives the same run.
"""

import asyncio
import contextlib
import random
from collections.abc import Iterator
from typing import Any
from unittest import mock

import msgspec

from waxwingglade.base import ProgramId, WaxwinggladeError
from waxwingglade.ledger.client import LedgerClient
from waxwingglade.ledger.coordinator import Coordinator
from waxwingglade.ledger.journal import Place
from waxwingglade.ledger.messages import (
    BeginTurn,
    BudgetSpent,
    EndTurn,
    NoteEnd,
    Turn,
    TurnBegun,
    TurnId,
)
from waxwingglade.ledger.replica import Replica
from waxwingglade.ledger.tests.builders import FAR_FUTURE, PROGRAM, Cluster
from waxwingglade.process.tests.virtual_time import run_in_virtual_time
from waxwingglade.transport.links import LinkFailed

MEMBERS = 5
ONE_WAY_S = 0.0014
"""One-way latency between two zones in seconds."""

FLUSH_S = 0.012
"""Duration of a flush of a slow disk in seconds."""

TURN_S = 0.4
"""Seconds for which an engine runs a turn."""

RETRY_S = 0.25
"""Mean seconds before a refused turn is retried."""

MAX_ATTEMPTS = 3


class MemoryJournal:
    """A journal in memory that flushes records in groups, as the journal on disk, with a delay.

    Parameters
    ----------
    disk : str
        Name of the content of the disk.
    """

    def __init__(self, disk: str) -> None:
        self.disk = disk
        self.failure = None
        self.pending: list[asyncio.Future[Place]] = []
        self.flushing: asyncio.Task[None] | None = None

    def replay(self) -> Iterator[tuple[Place, bytes]]:
        """Return no records, since the disk is empty."""
        return iter(())

    def start(self) -> None:
        """Do nothing; the first append starts the writer."""

    async def stop(self) -> None:
        """Discard records that are not flushed."""
        if self.flushing is not None:
            self.flushing.cancel()

    def append(self, _content: bytes) -> asyncio.Future[Place]:
        """Append a record to the next flush."""
        future: asyncio.Future[Place] = asyncio.get_running_loop().create_future()
        self.pending.append(future)
        if self.flushing is None or self.flushing.done():
            self.flushing = asyncio.ensure_future(self._flush())
        return future

    async def _flush(self) -> None:
        while self.pending:
            group, self.pending = self.pending, []
            await asyncio.sleep(FLUSH_S)
            for future in group:
                if not future.done():
                    future.set_result(Place(1, 0, 0))


class TimedCluster(Cluster):
    """Replicas whose flushes and messages take the same time in each run."""

    def add(self, vm: str) -> Replica:
        """Add a replica with an empty disk."""
        replica = super().add(vm)
        replica.journal = MemoryJournal(f"disk-{vm}")  # type: ignore[assignment]
        self.members[vm] = msgspec.structs.replace(self.members[vm], disk=replica.disk)
        self.delays[vm] = ONE_WAY_S
        return replica

    def coordinator(self, vm: str) -> Coordinator:
        """Return a coordinator in the process of a replica."""
        coordinator = super().coordinator(vm)
        coordinator.accounts.name = vm
        return coordinator


@contextlib.contextmanager
def virtual_clocks(seed: int) -> Iterator[None]:
    """Let the ledger use the time of the running loop and a seeded random generator."""
    random.seed(seed)

    def now() -> float:
        return asyncio.get_running_loop().time()

    with contextlib.ExitStack() as patches:
        for module in ("accounts", "coordinator", "rounds"):
            patches.enter_context(mock.patch(f"waxwingglade.ledger.{module}.monotonic", now))
        yield


class ClusterLinks:
    """Links of entries to the processes of a cluster; requests continue after a caller's timeout.

    Parameters
    ----------
    cluster : Cluster
        The replicas.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.coordinators = {vm: cluster.coordinator(vm) for vm in cluster.replicas}
        self.in_progress: set[asyncio.Task[Any]] = set()

    def to(self, address: str) -> "_Link":
        """Return the link to a process."""
        return _Link(self, address)

    async def answer(self, vm: str, message: Any) -> Any:
        """Answer as a ledger process does."""
        coordinator: Coordinator = self.coordinators[vm]
        if isinstance(message, BeginTurn):
            return await coordinator.begin(message)
        if isinstance(message, EndTurn):
            return await coordinator.end(message)
        assert isinstance(message, NoteEnd)
        return await self.cluster.replicas[vm].note_end(message)

    async def stop(self) -> None:
        """Cancel requests in progress."""
        for task in self.in_progress:
            task.cancel()
        await asyncio.gather(*self.in_progress, return_exceptions=True)


class _Link:
    def __init__(self, links: ClusterLinks, vm: str) -> None:
        self.links = links
        self.vm = vm

    async def request(self, message: Any, timeout_s: float) -> Any:
        """Return the answer to a request; raise `LinkFailed` after a timeout."""
        task = asyncio.ensure_future(self.links.answer(self.vm, message))
        self.links.in_progress.add(task)
        task.add_done_callback(self.links.in_progress.discard)
        await asyncio.wait({task}, timeout=timeout_s)
        if not task.done():
            raise LinkFailed(f"{self.vm} gave no answer", sent=True)
        try:
            return task.result()
        except WaxwinggladeError as error:
            raise LinkFailed(str(error), sent=True) from error


class ConcurrentAgents:
    """Sub-agents of one program, each of which runs a turn through the entry of a random zone.

    Parameters
    ----------
    seed : int
        Seed of the zones and the times of requests.
    budget, most_tokens : int
        Tokens of the program, and the most that one turn generates.

    Attributes
    ----------
    ended : list of (bool, float)
        Of each turn that ran: whether it was stored, and the seconds until the answer.
    begun : int
        Turns that were granted.
    undecided : int
        Attempts for which the ledger gave no decision.
    """

    def __init__(self, seed: int, budget: int = 380, most_tokens: int = 136) -> None:
        self.random = random.Random(seed)
        self.budget = budget
        self.most_tokens = most_tokens
        self.cluster = TimedCluster(MEMBERS, seed)
        self.links = ClusterLinks(self.cluster)
        members = list(self.cluster.members.values())
        clock = asyncio.get_running_loop().time
        self.clients = [
            LedgerClient(self.links, lambda: members, member.zone, clock)  # type: ignore[arg-type]
            for member in members[:-1]
        ]
        self.ended: list[tuple[bool, float]] = []
        self.begun = 0
        self.undecided = 0

    async def run(self, agents: int) -> None:
        """Start some agents within 50 ms, and wait until all end."""
        await self.cluster.start()
        await asyncio.gather(*(self._agent(number) for number in range(agents)))

    async def stop(self) -> None:
        """Stop everything."""
        for client in self.clients:
            await client.finish(0.0)
        await self.links.stop()
        await self.cluster.close()

    async def _agent(self, number: int) -> None:
        client = self.random.choice(self.clients)
        await asyncio.sleep(self.random.random() * 0.05)
        for attempt in range(MAX_ATTEMPTS):
            turn = TurnId(f"turn-{number}-{attempt}")
            answer = await client.begin(
                BeginTurn(turn, PROGRAM, self.most_tokens, self.budget), timeout_s=5.0
            )
            if isinstance(answer, TurnBegun):
                self.begun += 1
                await asyncio.sleep(TURN_S)
                await self._end(client, turn)
                return
            if not isinstance(answer, BudgetSpent):
                self.undecided += 1
                client.resolve_refused(EndTurn(turn, PROGRAM))
            await asyncio.sleep(RETRY_S * (0.5 + self.random.random()))

    async def _end(self, client: LedgerClient, turn: TurnId) -> None:
        kept = Turn(turn, None, b"asked", b"answered\n", FAR_FUTURE)
        began_at = asyncio.get_running_loop().time()
        message = EndTurn(turn, ProgramId(PROGRAM), 60, kept)
        done = await client.end(message, timeout_s=5.0)
        self.ended.append((done, asyncio.get_running_loop().time() - began_at))


def run_agents(seed: int, agents: int) -> ConcurrentAgents:
    """Run some agents until all have ended, and return them with their results."""

    async def run() -> ConcurrentAgents:
        concurrent = ConcurrentAgents(seed)
        try:
            await concurrent.run(agents)
        finally:
            await concurrent.stop()
        return concurrent

    with virtual_clocks(seed):
        return run_in_virtual_time(run())


__all__ = ["ConcurrentAgents", "run_agents"]
