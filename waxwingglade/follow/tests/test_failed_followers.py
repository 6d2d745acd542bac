"""Followers that fail in a way that nobody foresaw go on with the next change."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from waxwingglade.base import ConfigVersion, Fingerprint, ZoneId
from waxwingglade.follow.feed import LISTENER_RETRY_S, CachedView, FeedFollower
from waxwingglade.follow.messages import Follow, Followed, SuspectList
from waxwingglade.follow.model import Configuration, Replica, View
from waxwingglade.follow.suspects import Exchanged, SuspectFollower, Suspects
from waxwingglade.follow.tests.builders import (
    FollowingProcess,
    MemoryStore,
    quick_pauses,
    until,
)

REPLICAS = [Replica(name, name, name, ZoneId(name)) for name in ("near", "far")]


class WatcherFailure(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.enterContext(quick_pauses())
        self.now = 1000.0
        self.store = MemoryStore()
        self.store.put("op/config", b'{"version": 4}')
        self.process = FollowingProcess(self.store, lambda: self.now)
        self.watcher = self.process.watcher
        self.addAsyncCleanup(self.watcher.stop)

    async def start(self) -> None:
        """Start to follow, and wait for the first view."""
        self.watcher.start()
        await until(lambda: self.watcher.view.version == 4)

    async def test_the_next_change_follows_an_unforeseen_failure_to_decode(self) -> None:
        await self.start()
        with mock.patch.object(self.watcher.targets, "apply", side_effect=RecursionError):
            self.store.put("targets/a", b"ready")
            await asyncio.sleep(0.05)
        self.store.put("op/config", b'{"version": 5}')
        await until(lambda: self.watcher.view.version == 5 and self.process.names() == {"a"})

    async def test_the_next_change_follows_a_failed_listener(self) -> None:
        await self.start()
        self.watcher.changed = mock.Mock(side_effect=[ZeroDivisionError, None, None])
        self.store.put("op/config", b'{"version": 5}')
        await until(lambda: self.watcher.changed.called)
        self.store.put("op/config", b'{"version": 6}')
        await until(lambda: self.watcher.view.version == 6)

    async def test_answers_that_can_not_be_applied_do_not_confirm_the_view(self) -> None:
        await self.start()
        confirmed_at = self.watcher.confirmed_at
        self.now += 10.0
        with mock.patch.object(self.watcher.targets, "apply", side_effect=RecursionError):
            listings = self.store.listings
            await until(lambda: self.store.listings >= listings + 2)
            await until(lambda: self.watcher.confirmed_at == confirmed_at)
        await until(lambda: self.watcher.confirmed_at == self.now)


class ListenerFailure(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.now = 1000.0
        self.view = CachedView(lambda: self.now)
        self.taken: list[int] = []
        self.failing = mock.Mock(side_effect=[ZeroDivisionError, None], __qualname__="listener")
        self.view.listeners += [self.failing, lambda view: self.taken.append(view.version)]

    def _publish(self, version: int) -> None:
        self.view.merge(View(Configuration(ConfigVersion(version), (), ())), self.now)

    async def test_a_listener_that_fails_does_not_keep_the_view_from_others(self) -> None:
        self._publish(4)
        self.assertEqual([4], self.taken)

    async def test_listeners_that_a_failure_left_out_are_called_without_a_change(self) -> None:
        """Guards against an entry that stays with its earlier routes, as a log line failed."""
        self.failing.side_effect = None
        with (
            mock.patch.object(self.view, "_log_targets", side_effect=ZeroDivisionError),
            self.assertRaises(ZeroDivisionError),
        ):
            self._publish(4)
        self.assertEqual([], self.taken)
        self.now += LISTENER_RETRY_S
        self.view.drop_expired()
        self.assertEqual([4], self.taken)

    async def test_a_listener_that_failed_is_called_again_without_a_change(self) -> None:
        self._publish(4)
        self.now += LISTENER_RETRY_S
        for _ in range(2):
            self.view.drop_expired()
        self.assertEqual([4, 4], [each.args[0].version for each in self.failing.call_args_list])
        self.assertEqual([4], self.taken)


class FeedFailure(unittest.IsolatedAsyncioTestCase):
    async def test_another_source_is_asked_after_an_answer_that_can_not_be_applied(self) -> None:
        own, asked = CachedView(), []

        async def ask(address: str, message: Follow, timeout_s: float) -> Any:
            asked.append(address)
            await asyncio.sleep(0.005)
            if address == "near":
                return object()
            version = ConfigVersion(len(asked))
            return Followed(View(Configuration(version, (), ())), 0.0, quorum=True)

        follower = FeedFollower(own, lambda: REPLICAS, ask)
        follower.start()
        self.addAsyncCleanup(follower.stop)
        await until(lambda: own.view.version > 0 and follower.source == "far")


class SuspectFailure(unittest.IsolatedAsyncioTestCase):
    async def test_another_source_is_asked_after_an_answer_that_can_not_be_applied(self) -> None:
        suspects = Suspects()

        async def ask(address: str, message: Any, timeout_s: float) -> Any:
            await asyncio.sleep(0.005)
            return object() if address == "near" else SuspectList({Fingerprint("a"): 2})

        follower = SuspectFollower(suspects, lambda: REPLICAS, ask, Exchanged, lambda: 0.0)
        follower.start()
        self.addAsyncCleanup(follower.stop)
        await until(lambda: suspects.failed == {Fingerprint("a"): 2})
