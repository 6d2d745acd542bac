"""The time up to which a view is reported as complete is never too late.

Revoked keys are rejected by this time, so it must be right however late an answer is read.
"""

import asyncio
import random
import unittest
from unittest import mock

from waxwingglade.base import ConfigVersion, ZoneId
from waxwingglade.follow.feed import CachedView, FeedFollower
from waxwingglade.follow.messages import Follow, Followed
from waxwingglade.follow.model import Configuration, Replica, Revision, View
from waxwingglade.follow.tests.builders import KEYS, MemoryStore, quick_pauses
from waxwingglade.follow.watcher import Watcher

SOURCE = Replica("disk", "vm", "address", ZoneId("zone"))


def configured(version: int, revision: int = 0) -> View:
    """Return a view with a configuration."""
    return View(Configuration(ConfigVersion(version), (), (), revision=Revision(revision)))


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """One process follows another, on a clock that the test sets."""

    def setUp(self) -> None:
        self.now = 100.0
        self.source = CachedView(lambda: self.now)
        self.cached_view = CachedView(lambda: self.now)
        self.follower = FeedFollower(self.cached_view, lambda: [SOURCE], self.ask)
        self.delays_s = (0.0, 0.0)

    async def ask(self, _address: str, message: Follow, _timeout_s: float) -> Followed:
        self.now += self.delays_s[0]
        answer = await self.source.answer(message)
        self.now += self.delays_s[1]
        return answer

    async def test_a_delayed_answer_does_not_advance_completeness(self) -> None:
        for delays in ((0.0, 3.0), (3.0, 0.0), (1.0, 1.0)):
            self.delays_s = delays
            complete_until = self.now - 0.4
            self.source.merge(configured(1), self.now, complete_until)
            await self.follower._ask(SOURCE)
            self.assertLessEqual(self.cached_view.complete_until, complete_until)
            self.assertGreaterEqual(
                self.cached_view.complete_until, complete_until - delays[0] - 1e-9
            )

    async def test_random_delays_never_advance_completeness_beyond_the_source(self) -> None:
        rng = random.Random(7)
        completeness = [float("-inf")]
        for version in range(1, 200):
            self.now += rng.random()
            self.source.merge(configured(version), self.now, self.now - rng.random())
            completeness.append(self.source.complete_until)
            self.delays_s = (rng.expovariate(5), rng.expovariate(5))
            await self.follower._ask(SOURCE)
            self.assertEqual(version, self.cached_view.view.version)
            self.assertLessEqual(self.cached_view.complete_until, completeness[-1] + 1e-9)

    async def test_an_answer_without_completeness_confirms_nothing(self) -> None:
        self.follower.ask = mock.AsyncMock(return_value=Followed(configured(1), 0.1))
        await self.follower._ask(SOURCE)
        self.assertEqual(float("-inf"), self.cached_view.complete_until)

    async def test_new_content_of_the_same_version_is_replicated(self) -> None:
        self.source.merge(configured(1, 5), self.now)
        await self.follower._ask(SOURCE)
        self.source.merge(configured(1, 6), self.now)
        await self.follower._ask(SOURCE)
        self.assertEqual(6, self.cached_view.view.configuration_revision)
        self.cached_view.merge(configured(1, 5), self.now)
        self.assertEqual(6, self.cached_view.view.configuration_revision)


class WatcherTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.enterContext(quick_pauses())
        self.now = 100.0
        self.store = MemoryStore()
        self.store.put("op/config", b'{"version": 4}')
        self.watcher = Watcher(self.store, KEYS, clock=lambda: self.now)

    async def test_the_view_is_complete_up_to_the_request(self) -> None:
        await self.watcher._step(None)
        self.assertEqual(self.now, self.watcher.complete_until)
        asked_at = self.now
        watch = self.store.watch

        async def answer_after_delay(*arguments: object) -> object:
            answer = await watch(*arguments)
            self.now += 0.3
            return answer

        with mock.patch.object(self.store, "watch", answer_after_delay):
            await self.watcher._step(Revision(self.store.revision))
        self.assertEqual(asked_at, self.watcher.complete_until)

    async def test_an_invalid_configuration_stops_completeness(self) -> None:
        revision = await self.watcher._step(None)
        before = self.watcher.complete_until
        self.store.put("op/config", b"nonsense")
        self.now += 1.0
        revision = await self.watcher._step(revision)
        self.assertEqual(before, self.watcher.complete_until)
        self.store.put("op/config", b'{"version": 5}')
        self.now += 1.0
        await self.watcher._step(revision)
        self.assertEqual(self.now, self.watcher.complete_until)

    async def test_an_unavailable_store_stops_completeness(self) -> None:
        self.watcher.start()
        self.addAsyncCleanup(self.watcher.stop)
        while self.watcher.complete_until < self.now:
            await asyncio.sleep(0.005)
        before = self.now
        self.store.unavailable = True
        await asyncio.sleep(0.05)
        self.now += 4.0
        await asyncio.sleep(0.05)
        self.assertEqual(before, self.watcher.complete_until)


if __name__ == "__main__":
    unittest.main()
