"""Cost of a turn at an engine, uncached tokens of a prompt, and home targets."""

import unittest

from waxwingglade.base import TargetId, ZoneId
from waxwingglade.decisions.engine_speed import EngineSpeed
from waxwingglade.decisions.placement import Engine, home_targets, turn_cost_s, uncached_tokens

PARTS = [("shared", 2_000), ("own", 500), ("new", 100)]


class TurnCostTest(unittest.TestCase):
    def setUp(self) -> None:
        self.speed = EngineSpeed()

    def test_prefill_costs_more_if_it_delays_more_turns(self) -> None:
        idle = turn_cost_s(self.speed, Engine(0, 16), 3_000) - turn_cost_s(
            self.speed, Engine(0, 16), 0
        )
        busy = turn_cost_s(self.speed, Engine(8, 16), 3_000) - turn_cost_s(
            self.speed, Engine(8, 16), 0
        )
        self.assertAlmostEqual(busy, 9 * idle)

    def test_a_turn_stays_at_its_cache_until_the_difference_in_load_outweighs_the_prefill(
        self,
    ) -> None:
        def stays(load: float) -> bool:
            cached = turn_cost_s(self.speed, Engine(load, 16), 0)
            return cached < turn_cost_s(self.speed, Engine(2, 16), 4_000)

        self.assertTrue(stays(4))
        self.assertFalse(stays(30))

    def test_cost_is_proportional_to_slowness(self) -> None:
        usual = turn_cost_s(self.speed, Engine(3, 16), 500)
        self.assertAlmostEqual(turn_cost_s(self.speed, Engine(3, 16, 2.5), 500), 2.5 * usual)


class UncachedTokensTest(unittest.TestCase):
    def test_cached_tokens_are_not_counted(self) -> None:
        cached = {"shared": 2_000, "own": 500, "new": 100}
        self.assertEqual(uncached_tokens(PARTS, cached), 0)
        self.assertEqual(uncached_tokens(PARTS, {**cached, "new": 40}), 60)

    def test_tokens_after_an_uncached_part_are_counted(self) -> None:
        self.assertEqual(uncached_tokens(PARTS, {"own": 500, "new": 100}), 2_600)
        self.assertEqual(uncached_tokens(PARTS, {"shared": 2_000, "own": 200}), 400)

    def test_a_part_may_be_assumed_cached(self) -> None:
        self.assertEqual(uncached_tokens(PARTS, {"own": 500}, "shared"), 100)

    def test_a_shared_part_has_home_targets_in_half_of_each_zone(self) -> None:
        places = [(TargetId(f"e{n}"), ZoneId(f"z{n % 2}")) for n in range(10)]
        chosen = home_targets("part", places)
        self.assertEqual(len(chosen), 6)
        self.assertEqual(chosen, home_targets("part", reversed(places)))
