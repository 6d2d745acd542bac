"""When refused callers return."""

import unittest

from waxwingglade.decisions.returns import MIN_RETURN_S, return_after_s

DEADLINE_S = 3.3
TRIES_OF_TURN = 3
SENDS_OF_TRY = 2


BORNE_S = 5.0
"""Seconds of an outage that callers do not notice."""


def waited_s(outage_s: float, return_s: float | None = None) -> float | None:
    """Return how long a turn waits that starts when callers notice an outage.

    None if its tries are used up: its caller sends each of them once more after a refusal.

    Parameters
    ----------
    outage_s : float
        Seconds from the start of the turn to the end of the outage.
    """
    now = 0.0
    for _ in range(TRIES_OF_TURN):
        end_at = now + DEADLINE_S
        for _ in range(SENDS_OF_TRY):
            if now >= outage_s:
                return now
            now += return_s or return_after_s(end_at - now, BORNE_S + now)
    return None


class ReturnTest(unittest.TestCase):
    def test_programs_outlast_an_outage_of_seconds(self) -> None:
        for outage_s in (0.1, 0.5, 1.0, 2.0):
            # At its end no caller has waited more than another third of its time.
            self.assertLess(waited_s(outage_s), outage_s + DEADLINE_S / 3)
        self.assertIsNone(waited_s(1.0, return_s=0.1))

    def test_a_caller_keeps_time_for_its_answer(self) -> None:
        self.assertAlmostEqual(1.0, return_after_s(3.0, 60.0))
        self.assertEqual(MIN_RETURN_S, return_after_s(-1.0, 60.0))

    def test_a_caller_returns_soon_at_the_start_of_an_outage(self) -> None:
        self.assertEqual(0.2, return_after_s(3.0, 0.2))


if __name__ == "__main__":
    unittest.main()
