"""Machines that join the ledger, leave it and change its set of members, on a store in memory."""

import asyncio
import contextlib
import random
import sys
import time
from collections.abc import Iterator
from typing import Any
from unittest import mock

from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.follow.store import StoreUnavailable
from waxwingglade.follow.tests.builders import KEYS, MemoryStore
from waxwingglade.follow.watcher import Watcher
from waxwingglade.ledger.candidacy import Candidacy
from waxwingglade.ledger.membership import Membership
from waxwingglade.ledger.messages import Ping
from waxwingglade.ledger.tests.builders import Cluster, MessageLost

QUICK = {
    "CHECK_INTERVAL_S": 0.01,
    "PING_INTERVAL_S": 0.02,
    "REMOVE_AFTER_S": 0.3,
    "REPLACE_FROM_OTHER_ZONE_S": 1.2,
    "STANDBY_JOIN_WAIT_S": 0.3,
    "JOIN_BESIDE_S": 0.2,
    "BALANCE_WAIT_S": 0.1,
}

SWITCH_S = 0.0002
"""Seconds after which the interpreter switches threads."""


@contextlib.contextmanager
def quick_times() -> Iterator[None]:
    """Shorten all periods, so that members are replaced and removed within a second."""
    with contextlib.ExitStack() as patches:
        for name, value in QUICK.items():
            patches.enter_context(mock.patch(f"waxwingglade.ledger.membership.{name}", value))
        patches.enter_context(mock.patch("waxwingglade.follow.watcher.WATCH_INTERVAL_S", 0.01))
        patches.enter_context(mock.patch("waxwingglade.ledger.candidacy.CLAIM_VALID_S", 0.2))
        patches.enter_context(mock.patch("waxwingglade.ledger.candidacy.RENEW_INTERVAL_S", 0.05))
        yield


@contextlib.contextmanager
def quick_disks(most_s: float) -> Iterator[None]:
    """Replace flushes by random delays, so that the load of the real disk has no effect."""

    def flush(_file: int) -> None:
        time.sleep(random.random() * most_s)

    before_s = sys.getswitchinterval()
    # The writing threads would otherwise wait 5 ms for a busy event loop at each flush.
    sys.setswitchinterval(SWITCH_S)
    try:
        with mock.patch("os.fdatasync", flush), mock.patch("os.fsync", flush):
            yield
    finally:
        sys.setswitchinterval(before_s)


class Machine:
    """A replica with its watcher and its membership, as in a ledger process."""

    def __init__(self, cluster: "Machines", vm: str) -> None:
        self.cluster = cluster
        self.vm = vm
        self.replica = cluster.replicas[vm]
        self.member = cluster.members[vm]
        self.watcher = Watcher(cluster.store, KEYS, self._changed)
        self.membership = Membership(
            self.member,
            self.replica,
            self.watcher,
            cluster.store,
            self._ask,
            wanted=3,
            zones=3,
            replicas_key=KEYS.replicas,
            status_prefix="status/",
            candidacy=Candidacy(self.member, self.watcher, cluster.store, KEYS.candidates),
        )
        self.membership.observe_replicas = lambda _: None
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Read the disk, and start to follow the store and to change the set of members."""
        self.replica.open()
        self.watcher.start()
        self.tasks = [
            asyncio.create_task(self.membership.ping_forever()),
            asyncio.create_task(self.membership.run()),
        ]

    async def stop(self) -> None:
        """Stop as if killed."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.watcher.stop()
        await self.replica.stop()

    def _changed(self) -> None:
        task = asyncio.ensure_future(self.replica.adopt_members(self.watcher.view.replicas))
        self.tasks.append(task)

    async def _ask(self, member: Member, message: Any, timeout_s: float) -> Any:
        if not isinstance(message, Ping):
            return await self.cluster.ask(self.vm, member, message)
        self.cluster._lose(self.vm, member.vm)
        other = self.cluster.machines.get(member.vm)
        if other is None:
            raise MessageLost("down")
        return other.membership.answer_ping(message)


class RejectingStore(MemoryStore):
    """The same store, as seen by a machine whose calls it rejects."""

    def __init__(self, store: MemoryStore) -> None:
        self.__dict__ = store.__dict__

    def _call(self, key: str = "") -> None:
        raise StoreUnavailable("rejected", may_have_run=False)


class Machines(Cluster):
    """Machines that join and leave the ledger."""

    def __init__(self) -> None:
        super().__init__(size=0)
        self.store = MemoryStore()
        self.machines: dict[str, Machine] = {}

    async def add_machine(self, vm: str) -> Machine:
        """Add a machine with an empty disk."""
        self.add(vm)
        machine = self.machines[vm] = Machine(self, vm)
        machine.start()
        return machine

    async def remove_machine(self, vm: str) -> None:
        """Stop a machine and remove it."""
        await self.machines.pop(vm).stop()
        del self.replicas[vm]

    async def ask(self, sender: str, member: Member, message: Any) -> Any:
        """Deliver a request, unless the receiver is down."""
        if member.vm not in self.replicas:
            raise MessageLost("down")
        return await super().ask(sender, member, message)

    def reject_store_calls(self, vm: str) -> None:
        """Let the store reject all calls of a machine."""
        machine = self.machines[vm]
        machine.watcher.store = machine.membership.store = RejectingStore(self.store)

    @property
    def current_set(self) -> ReplicaSet:
        """The set of members in the store."""
        watcher = Watcher(self.store, KEYS)
        if KEYS.replicas in self.store.items:
            watcher.apply_replicas(self.store.items[KEYS.replicas])
        return watcher.view.replicas

    def vms(self) -> set[str]:
        """Return the VMs of the settled set; none while the set is not settled."""
        replicas = self.current_set
        return {member.vm for member in replicas.members} if replicas.settled else set()

    async def stop_all(self) -> None:
        """Stop all machines."""
        for machine in self.machines.values():
            await machine.stop()
        self.folder.cleanup()
