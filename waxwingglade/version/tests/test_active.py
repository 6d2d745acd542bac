"""Tests that the version in force never decreases, whatever is offered."""

import asyncio
import unittest

import msgspec

from waxwingglade.base import ErrorCode
from waxwingglade.version import (
    ActiveConfig,
    ConfigDigest,
    ConfigSnapshot,
    Source,
    Tree,
    apply_changes,
)
from waxwingglade.version.record import FORMAT
from waxwingglade.version.snapshot import encode_snapshot, replay
from waxwingglade.version.status import VersionReports
from waxwingglade.version.tests.builders import PATH, make_tree, next_record, set_value
from waxwingglade.version.tests.test_record import with_format


def make_active(version: int = 0) -> ActiveConfig:
    return ActiveConfig(ConfigSnapshot(version, make_tree()))


def chain(start: ConfigSnapshot, count: int) -> list:
    records = []
    for number in range(count):
        records.append(next_record(start, set_value(number)))
        start = replay(start, records[-1:])
    return records


def replay_unchecked(start: ConfigSnapshot, change) -> ConfigSnapshot:
    return ConfigSnapshot(start.version + 1, apply_changes(start.tree, [change]))


class TestActive(unittest.IsolatedAsyncioTestCase):
    def test_a_lower_version_is_rejected(self):
        active, stale = make_active(5), make_active(4)
        self.assertFalse(active.offer(stale.current))
        self.assertFalse(active.offer_bytes(stale.snapshot_bytes()).unwrap())
        self.assertFalse(active.offer_records(chain(ConfigSnapshot(1, Tree()), 2)))
        self.assertEqual((active.current.version, active.lower_rejected), (5, 3))

    def test_the_same_version_with_other_content_is_counted_and_rejected(self):
        active = make_active(5)
        before = active.current
        self.assertFalse(active.offer(ConfigSnapshot(5, Tree())))
        self.assertFalse(active.is_behind(ConfigDigest(5, "other")))
        self.assertFalse(active.offer(ConfigSnapshot(5, make_tree())))
        self.assertEqual(active.conflicts_rejected, 2)
        self.assertIs(active.current, before)

    def test_a_peer_that_is_behind_gets_records_or_the_complete_snapshot(self):
        ahead, behind, fresh = make_active(1), make_active(1), make_active(0)
        for record in chain(ahead.current, 3):
            self.assertTrue(ahead.offer_records([record], Source.STORE))
        self.assertTrue(behind.is_behind(ahead.digest()))
        self.assertTrue(behind.offer_bytes(ahead.records_bytes(1)).unwrap())
        self.assertEqual(behind.digest().hash, ahead.digest().hash)
        self.assertEqual(behind.records_bytes(2), ahead.records_bytes(2))
        self.assertIsNone(ahead.records_bytes(0))
        self.assertTrue(fresh.offer_bytes(ahead.snapshot_bytes()).unwrap())
        self.assertEqual(fresh.current.version, 4)

    def test_records_with_a_gap_or_altered_content_are_rejected(self):
        active = make_active(1)
        records = chain(active.current, 3)
        self.assertFalse(active.offer_records(records[1:]))
        other = ActiveConfig(ConfigSnapshot(1, Tree()))
        self.assertFalse(other.offer_records(records))
        self.assertFalse(active.offer_records([next_record(other.current, set_value(1))]))
        altered = msgspec.structs.replace(records[0], changes=[set_value(99)])
        self.assertFalse(active.offer_records([altered]))
        self.assertEqual((active.current.version, other.current.version), (1, 1))
        self.assertTrue(active.offer_records(records))

    def test_a_newer_format_or_corrupt_bytes_are_rejected(self):
        active, ahead = make_active(1), make_active(9)
        for data in (with_format(ahead.snapshot_bytes(), FORMAT + 1), b"", b"nonsense"):
            outcome = active.offer_bytes(data)
            self.assertEqual(outcome.err_value.code, ErrorCode.VERSION)
        self.assertEqual(active.current.version, 1)

    def test_settings_of_a_newer_release_are_rejected(self):
        active = make_active(1)
        change = set_value(1, "setting_to_come")
        newer = replay_unchecked(active.current, change)
        self.assertTrue(active.offer_bytes(encode_snapshot(newer)).is_err())
        self.assertFalse(active.offer_records([next_record(active.current, change)]))
        self.assertEqual(active.current.version, 1)

    def test_only_the_store_or_a_confirmed_peer_confirms_the_version(self):
        active, peer = make_active(3), make_active(3)
        active.is_behind(peer.digest())
        self.assertFalse(active.confirmed)
        peer.offer(ConfigSnapshot(4, make_tree()), Source.STORE)
        active.is_behind(peer.digest())
        self.assertFalse(active.confirmed)  # the peer has a higher version
        active.offer_bytes(peer.snapshot_bytes())
        active.is_behind(peer.digest())
        self.assertTrue(active.confirmed)

    def test_a_call_keeps_the_version_that_it_started_with(self):
        active = make_active(1)
        call_snapshot = active.current
        change = set_value(3, "queue_limit", "tenant:job-centres")
        active.offer_records([next_record(call_snapshot, change)])
        self.assertEqual(call_snapshot.resolve(PATH).queue_limit, 800)
        self.assertEqual(active.current.resolve(PATH).queue_limit, 3)
        self.assertIs(active.current.resolve(PATH), active.current.resolve(PATH))

    async def test_wait_for_returns_once_the_version_is_in_force(self):
        active = make_active(1)
        waiting = asyncio.create_task(active.wait_for(3))
        records = chain(active.current, 2)
        active.offer_records(records[:1])
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        active.offer_records(records[1:])
        self.assertEqual((await waiting).version, 3)

    def test_status_lists_entries_that_are_behind_ahead_or_differing(self):
        reports = VersionReports(clock=lambda: 7.0)
        own = make_active(5)
        for entry, digest in (
            ("entry-1", own.digest()),
            ("entry-2", ConfigDigest(4, "x")),
            ("entry-3", ConfigDigest(6, "x")),
            ("entry-4", ConfigDigest(5, "x")),
        ):
            reports.report(entry, digest)
        status = reports.status(own)
        listed = (status.behind, status.ahead, status.differing)
        self.assertEqual(listed, (["entry-2"], ["entry-3"], ["entry-4"]))
        reports.forget("entry-2")
        self.assertEqual(reports.status(own).behind, [])


if __name__ == "__main__":
    unittest.main()
