"""Routes, events and the choice of a target."""

import unittest
from collections import Counter

from waxwingglade.base import TargetId, ZoneId
from waxwingglade.follow.model import IncarnationName, ServiceName, Share
from waxwingglade.ingress.balance import Balancer, History
from waxwingglade.ingress.dialect import LoadStamp
from waxwingglade.ingress.events import EventSplitter, StreamError
from waxwingglade.ingress.routes import RouteTable
from waxwingglade.ingress.tests.builders import (
    ENGINES,
    NOTES,
    call,
    configuration,
    route,
    target,
    targets,
)


class RoutesTest(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_wins(self) -> None:
        table = RouteTable(configuration(route("/a/"), route("/a/b/"), route("/a/", "other")))
        self.assertEqual(table.match("shop", "/a/b/c?d=/x/").prefix, "/a/b/")
        self.assertEqual(table.match("shop", "/a/bc").prefix, "/a/")
        self.assertEqual(table.match("shop:80", "/a/").prefix, "/a/")
        self.assertIsNone(table.match("shop", "/b/"))
        self.assertIsNone(table.match("shop", "/a"))
        self.assertIsNone(table.match("none", "/a/"))

    def test_a_split_follows_its_weights_and_keeps_together(self) -> None:
        shares = (Share(ServiceName("x"), 90.0), Share(ServiceName("y"), 10.0))
        split = route("/a/", shares=shares)
        table = RouteTable(configuration(split))
        chosen = Counter(table.service_for(split, f"program-{n}") for n in range(2000))
        self.assertAlmostEqual(chosen[ServiceName("y")] / 2000, 0.1, delta=0.03)
        again = RouteTable(configuration(split))
        self.assertEqual(again.service_for(split, "p"), table.service_for(split, "p"))


class EventsTest(unittest.TestCase):
    def test_events_are_whole_and_unchanged_however_the_bytes_come(self) -> None:
        raw = b"id: 1\ndata: one\n\nx-version: 2\nid: 2\ndata: a\ndata: b\n\n: note\n\n"
        for step in (1, 3, 1000):
            splitter = EventSplitter()
            events = []
            for start in range(0, len(raw), step):
                events += splitter.feed(raw[start : start + step])
            self.assertEqual(b"".join(event.raw for event in events), raw)
            self.assertEqual([event.number for event in events], [1, 2, None])
            self.assertEqual([event.data for event in events], [b"one", b"a\nb", None])
            self.assertFalse(splitter.rest)

    def test_a_cut_event_is_seen(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: on"), [])
        self.assertTrue(splitter.rest)

    def test_an_id_must_be_a_number(self) -> None:
        with self.assertRaises(StreamError):
            EventSplitter().feed(b"id: x\n\n")


class BalancerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.balancer = Balancer(ZoneId("zone-a"), lambda: self.now)

    def test_leaving_tried_and_gone_targets_are_left_out(self) -> None:
        self.balancer.update(targets(target("a"), target("b", leaving=True), target("c")))
        self.assertEqual(self.balancer.choose(NOTES, call(), ["a"]).target.target, "c")
        removed = self.balancer.update(targets(target("a"), revision=2))
        self.assertEqual({one.target for one in removed}, {"b", "c"})
        self.assertIsNone(self.balancer.choose(NOTES, call(), ["a"]))

    def test_own_sends_count_at_once_and_reports_fade(self) -> None:
        self.balancer.update(targets(target("a"), target("b")))
        for number in range(10):
            choice = self.balancer.choose(NOTES, call(f"r{number}"), [])
            self.balancer.record_sent(choice.target, call())
        loads = [state.in_flight for state in self.balancer.states.values()]
        self.assertEqual(loads, [5, 5])
        self.balancer.record_load(target("a"), LoadStamp(8, 10, 8))
        self.assertEqual(self.balancer.choose(NOTES, call(), []).target.target, "b")
        state = self.balancer.states[TargetId("a")]
        busy = state.load(self.now)
        self.now += 5.0
        self.assertLess(state.load(self.now), busy - 5)

    def test_a_target_that_was_not_heard_of_counts_as_loaded_as_the_others(self) -> None:
        """By their own calls alone, entries sent most to those that they had not asked."""
        self.balancer.update(targets(target("a"), target("b"), target("c")))
        for _ in range(60):
            for name in ("a", "b"):
                self.balancer.record_load(target(name), LoadStamp(7, 0, 8))
        unreported = self.balancer.states[TargetId("c")]
        usual = self.balancer.usual_external_load[ServiceName("notes")]
        self.assertAlmostEqual(unreported.load(self.now, usual), 6.0, delta=0.5)
        self.balancer.record_load(target("b"), LoadStamp(1, 0, 8))
        self.assertEqual(self.balancer.choose(NOTES, call(), []).target.target, "b")

    def test_a_target_that_fails_again_is_spared_for_a_while(self) -> None:
        self.balancer.update(targets(target("a"), target("b")))
        for _ in range(2):
            self.balancer.record_failure(target("a"))
        chosen = {self.balancer.choose(NOTES, call(str(n)), []).target.target for n in range(20)}
        self.assertEqual(chosen, {"b"})
        self.assertEqual(self.balancer.choose(NOTES, call(), ["b"]).target.target, "a")
        self.now += 1.0
        chosen = {self.balancer.choose(NOTES, call(str(n)), []).target.target for n in range(20)}
        self.assertEqual(chosen, {"a", "b"})

    def test_entries_agree_on_where_a_program_goes(self) -> None:
        engines = [target(f"e{n}", "engines", slots=16) for n in range(6)]
        other = Balancer(ZoneId("zone-a"), lambda: self.now)
        for balancer in (self.balancer, other):
            balancer.update(targets(*engines))
        chosen = []
        for number in range(40):
            turn = call(f"r{number}", f"p{number}", ("shared", f"own-{number}"))
            one = self.balancer.choose(ENGINES, turn, []).target.target
            self.assertEqual(other.choose(ENGINES, turn, []).target.target, one)
            chosen.append(one)
        self.assertEqual(len(set(chosen)), 3, "a shared part is read at half of the targets")

    def test_the_own_zone_comes_first_until_it_is_crowded_or_slow(self) -> None:
        self.balancer.update(targets(target("a"), target("b", zone="zone-b")))
        chosen = {self.balancer.choose(NOTES, call(str(n)), []).target.target for n in range(20)}
        self.assertEqual(chosen, {"a"})
        self.balancer.record_load(target("a"), LoadStamp(8, 6, 8))
        self.assertEqual(self.balancer.choose(NOTES, call(), []).target.target, "b")

    def test_a_slow_target_gets_less(self) -> None:
        self.balancer.update(targets(target("a"), target("b")))
        for _ in range(20):
            self.balancer.record_success(target("a"), 0.2)
            self.balancer.record_success(target("b"), 0.02)
        chosen = {self.balancer.choose(NOTES, call(str(n)), []).target.target for n in range(20)}
        self.assertEqual(chosen, {"b"})

    def test_a_program_leaves_a_crowded_target(self) -> None:
        engines = [target(f"e{n}", "engines", slots=4) for n in range(4)]
        self.balancer.update(targets(*engines))
        turn = call("r", "p", ("shared", "own"))
        first = self.balancer.choose(ENGINES, turn, []).target
        self.balancer.record_sent(first, turn)
        self.assertEqual(self.balancer.choose(ENGINES, turn, []).target, first)
        self.balancer.record_load(first, LoadStamp(4, 20, 4))
        self.assertNotEqual(self.balancer.choose(ENGINES, turn, []).target, first)

    def test_a_turn_goes_where_the_one_before_ran_whoever_sent_that(self) -> None:
        engines = [target(f"e{n}", "engines", slots=16) for n in range(6)]
        self.balancer.update(targets(*engines))
        for name in ("e0", "e4", "e5"):
            turn = call(f"r-{name}", "p", ("shared", "own"))
            choice = self.balancer.choose(ENGINES, turn, [], History(IncarnationName(name)))
            self.assertEqual(choice.target.target, name)

    def test_who_failed_the_last_turn_is_asked_only_if_there_is_no_other(self) -> None:
        self.balancer.update(targets(target("e0", "engines"), target("e1", "engines")))
        turn = call("r", "p", ("shared", "own"))
        failed = History(IncarnationName("e0"), IncarnationName("e0"))
        self.assertEqual(self.balancer.choose(ENGINES, turn, [], failed).target.target, "e1")
        self.assertEqual(self.balancer.choose(ENGINES, turn, ["e1"], failed).target.target, "e0")

    def test_an_engine_s_own_error_ejects_it_at_once(self) -> None:
        self.balancer.update(targets(target("e0", "engines"), target("e1", "engines")))
        self.balancer.record_failure(target("e0", "engines"), is_error=True)
        turn = call("r", "p", ("shared", "own"))
        choice = self.balancer.choose(ENGINES, turn, [], History(IncarnationName("e0")))
        self.assertEqual(choice.target.target, "e1")

    def test_first_turns_are_spread_by_load(self) -> None:
        engines = [target(f"e{n}", "engines", slots=16) for n in range(6)]
        self.balancer.update(targets(*engines))
        for number in range(60):
            turn = call(f"r{number}", f"p{number}", ("shared", f"own-{number}"))
            self.balancer.record_sent(
                self.balancer.choose(ENGINES, turn, [], History(None)).target, turn
            )
        loads = [state.in_flight for state in self.balancer.states.values()]
        self.assertEqual(sum(loads), 60)
        self.assertLessEqual(max(loads) - min(loads), 12)


class StartedAgain(unittest.TestCase):
    """A target that starts again under its name holds and knows nothing of before."""

    def setUp(self) -> None:
        self.now = 100.0
        self.balancer = Balancer(ZoneId("zone-a"), lambda: self.now)
        self.before = target("e0", "engines", started_ms=1)
        self.other = target("e1", "engines", started_ms=1)
        self.balancer.update(targets(self.before, self.other))
        self.turn = call("r", "p", ("shared", "own"))

    def start_again(self) -> list[str]:
        """Register the first target anew; return the names of those that are gone."""
        again = target("e0", "engines", started_ms=2)
        removed = self.balancer.update(targets(again, self.other, revision=2))
        return [one.target for one in removed]

    def test_what_it_held_and_its_load_are_forgotten(self) -> None:
        self.balancer.record_sent(self.before, self.turn)
        self.balancer.record_load(self.before, LoadStamp(8, 30, 8))
        self.balancer.record_success(self.before, 9.0)
        self.assertEqual(self.start_again(), ["e0"], "its connections are to be forgotten too")
        state = self.balancer.states[TargetId("e0")]
        self.assertEqual(
            (state.load(self.now), state.unit_s, dict(state.cached_parts)), (0, None, {})
        )

    def test_what_the_ledger_says_of_its_earlier_start_is_not_believed_of_it(self) -> None:
        """It has to read a history that it held, and is asked again though it failed a turn."""
        name = self.before.incarnation
        self.balancer.record_sent(self.other, self.turn)
        held = self.balancer.choose(ENGINES, self.turn, [], History(name))
        self.assertEqual((held.target.target, held.prefill_tokens), ("e0", 0))
        self.start_again()
        again = self.balancer.choose(ENGINES, self.turn, ["e1"], History(name))
        self.assertEqual((again.target.target, again.prefill_tokens), ("e0", 10_000))
        for _ in range(3):
            self.balancer.record_sent(self.other, self.turn)
        chosen = self.balancer.choose(ENGINES, call("r2", "q", ("s", "o")), [], History(None, name))
        self.assertEqual(chosen.target.target, "e0")

    def test_its_failures_are_forgotten(self) -> None:
        for _ in range(2):
            self.balancer.record_failure(self.before)
        self.assertTrue(self.balancer.states[TargetId("e0")].ejection.active)
        self.start_again()
        self.assertFalse(self.balancer.states[TargetId("e0")].ejection.active)

    def test_what_its_earlier_start_leaves_behind_is_not_counted(self) -> None:
        self.balancer.record_sent(self.before, self.turn)
        self.start_again()
        self.balancer.record_end(self.before)
        self.balancer.record_failure(self.before)
        self.balancer.record_load(self.before, LoadStamp(8, 30, 8))
        state = self.balancer.states[TargetId("e0")]
        self.assertEqual(
            (state.in_flight, state.ejection.failures, state.external_load), (0, 0, 0.0)
        )

    def test_one_that_only_gives_signs_of_life_is_the_same(self) -> None:
        self.balancer.record_sent(self.before, self.turn)
        self.assertEqual(self.balancer.update(targets(self.before, self.other, revision=2)), [])
        self.assertEqual(self.balancer.states[TargetId("e0")].in_flight, 1)
