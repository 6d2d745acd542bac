"""Tests of a watcher of the store, and of one process that follows another."""

import asyncio
import itertools
import time
import unittest
from unittest import mock

import msgspec
from loguru import logger

from waxwingglade.base import ConfigVersion, ZoneId
from waxwingglade.follow.feed import FRESH_S, SOURCE_PAUSE_S, CachedView, FeedFollower
from waxwingglade.follow.messages import Follow, Followed
from waxwingglade.follow.model import Configuration, Replica, Revision, Target, TargetList, View
from waxwingglade.follow.retention import REREGISTRATION_S
from waxwingglade.follow.store import Listing, StoreUnavailable
from waxwingglade.follow.tests.builders import (
    EXPIRY_S,
    SHORT_S,
    UNRESPONSIVE_S,
    FollowingProcess,
    MemoryStore,
    quick_pauses,
    until,
)
from waxwingglade.ingress.entry import QUORUM_TIMEOUT_S


class WatcherTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.enterContext(quick_pauses())
        self.now = 1000.0
        self.store = MemoryStore()
        self.store.put("op/config", b'{"version": 4}')
        self.store.put("targets/a", b"ready")
        self.store.put("targets/b", b"ready")
        self.process = FollowingProcess(self.store, lambda: self.now)
        self.watcher = self.process.watcher
        self.names = self.process.names
        self.watcher.start()
        self.addAsyncCleanup(self.watcher.stop)
        await until(lambda: self.names() == {"a", "b"} and self.watcher.view.version == 4)

    def targets(self) -> tuple[Target, ...]:
        """Return the targets in the view."""
        return self.watcher.view.targets.targets

    def retained(self) -> set[str]:
        """Return the names of the targets that are in use, but not registered."""
        return set(self.process.cached_view.retention.targets)

    async def test_changes_are_seen_and_versions_only_rise(self) -> None:
        self.store.put("op/config", b'{"version": 9}')
        await until(lambda: self.watcher.view.version == 9)
        self.store.put("op/config", b'{"version": 7}')
        self.store.put("targets/a", b"leaving")
        await until(lambda: any(t.leaving for t in self.watcher.view.targets.targets))
        self.assertEqual(self.watcher.view.version, 9)

    async def test_an_invalid_configuration_leaves_the_last_one_in_force(self) -> None:
        self.store.put("op/config", b"nonsense")
        self.store.put("targets/c", b"ready")
        await until(lambda: "c" in self.names())
        self.assertEqual(self.watcher.view.version, 4)

    async def test_changes_before_a_compaction_are_listed_again(self) -> None:
        self.store.unavailable = True
        await until(lambda: self.watcher.in_outage)
        self.store.put("op/config", b'{"version": 9}')
        self.store.put("targets/a", b"leaving")
        self.store.compact()
        self.store.unavailable = False
        await until(lambda: self.watcher.view.version == 9)
        await until(lambda: any(t.leaving for t in self.watcher.view.targets.targets))

    async def test_a_view_is_confirmed_only_with_its_current_configuration(self) -> None:
        self.store.unresponsive_key = "op/config"
        await asyncio.sleep(4 * SHORT_S)
        written_at = self.now
        self.store.put("op/config", b'{"version": 9}')
        self.now += 1.0
        unresponsive_until = time.monotonic() + 2 * UNRESPONSIVE_S
        while self.watcher.view.version != 9:
            self.assertLessEqual(self.watcher.confirmed_at, written_at)
            if time.monotonic() > unresponsive_until:
                self.store.unresponsive_key = None
            await asyncio.sleep(0.005)

    async def test_an_invalid_target_entry_leaves_the_others(self) -> None:
        """The invalid entry is logged once, however often it is written."""
        lines: list[str] = []
        sink = logger.add(lambda line: lines.append(line.record["message"]), level="WARNING")
        self.addCleanup(logger.remove, sink)
        for _ in range(3):
            self.store.put("targets/b", b"\xff\xfe")
            await until(lambda: self.names() == {"a"})
        self.assertEqual(["invalid target entry"], lines)
        self.store.put("targets/b", b"ready")
        await until(lambda: self.names() == {"a", "b"})

    async def test_a_restarted_target_is_published(self) -> None:
        self.store.put("targets/a", b"ready 17")
        await until(lambda: {t.started_ms for t in self.targets()} == {17, None})

    async def test_a_target_removed_without_an_outage_is_dropped_at_once(self) -> None:
        self.store.put("targets/a", None)
        await until(lambda: self.names() == {"b"})

    async def test_a_target_that_expired_in_an_outage_may_register_again(self) -> None:
        self.store.unavailable = True
        await until(lambda: self.watcher.in_outage)
        self.now += EXPIRY_S
        self.store.put("targets/a", None)
        self.store.put("targets/b", None)
        self.store.unavailable = False
        await until(lambda: not self.targets())
        self.assertEqual(self.names(), {"a", "b"})
        self.store.put("targets/b", b"ready")
        await until(lambda: self.retained() == {"a"})
        self.assertEqual(self.names(), {"a", "b"})
        self.now += 3.0
        await until(lambda: self.names() == {"b"})

    async def test_a_target_that_expires_soon_after_an_outage_may_register_again(self) -> None:
        self.store.unavailable = True
        await until(lambda: self.watcher.in_outage)
        self.now += EXPIRY_S / 2
        self.store.unavailable = False
        await until(lambda: not self.watcher.in_outage)
        self.now += 0.5
        self.store.put("targets/a", None)
        await until(lambda: len(self.targets()) == 1)
        self.assertEqual(self.names(), {"a", "b"})
        self.now += REREGISTRATION_S - 0.5
        await until(lambda: self.names() == {"b"})

    async def test_a_target_that_remains_missing_is_dropped_without_a_change_of_the_store(
        self,
    ) -> None:
        """Its retention may end at a revision at which other processes still list the target."""
        await self.watcher.stop()
        revision = Revision(self.store.revision)
        self.watcher._record_outage("away", self.now)
        self.now += EXPIRY_S
        self.store.put("targets/a", None)
        self.store.put("targets/c", b"ready")
        revision = await self.watcher._step(revision)
        self.assertEqual(self.names(), {"a", "b", "c"})
        self.now += REREGISTRATION_S - 0.1
        await self.watcher._step(revision)
        self.assertEqual(self.names(), {"a", "b", "c"})
        self.now += 0.2
        self.assertEqual(self.names(), {"b", "c"})

    async def test_a_missing_target_stays_while_the_store_is_away_again(self) -> None:
        self.store.unavailable = True
        await until(lambda: self.watcher.in_outage)
        self.now += EXPIRY_S
        self.store.put("targets/a", None)
        self.store.unavailable = False
        await until(lambda: self.retained() == {"a"})
        self.store.unavailable = True
        await until(lambda: self.watcher.in_outage)
        self.now += EXPIRY_S
        self.assertEqual(self.names(), {"a", "b"})
        self.store.unavailable = False
        await until(lambda: not self.watcher.in_outage)
        self.assertEqual(self.names(), {"a", "b"})
        self.now += REREGISTRATION_S
        await until(lambda: self.names() == {"b"})

    async def test_a_target_that_leaves_after_a_short_refusal_is_dropped_at_once(self) -> None:
        self.store.unavailable = True
        await until(lambda: self.watcher.in_outage)
        self.now += 0.3
        self.store.unavailable = False
        await until(lambda: not self.watcher.in_outage)
        self.store.put("targets/a", None)
        await until(lambda: len(self.targets()) == 1)
        self.assertEqual(self.names(), {"b"})

    async def test_a_target_that_leaves_while_this_process_was_stalled_is_dropped_at_once(
        self,
    ) -> None:
        with self.subTest("the stall is between two calls"):
            self.now += EXPIRY_S
            self.store.put("targets/a", None)
            await until(lambda: len(self.targets()) == 1)
            self.assertEqual(self.names(), {"b"})
        with self.subTest("a call timed out in the stall"):
            await self.watcher.stop()
            revision = Revision(self.store.revision)
            asked_at = self.now
            self.now += EXPIRY_S
            self.watcher._record_outage("no answer", asked_at)
            self.store.put("targets/b", None)
            await self.watcher._step(revision)
            self.assertEqual(self.names(), set())

    async def test_a_target_that_registered_again_is_published_again(self) -> None:
        """An entry that followed the store for a while may have dropped the target."""
        await self.watcher.stop()
        revision = Revision(self.store.revision)
        self.watcher._record_outage("away", self.now)
        self.store.put("targets/a", None)
        revision = await self.watcher._step(revision)
        self.store.put("targets/a", b"ready")
        await self.watcher._step(revision)
        self.assertEqual(self.watcher.view.targets.revision, self.store.revision)

    async def test_an_answer_read_late_confirms_the_view_only_as_of_the_request(
        self,
    ) -> None:
        """The VM was stalled for five seconds, while the answer waited to be read."""
        await self.watcher.stop()
        watch = self.store.watch

        async def stall(prefix: str, after: Revision, wait_s: float) -> Listing:
            answer = await watch(prefix, after, wait_s)
            self.now += 5.0
            return answer

        asked_at = self.now
        with mock.patch.object(self.store, "watch", stall):
            await self.watcher._step(Revision(self.store.revision))
        self.assertEqual(self.watcher.confirmed_at, asked_at)


class FeedTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.now = 1000.0
        self.sources = {name: CachedView(lambda: self.now) for name in ("near", "far")}
        self.unreachable: set[str] = set()
        self.without_majority: set[str] = set()
        self.own = CachedView(lambda: self.now)
        replicas = [Replica(name, name, name, ZoneId(name)) for name in self.sources]
        self.follower = FeedFollower(self.own, lambda: replicas, self._ask)

    async def _ask(self, address: str, message: Follow, timeout_s: float) -> Followed:
        await asyncio.sleep(0)
        if address in self.unreachable:
            raise StoreUnavailable("unreachable", may_have_run=False)
        shortened = Follow(message.version, message.targets_revision, message.epoch, 0.005)
        answer = await self.sources[address].answer(shortened)
        return msgspec.structs.replace(answer, quorum=address not in self.without_majority)

    def _publish(self, name: str, version: int) -> None:
        view = View(Configuration(ConfigVersion(version), (), ()), TargetList(Revision(version)))
        self.sources[name].merge(view, self.now)

    async def test_an_answer_read_late_confirms_the_view_only_as_of_the_request(
        self,
    ) -> None:
        """This VM was stalled for five seconds, while the answer waited to be read."""
        self._publish("near", 4)
        source = self.follower.sources()[0]
        self.follower.source = source.address
        asked_at = self.now
        ask = self.follower.ask

        async def stall(address: str, message: Follow, timeout_s: float) -> Followed:
            answer = await ask(address, message, timeout_s)
            self.now += 5.0
            return answer

        self.follower.ask = stall
        await self.follower._ask(source)
        self.assertLessEqual(self.own.confirmed_at, asked_at)

    async def test_the_nearest_source_with_a_current_view_is_followed(self) -> None:
        self._publish("near", 3)
        self.follower.start()
        self.addAsyncCleanup(self.follower.stop)
        await until(lambda: self.own.view.version == 3)
        self.unreachable.add("near")
        self._publish("far", 5)
        await until(lambda: self.own.view.version == 5)
        self.assertEqual(self.follower.source, "far")

    async def test_a_source_partitioned_from_the_store_is_abandoned(self) -> None:
        self._publish("near", 3)
        self.follower.start()
        self.addAsyncCleanup(self.follower.stop)
        await until(lambda: self.own.view.version == 3)
        self.now += 5.0
        self._publish("far", 6)
        await until(lambda: self.own.view.version == 6)
        self.now += 5.0
        await until(lambda: self.follower.exhausted)
        self.assertEqual(self.own.view.version, 6)

    async def test_a_majority_is_lost_when_the_last_answering_source_reports_it(self) -> None:
        for name in self.sources:
            self._publish(name, 3)
        self.follower.start()
        self.addAsyncCleanup(self.follower.stop)
        await until(lambda: self.follower.quorum_age_s == 0.0)
        with self.subTest("another source still reaches it"):
            self.without_majority.add("near")
            await until(lambda: self.follower.source == "far")
            self.assertEqual(self.follower.quorum_age_s, 0.0)
        with self.subTest("none does: at once, whenever a majority was last reported"):
            self.unreachable.add("far")
            await until(lambda: self.follower.quorum_age_s == float("inf"))

    async def test_reports_are_not_late_while_the_store_is_away_and_one_source_is_silent(
        self,
    ) -> None:
        """Guards against entries that take the majority for lost between two reports."""
        reported_at: list[float] = []
        age_s = 0.0

        async def ask(address: str, message: Follow, timeout_s: float) -> Followed:
            await asyncio.sleep(0)
            if address in self.unreachable:
                self.now += timeout_s
                raise StoreUnavailable("silent", may_have_run=False)
            self.now += message.wait_s
            reported_at.append(self.now)
            return Followed(View(), age_s)

        self.follower.ask = ask
        self.follower.start()
        self.addAsyncCleanup(self.follower.stop)
        await until(lambda: self.follower.source == "near")
        self.unreachable.add("far")
        age_s = 2 * FRESH_S
        await until(lambda: not self.follower.source_current)
        reported_at.clear()
        await until(lambda: len(reported_at) > 5)
        gaps_s = [later - earlier for earlier, later in itertools.pairwise(reported_at)]
        self.assertLess(max(gaps_s) + SOURCE_PAUSE_S, QUORUM_TIMEOUT_S)

    async def test_updates_are_answered_at_once_and_alone(self) -> None:
        self._publish("near", 3)
        source = self.sources["near"]
        known = Follow(ConfigVersion(3), Revision(3), 0, 0.0)
        answer = await source.answer(known)
        self.assertIsNone(answer.view.configuration)
        waiting = asyncio.create_task(source.answer(Follow(ConfigVersion(3), Revision(3), 0, 5.0)))
        await asyncio.sleep(0)
        self._publish("near", 4)
        async with asyncio.timeout(1.0):
            answer = await waiting
        self.assertEqual(answer.view.version, 4)
