"""Records of targets that failed requests: merged in any order, bounded and durable."""

import asyncio
import unittest
from collections.abc import Callable
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.base import Fingerprint
from waxwingglade.follow.model import IncarnationName
from waxwingglade.ledger import target_failures
from waxwingglade.ledger.catch_up import catch_up
from waxwingglade.ledger.messages import MergeFailures
from waxwingglade.ledger.target_failures import NO_FAILURES, FailureTable, TargetFailures, Trial
from waxwingglade.ledger.tests.builders import Cluster, turn
from waxwingglade.ledger.tests.machines import Machines, quick_times

REQUEST = Fingerprint("request")
NOW = 10_000.0
WAIT_LIMIT_S = 20.0

trials = st.lists(st.sampled_from([Trial(IncarnationName(f"i-{n}"), "r") for n in range(8)]))
records = st.builds(
    lambda *outcomes: TargetFailures(*map(tuple, outcomes), NOW), trials, trials, trials
)


def tried(*targets: str, request: str = "r") -> tuple[Trial, ...]:
    """Return one trial at each target."""
    return tuple(Trial(IncarnationName(target), request) for target in targets)


def failed(*targets: str, at: float = NOW) -> TargetFailures:
    """Return a record of failed targets."""
    return TargetFailures(tried(*targets), changed_at=at)


class Merging(unittest.TestCase):
    @given(st.lists(records, max_size=6), st.randoms(use_true_random=False))
    def test_the_order_of_merges_has_no_effect(self, merged, rng) -> None:
        tables = [FailureTable(lambda: NOW) for _ in range(2)]
        for table in tables:
            for record in merged:
                table.merge(REQUEST, record)
            rng.shuffle(merged)
        self.assertEqual(tables[0].get(REQUEST), tables[1].get(REQUEST))
        self.assertEqual(tables[0].checksum, tables[1].checksum)

    def test_a_target_counts_once_and_not_after_its_release(self) -> None:
        record = failed("a").merged(failed("a", "b")).merged(failed("c"))
        self.assertEqual((record.failed_targets, record.is_held), (3, True))
        released = record.all_released(NOW)
        self.assertEqual(released.merged(record).failed_targets, 0)
        self.assertEqual(record.merged(released).merged(failed("d")).failed_targets, 1)

    def test_a_target_that_was_released_counts_when_it_fails_another_attempt(self) -> None:
        released = TargetFailures(released=tried("a"))
        record = failed("a").merged(released).merged(TargetFailures(tried("a", request="later")))
        self.assertEqual(record.failed_targets, 1)

    def test_a_pending_trial_counts_until_it_is_released(self) -> None:
        record = failed("a", "b").merged(TargetFailures(pending=tried("c", "d")))
        self.assertEqual((record.tried_targets, record.exceeds_limit), (4, True))
        self.assertFalse(record.is_held)
        record = record.merged(TargetFailures(released=tried("d")))
        self.assertFalse(record.exceeds_limit)
        self.assertTrue(record.merged(failed("c")).is_held)

    def test_a_record_expires_and_is_not_merged_again(self) -> None:
        now = [NOW]
        table = FailureTable(lambda: now[0])
        self.assertTrue(table.merge(REQUEST, failed("a", "b")))
        now[0] += target_failures.RETENTION_S - 1
        self.assertFalse(table.remove_expired())
        now[0] += 2
        self.assertTrue(table.remove_expired())
        self.assertFalse(table.merge(REQUEST, failed("a", "b")))
        self.assertEqual((table.records, table.checksum), ({}, 0))

    def test_a_record_of_a_request_that_several_callers_may_send_expires_soon(self) -> None:
        now = [NOW]
        table = FailureTable(lambda: now[0])
        table.merge(Fingerprint(f"{target_failures.SHARED_PREFIX}a"), failed("a", "b", "c"))
        table.merge(REQUEST, failed("a", "b", "c"))
        now[0] += target_failures.SHARED_RETENTION_S + 1
        self.assertTrue(table.remove_expired())
        self.assertEqual(set(table.records), {REQUEST})

    def test_the_oldest_record_with_the_fewest_targets_makes_room(self) -> None:
        table = FailureTable(lambda: NOW)
        with mock.patch.object(target_failures, "MAX_RECORDS", 2):
            table.merge(Fingerprint("held"), failed("a", "b", "c", at=NOW - 9))
            table.merge(Fingerprint("old"), failed("a", at=NOW - 5))
            table.merge(Fingerprint("new"), failed("a"))
        self.assertEqual(set(table.records), {"held", "new"})

    def test_the_number_of_targets_in_a_record_is_bounded(self) -> None:
        table = FailureTable(lambda: NOW)
        for number in range(200):
            table.merge(REQUEST, failed(f"i-{number}"))
        self.assertEqual(table.get(REQUEST).failed_targets, target_failures.MAX_TRIALS)


class Replicas(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        await self.cluster.start()
        self.addAsyncCleanup(self.cluster.close)
        self.replica = self.cluster.replicas["vm-0"]

    async def report(self, vm: str, *targets: str) -> TargetFailures:
        """Report failed targets to a replica; return what it knows then."""
        message = MergeFailures(REQUEST, failed(*targets))
        return (await self.cluster.replicas[vm].merge_failures(message)).failures

    async def test_a_record_survives_a_restart(self) -> None:
        await self.report("vm-0", "a")
        await self.report("vm-0", "b")
        replica = await self.cluster.restart("vm-0")
        self.assertEqual(replica.failures.get(REQUEST).failed, tried("a", "b"))

    async def test_a_record_is_retained_when_its_segment_of_the_journal_is_dropped(self) -> None:
        with mock.patch("waxwingglade.ledger.journal.SEGMENT_BYTES", 1):
            await self.report("vm-0", "a")
            await self.replica._store_turn(turn(9))
        before = len(self.replica.journal.segments)
        await self.replica._drop_segments()
        self.assertLess(len(self.replica.journal.segments), before)
        replica = await self.cluster.restart("vm-0")
        self.assertEqual(replica.failures.get(REQUEST).failed, tried("a"))

    async def test_a_read_of_an_unknown_request_writes_nothing(self) -> None:
        known = await self.replica.merge_failures(MergeFailures(REQUEST))
        self.assertEqual(known.failures, NO_FAILURES)
        self.assertEqual(self.replica.failures.records, {})

    async def test_a_joining_member_reads_the_records(self) -> None:
        await self.report("vm-1", "a")
        await self.report("vm-2", "a", "b")
        joined = self.cluster.joined("vm-3")
        replica = self.cluster.replicas["vm-3"]
        await self.cluster.use(joined)

        async def ask(member, message, timeout_s):
            return await self.cluster.ask("vm-3", member, message)

        self.cluster.isolate("vm-0")
        await catch_up(replica, joined, ask, lambda _: None)
        self.assertEqual(replica.failures.get(REQUEST).failed, tried("a", "b"))


class Members(unittest.IsolatedAsyncioTestCase):
    async def test_a_member_that_was_cut_off_receives_the_records_of_the_others(self) -> None:
        self.enterContext(quick_times())
        self.enterContext(mock.patch("waxwingglade.ledger.membership.FAILURES_READ_INTERVAL_S", 0))
        machines = Machines()
        self.addAsyncCleanup(machines.stop_all)
        vms = ("vm-0", "vm-1", "vm-2")
        for vm in vms:
            await machines.add_machine(vm)
        await self.until(lambda: machines.vms() == set(vms))
        machines.isolate("vm-0")
        for vm, target in (("vm-0", "a"), ("vm-1", "b"), ("vm-2", "c")):
            await machines.replicas[vm].merge_failures(MergeFailures(REQUEST, failed(target)))
        await self.until(
            lambda: all(
                machines.replicas[vm].failures.get(REQUEST).failed == tried("b", "c")
                for vm in ("vm-1", "vm-2")
            )
        )
        self.assertEqual(machines.replicas["vm-0"].failures.get(REQUEST).failed, tried("a"))
        machines.heal()
        await self.until(
            lambda: all(machines.replicas[vm].failures.get(REQUEST).is_held for vm in vms)
        )

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not condition():
                await asyncio.sleep(0.01)


if __name__ == "__main__":
    unittest.main()
