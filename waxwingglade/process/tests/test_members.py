"""Who counts as alive, gone or forgotten."""

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

    def hear(self, peer: EntryRef, state: EntryState = EntryState.ALIVE) -> None:
        self.members.record_contact(peer, state, ConfigVersion(0))

    def test_a_peer_is_alive_until_it_has_been_silent(self):
        self.hear(ref("a"))
        self.now += 1.9
        self.assertTrue(self.members.alive(ref("a")))
        self.now += 0.2
        self.assertFalse(self.members.alive(ref("a")))
        self.assertTrue(self.members.is_unreachable(ref("a")))

    def test_an_incarnation_that_was_replaced_is_gone_at_once(self):
        self.hear(ref("a", "1"))
        self.hear(ref("a", "2"))
        self.assertTrue(self.members.is_unreachable(ref("a", "1")))
        self.assertTrue(self.members.alive(ref("a", "2")))

    def test_nobody_is_gone_before_there_was_time_to_hear_of_it(self):
        members = Members(ref("own"), SETTINGS, lambda: self.now)
        self.assertFalse(members.is_unreachable(ref("a")))
        self.now += 2.0
        self.assertTrue(members.is_unreachable(ref("a")))

    def test_what_others_tell_makes_nobody_alive(self):
        self.members.add_reported([ref("a")])
        self.assertFalse(self.members.alive(ref("a")))
        self.assertIn(EntryId("a"), self.members.peers)

    def test_what_others_tell_does_not_replace_what_was_heard(self):
        self.hear(ref("a", "2"))
        self.members.add_reported([ref("a", "1")])
        self.assertTrue(self.members.alive(ref("a", "2")))

    def test_a_leaving_peer_is_alive_and_gets_nothing_new(self):
        self.hear(ref("a"), EntryState.DRAINING)
        self.assertTrue(self.members.alive(ref("a")))
        self.assertFalse(self.members.is_active(ref("a")))
        self.assertEqual([], self.members.usable())

    def test_entries_that_know_the_same_have_the_same_digest(self):
        other = Members(ref("a"), SETTINGS, lambda: self.now)
        self.assertNotEqual(self.members.digest(), other.digest())
        self.hear(ref("a"))
        other.record_contact(ref("own"), EntryState.ALIVE, ConfigVersion(0))
        self.assertEqual(self.members.digest(), other.digest())

    def test_a_peer_is_forgotten_only_after_a_long_silence(self):
        self.hear(ref("a"))
        self.now += 99.0
        self.members.forget_unresponsive()
        self.assertIn(EntryId("a"), self.members.peers)
        self.now += 2.0
        self.members.forget_unresponsive()
        self.assertNotIn(EntryId("a"), self.members.peers)


class Watching(unittest.TestCase):
    """A fleet too large for everybody to watch everybody."""

    def setUp(self):
        self.now = 0.0
        settings = DurabilitySettings(suspect_after_s=2.0, watch_all_up_to=5, remote_watched=2)
        self.settings = settings
        self.members = Members(ref("own"), settings, lambda: self.now)
        self.at_home = [ref(f"home-{number}") for number in range(4)]
        self.away = [
            ref(f"away-{number}-{zone}", zone=f"zone-{zone}")
            for zone in range(2, 6)
            for number in range(3)
        ]

    def choose(self, known, partners=()):
        return choose_watched(ref("own"), known, list(partners), self.settings)

    def test_a_small_fleet_is_watched_whole(self):
        watch = self.choose(self.at_home)
        self.assertTrue(watch.all_peers)
        self.assertEqual({peer.entry for peer in self.at_home}, watch.entries)

    def test_a_large_fleet_is_watched_in_part(self):
        watch = self.choose(self.at_home + self.away, [self.away[0]])
        home = {peer.entry for peer in self.at_home}
        self.assertLessEqual(home, watch.entries)
        self.assertIn(self.away[0].entry, watch.entries)
        remote = [peer for peer in self.away if peer.entry in watch.entries - {self.away[0].entry}]
        self.assertLessEqual(len(remote), 2)
        self.assertEqual(len(remote), len({peer.zone for peer in remote}))

    def test_those_watched_elsewhere_are_each_of_another_zone(self):
        for number in range(10):
            own = ref(f"own-{number}")
            watch = choose_watched(own, self.at_home + self.away, [], self.settings)
            zones = [peer.zone for peer in self.away if peer.entry in watch.entries]
            self.assertEqual(2, len(set(zones)))

    def test_what_is_watched_does_not_grow_with_the_fleet(self):
        many = [
            ref(f"away-{number}-{zone}", zone=f"zone-{zone}")
            for zone in range(2, 22)
            for number in range(18)
        ]
        self.assertEqual(len(self.at_home) + 2, len(self.choose(self.at_home + many).entries))

    def test_silence_of_one_that_is_not_watched_tells_nothing(self):
        watched, other = self.away[0], self.away[1]
        self.members.set_watched(WatchedPeers(frozenset({watched.entry}), all_peers=False))
        self.now += 10.0
        self.assertTrue(self.members.is_unreachable(watched))
        self.assertFalse(self.members.is_unreachable(other))

    def test_one_that_was_just_chosen_has_time_to_speak(self):
        self.now += 100.0
        self.members.set_watched(WatchedPeers(frozenset({self.away[0].entry}), all_peers=False))
        self.assertFalse(self.members.is_unreachable(self.away[0]))
        self.now += 2.0
        self.assertTrue(self.members.is_unreachable(self.away[0]))

    def test_an_incarnation_that_was_replaced_is_gone_though_not_watched(self):
        self.members.set_watched(WatchedPeers(frozenset(), all_peers=False))
        self.members.record_contact(ref("a", "2"), EntryState.ALIVE, ConfigVersion(0))
        self.assertTrue(self.members.is_unreachable(ref("a", "1")))

    def test_other_zones_are_told_of_few_and_only_on_request(self):
        for peer in self.at_home:
            self.members.record_contact(peer, EntryState.ALIVE, ConfigVersion(0))
        self.members.set_watched(WatchedPeers(frozenset(), all_peers=False))
        for wants, told in ((True, 3), (False, 0)):
            beat = Heartbeat(self.away[0], EntryState.ALIVE, 0, ConfigVersion(0))
            beat = msgspec.structs.replace(beat, wants_members=wants)
            self.assertEqual(told, len(self.members.refs_missing_at(beat)))
