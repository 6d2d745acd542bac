"""Share of the turns at an engine that a turn can't overtake, by rank."""

import unittest

from waxwingglade.decisions.ranks import DECAY, RankShares

URGENT, USUAL, IDLE = 0, 1, 2


class RankSharesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rank_shares = RankShares()

    def send(self, *ranks: int) -> None:
        """Record sent turns with the given ranks."""
        for rank in ranks:
            self.rank_shares.record(rank)

    def test_before_the_first_turn_the_share_is_one(self) -> None:
        self.assertEqual(1.0, self.rank_shares.share_up_to(URGENT))

    def test_the_least_urgent_turn_overtakes_nothing(self) -> None:
        self.send(URGENT, USUAL, IDLE)
        self.assertAlmostEqual(1.0, self.rank_shares.share_up_to(IDLE))

    def test_a_more_urgent_turn_overtakes_the_others(self) -> None:
        self.send(*[URGENT, USUAL, USUAL, IDLE] * 100)
        self.assertAlmostEqual(0.25, self.rank_shares.share_up_to(URGENT), delta=0.02)
        self.assertAlmostEqual(0.75, self.rank_shares.share_up_to(USUAL), delta=0.02)

    def test_the_share_of_a_rank_decays_after_its_last_turn(self) -> None:
        self.send(*[USUAL] * 100, *[URGENT] * 50)
        self.assertAlmostEqual(1 - DECAY**50, self.rank_shares.share_up_to(URGENT), delta=0.06)


if __name__ == "__main__":
    unittest.main()
