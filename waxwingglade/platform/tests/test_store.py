"""Tests of the store's client with a stand-in: conditions, lost answers, compaction, pages."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock
from urllib.parse import parse_qs

import msgspec

from waxwingglade.follow.model import Revision
from waxwingglade.follow.store import (
    EventsNotReceived,
    HistoryCompacted,
    KeyTooLong,
    Listing,
    StoreUnavailable,
    contiguous_until,
)
from waxwingglade.follow.tests.builders import KEYS, quick_pauses, until
from waxwingglade.follow.watcher import Watcher
from waxwingglade.platform.store import PlatformStore
from waxwingglade.standins.metadata_store import MetadataStore, StoreFault
from waxwingglade.transport import HttpResponse
from waxwingglade.transport.tests.cut_builders import Answer, Cut, CutServer, Ending, answers

APPLY_S = 2.0
"""Seconds within which a changed configuration must be in force."""

FIN = Ending.FIN
LISTING = (
    b'{"items":[{"key":"servers/a","revision":1,"value":"e30="},'
    b'{"key":"servers/b","revision":2,"value":"e30="}],"has_more":false,"current_rev":2}'
)
EVENTS = b'{"events":[{"key":"servers/a","revision":2,"deleted":true}],"current_rev":2}'

INVALID_FIELDS: dict[str, dict[str, Any]] = {
    "no base64": {"value": "abc"},
    "text": {"value": "\u00e4\u00e4\u00e4\u00e4"},
    "number": {"value": 7},
    "nested": {"value": [[{}]]},
    "text revision": {"revision": "7"},
    "large revision": {"revision": 10**400},
    "negative revision": {"revision": -1},
}
"""Fields with which an item can't be decoded."""


def item(key: str, revision: int) -> dict[str, Any]:
    """Return an item as the store sends it."""
    return {"key": key, "revision": revision, "value": ""}


def page(revision: int, has_more: bool, *items: dict[str, Any]) -> dict[str, Any]:
    """Return a page of a listing as the store sends it."""
    return {"items": items, "has_more": has_more, "current_rev": revision}


def events(revision: int, *items: dict[str, Any]) -> dict[str, Any]:
    """Return the answer of a watch as the store sends it."""
    return {"events": items, "current_rev": revision}


class PlatformStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.standin = MetadataStore()
        self.standin.start()
        self.addAsyncCleanup(self.standin.stop)
        self.store = PlatformStore(self.standin.address)
        self.addAsyncCleanup(self.store.close)

    async def test_a_conditional_write(self) -> None:
        self.assertIsNone(await self.store.compare_and_swap("own/a", 0, b"one"))
        item = await self.store.read("own/a")
        self.assertEqual(item.value, b"one")
        self.assertIsNone(await self.store.compare_and_swap("own/a", item.revision, b"two"))
        current = await self.store.compare_and_swap("own/a", item.revision, b"three")
        self.assertEqual(current.value, b"two")
        self.assertIsNone(await self.store.read("own/none"))

    async def test_a_key_that_is_too_long_is_rejected_without_a_call(self) -> None:
        key = "status/" + "\u00e9" * 97
        for call in (self.store.read(key), self.store.compare_and_swap(key, 0, b"one")):
            with self.assertRaisesRegex(KeyTooLong, "201 bytes, the limit is 200"):
                await call
        self.assertEqual(0, self.standin.calls)
        self.assertIsNone(await self.store.compare_and_swap(key[1:], 0, b"one"))

    async def test_a_write_whose_answer_was_lost_is_read_back(self) -> None:
        self.standin.fault = StoreFault.LOST_ANSWERS
        self.assertIsNone(await self.store.compare_and_swap("own/a", 0, b"one"))
        self.assertEqual(self.standin.value("own/a"), b"one")

    async def test_a_busy_store_does_nothing(self) -> None:
        self.standin.fault = StoreFault.BUSY
        with self.assertRaises(StoreUnavailable) as caught:
            await self.store.compare_and_swap("own/a", 0, b"one")
        self.assertFalse(caught.exception.may_have_run)
        self.assertIsNone(self.standin.value("own/a"))

    async def test_an_unresponsive_store_may_have_run_the_call(self) -> None:
        self.standin.fault = StoreFault.UNRESPONSIVE
        with (
            mock.patch("waxwingglade.platform.store.ANSWER_TIMEOUT_S", 0.05),
            self.assertRaises(StoreUnavailable) as caught,
        ):
            await self.store._call("read", "GET", "/v1/kv-key?key=a", 0.05)
        self.assertTrue(caught.exception.may_have_run)

    async def test_a_listing_of_many_pages_and_a_watch_from_its_revision(self) -> None:
        for number in range(120):
            self.standin.put(f"servers/{number:03d}", {"n": number})
        listing = await self.store.list("servers/")
        self.assertEqual(len(listing.items), 120)
        self.standin.put("servers/007", {"n": 0})
        self.standin.put("op/config", {})
        self.standin.remove("servers/008")
        events = await self.store.watch("servers/", listing.revision, 1.0)
        self.assertEqual(
            [(event.key, event.value is None) for event in events.items],
            [("servers/007", False), ("servers/008", True)],
        )

    async def test_a_listing_has_what_changed_between_its_pages_at_one_revision(self) -> None:
        for number in range(120):
            self.standin.put(f"servers/{number:03d}", {"n": number})
        call = self.store._call
        changes = [
            lambda: self.standin.remove("servers/007"),
            lambda: self.standin.put("servers/115", {"n": 0}),
        ]

        async def change_and_call(*arguments: Any) -> HttpResponse:
            answer = await call(*arguments)
            if changes:
                changes.pop(0)()
            return answer

        with mock.patch.object(self.store, "_call", change_and_call):
            listing = await self.store.list("servers/")
        self.assertEqual(listing.revision, self.standin.revision)
        values = {item.key: item.value for item in listing.items}
        self.assertEqual(values, {key: self.standin.value(key) for key in self.standin.items})

    async def list_answers(self, *answers: dict[str, Any]) -> Listing:
        """Return the listing of a store that gives these answers."""
        left = list(answers)

        async def call(_purpose: str, _method: str, path: str, *_: Any) -> HttpResponse:
            answer = left.pop(0)
            if "events" in answer:
                after = int(parse_qs(path)["after"][0])
                known = [each for each in answer["events"] if each["revision"] > after]
                answer = answer | {"events": known}
            return HttpResponse(200, [], msgspec.json.encode(answer))

        with mock.patch.object(self.store, "_call", call):
            return await self.store.list("")

    async def test_a_listing_that_ends_early_is_a_failure(self) -> None:
        pages = [page(3, True, item("a", 1)), page(3, True)]
        with self.assertRaises(StoreUnavailable):
            await self.list_answers(*pages)
        with (
            mock.patch("waxwingglade.platform.store.PAGE_LIMIT", 1),
            self.assertRaises(StoreUnavailable),
        ):
            await self.list_answers(*pages)

    async def test_a_listing_has_no_later_change_without_an_earlier_one(self) -> None:
        """The watch between the pages is older than the second page."""
        pages = [page(10, True, item("a", 1)), page(12, False, item("b", 12))]
        later = [page(12, True, item("a", 11)), page(12, False, item("b", 12))]
        listing = await self.list_answers(*pages, events(10), *later)
        self.assertEqual({"a": 11, "b": 12}, {each.key: each.revision for each in listing.items})

    async def test_a_listing_has_the_changes_that_an_old_page_lacks(self) -> None:
        for revisions in ((10, 8, 10), (10, 9, 8)):
            pages = [
                page(revision, number < 2, item(f"{number}", 1))
                for number, revision in enumerate(revisions)
            ]
            changes = [item("1", 9), item("2", 10)]
            with self.subTest(revisions=revisions):
                listing = await self.list_answers(*pages, events(10, *changes))
                found = {each.key: each.revision for each in listing.items}
                self.assertEqual({"0": 1, "1": 9, "2": 10}, found)

    async def test_a_watch_after_a_compaction(self) -> None:
        self.standin.put("servers/a", {})
        self.standin.compact()
        with self.assertRaises(HistoryCompacted):
            await self.store.watch("servers/", 0, 0.1)

    def put_invalid(self) -> dict[str, int]:
        """Write items that can't be decoded; return the revisions that can be read from them."""
        revisions = {}
        for name, fields in INVALID_FIELDS.items():
            revision = self.standin.put_damaged(f"servers/{name}", **fields)
            revisions[f"servers/{name}"] = 0 if "revision" in fields else revision
        return revisions

    async def test_an_invalid_item_takes_no_other_from_a_listing_or_a_watch(self) -> None:
        start = self.standin.put("servers/sound", {})
        revisions = self.put_invalid()
        last = self.standin.put("servers/later", {})
        self.enterContext(
            mock.patch.object(self.standin, "events", lambda *_: list(self.standin.history))
        )
        for listing in (
            await self.store.list("servers/"),
            await self.store.watch("servers/", start - 1, 1.0),
        ):
            found = {item.key: item for item in listing.items}
            self.assertEqual(last, listing.revision)
            for key in ("servers/sound", "servers/later"):
                self.assertEqual((b"{}", ""), (found[key].value, found[key].error))
            for key, revision in revisions.items():
                item = found[key]
                self.assertEqual((None, revision, False), (item.value, item.revision, item.removed))
                self.assertTrue(0 < len(item.error) < 200, item.error)

    async def test_the_revisions_of_invalid_items_leave_no_gap(self) -> None:
        start = self.standin.put("servers/sound", {})
        for name in ("no base64", "text"):
            self.standin.put_damaged(f"servers/{name}", **INVALID_FIELDS[name])
        events = await self.store.watch("", start, 1.0)
        self.assertEqual(self.standin.revision, contiguous_until(start, events))

    async def test_an_invalid_item_is_read_with_what_is_wrong(self) -> None:
        self.put_invalid()
        item = await self.store.read("servers/text")
        self.assertFalse(item.removed)
        self.assertIn("ASCII", item.error)

    async def test_changes_too_large_for_one_answer_are_followed_in_time(self) -> None:
        """Guards against a watch that is repeated for good, as its answer is never received."""
        with quick_pauses():
            watcher = Watcher(self.store, KEYS)
            watcher.start()
            self.addAsyncCleanup(watcher.stop)
            await until(lambda: watcher.store_confirmed_at > 0)
            # A single change of the event loop, as if they came while the process did not ask.
            for number in range(20):
                self.standin.put_bytes(f"other/{number}", bytes(1_000_000))
            self.standin.put_bytes("op/config", b'{"version": 4}')
            async with asyncio.timeout(APPLY_S):
                while watcher.view.version != 4:
                    await asyncio.sleep(0.01)
        self.assertFalse(watcher.in_outage)

    async def test_events_larger_than_the_limit_are_not_received(self) -> None:
        self.enterContext(mock.patch("waxwingglade.platform.store.MAX_BODY_BYTES", 4_000_000))
        for number in range(4):
            self.standin.put_bytes(f"other/{number}", bytes(1_000_000))
        with self.assertRaisesRegex(EventsNotReceived, "after revision 0: a body of more than"):
            await self.store.watch("", Revision(0), 0.0)
        listing = await self.store.list("")
        self.assertEqual(4, len(listing.items))

    async def test_calls_are_counted_by_purpose(self) -> None:
        await self.store.list("servers/")
        await self.store.read("own/a")
        self.assertEqual(self.store.calls, {"list": 1, "read": 1})

    async def test_an_invalid_answer_is_a_failure_like_others(self) -> None:
        """Any other error would end the watcher, which then receives no more changes."""
        deep = b'{"events": ' + b"[" * 5000
        large = b'{"events": [], "current_rev": ' + b"9" * 5000 + b"}"
        for status, body in (
            (200, b"<html>"),
            (404, b""),
            (412, b"{}"),
            (200, deep),
            (200, large),
            (200, b'{"events": [], "current_rev": -1}'),
        ):
            answer = HttpResponse(status, [], body)
            with (
                self.subTest(status=status),
                mock.patch.object(self.store, "_call", return_value=answer),
                self.assertRaises(StoreUnavailable),
            ):
                await self.store.watch("servers/", 0, 0.1)


class CutAnswers(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        # The debug mode of the loop records a stack for each callback, most of the time taken here.
        asyncio.get_running_loop().set_debug(False)

    async def check(self, answer: Answer, cut: Cut, call: Callable[..., Awaitable[Any]]) -> None:
        """Make a call that is answered with a cut answer, and check that it fails."""
        async with CutServer(cut) as server:
            store = PlatformStore(server.address)
            with self.assertRaises(StoreUnavailable) as caught:
                await call(store)
            await store.close()
            self.assertTrue(caught.exception.may_have_run or answer.is_whole(len(cut.data), FIN))

    async def test_a_cut_listing_is_a_failed_call(self) -> None:
        """Guards against keys that count as removed since the answer ended before them."""
        for answer in answers(LISTING):
            for size in answer.cuts(others=4)[:-1]:
                for ending in Ending:
                    with self.subTest(framing=answer.name, size=size, ending=ending):
                        cut = Cut(answer.data[:size], ending)
                        await self.check(answer, cut, lambda store: store.list("servers/"))

    async def test_a_cut_watch_is_a_failed_call(self) -> None:
        for answer in answers(EVENTS):
            for size in answer.cuts(others=4)[:-1]:
                with self.subTest(framing=answer.name, size=size):
                    cut = Cut(answer.data[:size], bytewise=True)
                    await self.check(answer, cut, lambda store: store.watch("", Revision(1), 0.1))

    async def test_an_absent_key_is_not_told_by_a_cut_head(self) -> None:
        for answer in answers(b"{}", status=b"404 Not Found"):
            for size in answer.cuts(others=4):
                if size < answer.body_at:
                    with self.subTest(framing=answer.name, size=size):
                        cut = Cut(answer.data[:size])
                        await self.check(answer, cut, lambda store: store.read("key"))
