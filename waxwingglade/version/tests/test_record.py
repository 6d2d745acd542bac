"""Tests of the encoding of records."""

import unittest

import msgspec

from waxwingglade.base import FormatError
from waxwingglade.version import ConfigSnapshot
from waxwingglade.version.config_store import SnapshotRef
from waxwingglade.version.record import (
    FORMAT,
    NewerFormatError,
    RecordKind,
    decode_record,
    encode_record,
)
from waxwingglade.version.snapshot import decode_snapshot, encode_snapshot
from waxwingglade.version.tests.builders import make_tree


def with_format(data: bytes, number: int) -> bytes:
    """Return a record as written by a release with format `number`."""
    fields = msgspec.msgpack.decode(data)
    return msgspec.msgpack.encode([number, *fields[1:], "a field of a later release"])


class TestRecord(unittest.TestCase):
    def test_round_trip(self):
        value = SnapshotRef(3, "abc")
        for compress in (False, True):
            data = encode_record(RecordKind.HEAD, value, compress)
            self.assertEqual(decode_record(RecordKind.HEAD, data, SnapshotRef), value)

    def test_a_newer_format_is_reported_as_such(self):
        data = with_format(encode_record(RecordKind.HEAD, SnapshotRef(3, "abc")), FORMAT + 1)
        with self.assertRaises(NewerFormatError) as caught:
            decode_record(RecordKind.HEAD, data, SnapshotRef)
        self.assertIn(f"format {FORMAT + 1}", str(caught.exception))

    def test_another_kind_is_rejected(self):
        data = encode_record(RecordKind.HEAD, SnapshotRef(3, "abc"))
        with self.assertRaises(FormatError):
            decode_record(RecordKind.PROPOSAL, data, SnapshotRef)

    def test_every_truncated_record_and_every_flipped_bit_is_rejected(self):
        data = encode_snapshot(ConfigSnapshot(1, make_tree()))
        for length in range(len(data)):
            with self.assertRaises(FormatError):
                decode_snapshot(data[:length])
        for place in range(len(data)):
            flipped = data[:place] + bytes([data[place] ^ 0x10]) + data[place + 1 :]
            with self.assertRaises(FormatError):
                decode_snapshot(flipped)


if __name__ == "__main__":
    unittest.main()
