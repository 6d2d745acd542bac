"""Arbitrary values in the platform's store under the key of a server."""

import unittest

import hypothesis.strategies as st
import msgspec
from hypothesis import given

from tests.fuzz.builders import FIXED, damaged, json_values
from waxwingglade.base import FormatError
from waxwingglade.follow.model import Revision, Target
from waxwingglade.follow.store import Item
from waxwingglade.follow.targets import RegisteredTargets
from waxwingglade.platform.registry import decode_target

VALID_FIELDS = {
    "service": "engines",
    "address": "10.0.0.1:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
    "born": 1_700_000_000_000,
}
ENTRY = msgspec.json.encode(VALID_FIELDS)
with_replaced_field = st.builds(
    lambda name, value: msgspec.json.encode({**VALID_FIELDS, name: value}),
    st.sampled_from(sorted(VALID_FIELDS)),
    json_values,
)
entries = (
    st.binary(max_size=80)
    | json_values.map(msgspec.json.encode)
    | with_replaced_field
    | damaged(ENTRY)
)


class RegistryEntries(unittest.TestCase):
    def check(self, target: Target) -> None:
        """Check that a target has a valid address, slots, a service and a zone."""
        host, _, port = target.address.rpartition(":")
        self.assertEqual(len(host.split(".")), 4)
        self.assertIn(int(port), range(1, 65_536))
        self.assertGreater(target.slots, 0)
        self.assertTrue(target.service and target.zone)

    @FIXED
    @given(entries)
    def test_an_entry_names_a_target_to_use_or_none(self, value):
        try:
            self.check(decode_target("servers/i-1", value))
        except FormatError:
            return

    @FIXED
    @given(entries)
    def test_an_entry_that_names_none_takes_its_target_and_no_other(self, value):
        registered = RegisteredTargets(decode_target)
        sound = [Item(f"servers/{name}", ENTRY, Revision(1)) for name in ("a", "b")]
        registered.apply(sound, Revision(1), complete=True)
        registered.apply([Item("servers/b", value, Revision(2))], Revision(2), complete=False)
        self.assertIn("servers/a", registered.targets)
        try:
            named = decode_target("servers/b", value)
        except FormatError:
            self.assertNotIn("servers/b", registered.targets)
        else:
            self.assertEqual(registered.targets["servers/b"], named)
