"""Callers that continue turns through all replicas during seeded changes of the set of members."""

import asyncio
import itertools
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from waxwingglade.base import ProgramId
from waxwingglade.follow.model import Replica as Member
from waxwingglade.ledger.coordinator import Coordinator
from waxwingglade.ledger.messages import (
    BeginTurn,
    BudgetSpent,
    EndTurn,
    NoSuchTurn,
    Turn,
    TurnBegun,
    TurnId,
)
from waxwingglade.ledger.replica import Replica
from waxwingglade.ledger.tests.builders import FAR_FUTURE, MessageLost
from waxwingglade.ledger.tests.machines import Machine, Machines

CALLERS = 16
SPENDERS = 4
"""Callers whose turns have a budget, which two callers share; accounts take most of the time."""

BUDGET, MOST_TOKENS = 600, 40
LOSS = 0.01
"""Share of requests that are lost, and share of answers that are lost."""

MAX_ANSWER_DELAY_S = 0.03
"""Longest delay of a machine's answers in seconds, drawn again for each change."""

MAX_NOTICE_DELAY_S = 0.1
"""Longest delay in seconds until a machine receives a new set; on VMs it depends on the watch."""

SETTLED_S = 10.0
"""Seconds within which the set must have three members again after a change."""

MAX_VERIFIED = 40
"""Most stored turns that are continued again at the end, through every replica."""

THINK_S = 0.01
NEWEST = 2
"""Number of newest turns from which the continued one is drawn; users continue one of the last
two."""


class DelayedMachine(Machine):
    """A machine that receives a new set with a random delay."""

    def _changed(self) -> None:
        replicas = self.watcher.view.replicas
        delay_s = self.cluster.random.random() * MAX_NOTICE_DELAY_S

        async def adopt() -> None:
            await asyncio.sleep(delay_s)
            await self.replica.adopt_members(replicas)

        self.tasks.append(asyncio.ensure_future(adopt()))


class RandomSets:
    """Three members, spare machines, callers and consecutive changes of the set.

    Parameters
    ----------
    seed : int
        Seed of the changes, the losses and the actions of callers, but not of their interleaving.

    Attributes
    ----------
    kept : list of TurnId
        Turns that were acknowledged as stored, in this order.
    violations : list of str
        Violations that were found.
    changes : int
        Number of completed changes of the set.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.draw = random.Random(seed)
        self.machines = Machines()
        self.machines.random = random.Random(seed)
        self.coordinators: dict[str, Coordinator] = {}
        self.in_progress: defaultdict[str, set[asyncio.Task]] = defaultdict(set)
        self.numbers = itertools.count(1)
        self.spares = itertools.count(10)
        self.turns: dict[TurnId, Turn] = {}
        self.kept: list[TurnId] = []
        self.handed_out: defaultdict[ProgramId, int] = defaultdict(int)
        self.violations: list[str] = []
        self.changes = 0
        self.refused = 0

    async def run(self, seconds: float) -> None:
        """Run callers while the set changes for some seconds; then verify a sample of turns."""
        for number in range(3):
            self._add_machine(f"vm-{number}")
        await self._until_settled()
        self.machines.loss = LOSS
        callers = [asyncio.create_task(self._caller(number)) for number in range(CALLERS)]
        end_at = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end_at:
            actions = [*3 * [self._retire], *2 * [self._partition], self._wipe, self._restart]
            await self._change(self.draw.choice(actions))
        for caller in callers:
            caller.cancel()
        ends = await asyncio.gather(*callers, return_exceptions=True)
        self.violations += [
            repr(each) for each in ends if not isinstance(each, asyncio.CancelledError)
        ]
        self.machines.loss = 0.0
        verified = self.draw.sample(self.kept, min(MAX_VERIFIED, len(self.kept)))
        await asyncio.gather(*(self._verify_stored(name) for name in verified))
        for program, tokens in self.handed_out.items():
            if tokens > BUDGET:
                self.violations.append(f"{program}: {tokens} tokens of {BUDGET}")

    async def stop(self) -> None:
        """Stop all machines."""
        for vm in list(self.machines.machines):
            self._cancel_requests(vm)
        await self.machines.stop_all()

    # Callers

    async def _caller(self, number: int) -> None:
        """Continue turns, each through a random replica."""
        for generation in itertools.count():
            program = (
                ProgramId(f"program-{number // 2}-{generation}") if number < SPENDERS else None
            )
            while await self._turn(program):
                await asyncio.sleep(self.draw.random() * THINK_S)

    async def _turn(self, program: ProgramId | None) -> bool:
        """Run one turn; return whether the program has budget left."""
        name = TurnId(f"turn-{next(self.numbers)}")
        previous = self.draw.choice([None, *self.kept[-NEWEST:]])
        begun = await self._ask(
            lambda coordinator: coordinator.begin(
                BeginTurn(name, program, MOST_TOKENS, BUDGET, previous)
            )
        )
        if isinstance(begun, BudgetSpent):
            return False
        if isinstance(begun, NoSuchTurn):
            self.violations.append(f"{previous} was stored and is denied")
        if not isinstance(begun, TurnBegun):
            self.refused += 1
            return True
        if begun.chain != self._chain(previous):
            self.violations.append(f"{name}: the chain is not that of {previous}")
        used = self.draw.choice([0, 10, MOST_TOKENS])
        if program is not None:
            self.handed_out[program] += used
        turn = Turn(name, previous, b"asked " + name.encode(), b"answered\n", FAR_FUTURE)
        self.turns[name] = turn
        ended = await self._ask(lambda each: each.end(EndTurn(name, program, used, turn)))
        if ended is not None and ended.kept:
            self.kept.append(name)
        return True

    def _chain(self, name: TurnId | None) -> tuple[Turn, ...]:
        chain: list[Turn] = []
        while name is not None:
            chain.append(self.turns[name])
            name = self.turns[name].previous
        return tuple(reversed(chain))

    async def _ask(self, request: Callable[[Coordinator], Awaitable[Any]]) -> Any:
        """Send a request to a running replica; return None if it is stopped meanwhile."""
        vm = self.draw.choice(list(self.coordinators) or [""])
        if not vm:
            await asyncio.sleep(THINK_S)
            return None
        task = asyncio.ensure_future(request(self.coordinators[vm]))
        self.in_progress[vm].add(task)
        try:
            await asyncio.wait([task])
        finally:
            self.in_progress[vm].discard(task)
        return None if task.cancelled() else task.result()

    async def _verify_stored(self, name: TurnId) -> None:
        """Verify that a stored turn can be continued through every replica."""
        for vm, coordinator in self.coordinators.items():
            async with asyncio.timeout(SETTLED_S):
                while True:
                    begun = await coordinator.begin(BeginTurn(TurnId("look"), None, 0, 0, name))
                    if isinstance(begun, TurnBegun | NoSuchTurn):
                        break
                    await asyncio.sleep(THINK_S)
            if begun != TurnBegun(self._chain(name)):
                self.violations.append(f"{name} was stored and is missing at {vm}")

    # Changes

    async def _change(self, action: Callable[[], Coroutine[Any, Any, None]]) -> None:
        for vm in self.machines.replicas:
            self.machines.delays[vm] = self.draw.choice(
                [0.0, self.draw.random() * MAX_ANSWER_DELAY_S]
            )
        try:
            async with asyncio.timeout(SETTLED_S):
                await action()
                await self._until_settled()
                await self._remove_spares()
                await self._until_settled()
        except TimeoutError:
            self.violations.append(
                f"{action.__name__}: the members are {self.machines.current_set}"
            )
            raise
        self.changes += 1

    async def _remove_spares(self) -> None:
        members = self.machines.vms()
        for vm in [vm for vm in self.machines.machines if members and vm not in members]:
            await self._remove_machine(vm)

    async def _retire(self) -> None:
        """Retire a machine while a spare one is on standby."""
        leaving = self._any_member()
        self._add_machine(self._spare_name())
        self.machines.store.put(f"op/retire/{leaving}", b"{}")
        await self._until(lambda: self.machines.vms() and leaving not in self.machines.vms())
        self.machines.store.put(f"op/retire/{leaving}", None)

    async def _wipe(self) -> None:
        """Restart a machine with an empty disk."""
        vm = self._any_member()
        await self._remove_machine(vm)
        self._add_machine(vm)
        await self._until(lambda: self._is_member(vm))

    async def _partition(self) -> None:
        """Partition a member for a while, so that a spare machine of its zone may join."""
        vm = self._any_member()
        spare = self._spare_name(vm)
        self._add_machine(spare)
        self.machines.isolate(vm)
        await asyncio.sleep(0.15 + self.draw.random() * 0.3)
        self.machines.heal()

    async def _restart(self) -> None:
        """Stop a machine and start it again with its disk."""
        vm = self._any_member()
        folder = self.machines.replicas[vm].journal.folder
        await self._remove_machine(vm)
        await asyncio.sleep(self.draw.random() * 0.1)
        self.machines.replicas[vm] = Replica(folder)
        self._start(vm)

    def _any_member(self) -> str:
        return self.draw.choice(sorted(self.machines.vms()))

    def _spare_name(self, beside: str | None = None) -> str:
        """Return a name for a new machine, in the zone of another one or in a random zone."""
        zone = beside[-1] if beside else str(self.draw.randrange(3))
        return f"vm-{next(self.spares)}-{zone}"

    def _is_member(self, vm: str) -> bool:
        return any(
            m.disk == self.machines.replicas[vm].disk for m in self.machines.current_set.members
        )

    async def _until_settled(self) -> None:
        await self._until(lambda: len(self.machines.vms()) == 3 and self._all_up())

    def _all_up(self) -> bool:
        disks = {replica.disk for replica in self.machines.replicas.values()}
        return disks >= {member.disk for member in self.machines.current_set.members}

    async def _until(self, condition: Callable[[], object]) -> None:
        while not condition():
            await asyncio.sleep(0.005)

    # Machines

    def _add_machine(self, vm: str) -> None:
        self.machines.add(vm)
        self._start(vm)

    def _start(self, vm: str) -> None:
        machine = self.machines.machines[vm] = DelayedMachine(self.machines, vm)
        machine.start()
        self.coordinators[vm] = self._coordinator(machine)

    def _coordinator(self, machine: Machine) -> Coordinator:
        async def ask(member: Member, message: Any, timeout_s: float) -> Any:
            try:
                async with asyncio.timeout(timeout_s):
                    return await self.machines.ask(machine.vm, member, message)
            except TimeoutError as error:
                raise MessageLost("late") from error

        def observe_replicas(replicas: Any) -> None:
            machine.tasks.append(asyncio.ensure_future(machine.replica.adopt_members(replicas)))

        replica = machine.replica
        return Coordinator(
            machine.member, lambda: replica.replicas, ask, observe_replicas, replica.confirmations
        )

    def _cancel_requests(self, vm: str) -> None:
        """Cancel the requests in progress at a machine; they return None."""
        self.coordinators.pop(vm, None)
        for task in list(self.in_progress[vm]):
            task.cancel()

    async def _remove_machine(self, vm: str) -> None:
        self._cancel_requests(vm)
        await self.machines.remove_machine(vm)


__all__ = ["RandomSets"]
