"""No acknowledged record is lost or reordered under any combination of faults."""

import asyncio
import os
import random
import unittest
from unittest import mock

from waxwingglade.base import Epoch, Ok
from waxwingglade.process import takeover
from waxwingglade.process.directory import Directory
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.process.reconfigure import change_copies
from waxwingglade.process.tests.fakes import LOG, FakeStore, Network, Node, new_record, programs_in
from waxwingglade.process.tests.virtual_time import run_in_virtual_time

SEEDS = range(int(os.environ.get("WAXWINGGLADE_SEEDS", "300")))
"""Seeds of the runs; the long form of the tests sets a higher number."""

MUTANT_SEEDS = range(300)
STEPS = 40
ZONES = ("z0", "z0", "z1", "z1", "z2")


class Run:
    """One run with random faults, and its acknowledged records."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.network = Network(self.rng)
        self.store = FakeStore(self.rng)
        self.nodes = [
            Node(number, zone, self.network, self.store) for number, zone in enumerate(ZONES)
        ]
        self.acknowledged: list = []
        self.acknowledged_before: dict = {}
        self.tasks: list[asyncio.Task] = []

    async def execute(self) -> list | None:
        """Run, remove all faults, and return the programs in the log; None if no takeover works."""
        first = self.nodes[0]
        first.owned = first.build_log(LOG, Epoch(1), [])
        await first.register()
        for _ in range(STEPS):
            self.rng.choice(self.actions())()
            await asyncio.sleep(self.rng.choice([0, 0, 0.001, 0.01]))
        await asyncio.gather(*self.tasks)
        return await self.final_programs()

    def actions(self):
        """Return the possible next actions; appends are the most frequent."""
        operations = [self.append] * 8 + [self.take_over] * 2 + [self.change_holders] * 2
        faults = [self.partition, self.partition, self.heal, self.toggle_store, self.lose_answers]
        return [*operations, *faults, self.kill]

    def append(self) -> None:
        for node in self.nodes:
            if node.owned is not None and node.alive:
                self.tasks.append(asyncio.create_task(self._append(node)))

    async def _append(self, node: Node) -> None:
        program, body = new_record()
        owned = node.owned
        if owned is None:
            return
        self.acknowledged_before[program] = list(self.acknowledged)
        done = await owned.append(program, body)
        # A node that was killed meanwhile acknowledged nothing.
        if done.is_ok() and node.alive:
            self.acknowledged.append(program)

    def take_over(self) -> None:
        node = self.rng.choice(self.nodes)
        if node.alive and node.owned is None:
            self.tasks.append(asyncio.create_task(node.try_takeover()))

    def change_holders(self) -> None:
        node = self.rng.choice(self.nodes)
        if node.alive:
            self.tasks.append(asyncio.create_task(node.change_holders()))

    def partition(self) -> None:
        one, other = self.rng.sample(self.nodes, 2)
        self.network.partitioned.add(frozenset((one.ref.incarnation, other.ref.incarnation)))

    def heal(self) -> None:
        self.network.partitioned.clear()

    def toggle_store(self) -> None:
        self.store.down = not self.store.down

    def lose_answers(self) -> None:
        self.store.lost_answer_rate = self.rng.choice([0.0, 0.3])

    def kill(self) -> None:
        """Kill a node permanently, at most one per run: three copies tolerate one failed node."""
        if all(node.alive for node in self.nodes):
            self.rng.choice(self.nodes).alive = False

    async def final_programs(self) -> list | None:
        self.network.partitioned.clear()
        self.store.down = False
        self.store.lost_answer_rate = 0.0
        for _ in range(20):
            for node in self.nodes:
                if not node.alive:
                    continue
                taken = await node.try_takeover()
                if taken.is_ok():
                    return programs_in(node.owned.records)
        return None


class LogSafety(unittest.TestCase):
    def test_acknowledged_records_survive(self):
        acknowledged = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run, violations = run_once(seed)
                self.assertEqual([], violations)
                acknowledged += len(run.acknowledged)
        self.assertGreater(acknowledged, 10 * len(SEEDS), "too few records were acknowledged")

    def test_too_few_sealed_copies_are_detected(self):
        with mock.patch.object(takeover, "copies_to_seal", lambda copies: 1):
            self.assertTrue(any(run_once(seed)[1] for seed in MUTANT_SEEDS))

    def test_an_owner_that_holds_copies_of_its_own_log_is_detected(self):
        with mock.patch.object(Node, "owned_epoch", lambda node, log: None):
            self.assertTrue(any(run_once(seed)[1] for seed in MUTANT_SEEDS))

    def test_holders_change_only_when_the_new_ones_have_all_records(self):
        self.assertEqual(1, run_in_virtual_time(change_to_unreachable_holders()))

    def test_a_change_that_does_not_wait_for_the_new_holders_is_detected(self):
        async def ready(_log):
            return Ok(None)

        with mock.patch.object(OwnedLog, "wait_for_new_copies", ready):
            self.assertEqual(0, run_in_virtual_time(change_to_unreachable_holders()))


async def change_to_unreachable_holders() -> int:
    """Change to unreachable holders, kill the owner, and count its only record in the log."""
    run = Run(seed=1)
    owner, second, third, *others = run.nodes
    owner.owned = owner.build_log(LOG, Epoch(1), [], [owner.ref, second.ref, third.ref])
    await owner.register()
    program, body = new_record()
    await owner.owned.append(program, body)
    for node in others:
        run.network.partitioned.add(frozenset((owner.ref.incarnation, node.ref.incarnation)))
    await change_copies(owner.owned, [owner.ref, *(n.ref for n in others)], Directory(run.store))
    owner.alive = False
    remaining = await run.final_programs()
    return 0 if remaining is None else remaining.count(program)


def run_once(seed: int) -> tuple[Run, list[str]]:
    """Run one seed and return the run with its violations."""
    run = Run(seed)
    remaining = run_in_virtual_time(run.execute())
    if remaining is None:
        return run, ["no node could take the log over"]
    violations = [] if len(remaining) == len(set(remaining)) else ["a record is duplicated"]
    position = {program: index for index, program in enumerate(remaining)}
    for program in run.acknowledged:
        if program not in position:
            violations.append(f"{program} was acknowledged and lost")
            continue
        late = [
            p for p in run.acknowledged_before[program] if position.get(p, -1) > position[program]
        ]
        violations += [f"{earlier} was reordered after {program}" for earlier in late]
    return run, violations
