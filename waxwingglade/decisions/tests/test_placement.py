"""What a turn costs at an engine, and what of a prompt has to be read there."""

import unittest

from waxwingglade.base import TargetId, ZoneId
from waxwingglade.decisions.engine_speed import EngineSpeed
from waxwingglade.decisions.placement import Engine, home_targets, turn_cost_s, uncached_tokens

PARTS = [("shared", 2_000), ("own", 500), ("new", 100)]


class Costs(unittest.TestCase):
    def setUp(self) -> None:
        self.pace = EngineSpeed()

    def test_reading_costs_more_where_more_turns_wait_for_it(self) -> None:
        idle = turn_cost_s(self.pace, Engine(0, 16), 3_000) - turn_cost_s(
            self.pace, Engine(0, 16), 0
        )
        busy = turn_cost_s(self.pace, Engine(8, 16), 3_000) - turn_cost_s(
            self.pace, Engine(8, 16), 0
        )
        self.assertAlmostEqual(busy, 9 * idle)

    def test_a_turn_stays_with_its_history_until_the_difference_in_load_is_worth_the_reading(
        self,
    ) -> None:
        def stays(load: float) -> bool:
            held = turn_cost_s(self.pace, Engine(load, 16), 0)
            return held < turn_cost_s(self.pace, Engine(2, 16), 4_000)

        self.assertTrue(stays(4))
        self.assertFalse(stays(30))

    def test_a_slow_engine_costs_as_many_times_more(self) -> None:
        usual = turn_cost_s(self.pace, Engine(3, 16), 500)
        self.assertAlmostEqual(turn_cost_s(self.pace, Engine(3, 16, 2.5), 500), 2.5 * usual)


class Reading(unittest.TestCase):
    def test_what_is_held_is_not_read(self) -> None:
        held = {"shared": 2_000, "own": 500, "new": 100}
        self.assertEqual(uncached_tokens(PARTS, held), 0)
        self.assertEqual(uncached_tokens(PARTS, {**held, "new": 40}), 60)

    def test_what_follows_a_missing_part_is_read_too(self) -> None:
        self.assertEqual(uncached_tokens(PARTS, {"own": 500, "new": 100}), 2_600)
        self.assertEqual(uncached_tokens(PARTS, {"shared": 2_000, "own": 200}), 400)

    def test_a_part_may_be_assumed(self) -> None:
        self.assertEqual(uncached_tokens(PARTS, {"own": 500}, "shared"), 100)

    def test_a_shared_part_has_homes_in_half_of_each_zone(self) -> None:
        places = [(TargetId(f"e{n}"), ZoneId(f"z{n % 2}")) for n in range(10)]
        chosen = home_targets("part", places)
        self.assertEqual(len(chosen), 6)
        self.assertEqual(chosen, home_targets("part", reversed(places)))
