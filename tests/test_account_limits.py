"""The limit of a client account holds for all runs of its requests, over entries and members."""

import unittest

from tests.limited_accounts import CALL, MOST, RESUMED, RULES, LimitedAccounts

OVER_LIMIT = 429
PRESS_S = 3 * RULES.window_s


class RunsOverTheLimit(unittest.IsolatedAsyncioTestCase):
    async def test_requests_that_are_sent_again_count_against_the_limit(self) -> None:
        cluster = LimitedAccounts()
        self.addAsyncCleanup(cluster.stop)
        await cluster.start()
        cluster.lose_answers(0.5)
        for path in (CALL, RESUMED):
            with self.subTest(path):
                lost_before = cluster.lost
                await cluster.press(path, PRESS_S)
                self.assertIn(OVER_LIMIT, cluster.statuses, "the account is not at its limit")
                self.assertGreater(cluster.lost - lost_before, MOST, "few answers were lost")
                self.assertLessEqual(cluster.highest(path), MOST)


if __name__ == "__main__":
    unittest.main()
