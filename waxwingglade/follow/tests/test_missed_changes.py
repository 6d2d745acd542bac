"""A follower gets each change of the store, also one that its watches do not show."""

import asyncio
import contextlib
import unittest
from unittest import mock

from waxwingglade.base import ConfigVersion, ZoneId
from waxwingglade.follow.feed import CachedView, FeedFollower
from waxwingglade.follow.messages import Follow, Followed
from waxwingglade.follow.model import Replica, Revision, TargetList, View
from waxwingglade.follow.store import (
    EventsNotReceived,
    HistoryCompacted,
    Listing,
    StoreUnavailable,
)
from waxwingglade.follow.tests.builders import (
    SHORT_S,
    FollowingProcess,
    MemoryStore,
    decode_target,
    quick_pauses,
    until,
)


class MissedChangesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.enterContext(quick_pauses())
        self.now = 1000.0
        self.store = MemoryStore()
        self.store.put("op/config", b'{"version": 4}')
        for target in ("a", "b"):
            self.store.put(f"targets/{target}", b"ready")
        self.process = FollowingProcess(self.store, lambda: self.now)
        self.watcher = self.process.watcher
        self.watcher.start()
        self.addAsyncCleanup(self.watcher.stop)
        await until(lambda: self.watcher.view.version == 4)

    def hide_next_changes(self, number: int) -> None:
        """Let no watch show the next changes."""
        self.store.hidden |= {self.store.revision + 1 + each for each in range(number)}

    def leaving(self) -> set[str]:
        """Return the names of the targets that the process knows to leave."""
        targets = self.process.cached_view.targets_in_use.targets
        return {target.target for target in targets if target.leaving}

    async def test_a_change_without_its_event_is_not_lost(self) -> None:
        self.hide_next_changes(2)
        self.store.put("op/config", b'{"version": 9}')
        self.store.put("targets/a", b"leaving")
        await until(lambda: self.watcher.view.version == 9 and self.leaving() == {"a"})

    async def test_a_change_without_its_event_is_not_hidden_by_a_later_one(self) -> None:
        """No list of targets is published that has the later change only."""
        self.hide_next_changes(1)
        published = []
        self.process.cached_view.listeners.append(lambda _: published.append(self.leaving()))
        self.store.put("targets/a", b"leaving")
        self.store.put("targets/b", b"leaving")
        await until(lambda: self.leaving() == {"a", "b"})
        self.assertNotIn({"b"}, published)

    async def test_a_removal_without_its_event_is_not_lost(self) -> None:
        self.hide_next_changes(1)
        self.store.put("targets/a", None)
        await until(lambda: self.process.names() == {"b"})

    async def test_an_answer_without_its_events_confirms_nothing(self) -> None:
        await self.watcher.stop()
        before = self.watcher.complete_until, self.watcher.confirmed_at
        self.now += 1.0
        after = self.watcher.revision
        self.hide_next_changes(1)
        self.store.put("op/config", b'{"version": 9}')
        with (
            mock.patch.object(self.store, "list", side_effect=ConnectionError),
            self.assertRaises(ConnectionError),
        ):
            await self.watcher._step(after)
        self.assertEqual(before, (self.watcher.complete_until, self.watcher.confirmed_at))

    async def test_a_watch_that_shows_nothing_any_more_does_not_hide_changes_for_good(self) -> None:
        self.store.frozen_revision = self.store.revision
        self.store.put("op/config", b'{"version": 9}')
        self.now += 60.0
        await until(lambda: self.watcher.view.version == 9)

    async def test_listings_that_outlast_the_history_are_not_repeated_at_once(self) -> None:
        await self.watcher.stop()
        listings = 0

        async def outlast_history(_prefix: str) -> Listing:
            nonlocal listings
            listings += 1
            await asyncio.sleep(0)
            raise HistoryCompacted("")

        with mock.patch.object(self.store, "list", outlast_history):
            self.watcher.start()
            await asyncio.sleep(20 * SHORT_S)
        self.assertLessEqual(listings, 20)

    async def test_a_store_at_rest_is_listed_only_at_intervals(self) -> None:
        await until(lambda: self.store.watches > 20)
        self.assertEqual(1, self.store.listings)

    async def test_an_old_listing_does_not_replace_newer_state(self) -> None:
        older = await self.store.list("")
        self.store.put("op/retire/vm", b"{}")
        await until(lambda: "vm" in self.watcher.retiring)
        await self.watcher.stop()
        before = self.watcher.complete_until
        self.now += 60.0
        with (
            mock.patch.object(self.store, "list", return_value=older),
            contextlib.suppress(StoreUnavailable),
        ):
            await self.watcher._step(self.watcher.revision)
        self.assertIn("vm", self.watcher.retiring)
        self.assertEqual(before, self.watcher.complete_until)

    async def test_a_configuration_is_in_force_before_a_listing_that_takes_long(self) -> None:
        """Guards against routes that wait until all that another writer left is listed."""
        list_keys = self.store.list
        is_read, is_asked, is_written = asyncio.Event(), asyncio.Event(), asyncio.Event()

        async def lose_events(*_: object) -> Listing:
            is_asked.set()
            await is_written.wait()
            raise EventsNotReceived("a body of more than 1 byte", may_have_run=False)

        async def list_slowly(prefix: str) -> Listing:
            if prefix != "op/":
                await is_read.wait()
            return await list_keys(prefix)

        with (
            mock.patch.object(self.store, "list", list_slowly),
            mock.patch.object(self.store, "watch", lose_events),
        ):
            await is_asked.wait()
            confirmed_at = self.watcher.confirmed_at
            self.now += 1.0
            self.store.put("op/config", b'{"version": 9}')
            self.store.put("targets/a", b"leaving")
            is_written.set()
            await until(lambda: self.watcher.view.version == 9)
            # Nothing else is confirmed until all keys are listed.
            self.assertEqual(set(), self.leaving())
            self.assertEqual(confirmed_at, self.watcher.confirmed_at)
            is_read.set()
            await until(lambda: self.leaving() == {"a"})

    async def test_changes_are_listed_although_reading_the_operators_keys_failed(self) -> None:
        list_keys = self.store.list

        async def fail_to_list(prefix: str) -> Listing:
            if prefix == "op/":
                raise StoreUnavailable("away", may_have_run=False)
            return await list_keys(prefix)

        lost = EventsNotReceived("a body of more than 1 byte", may_have_run=False)
        with (
            mock.patch.object(self.store, "list", fail_to_list),
            mock.patch.object(self.store, "watch", side_effect=lost),
        ):
            self.store.put("op/config", b'{"version": 9}')
            await until(lambda: self.watcher.view.version == 9)

    async def test_a_listing_without_the_changes_that_a_watch_lacked_confirms_nothing(self) -> None:
        await self.watcher.stop()
        older = await self.store.list("")
        self.hide_next_changes(1)
        self.store.put("op/config", b'{"version": 9}')
        before = self.watcher.complete_until
        self.now += 1.0
        with (
            mock.patch.object(self.store, "list", return_value=older),
            contextlib.suppress(StoreUnavailable),
        ):
            await self.watcher._step(self.watcher.revision)
        self.assertEqual(before, self.watcher.complete_until)

    async def test_a_watch_older_than_an_answer_before_it_confirms_nothing(self) -> None:
        """The listing between the two watches fails."""
        await self.watcher.stop()
        before, after = self.watcher.complete_until, self.watcher.revision
        self.now += 1.0
        self.hide_next_changes(1)
        self.store.put("op/config", b'{"version": 9}')
        unavailable = StoreUnavailable("no answer", may_have_run=False)
        with mock.patch.object(self.store, "list", side_effect=unavailable):
            for revision in (None, after):
                self.store.frozen_revision = revision
                with contextlib.suppress(StoreUnavailable):
                    await self.watcher._step(after)
        self.assertEqual(before, self.watcher.complete_until)

    async def test_a_failing_listing_at_intervals_does_not_stop_the_watches(self) -> None:
        unavailable = StoreUnavailable("no answer", may_have_run=False)
        with mock.patch.object(self.store, "list", side_effect=unavailable) as listing:
            self.now += 60.0
            await until(lambda: listing.called)
            self.store.put("op/config", b'{"version": 9}')
            await until(lambda: self.watcher.view.version == 9)

    async def test_a_revision_that_no_listing_confirms_does_not_end_the_following(self) -> None:
        await self.watcher.stop()
        await self.watcher._list()
        wrong = Listing((), Revision(10**12))
        with (
            mock.patch.object(self.store, "watch", return_value=wrong),
            self.assertRaises(StoreUnavailable),
        ):
            await self.watcher._step(self.watcher.revision)
        self.store.put("op/config", b'{"version": 9}')
        self.watcher.start()
        await until(lambda: self.watcher.view.version == 9)

    async def test_a_target_that_a_listing_lacked_is_added_at_the_same_revision(self) -> None:
        await self.watcher.stop()
        process = FollowingProcess(self.store, lambda: self.now)
        whole = await self.store.list("")
        partial = Listing(whole.items[:-1], whole.revision)
        for listing in (partial, whole):
            with mock.patch.object(self.store, "list", return_value=listing):
                await process.watcher._list()
        self.assertEqual({"a", "b"}, process.names())


class OtherSourceTest(unittest.IsolatedAsyncioTestCase):
    """A process follows a source that missed a change, and then another one."""

    async def test_a_list_of_the_same_revision_replaces_one_that_lacks_a_change(self) -> None:
        missed, whole, follower = (CachedView(lambda: 100.0) for _ in range(3))
        states = {missed: b"ready", whole: b"leaving"}
        for source, state in states.items():
            targets = (decode_target("targets/b", b"ready"), decode_target("targets/a", state))
            source.merge(View(targets=TargetList(Revision(8), targets)), 100.0)
        sources = {"missed": missed, "whole": whole}

        async def ask(address: str, message: Follow, _timeout_s: float) -> Followed:
            return await sources[address].answer(message)

        feed = FeedFollower(follower, list, ask)
        for address in sources:
            await feed._ask(Replica("disk", "vm", address, ZoneId("zone")))
        leaving = {each.target for each in follower.view.targets.targets if each.leaving}
        self.assertEqual({"a"}, leaving)

    async def test_lists_that_differ_for_good_are_not_exchanged_without_pause(self) -> None:
        """Processes of two versions may decode or encode targets differently."""
        source = CachedView()
        targets = (decode_target("targets/a", b"ready"),)
        source.merge(View(targets=TargetList(Revision(8), targets)), 100.0)
        message = Follow(ConfigVersion(0), Revision(8), 0, 60.0, targets_checksum=1)
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(source.answer(message), SHORT_S)
