"""When a turn is refused at once, and with what time to come back."""

import unittest

from waxwingglade.decisions.admission import (
    MAX_RETRY_S,
    MIN_RETRY_S,
    AdmissionRequest,
    retry_after_s,
)
from waxwingglade.decisions.engine_speed import EngineSpeed
from waxwingglade.decisions.placement import Engine

PATIENCE_S = 2.0
FIRST, LATER = AdmissionRequest(PATIENCE_S, is_first=True), AdmissionRequest(PATIENCE_S)
FULL, CROWDED, HOPELESS = Engine(17, 16), Engine(26, 16), Engine(200, 16)


class Admission(unittest.TestCase):
    def setUp(self) -> None:
        self.pace = EngineSpeed()

    def test_where_one_engine_has_room_nothing_is_refused(self) -> None:
        for waiting in (FIRST, LATER):
            engines = [HOPELESS, Engine(15, 16)]
            self.assertIsNone(retry_after_s(self.pace, engines, waiting))

    def test_a_first_turn_is_refused_where_all_are_crowded_and_a_later_one_goes_on(self) -> None:
        self.assertIsNotNone(retry_after_s(self.pace, [CROWDED, CROWDED], FIRST))
        self.assertIsNone(retry_after_s(self.pace, [CROWDED, CROWDED], LATER))

    def test_an_engine_that_is_just_full_is_no_reason(self) -> None:
        self.assertIsNone(retry_after_s(self.pace, [FULL], FIRST))

    def test_a_turn_that_would_begin_after_its_caller_has_left_is_refused(self) -> None:
        self.assertGreater(self.pace.generation_s(1.0) * 185 / 16, PATIENCE_S)
        self.assertIsNotNone(retry_after_s(self.pace, [HOPELESS], LATER))

    def test_a_caller_who_waits_longer_is_not_refused(self) -> None:
        wait_s = self.pace.generation_s(1.0) * 185 / 16
        self.assertIsNone(retry_after_s(self.pace, [HOPELESS], AdmissionRequest(wait_s + 0.1)))

    def test_a_turn_whose_time_is_over_before_it_could_begin_is_refused(self) -> None:
        self.assertIsNone(retry_after_s(self.pace, [CROWDED], LATER))
        self.assertIsNotNone(retry_after_s(self.pace, [CROWDED], AdmissionRequest(0.1)))

    def test_an_urgent_first_turn_is_sent_where_it_overtakes_what_waits(self) -> None:
        urgent = AdmissionRequest(PATIENCE_S, is_first=True, rank_share=0.5)
        self.assertIsNone(retry_after_s(self.pace, [CROWDED], urgent))
        self.assertIsNotNone(retry_after_s(self.pace, [HOPELESS], urgent))

    def test_the_time_to_come_back_is_the_wait_within_bounds(self) -> None:
        self.assertEqual(retry_after_s(self.pace, [HOPELESS], FIRST), MAX_RETRY_S)
        wait_s = retry_after_s(self.pace, [CROWDED], FIRST)
        self.assertAlmostEqual(wait_s, self.pace.generation_s(1.0) * 11 / 16)
        self.assertGreaterEqual(wait_s, MIN_RETRY_S)

    def test_without_an_engine_it_is_not_this_that_refuses(self) -> None:
        self.assertIsNone(retry_after_s(self.pace, [], FIRST))
