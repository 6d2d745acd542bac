"""Choice of a route and a target, and splitting of event streams."""

import unittest
from collections import Counter

from waxwingglade.base import TargetId, ZoneId
from waxwingglade.decisions.ejection import is_ejected_by_all
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

    def test_a_split_follows_its_weights_and_is_consistent_by_key(self) -> None:
        shares = (Share(ServiceName("x"), 90.0), Share(ServiceName("y"), 10.0))
        split = route("/a/", shares=shares)
        table = RouteTable(configuration(split))
        chosen = Counter(table.service_for(split, f"program-{n}") for n in range(2000))
        self.assertAlmostEqual(chosen[ServiceName("y")] / 2000, 0.1, delta=0.03)
        again = RouteTable(configuration(split))
        self.assertEqual(again.service_for(split, "p"), table.service_for(split, "p"))


class EventsTest(unittest.TestCase):
    def test_events_are_complete_and_unchanged_for_any_chunk_size(self) -> None:
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

    def test_a_truncated_event_is_detected(self) -> None:
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

    def test_leaving_tried_and_removed_targets_are_excluded(self) -> None:
        self.balancer.update(targets(target("a"), target("b", leaving=True), target("c")))
        self.assertEqual(self.balancer.choose(NOTES, call(), ["a"]).target.target, "c")
        removed = self.balancer.update(targets(target("a"), revision=2))
        self.assertEqual({one.target for one in removed}, {"b", "c"})
        self.assertIsNone(self.balancer.choose(NOTES, call(), ["a"]))

    def test_own_requests_count_at_once_and_reports_decay(self) -> None:
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

    def test_a_target_without_a_report_counts_as_loaded_as_the_others(self) -> None:
        """Guards against overload of targets without reports.

        By their own requests alone, entries sent most calls to the targets that they had not used
        yet.
        """
        self.balancer.update(targets(target("a"), target("b"), target("c")))
        for _ in range(60):
            for name in ("a", "b"):
                self.balancer.record_load(target(name), LoadStamp(7, 0, 8))
        unreported = self.balancer.states[TargetId("c")]
        usual = self.balancer.usual_external_load[ServiceName("notes")]
        self.assertAlmostEqual(unreported.load(self.now, usual), 6.0, delta=0.5)
        self.balancer.record_load(target("b"), LoadStamp(1, 0, 8))
        self.assertEqual(self.balancer.choose(NOTES, call(), []).target.target, "b")

    def test_a_target_that_fails_repeatedly_is_ejected_for_a_while(self) -> None:
        self.balancer.update(targets(target("a"), target("b")))
        for _ in range(2):
            self.balancer.record_failure(target("a"))
        chosen = {self.balancer.choose(NOTES, call(str(n)), []).target.target for n in range(20)}
        self.assertEqual(chosen, {"b"})
        self.assertEqual(self.balancer.choose(NOTES, call(), ["b"]).target.target, "a")
        self.now += 1.0
        chosen = {self.balancer.choose(NOTES, call(str(n)), []).target.target for n in range(20)}
        self.assertEqual(chosen, {"a", "b"})

    def test_a_target_that_never_succeeds_does_not_end_its_requests(self) -> None:
        self.balancer.update(targets(target("a"), target("b")))
        for _ in range(2_000):
            self.balancer.record_failure(target("a"))
        self.assertEqual(self.balancer.choose(NOTES, call(), []).target.target, "b")
        self.assertTrue(is_ejected_by_all(2_000, age_s=1.0))
        self.assertFalse(is_ejected_by_all(2_000, age_s=3.0))

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
        self.assertEqual(len(set(chosen)), 3, "half of the targets cache a shared part")

    def test_the_own_zone_is_preferred_until_it_is_overloaded(self) -> None:
        self.balancer.update(targets(target("a"), target("b", zone="zone-b")))
        chosen = {self.balancer.choose(NOTES, call(str(n)), []).target.target for n in range(20)}
        self.assertEqual(chosen, {"a"})
        self.balancer.record_load(target("a"), LoadStamp(8, 6, 8))
        self.assertEqual(self.balancer.choose(NOTES, call(), []).target.target, "b")

    def test_a_slow_target_is_avoided(self) -> None:
        self.balancer.update(targets(target("a"), target("b")))
        for _ in range(20):
            self.balancer.record_success(target("a"), 0.2)
            self.balancer.record_success(target("b"), 0.02)
        chosen = {self.balancer.choose(NOTES, call(str(n)), []).target.target for n in range(20)}
        self.assertEqual(chosen, {"b"})

    def test_a_program_leaves_an_overloaded_target(self) -> None:
        engines = [target(f"e{n}", "engines", slots=4) for n in range(4)]
        self.balancer.update(targets(*engines))
        turn = call("r", "p", ("shared", "own"))
        first = self.balancer.choose(ENGINES, turn, []).target
        self.balancer.record_sent(first, turn)
        self.assertEqual(self.balancer.choose(ENGINES, turn, []).target, first)
        self.balancer.record_load(first, LoadStamp(4, 20, 4))
        self.assertNotEqual(self.balancer.choose(ENGINES, turn, []).target, first)

    def test_a_turn_goes_where_the_previous_one_ran_for_any_entry(self) -> None:
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


class RestartedTargetTest(unittest.TestCase):
    """A target that restarts under the same name begins with an empty state."""

    def setUp(self) -> None:
        self.now = 100.0
        self.balancer = Balancer(ZoneId("zone-a"), lambda: self.now)
        self.before = target("e0", "engines", started_ms=1)
        self.other = target("e1", "engines", started_ms=1)
        self.balancer.update(targets(self.before, self.other))
        self.turn = call("r", "p", ("shared", "own"))

    def start_again(self) -> list[str]:
        """Register the first target again; return the names of the removed targets."""
        again = target("e0", "engines", started_ms=2)
        removed = self.balancer.update(targets(again, self.other, revision=2))
        return [one.target for one in removed]

    def test_its_cache_and_load_are_discarded(self) -> None:
        self.balancer.record_sent(self.before, self.turn)
        self.balancer.record_load(self.before, LoadStamp(8, 30, 8))
        self.balancer.record_success(self.before, 9.0)
        self.assertEqual(self.start_again(), ["e0"], "its connections are to be dropped too")
        state = self.balancer.states[TargetId("e0")]
        self.assertEqual(
            (state.load(self.now), state.unit_s, dict(state.cached_parts)), (0, None, {})
        )

    def test_the_history_of_its_former_incarnation_does_not_apply(self) -> None:
        """It must prefill a history that it had cached, and is used although it failed a turn."""
        name = self.before.incarnation
        self.balancer.record_sent(self.other, self.turn)
        cached = self.balancer.choose(ENGINES, self.turn, [], History(name))
        self.assertEqual((cached.target.target, cached.prefill_tokens), ("e0", 0))
        self.start_again()
        again = self.balancer.choose(ENGINES, self.turn, ["e1"], History(name))
        self.assertEqual((again.target.target, again.prefill_tokens), ("e0", 10_000))
        for _ in range(3):
            self.balancer.record_sent(self.other, self.turn)
        chosen = self.balancer.choose(ENGINES, call("r2", "q", ("s", "o")), [], History(None, name))
        self.assertEqual(chosen.target.target, "e0")

    def test_its_failures_are_discarded(self) -> None:
        for _ in range(2):
            self.balancer.record_failure(self.before)
        self.assertTrue(self.balancer.states[TargetId("e0")].ejection.active)
        self.start_again()
        self.assertFalse(self.balancer.states[TargetId("e0")].ejection.active)

    def test_late_reports_of_its_former_incarnation_are_ignored(self) -> None:
        self.balancer.record_sent(self.before, self.turn)
        self.start_again()
        self.balancer.record_end(self.before, self.turn)
        self.balancer.record_failure(self.before)
        self.balancer.record_load(self.before, LoadStamp(8, 30, 8))
        state = self.balancer.states[TargetId("e0")]
        self.assertEqual(
            (state.in_flight, state.ejection.failures, state.external_load), (0, 0, 0.0)
        )

    def test_a_registration_renewal_does_not_change_the_state(self) -> None:
        self.balancer.record_sent(self.before, self.turn)
        self.assertEqual(self.balancer.update(targets(self.before, self.other, revision=2)), [])
        self.assertEqual(self.balancer.states[TargetId("e0")].in_flight, 1)
