"""Linear fits of recent observations, and speed estimates of different engines."""

import random
import unittest

from waxwingglade.decisions.engine_speed import CompletedTurn, EngineSpeed
from waxwingglade.decisions.linear_fit import MAX_DEVIATION_FACTOR, FadingLinearFit, Prior

PRIOR = Prior(1.0, 2.0, 0.0, 10.0)


class LinearFitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.line = FadingLinearFit(PRIOR)

    def test_fit_begins_with_its_prior(self) -> None:
        self.assertEqual((self.line.predict(0), self.line.predict(1)), (1.0, 2.0))

    def test_fit_approaches_the_true_line_within_fifty_observations(self) -> None:
        draw = random.Random(1)
        for _ in range(50):
            x = draw.random()
            self.line.observe(x, 0.5 + 4 * x)
        self.assertAlmostEqual(self.line.predict(0.0), 0.5, delta=0.2)
        self.assertAlmostEqual(self.line.predict(1.0), 4.5, delta=0.5)

    def test_fit_follows_a_change_after_a_hundred_observations(self) -> None:
        draw = random.Random(2)
        for value in (1.0, 3.0):
            for _ in range(100):
                self.line.observe(draw.random(), value)
        self.assertAlmostEqual(self.line.predict(0.5), 3.0, delta=0.4)

    def test_a_single_outlier_has_little_influence(self) -> None:
        for _ in range(50):
            self.line.observe(0.5, 1.0)
        before = self.line.predict(0.5)
        self.line.observe(0.5, 1_000.0)
        self.assertLess(self.line.predict(0.5), before * (1 + MAX_DEVIATION_FACTOR / 40))

    def test_slope_stays_within_bounds(self) -> None:
        for x in (0.0, 1.0) * 50:
            self.line.observe(x, 1.0 - x)
        self.assertEqual(self.line.slope, PRIOR.min_slope)


def completed_turns(
    prefill_per_s: float, event_s: float, crowding: float, number: int
) -> list[CompletedTurn]:
    """Return turns of engines with given speeds, measured with an error of up to 10 %."""
    draw = random.Random(number)
    made = []
    for _ in range(number):
        load, tokens = draw.random(), draw.choice([200, 600, 1_200, 4_000])
        gap_s = event_s * (1 + crowding * load)
        error_factor = draw.uniform(0.9, 1.1)
        first_s = (0.01 + tokens / prefill_per_s + gap_s) * error_factor
        made.append(CompletedTurn(load, tokens, first_s, first_s + 10 * gap_s * error_factor, 11))
    return made


class EngineSpeedTest(unittest.TestCase):
    def test_speeds_that_differ_sixfold_are_estimated(self) -> None:
        for prefill_per_s, event_s in ((38_700, 0.0164), (247_000, 0.0232), (100_000, 0.03)):
            with self.subTest(prefill_per_s=prefill_per_s, event_s=event_s):
                speed = EngineSpeed()
                for turn in completed_turns(prefill_per_s, event_s, 0.6, 120):
                    speed.observe(turn)
                self.assertAlmostEqual(
                    speed.prefill_s(1_000) * prefill_per_s / 1_000, 1.0, delta=0.35
                )
                self.assertAlmostEqual(speed.generation_s(0.0) / (11 * event_s), 1.0, delta=0.2)
                self.assertAlmostEqual(speed.generation_s(1.0) / (17.6 * event_s), 1.0, delta=0.2)

    def test_a_slow_engine_is_detected_by_its_turns(self) -> None:
        speed = EngineSpeed()
        for turn in completed_turns(100_000, 0.02, 0.6, 120):
            speed.observe(turn)
        self.assertAlmostEqual(
            speed.observe(CompletedTurn(0.5, 0, 0.03, 0.03 + 10 * 0.078, 11)), 3.0, delta=0.4
        )

    def test_the_first_event_at_a_full_engine_does_not_change_the_prefill_speed(self) -> None:
        speed = EngineSpeed()
        before = speed.prefill_s(1_000)
        speed.observe(CompletedTurn(1.2, 4_000, 2.5, 3.0, 11))
        self.assertEqual(speed.prefill_s(1_000), before)

    def test_a_turn_of_one_event_has_no_event_gap(self) -> None:
        speed = EngineSpeed()
        self.assertEqual(speed.observe(CompletedTurn(0.1, 100, 0.2, 0.2, 1)), 1.0)
