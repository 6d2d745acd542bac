"""What stands before a turn at an engine, by the ranks of what its entry sends."""

import unittest

from waxwingglade.decisions.ranks import DECAY, RankShares

URGENT, USUAL, IDLE = 0, 1, 2


class Shares(unittest.TestCase):
    def setUp(self) -> None:
        self.ranks = RankShares()

    def send(self, *ranks: int) -> None:
        """Note turns of some ranks."""
        for rank in ranks:
            self.ranks.record(rank)

    def test_before_any_was_sent_all_stand_before_a_turn(self) -> None:
        self.assertEqual(1.0, self.ranks.share_up_to(URGENT))

    def test_the_least_urgent_overtakes_nothing(self) -> None:
        self.send(URGENT, USUAL, IDLE)
        self.assertAlmostEqual(1.0, self.ranks.share_up_to(IDLE))

    def test_a_more_urgent_one_overtakes_the_others(self) -> None:
        self.send(*[URGENT, USUAL, USUAL, IDLE] * 100)
        self.assertAlmostEqual(0.25, self.ranks.share_up_to(URGENT), delta=0.02)
        self.assertAlmostEqual(0.75, self.ranks.share_up_to(USUAL), delta=0.02)

    def test_a_rank_that_is_not_sent_any_more_fades(self) -> None:
        self.send(*[USUAL] * 100, *[URGENT] * 50)
        self.assertAlmostEqual(1 - DECAY**50, self.ranks.share_up_to(URGENT), delta=0.06)


if __name__ == "__main__":
    unittest.main()
