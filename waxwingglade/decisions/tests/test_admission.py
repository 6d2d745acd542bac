"""AdmissionTest of turns, and the retry delay of refused turns."""

import unittest

from waxwingglade.decisions.admission import (
    MAX_RETRY_S,
    MIN_RETRY_S,
    AdmissionRequest,
    retry_after_s,
)
from waxwingglade.decisions.engine_speed import EngineSpeed
from waxwingglade.decisions.placement import Engine

WAIT_LIMIT_S = 2.0
FIRST, LATER = AdmissionRequest(WAIT_LIMIT_S, is_first=True), AdmissionRequest(WAIT_LIMIT_S)
FULL, CROWDED, OVERLOADED = Engine(17, 16), Engine(26, 16), Engine(200, 16)


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.speed = EngineSpeed()

    def test_nothing_is_refused_if_one_engine_has_a_free_slot(self) -> None:
        for request in (FIRST, LATER):
            engines = [OVERLOADED, Engine(15, 16)]
            self.assertIsNone(retry_after_s(self.speed, engines, request))

    def test_if_all_engines_are_crowded_first_turns_are_refused_and_later_ones_admitted(
        self,
    ) -> None:
        self.assertIsNotNone(retry_after_s(self.speed, [CROWDED, CROWDED], FIRST))
        self.assertIsNone(retry_after_s(self.speed, [CROWDED, CROWDED], LATER))

    def test_a_first_turn_is_admitted_at_an_engine_that_is_just_full(self) -> None:
        self.assertIsNone(retry_after_s(self.speed, [FULL], FIRST))

    def test_a_turn_that_would_begin_after_its_callers_timeout_is_refused(self) -> None:
        self.assertGreater(self.speed.generation_s(1.0) * 185 / 16, WAIT_LIMIT_S)
        self.assertIsNotNone(retry_after_s(self.speed, [OVERLOADED], LATER))

    def test_a_turn_with_a_longer_wait_limit_is_admitted(self) -> None:
        wait_s = self.speed.generation_s(1.0) * 185 / 16
        self.assertIsNone(retry_after_s(self.speed, [OVERLOADED], AdmissionRequest(wait_s + 0.1)))

    def test_a_turn_that_would_begin_after_its_deadline_is_refused(self) -> None:
        self.assertIsNone(retry_after_s(self.speed, [CROWDED], LATER))
        self.assertIsNotNone(retry_after_s(self.speed, [CROWDED], AdmissionRequest(0.1)))

    def test_an_urgent_first_turn_is_admitted_if_it_overtakes_waiting_turns(self) -> None:
        urgent = AdmissionRequest(WAIT_LIMIT_S, is_first=True, rank_share=0.5)
        self.assertIsNone(retry_after_s(self.speed, [CROWDED], urgent))
        self.assertIsNotNone(retry_after_s(self.speed, [OVERLOADED], urgent))

    def test_the_retry_delay_is_the_expected_wait_within_bounds(self) -> None:
        self.assertEqual(retry_after_s(self.speed, [OVERLOADED], FIRST), MAX_RETRY_S)
        wait_s = retry_after_s(self.speed, [CROWDED], FIRST)
        self.assertAlmostEqual(wait_s, self.speed.generation_s(1.0) * 11 / 16)
        self.assertGreaterEqual(wait_s, MIN_RETRY_S)

    def test_without_an_engine_admission_does_not_refuse(self) -> None:
        self.assertIsNone(retry_after_s(self.speed, [], FIRST))
