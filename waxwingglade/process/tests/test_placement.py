"""The choice of the entries that hold the copies of a log."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.base import LogId
from waxwingglade.process.placement import choose_copies, is_spread
from waxwingglade.process.tests.test_members import ref

HOME = LogId("zone-1.own.x.home0")
SPREAD = LogId("zone-1.own.x.spread0")
OWNER = ref("own")

peers = st.lists(
    st.builds(
        ref, st.sampled_from("abcdefgh"), st.just("1"), st.sampled_from(["zone-1", "zone-2"])
    ),
    unique_by=lambda peer: peer.entry,
)


def zones(copies):
    """Return the zones of copies, in order."""
    return [copy.zone for copy in copies]


class Placement(unittest.TestCase):
    def setUp(self):
        self.usable = [
            ref("a", zone="zone-1"),
            ref("b", zone="zone-1"),
            ref("c", zone="zone-2"),
            ref("d", zone="zone-3"),
        ]

    def test_home_places_a_majority_in_the_owners_zone(self):
        chosen = zones(choose_copies(HOME, OWNER, self.usable, 3))
        self.assertEqual(2, chosen.count("zone-1"))

    def test_spread_places_every_other_copy_in_a_different_zone(self):
        chosen = zones(choose_copies(SPREAD, OWNER, self.usable, 3))
        self.assertEqual(["zone-1", "zone-2", "zone-3"], sorted(chosen))

    def test_home_without_other_zones_uses_the_owners_zone_only(self):
        chosen = zones(choose_copies(HOME, OWNER, self.usable[:2], 3))
        self.assertEqual(["zone-1"] * 3, chosen)

    def test_an_entry_alone_in_its_zone_uses_the_other_zones(self):
        self.assertEqual(3, len(choose_copies(HOME, OWNER, self.usable[2:], 3)))

    def test_a_log_is_spread_if_its_majority_is_in_other_zones(self):
        spread = choose_copies(SPREAD, OWNER, self.usable, 3)
        self.assertTrue(is_spread(SPREAD, spread))
        self.assertFalse(is_spread(SPREAD, [OWNER, *self.usable[:2]]))
        self.assertFalse(is_spread(HOME, spread))

    def test_current_holders_are_preferred(self):
        for holder in self.usable[:2]:
            chosen = choose_copies(HOME, OWNER, self.usable, 3, frozenset({holder.incarnation}))
            self.assertIn(holder, chosen)

    @given(peers, st.sampled_from([HOME, SPREAD]), st.integers(1, 5))
    def test_copies_are_distinct_and_as_many_as_can_be_had(self, usable, log, copies):
        chosen = choose_copies(log, OWNER, usable, copies)
        self.assertEqual(OWNER, chosen[0])
        self.assertEqual(len(chosen), len({copy.incarnation for copy in chosen}))
        self.assertEqual(min(copies, len(usable) + 1), len(chosen))
