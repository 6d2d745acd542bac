"""An invalid item of the store costs a follower nothing but itself, whatever its decoder raises."""

import unittest
from unittest import mock

import msgspec
from loguru import logger

from waxwingglade.base import FormatError
from waxwingglade.follow.model import Revision
from waxwingglade.follow.store import Item
from waxwingglade.follow.tests.builders import KEYS, MemoryStore, quick_pauses, until
from waxwingglade.follow.watcher import Watcher

RAISED = (
    FormatError("wrong"),
    ValueError("x" * 5000),
    RecursionError("deep"),
    OverflowError("large"),
    UnicodeDecodeError("utf-8", b"\xff", 0, 1, "no text"),
    KeyError("field"),
    ZeroDivisionError(),
)
MEMBERS = b'{"epoch": 1, "members": [["d", "vm", "a:1", "z"]], "settled": true}'
INVALID_MEMBERS = (
    b"nonsense",
    b'{"epoch": "1"}',
    b'{"epoch": -1}',
    b'{"epoch": 9999999999999999999999}',
    b'{"epoch": 2, "members": ' + b"[" * 5000,
    b'{"epoch": 2, "members": [["d", "vm", "\xff", "z"]]}',
)


class InvalidItemsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.enterContext(quick_pauses())
        self.lines: list[tuple[str, str]] = []
        sink = logger.add(self.record, level="WARNING")
        self.addCleanup(logger.remove, sink)
        self.store = MemoryStore()
        self.store.put("op/config", b'{"version": 4}')
        self.store.put("own/replicas", MEMBERS)
        self.store.put("targets/a", b"ready")
        self.raised: Exception | None = None

    def record(self, line: object) -> None:
        """Record the event and the key of a line of the log."""
        record = line.record
        self.lines.append((record["message"], record["extra"].get("key", "")))

    async def follow(self, **decoders: object) -> Watcher:
        """Return a watcher that has read the store."""
        watcher = Watcher(self.store, msgspec.structs.replace(KEYS, **decoders))
        watcher.start()
        self.addAsyncCleanup(watcher.stop)
        await until(lambda: watcher.revision == self.store.revision)
        return watcher

    async def check_follows(self, watcher: Watcher) -> None:
        """Check that a watcher still learns of a new target."""
        name = f"new-{self.store.revision}"
        self.store.put(f"targets/{name}", b"ready")
        await until(lambda: name in {each.target for each in watcher.view.targets.targets})

    async def test_no_exception_of_a_decoder_ends_the_follower(self) -> None:
        def decode_target(key: str, value: bytes) -> object:
            if value == b"odd":
                raise self.raised
            return KEYS.decode_target(key, value)

        def decode_configuration(value: bytes) -> object:
            if value == b"odd":
                raise self.raised
            return KEYS.decode_configuration(value)

        watcher = await self.follow(
            decode_target=decode_target, decode_configuration=decode_configuration
        )
        for self.raised in RAISED:
            with self.subTest(raised=type(self.raised)):
                self.store.put("targets/odd", b"odd")
                self.store.put("op/config", b"odd")
                await self.check_follows(watcher)
                self.assertEqual(4, watcher.view.version)
                self.assertTrue(watcher.undecodable)
                self.assertNotIn("odd", {each.target for each in watcher.view.targets.targets})
        self.store.put("op/config", b'{"version": 5}')
        await until(lambda: watcher.view.version == 5)
        self.assertFalse(watcher.undecodable)
        for key, event in (
            ("targets/odd", "invalid target entry"),
            ("op/config", "invalid configuration"),
        ):
            self.assertEqual(len(RAISED), self.lines.count((event, key)))

    async def test_invalid_members_leave_the_last_ones_in_force(self) -> None:
        watcher = await self.follow()
        for value in INVALID_MEMBERS:
            with self.subTest(value=value[:60]):
                self.store.put("own/replicas", value)
                await self.check_follows(watcher)
                self.assertEqual(1, watcher.view.replicas.epoch)

    async def test_items_that_the_store_shows_damaged_cost_nothing_but_themselves(self) -> None:
        watcher = await self.follow()
        for key in ("targets/a", "op/config", "own/replicas", "own/candidates/z", "op/retire/vm"):
            self.store.put(key, b"ready")
            item = Item(key, None, Revision(self.store.revision), "no base64")
            self.store.history[-1] = self.store.items[key] = item
        await self.check_follows(watcher)
        self.assertEqual((4, 1), (watcher.view.version, watcher.view.replicas.epoch))
        self.assertEqual({}, watcher.candidates)
        self.assertEqual(["vm"], list(watcher.retiring))
        self.assertNotIn("a", {each.target for each in watcher.view.targets.targets})
        self.assertEqual(0, watcher.gaps)

    async def test_a_removed_item_is_no_longer_invalid(self) -> None:
        watcher = await self.follow()
        self.store.put("targets/odd", b"odd")
        await until(lambda: "targets/odd" in watcher.decoder.rejected)
        self.store.put("targets/odd", None)
        await until(lambda: not watcher.decoder.rejected)
        self.store.put("targets/odd", b"odd")
        await until(lambda: "targets/odd" in watcher.decoder.rejected)
        with mock.patch.object(self.store, "history", []):
            self.store.items.pop("targets/odd")
            await watcher._list()
        self.assertEqual({}, watcher.decoder.rejected)
