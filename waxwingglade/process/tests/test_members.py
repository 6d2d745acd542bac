"""Which peers count as alive, unreachable or forgotten, and which peers get heartbeats."""

import unittest

import msgspec

from waxwingglade.base import ConfigVersion, EntryId, EntryRef, Incarnation, ZoneId
from waxwingglade.connection.peer_messages import EntryState, Heartbeat
from waxwingglade.process.members import Members
from waxwingglade.process.watching import WatchedPeers, choose_watched
from waxwingglade.settings import DurabilitySettings

SETTINGS = DurabilitySettings(suspect_after_s=2.0, forget_after_s=100.0)


def ref(entry: str, incarnation: str = "1", zone: str = "zone-1") -> EntryRef:
    """Return an incarnation of an entry."""
    name = Incarnation(f"{entry}-{incarnation}")
    return EntryRef(EntryId(entry), name, ZoneId(zone), f"tcp://{entry}:1")


class MembersTests(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.members = Members(ref("own"), SETTINGS, lambda: self.now)
        self.now = 10.0

    def receive_heartbeat(self, peer: EntryRef, state: EntryState = EntryState.ALIVE) -> None:
        self.members.record_contact(peer, state, ConfigVersion(0))

    def test_a_peer_is_alive_until_the_time_without_contact_is_over(self):
        self.receive_heartbeat(ref("a"))
        self.now += 1.9
        self.assertTrue(self.members.alive(ref("a")))
        self.now += 0.2
        self.assertFalse(self.members.alive(ref("a")))
        self.assertTrue(self.members.is_unreachable(ref("a")))

    def test_a_replaced_incarnation_is_unreachable_at_once(self):
        self.receive_heartbeat(ref("a", "1"))
        self.receive_heartbeat(ref("a", "2"))
        self.assertTrue(self.members.is_unreachable(ref("a", "1")))
        self.assertTrue(self.members.alive(ref("a", "2")))

    def test_a_new_process_finds_no_entry_unreachable_before_the_time_is_over(self):
        members = Members(ref("own"), SETTINGS, lambda: self.now)
        self.assertFalse(members.is_unreachable(ref("a")))
        self.now += 2.0
        self.assertTrue(members.is_unreachable(ref("a")))

    def test_an_entry_that_peers_report_is_not_alive_yet(self):
        self.members.add_reported([ref("a")])
        self.assertFalse(self.members.alive(ref("a")))
        self.assertIn(EntryId("a"), self.members.peers)

    def test_reports_of_peers_do_not_replace_direct_contact(self):
        self.receive_heartbeat(ref("a", "2"))
        self.members.add_reported([ref("a", "1")])
        self.assertTrue(self.members.alive(ref("a", "2")))

    def test_a_draining_peer_is_alive_and_gets_no_new_work(self):
        self.receive_heartbeat(ref("a"), EntryState.DRAINING)
        self.assertTrue(self.members.alive(ref("a")))
        self.assertFalse(self.members.is_active(ref("a")))
        self.assertEqual([], self.members.usable())

    def test_entries_that_know_the_same_have_the_same_digest(self):
        other = Members(ref("a"), SETTINGS, lambda: self.now)
        self.assertNotEqual(self.members.digest(), other.digest())
        self.receive_heartbeat(ref("a"))
        other.record_contact(ref("own"), EntryState.ALIVE, ConfigVersion(0))
        self.assertEqual(self.members.digest(), other.digest())

    def test_a_peer_is_forgotten_only_after_a_long_time_without_contact(self):
        self.receive_heartbeat(ref("a"))
        self.now += 99.0
        self.members.forget_unresponsive()
        self.assertIn(EntryId("a"), self.members.peers)
        self.now += 2.0
        self.members.forget_unresponsive()
        self.assertNotIn(EntryId("a"), self.members.peers)


class Watching(unittest.TestCase):
    """A fleet in which each entry exchanges heartbeats with some of the others only."""

    def setUp(self):
        self.now = 0.0
        settings = DurabilitySettings(suspect_after_s=2.0, watch_all_up_to=5, remote_watched=2)
        self.settings = settings
        self.members = Members(ref("own"), settings, lambda: self.now)
        self.local = [ref(f"home-{number}") for number in range(4)]
        self.remote = [
            ref(f"away-{number}-{zone}", zone=f"zone-{zone}")
            for zone in range(2, 6)
            for number in range(3)
        ]

    def choose(self, known, partners=()):
        return choose_watched(ref("own"), known, list(partners), self.settings)

    def test_in_a_small_fleet_all_peers_are_watched(self):
        chosen = self.choose(self.local)
        self.assertTrue(chosen.all_peers)
        self.assertEqual({peer.entry for peer in self.local}, chosen.entries)

    def test_in_a_large_fleet_some_peers_are_watched(self):
        chosen = self.choose(self.local + self.remote, [self.remote[0]])
        local = {peer.entry for peer in self.local}
        self.assertLessEqual(local, chosen.entries)
        self.assertIn(self.remote[0].entry, chosen.entries)
        watched = [
            peer for peer in self.remote if peer.entry in chosen.entries - {self.remote[0].entry}
        ]
        self.assertLessEqual(len(watched), 2)
        self.assertEqual(len(watched), len({peer.zone for peer in watched}))

    def test_watched_peers_of_other_zones_are_in_different_zones(self):
        for number in range(10):
            own = ref(f"own-{number}")
            chosen = choose_watched(own, self.local + self.remote, [], self.settings)
            zones = [peer.zone for peer in self.remote if peer.entry in chosen.entries]
            self.assertEqual(2, len(set(zones)))

    def test_the_number_of_watched_peers_does_not_grow_with_the_fleet(self):
        many = [
            ref(f"away-{number}-{zone}", zone=f"zone-{zone}")
            for zone in range(2, 22)
            for number in range(18)
        ]
        self.assertEqual(len(self.local) + 2, len(self.choose(self.local + many).entries))

    def test_a_peer_that_is_not_watched_is_never_found_unreachable(self):
        watched, other = self.remote[0], self.remote[1]
        self.members.set_watched(WatchedPeers(frozenset({watched.entry}), all_peers=False))
        self.now += 10.0
        self.assertTrue(self.members.is_unreachable(watched))
        self.assertFalse(self.members.is_unreachable(other))

    def test_a_newly_watched_peer_has_time_to_answer(self):
        self.now += 100.0
        self.members.set_watched(WatchedPeers(frozenset({self.remote[0].entry}), all_peers=False))
        self.assertFalse(self.members.is_unreachable(self.remote[0]))
        self.now += 2.0
        self.assertTrue(self.members.is_unreachable(self.remote[0]))

    def test_a_replaced_incarnation_is_unreachable_though_not_watched(self):
        self.members.set_watched(WatchedPeers(frozenset(), all_peers=False))
        self.members.record_contact(ref("a", "2"), EntryState.ALIVE, ConfigVersion(0))
        self.assertTrue(self.members.is_unreachable(ref("a", "1")))

    def test_other_zones_get_few_members_and_only_on_request(self):
        for peer in self.local:
            self.members.record_contact(peer, EntryState.ALIVE, ConfigVersion(0))
        self.members.set_watched(WatchedPeers(frozenset(), all_peers=False))
        for wants, count in ((True, 3), (False, 0)):
            heartbeat = Heartbeat(self.remote[0], EntryState.ALIVE, 0, ConfigVersion(0))
            heartbeat = msgspec.structs.replace(heartbeat, wants_members=wants)
            self.assertEqual(count, len(self.members.refs_missing_at(heartbeat)))
