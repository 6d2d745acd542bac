"""Targets of different speed: slowness, stretch, memory, candidates and the cost of programs."""

import unittest
from collections import Counter

from waxwingglade.decisions.candidates import MAX_CANDIDATES, candidates
from waxwingglade.decisions.engine_memory import (
    SHARED_PROMPT_AGE_S,
    EngineMemory,
)
from waxwingglade.decisions.engine_speed import UNEVEN_EVENT_GAP_PRIOR, CompletedTurn, EngineSpeed
from waxwingglade.decisions.placement import Engine
from waxwingglade.decisions.program_cost import UnevenEngine, program_cost_s, remaining_turns
from waxwingglade.decisions.program_starts import ProgramLength
from waxwingglade.decisions.stretch import StretchReport, expected_stretch
from waxwingglade.decisions.target_speed import Slowness


class SlownessTest(unittest.TestCase):
    def test_a_few_turns_suffice(self) -> None:
        slow, fast = Slowness(), Slowness()
        for number in range(4):
            slow.observe(1.9, number * 1.0)
            fast.observe(0.87, number * 1.0)
        self.assertGreater(slow.estimate(4.0)[0], 1.6)
        self.assertLess(fast.estimate(4.0)[0], 0.93)

    def test_a_target_that_is_not_used_is_tried_again(self) -> None:
        slowness = Slowness()
        for _ in range(20):
            slowness.observe(3.0, 0.0)
        self.assertGreater(slowness.estimate(1.0)[0], 2.5)
        self.assertLess(slowness.estimate(120.0)[0], 1.2)

    def test_a_target_becomes_slow_once_and_is_slow_until_it_is_clearly_faster(self) -> None:
        slowness = Slowness()
        self.assertFalse(slowness.check_slow(1.9, 1.0, 5.0), "one turn is no proof")
        changes = [
            slowness.check_slow(value, 9.0, 5.0 + step)
            for step, value in enumerate((1.4, 1.6, 1.4, 1.6, 1.2, 1.4))
        ]
        self.assertEqual(changes, [False, True, False, False, True, False])
        slowness.check_slow(1.6, 9.0, 20.0)
        self.assertEqual(slowness.slow_s(23.0), 3.0)


class StretchTest(unittest.TestCase):
    def test_a_report_fades_to_the_usual_stretch(self) -> None:
        def stretch(age_s: float, duration_s: float) -> float:
            return expected_stretch(StretchReport(2.5, age_s), 1.2, duration_s)

        self.assertAlmostEqual(stretch(0.0, 0.0), 2.5, places=3)
        self.assertGreater(stretch(0.0, 0.3), 1.9)
        self.assertAlmostEqual(stretch(1.0, 0.3), 1.2, delta=0.1)
        self.assertEqual(expected_stretch(None, 1.2, 0.3), 1.2)


class EngineSpeedTest(unittest.TestCase):
    def test_a_full_engine_is_slower_even_if_slow_engines_are_idle(self) -> None:
        speed = EngineSpeed(UNEVEN_EVENT_GAP_PRIOR)
        for _ in range(100):
            speed.observe(CompletedTurn(0.9, 0, 0.05, 0.05 + 0.04 * 6, 7))
            speed.observe(CompletedTurn(0.1, 0, 0.05, 0.05 + 0.05 * 6, 7, slowness=1.9))
        self.assertGreater(speed.generation_s(1.0), 1.3 * speed.generation_s(0.0))


class EngineMemoryTest(unittest.TestCase):
    def test_shared_prompts_count_once_and_not_for_more_turns_than_there_are(self) -> None:
        memory = EngineMemory()
        for number in range(6):
            memory.record_sent([(f"shared-{number % 3}", 12_600), ("own", 4_000)], 4_210, 0.0)
        self.assertEqual(memory.shared_tokens(8, 1.0), 3 * 12_600)
        self.assertEqual(memory.shared_tokens(1, 1.0), 12_600)
        self.assertEqual(memory.shared_tokens(8, SHARED_PROMPT_AGE_S + 0.1), 0.0)


class CandidatesTest(unittest.TestCase):
    def test_requests_of_many_entries_do_not_meet_at_one_target(self) -> None:
        """Sixty entries know the same least loaded target."""
        names = [f"e{number}" for number in range(22)]
        chosen = Counter(
            min(candidates(f"request-{number}", names, str), key=names.index)
            for number in range(600)
        )
        self.assertLess(max(chosen.values()), 600 * 1.2 * MAX_CANDIDATES / len(names))
        self.assertEqual(candidates("r", names, str), candidates("r", names[::-1], str))


class ProgramCostTest(unittest.TestCase):
    def setUp(self) -> None:
        self.speed = EngineSpeed()

    def cost(self, slowness: float, prefill_tokens: int, turns: float) -> float:
        engine = Engine(2.0, 8, slowness)
        return program_cost_s(self.speed, UnevenEngine(engine, engine), prefill_tokens, turns)

    def test_the_prefill_is_paid_once_and_the_slowness_with_each_turn(self) -> None:
        self.assertLess(self.cost(1.9, 0, 1), self.cost(0.9, 20_000, 1))
        self.assertGreater(self.cost(1.9, 0, 6), self.cost(0.9, 20_000, 6))

    def test_the_turns_of_programs_are_learnt(self) -> None:
        length = ProgramLength(4.0)
        for number in range(500):
            length.record(number % 5 == 0)
        self.assertAlmostEqual(remaining_turns(length, 0), 5.0, delta=0.2)
        self.assertAlmostEqual(remaining_turns(length, 3), 2.0, delta=0.2)
        self.assertEqual(remaining_turns(length, 9), 1.0)
        self.assertAlmostEqual(remaining_turns(length, None), 3.0, delta=0.2)
