"""The limit of a client account holds for all runs of its requests, over entries and members."""

import asyncio
import unittest

from tests.limited_accounts import CALL, MOST, RESUMED, RULES, LimitedAccounts

OVER_LIMIT = 429
PRESS_S = 3 * RULES.window_s
LOWER = (2.0, 0.0)
"""Requests per second, and burst."""

APPLY_S = 2.0
"""Seconds within which an accepted configuration is in force at all entries that receive it."""


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


class LimitsThatChange(unittest.IsolatedAsyncioTestCase):
    async def test_a_lower_limit_holds_though_no_member_has_heard_of_it(self) -> None:
        for name, first in (("higher", (12.0, 6.0)), ("none", (0.0, 0.0))):
            with self.subTest(first=name):
                cluster = LimitedAccounts()
                self.addAsyncCleanup(cluster.stop)
                cluster.configure(*first)
                await cluster.start()
                cluster.refuse_ledgers()
                cluster.configure(*LOWER)
                await asyncio.sleep(APPLY_S)
                await cluster.press(CALL, RULES.window_s)
                highest = cluster.highest(CALL)
                self.assertGreater(highest, 0, "no request was served")
                self.assertLessEqual(highest, RULES.most(*LOWER))


if __name__ == "__main__":
    unittest.main()
