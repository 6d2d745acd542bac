"""Replicas in one event loop, with messages that can be blocked, delayed and lost."""

import asyncio
import random
import tempfile
from collections import deque
from pathlib import Path
from typing import Any

from waxwingglade.base import ProgramId, WaxwinggladeError, ZoneId
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.ledger.coordinator import Coordinator
from waxwingglade.ledger.messages import BeginTurn, EndTurn, Keep, Turn, TurnId
from waxwingglade.ledger.replica import Replica

PROGRAM = ProgramId("program-1")
FAR_FUTURE = 4e9
MAX_CARRIED = 100
"""Most messages between replicas that are recorded, with sender and receiver."""


class MessageLost(WaxwinggladeError):
    """A request or its answer was lost."""


class Cluster:
    """Replicas, each with its own data folder, and coordinators that send requests to them.

    Parameters
    ----------
    size : int
        Number of replicas, each in its own zone.
    seed : int
        Seed of the faults.

    Attributes
    ----------
    delays : dict
        Seconds by which the answers of a VM are delayed.
    """

    def __init__(self, size: int = 3, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.folder = tempfile.TemporaryDirectory()
        self.replicas: dict[str, Replica] = {}
        self.members: dict[str, Member] = {}
        self.blocked: set[tuple[str, str]] = set()
        self.carried: deque[tuple[str, str, Any]] = deque(maxlen=MAX_CARRIED)
        self.loss = 0.0
        self.delays: dict[str, float] = {}
        for number in range(size):
            self.add(f"vm-{number}")
        self.set = ReplicaSet(1, tuple(self.members.values()), True)

    def add(self, vm: str) -> Replica:
        """Add a replica with an empty disk, which is not a member yet."""
        folder = Path(self.folder.name) / f"{vm}-{self.random.random()}"
        folder.mkdir()
        replica = Replica(folder)
        self.replicas[vm] = replica
        self.members[vm] = Member(replica.disk, vm, vm, ZoneId("zone-" + vm[-1]))
        return replica

    def joined(self, vm: str) -> ReplicaSet:
        """Add a replica with an empty disk; return the set that follows when it joins."""
        replica = self.add(vm)
        replica.open()
        members = (*self.set.members, self.members[vm])
        return ReplicaSet(self.set.epoch + 1, members, False, replica.disk)

    def without(self, vm: str) -> ReplicaSet:
        """Return the set that follows when a member is removed."""
        rest = tuple(member for member in self.set.members if member.vm != vm)
        return ReplicaSet(self.set.epoch + 1, rest, False)

    async def start(self) -> None:
        """Open all disks and pass the set of members to every replica."""
        for replica in self.replicas.values():
            replica.open()
        await self.use(self.set)

    async def use(self, replicas: ReplicaSet) -> None:
        """Pass a set of members to every replica."""
        self.set = replicas
        for replica in self.replicas.values():
            await replica.adopt_members(replicas)

    async def close(self) -> None:
        """Close all disks."""
        for replica in self.replicas.values():
            await replica.stop()
        self.folder.cleanup()

    async def restart(self, vm: str) -> Replica:
        """Stop a replica and open its disk again."""
        old = self.replicas[vm]
        folder = old.journal.folder
        await old.stop()
        replica = self.replicas[vm] = Replica(folder)
        replica.open()
        return replica

    def coordinator(self, vm: str) -> Coordinator:
        """Return a coordinator in the process of a replica."""
        return Coordinator(
            self.members[vm],
            lambda: self.replicas[vm].replicas,
            lambda member, message, timeout_s: self.ask(vm, member, message),
            lambda _: None,
            self.replicas[vm].confirmations,
        )

    async def ask(self, sender: str, member: Member, message: Any) -> Any:
        """Deliver a request and its answer, unless one of them is lost."""
        if sender != member.vm:
            self.carried.append((sender, member.vm, message))
        self._lose(sender, member.vm)
        await asyncio.sleep(self.random.random() * 0.002 + self.delays.get(member.vm, 0.0))
        replica = self.replicas.get(member.vm)
        if replica is None or replica.disk != member.disk:
            raise MessageLost("stopped or wiped")
        answer = await replica.handle(message)
        self._lose(member.vm, sender)
        return answer

    def _lose(self, sender: str, receiver: str) -> None:
        if sender == receiver:
            return
        if (sender, receiver) in self.blocked or self.random.random() < self.loss:
            raise MessageLost(f"{sender} to {receiver}")

    async def keep(self, turn: Turn, *vms: str) -> None:
        """Store a turn at some replicas only."""
        for vm in vms:
            await self.replicas[vm].handle(Keep(self.set.epoch, turn))

    def isolate(self, vm: str) -> None:
        """Partition a replica from all others, in both directions."""
        for other in self.replicas:
            self.blocked |= {(vm, other), (other, vm)}

    def heal(self) -> None:
        """End all partitions."""
        self.blocked.clear()


def begin(number: int, tokens: int = 100, budget: int = 1000, previous: str = "") -> BeginTurn:
    """Return a request to begin a turn."""
    return BeginTurn(
        TurnId(f"turn-{number}"), PROGRAM, tokens, budget, TurnId(previous) if previous else None
    )


def turn(number: int, previous: int | None = None, expires_at: float = FAR_FUTURE) -> Turn:
    """Return a completed turn."""
    before = TurnId(f"turn-{previous}") if previous is not None else None
    name = TurnId(f"turn-{number}")
    return Turn(name, before, b"asked %d" % number, b"answered %d\n" % number, expires_at)


def end(number: int, used: int = 60, previous: int | None = None) -> EndTurn:
    """Return a request to end a turn and to store it."""
    return EndTurn(TurnId(f"turn-{number}"), PROGRAM, used, turn(number, previous))
