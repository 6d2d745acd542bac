"""Tests of following and seeding the store, and of deleting old records."""

import asyncio
import unittest
from unittest import mock

from waxwingglade.base import Verdict
from waxwingglade.version import (
    ActiveConfig,
    ConfigSnapshot,
    ProposalId,
    Tree,
    WatchEvent,
    WatchKind,
    catch_up,
    delete_old_records,
    follow_store,
    seed_store,
)
from waxwingglade.version.acceptance import SNAPSHOT_EVERY
from waxwingglade.version.cleanup import PROPOSAL_RETENTION_S, RETAINED_VERSIONS
from waxwingglade.version.record import FORMAT
from waxwingglade.version.tests.builders import (
    HEAD_KEY,
    NOON_S,
    PEKKA,
    make_service,
    make_tree,
    propose_and_approve,
    seeded_service,
    set_value,
    with_timeout,
)
from waxwingglade.version.tests.fake_store import FakeStore, Fault
from waxwingglade.version.tests.test_record import with_format


async def accept_values(service, first, last):
    """Accept one version for each number."""
    for number in range(first, last):
        name = f"v{number}"
        base = service.active.current.version
        await propose_and_approve(
            service, name, set_value(number + 1, "max_output_tokens"), base=base
        )
        (await service.accept(ProposalId(name), PEKKA)).unwrap()


class TestSeed(unittest.IsolatedAsyncioTestCase):
    async def test_one_of_two_entries_seeds_the_store_and_the_other_reads_the_version(self):
        store = FakeStore()
        one = make_service(store, "entry-1")
        other = make_service(store, "entry-2", tree=changed_tree())
        outcomes = await asyncio.gather(
            *(seed_store(each.config_store, each.active, each.entry_ref) for each in (one, other))
        )
        self.assertEqual(sorted(outcome.is_ok() for outcome in outcomes), [False, True])
        for each in (one, other):
            self.assertTrue((await catch_up(each.config_store, each.active)).unwrap())
        self.assertEqual(one.active.digest(), other.active.digest())

    async def test_an_entry_whose_seed_is_unanswered_reads_its_own_version(self):
        store = FakeStore()
        service = make_service(store)
        store.faults.extend([Fault.NONE, Fault.ANSWER_LOST])
        outcome = await seed_store(service.config_store, service.active, service.entry_ref)
        self.assertEqual(outcome.err_value.verdict, Verdict.MAY_HAVE_RUN)
        self.assertTrue((await catch_up(service.config_store, service.active)).unwrap())
        self.assertEqual(service.active.current.version, 1)

    async def test_a_tree_that_cannot_be_changed_or_would_revert_a_version_is_not_stored(self):
        store = FakeStore()
        for version, tree in ((0, Tree()), (5, make_tree())):
            service = make_service(store)
            service.active = ActiveConfig(ConfigSnapshot(version, tree))
            seeded = await seed_store(service.config_store, service.active, service.entry_ref)
            self.assertFalse(seeded.unwrap())
        self.assertEqual(store.values, {})


class TestFollow(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = FakeStore()
        self.service = await seeded_service(self.store)
        self.follower = make_service(self.store, "entry-2")
        self.active = self.follower.active
        self.config_store = self.follower.config_store

    async def wait_for_watch(self):
        while not self.store.watchers:
            await asyncio.sleep(0)

    async def test_the_watch_alone_delivers_each_version(self):
        following = asyncio.create_task(follow_store(self.config_store, self.active))
        await with_timeout(self.active.wait_for(1))
        await with_timeout(self.wait_for_watch())
        await accept_values(self.service, 0, 3)
        await with_timeout(self.active.wait_for(4))
        self.assertEqual(self.active.digest().hash, self.service.active.digest().hash)
        self.assertEqual([each.version for each in self.active.recent], [2, 3, 4])
        following.cancel()

    async def test_a_process_catches_up_after_its_watch_missed_events_or_ended(self):
        following = asyncio.create_task(follow_store(self.config_store, self.active))
        await with_timeout(self.wait_for_watch())
        missed, self.store.watchers = self.store.watchers, []
        await accept_values(self.service, 0, 3)
        self.store.watchers = missed
        self.store.emit(WatchEvent(WatchKind.RESYNC, [self.store.values[HEAD_KEY]]))
        await with_timeout(self.active.wait_for(4))
        self.store.end_watches()
        await accept_values(self.service, 3, 5)
        await with_timeout(self.active.wait_for(6))
        self.store.emit(WatchEvent(WatchKind.DELETE, []))
        following.cancel()

    async def test_a_new_entry_rebuilds_the_version_from_tree_and_history(self):
        await accept_values(self.service, 0, SNAPSHOT_EVERY + 5)
        (await catch_up(self.config_store, self.active)).unwrap()
        self.assertEqual(self.active.digest(), self.service.active.digest())
        history = (await self.follower.history(SNAPSHOT_EVERY + 50)).unwrap()
        newest = SNAPSHOT_EVERY + 6
        self.assertEqual([each.version for each in history], list(range(newest, 0, -1)))

    async def test_the_version_in_force_stays_during_an_outage_or_with_a_newer_format(self):
        (await catch_up(self.config_store, self.active)).unwrap()
        await accept_values(self.service, 0, 1)
        self.store.down = True
        self.assertTrue((await catch_up(self.config_store, self.active)).is_err())
        self.store.down = False
        present = self.store.values[HEAD_KEY]
        self.store.apply(HEAD_KEY, with_format(present.value, FORMAT + 1), present.mod_revision)
        outcome = await catch_up(self.config_store, self.active)
        self.assertIn("format 2", outcome.err_value.message)
        self.assertEqual(self.active.current.version, 1)

    async def test_an_older_head_in_the_store_does_not_revert_a_process(self):
        old = self.store.values[HEAD_KEY]
        await accept_values(self.service, 0, 2)
        self.store.apply(HEAD_KEY, old.value, self.store.values[HEAD_KEY].mod_revision)
        (await catch_up(self.service.config_store, self.service.active)).unwrap()
        self.assertEqual(self.service.active.current.version, 3)

    async def test_only_old_records_are_deleted(self):
        await accept_values(self.service, 0, 3)
        await propose_and_approve(self.service, "open", set_value(1), base=4)
        self.assertEqual((await delete_old_records(self.config_store, NOON_S)).unwrap(), 0)
        later = NOON_S + PROPOSAL_RETENTION_S + 1
        self.assertEqual((await delete_old_records(self.config_store, later)).unwrap(), 3)
        retained = (await self.service.proposals()).unwrap()
        self.assertEqual([each.id for each in retained], ["open"])

    async def test_old_versions_and_trees_are_deleted(self):
        await accept_values(self.service, 0, 2 * SNAPSHOT_EVERY + 2)
        short_history_versions = SNAPSHOT_EVERY
        with mock.patch("waxwingglade.version.cleanup.RETAINED_VERSIONS", short_history_versions):
            (await delete_old_records(self.config_store, NOON_S)).unwrap()
        self.assertGreater(RETAINED_VERSIONS, short_history_versions)
        versions = [each.version for each in (await self.service.history(1000)).unwrap()]
        self.assertEqual(versions[-1], SNAPSHOT_EVERY)
        trees = [key for key in self.store.values if key.startswith("config/snapshots/")]
        self.assertEqual(len(trees), 2)
        (await catch_up(self.config_store, self.active)).unwrap()
        self.assertEqual(self.active.digest(), self.service.active.digest())


def changed_tree() -> Tree:
    """Return a tree that differs from `make_tree`."""
    levels = {**make_tree().levels, "firm": {"queue_limit": 3}}
    return Tree(levels)


if __name__ == "__main__":
    unittest.main()
