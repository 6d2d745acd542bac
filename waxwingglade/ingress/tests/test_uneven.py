"""Choices among targets that report the stretch of their VMs, played with a fake clock."""

import unittest
from collections import Counter

from loguru import logger

from waxwingglade.base import TargetId
from waxwingglade.base.buffered_metrics import render_page
from waxwingglade.decisions.ejection import Ejection
from waxwingglade.decisions.shared_load import TargetLoad
from waxwingglade.ingress.dialect import LoadStamp
from waxwingglade.ingress.metrics import target_gauge
from waxwingglade.ingress.tests.builders import NOTES, call, targets
from waxwingglade.ingress.tests.uneven_builders import (
    CACHE_TOKENS,
    FAST,
    MODELS,
    SHARED_TOKENS,
    SLOW,
    Fleet,
    turn,
)


class Speeds(unittest.TestCase):
    def test_first_turns_go_to_fast_engines_until_these_are_as_late_as_slow_ones(self) -> None:
        fleet = Fleet(SLOW, SLOW, *[FAST] * 6)
        placed = []
        for number in range(160):
            placed.append(fleet.place(turn(f"p{number}")).target.target)
            fleet.now += 0.05
            fleet.share()
        self.assertFalse({"e0", "e1"} & set(placed[:48]), "fast engines have free slots")
        loads = Counter(placed)
        slow, fast = max(loads["e0"], loads["e1"]), min(loads[f"e{n}"] for n in range(2, 8))
        self.assertGreater(slow, 0, "slow engines have free slots while turns wait at fast ones")
        self.assertGreater(fast, slow)

    def test_a_program_leaves_a_slow_engine(self) -> None:
        fleet = Fleet(SLOW, FAST, FAST)
        self.assertNotEqual(fleet.place(turn("p", 3_000), holder="e0").target.target, "e0")

    def test_a_program_stays_where_a_move_gains_little(self) -> None:
        """Every move prefills a history, and delays the other turns of the engine."""
        fleet = Fleet(1.0, 0.9, 0.9)
        for number in range(3):
            fleet.place(turn(f"other-{number}"), holder="e0")
        self.assertEqual(fleet.place(turn("p", 15_000), holder="e0").target.target, "e0")

    def test_a_stretched_engine_is_avoided_while_the_report_is_fresh(self) -> None:
        fleet = Fleet(*[1.0] * 5)
        fleet.report("e0", 2.5)
        placed = [fleet.place(turn(f"p{number}")).target.target for number in range(8)]
        self.assertEqual(set(placed), {"e1", "e2", "e3", "e4"})
        fleet.now += 1.0
        fleet.share()
        self.assertEqual(fleet.place(turn("later")).target.target, "e0")

    def test_a_report_to_another_entry_counts(self) -> None:
        fleet = Fleet(*[1.0] * 5)
        fleet.now += 0.5
        fleet.share(e0=TargetLoad(stretch=2.5, stretch_age_s=0.1))
        placed = {fleet.place(turn(f"p{number}")).target.target for number in range(4)}
        self.assertEqual(placed, {"e1", "e2", "e3", "e4"})

    def test_slowness_is_learnt_from_own_turns_without_passing_stretches(self) -> None:
        fleet = Fleet(1.0, 1.0, 1.0)
        for state in fleet.balancer.states.values():
            state.shared = None
        for number in range(12):
            for name, gap_s, stretch in (("e0", 0.057, 1.0), ("e1", 0.03, 1.0), ("e2", 0.075, 2.5)):
                choice = fleet.balancer.choose(
                    MODELS, turn(f"{number}"), {"e0", "e1", "e2"} - {name}
                )
                fleet.complete(choice, gap_s, stretch=stretch)
        slowness = {
            name: state.relative_slowness(fleet.now)[0]
            for name, state in fleet.balancer.states.items()
        }
        self.assertGreater(slowness["e0"], 1.5 * slowness["e1"])
        self.assertAlmostEqual(slowness["e2"], slowness["e1"], delta=0.15)

    def test_a_target_that_fails_at_once_gets_few_requests_of_many_entries(self) -> None:
        """It has no load, so the requests of all entries would go there."""
        fleet = Fleet(FAST, SLOW)
        sent = 0
        for number in range(40):
            # Each request comes through another entry, which has seen no failure itself.
            fleet.balancer.states[TargetId("e0")].ejection = Ejection(lambda: fleet.now)
            placed = turn(f"p{number}")
            choice = fleet.place(placed)
            fleet.balancer.record_end(choice.target, placed)
            if choice.target.target == "e0":
                sent += 1
                failed_at = fleet.now
            fleet.now += 0.05
            age_s = fleet.now - failed_at
            fleet.share(e0=TargetLoad(slowness=FAST, turns=50.0, failures=sent, failed_age_s=age_s))
        self.assertLessEqual(sent, 5, "three until all know, then one after each ejection")
        self.assertGreater(sent, 3, "it is tried again")

    def test_an_entry_reports_its_load_and_each_turn_once(self) -> None:
        fleet = Fleet(1.0)
        choice = fleet.place(turn("p", 4_000))
        fleet.complete(choice, 0.03, stretch=1.5)
        state = fleet.balancer.states[choice.target.target]
        first, second = state.entry_load(fleet.now), state.entry_load(fleet.now)
        self.assertEqual((first.in_flight, first.tokens, first.stretch), (1, 4_210, 1.5))
        self.assertEqual((first.turns, second.turns, second.slowness_sum), (1, 0, 0.0))
        fleet.balancer.record_end(choice.target, turn("p", 4_000))
        ended = state.entry_load(fleet.now)
        self.assertEqual((ended.in_flight, ended.tokens), (0, 0))


class Memory(unittest.TestCase):
    def test_no_engine_is_beyond_its_memory_while_others_have_room(self) -> None:
        fleet = Fleet(FAST, FAST, SLOW, SLOW, SLOW, SLOW)
        own_tokens, held = 17_000, Counter()
        shared = {f"e{n}": set() for n in range(6)}
        for number in range(32):
            part = f"shared-{number % 8}"
            placed = turn(f"p{number}", own_tokens, part)
            name = fleet.place(placed, holder=f"e{number % 2}").target.target
            held[name] += own_tokens + placed.max_output_tokens
            shared[name].add(part)
        for name, tokens in held.items():
            self.assertLessEqual(tokens + SHARED_TOKENS * len(shared[name]), CACHE_TOKENS, name)

    def test_memory_that_other_entries_use_counts(self) -> None:
        fleet = Fleet(FAST, FAST)
        fleet.share(e0=TargetLoad(tokens=CACHE_TOKENS - 20_000, slowness=FAST, turns=50.0))
        placed = {fleet.place(turn(f"p{n}", 9_000), holder="e0").target.target for n in range(4)}
        self.assertEqual(placed, {"e1"})

    def test_a_turn_is_placed_although_no_engine_has_room(self) -> None:
        fleet = Fleet(FAST, FAST)
        full = TargetLoad(tokens=CACHE_TOKENS, slowness=FAST, turns=50.0)
        fleet.share(e0=full, e1=full)
        self.assertEqual(fleet.place(turn("p"), holder="e0").target.target, "e0")


class PlainCalls(unittest.TestCase):
    def zones(self, fleet: Fleet) -> set[str]:
        """Return the zones of eight calls."""
        return {fleet.place(call(f"r{n}"), service=NOTES).target.zone for n in range(8)}

    def test_calls_leave_their_zone_only_for_slots(self) -> None:
        fleet = Fleet(*[1.0] * 4, service="notes", zones=2)
        for each in fleet.targets:
            fleet.balancer.record_success(each, 0.05)
        self.assertEqual(self.zones(fleet), {"zone-0"})
        fleet.now += 5.0
        fleet.share()
        self.assertEqual(self.zones(fleet), {"zone-0"})
        full = TargetLoad(in_flight=8, slowness=1.0, turns=50.0)
        fleet.share(e0=full, e2=full)
        self.assertEqual(self.zones(fleet), {"zone-1"})

    def test_a_stretched_target_is_avoided(self) -> None:
        fleet = Fleet(1.0, 1.0, 1.0, service="notes")
        fleet.report("e0", 2.5)
        placed = {fleet.place(call(f"r{n}"), service=NOTES).target.target for n in range(4)}
        self.assertEqual(placed, {"e1", "e2"})


class Switching(unittest.TestCase):
    def test_a_service_without_reports_of_a_stretch_is_served_as_before(self) -> None:
        fleet = Fleet(SLOW, FAST)
        fleet.balancer.uneven.clear()
        for each in fleet.targets:
            fleet.balancer.record_load(each, LoadStamp(1, 0, 8))
        before = fleet.balancer.choose(MODELS, turn("p"), ())
        self.assertEqual(fleet.balancer.uneven, {})
        for state in fleet.balancer.states.values():
            state.shared = None
        self.assertEqual(fleet.balancer.choose(MODELS, turn("p"), ()), before)


class Operators(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[tuple[str, str, dict]] = []
        sink = logger.add(self.record, level="INFO")
        self.addCleanup(logger.remove, sink)

    def record(self, message: object) -> None:
        """Record a log line about a target."""
        line = message.record
        if "target" in line["extra"]:
            self.lines.append((line["level"].name, line["message"], line["extra"]))

    def test_a_slow_target_is_logged_once_and_when_it_is_fast_again(self) -> None:
        fleet = Fleet(SLOW, FAST)
        for _ in range(3):
            fleet.balancer.check_slow()
        fleet.now += 7.0
        fleet.slowness = (FAST, FAST)
        fleet.share()
        fleet.balancer.check_slow()
        self.assertEqual(
            [(level, text, extra["target"]) for level, text, extra in self.lines],
            [("WARNING", "target is slow", "e0"), ("INFO", "target is no longer slow", "e0")],
        )
        self.assertEqual(self.lines[1][2]["seconds"], 7.0)

    def test_the_metrics_page_shows_present_targets(self) -> None:
        fleet = Fleet(SLOW, FAST)
        values = target_gauge(fleet.balancer).values
        self.assertAlmostEqual(values["slowness", "e0"], SLOW, delta=0.05)
        fleet.balancer.update(targets(fleet.target("e1"), revision=2))
        values = target_gauge(fleet.balancer).values
        self.assertNotIn(("slowness", "e0"), values)
        self.assertGreater(values["stretch", "e1"], 0.0)
        self.assertIn('target="e1"', render_page([target_gauge(fleet.balancer)]))
