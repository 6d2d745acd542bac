"""Tests of an owned log: fencing, reads and durability."""

import random
import unittest

from waxwingglade.base import Epoch, ErrorCode, Verdict
from waxwingglade.connection.peer_messages import Fenced, SealCopy, SealedCopy
from waxwingglade.process.directory import Directory
from waxwingglade.process.reconfigure import register
from waxwingglade.process.tests.fakes import LOG, FakeStore, Network, Node, new_record
from waxwingglade.process.tests.virtual_time import run_in_virtual_time


class ThreeNodes:
    """An owner and two holders, the second of them in another zone."""

    def __init__(self) -> None:
        rng = random.Random(1)
        self.network = Network(rng)
        store = FakeStore(rng)
        zones = ("z0", "z0", "z1")
        self.nodes = [Node(number, zone, self.network, store) for number, zone in enumerate(zones)]

    def open(self) -> None:
        """Make the first node the owner of the log."""
        owner = self.nodes[0]
        owner.owned = owner.build_log(LOG, Epoch(1), [], [node.ref for node in self.nodes])

    def partition(self, one: int, other: int) -> None:
        """Partition two nodes from each other."""
        pair = (self.nodes[one].ref.incarnation, self.nodes[other].ref.incarnation)
        self.network.partitioned.add(frozenset(pair))

    def seal(self, number: int, epoch: int):
        """Seal one node's copy."""
        return self.nodes[number].copies.seal(SealCopy(LOG, Epoch(epoch)))


class OwnedLogTests(unittest.TestCase):
    def run_with_nodes(self, scenario):
        """Run a scenario with three nodes in virtual time."""

        async def run():
            nodes = ThreeNodes()
            nodes.open()
            return await scenario(nodes, nodes.nodes[0].owned)

        return run_in_virtual_time(run())

    def test_a_read_is_refused_once_a_majority_was_sealed(self):
        async def scenario(nodes, owned):
            await owned.append(*new_record())
            nodes.seal(1, 2)
            nodes.seal(2, 2)
            return await owned.confirm_ownership()

        confirmed = self.run_with_nodes(scenario)
        self.assertIs(ErrorCode.FENCED, confirmed.err_value.code)

    def test_a_read_is_confirmed_by_a_majority(self):
        async def scenario(nodes, owned):
            nodes.partition(0, 2)
            return await owned.confirm_ownership()

        self.assertTrue(self.run_with_nodes(scenario).is_ok())

    def test_a_read_is_refused_without_a_majority(self):
        async def scenario(nodes, owned):
            nodes.partition(0, 1)
            nodes.partition(0, 2)
            return await owned.confirm_ownership()

        self.assertIs(ErrorCode.UNAVAILABLE, self.run_with_nodes(scenario).err_value.code)

    def test_an_append_without_a_majority_may_have_run(self):
        async def scenario(nodes, owned):
            nodes.partition(0, 1)
            nodes.partition(0, 2)
            return await owned.append(*new_record())

        self.assertIs(Verdict.MAY_HAVE_RUN, self.run_with_nodes(scenario).err_value.verdict)

    def test_a_fenced_owner_appends_nothing(self):
        async def scenario(nodes, owned):
            nodes.seal(1, 2)
            nodes.seal(2, 2)
            await owned.append(*new_record())
            before = len(owned.records)
            refused = await owned.append(*new_record())
            return refused, len(owned.records) - before

        refused, added = self.run_with_nodes(scenario)
        self.assertIs(Verdict.NOT_RUN, refused.err_value.verdict)
        self.assertEqual(0, added)

    def test_an_append_waits_for_a_reachable_copy_in_another_zone(self):
        async def scenario(nodes, owned):
            nodes.network.delay_s[nodes.nodes[2].ref.incarnation] = 0.01
            done = await owned.append(*new_record())
            return done.is_ok(), len(nodes.nodes[2].copies.logs[LOG].records)

        self.assertEqual((True, 1), self.run_with_nodes(scenario))

    def test_sealing_an_owner_makes_it_a_copy_with_all_records(self):
        async def scenario(nodes, owned):
            await owned.append(*new_record())
            return nodes.seal(0, 2), nodes.nodes[0].copies.logs[LOG]

        sealed, copy = self.run_with_nodes(scenario)
        self.assertIsInstance(sealed, SealedCopy)
        self.assertEqual(1, len(copy.records))
        self.assertEqual(2, copy.promised)

    def test_a_log_is_registered_only_when_its_copies_exist(self):
        async def scenario(nodes, owned):
            store = nodes.nodes[0].store
            early = await register(owned, Directory(store))
            before = dict(store.values)
            await owned.append(*new_record())
            late = await register(owned, Directory(store))
            return early.is_err(), before, late.is_ok(), len(store.values)

        self.assertEqual((True, {}, True, 1), self.run_with_nodes(scenario))

    def test_an_equal_epoch_does_not_seal(self):
        async def scenario(nodes, owned):
            return nodes.seal(0, 1)

        self.assertIsInstance(self.run_with_nodes(scenario), Fenced)
