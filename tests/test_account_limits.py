"""The limit of a client account holds for all runs of its requests, over entries and members."""

import asyncio
import unittest

from tests.limited_accounts import (
    BURST,
    CALL,
    MOST,
    RATE_PER_S,
    RESUMED,
    RULES,
    LimitedAccounts,
)
from waxwingglade.decisions.quota import QuotaRules

OVER_LIMIT = 429
PRESS_S = 3 * RULES.window_s
LONG_WINDOW = QuotaRules(window_s=6.0, excess=0.1, slack=6.0)
AMPLE = (200.0, 200.0)
LOWER = (2.0, 0.0)
"""Requests per second, and burst, of limits."""

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

    async def test_within_the_limit_no_request_is_refused_though_answers_are_lost(self) -> None:
        cluster = LimitedAccounts()
        self.addAsyncCleanup(cluster.stop)
        cluster.configure(*AMPLE)
        await cluster.start()
        cluster.lose_answers(0.3)
        await cluster.press(CALL, PRESS_S, callers=6)
        self.assertNotIn(OVER_LIMIT, cluster.statuses)
        lines = [line for entry in cluster.entries for line in entry.logs()]
        self.assertEqual([], [line for line in lines if "not sent again" in line.get("reason", "")])
        runs = cluster.runs(CALL)
        self.assertGreater(len(runs), len({run.request for run in runs}), "none was sent again")


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


class RestartedMachines(unittest.IsolatedAsyncioTestCase):
    async def test_grants_are_not_forgotten_when_the_clocks_of_all_members_start_anew(self) -> None:
        cluster = LimitedAccounts(rules=LONG_WINDOW)
        self.addAsyncCleanup(cluster.stop)
        await cluster.start()
        for shift_s in (50_000.0, -50_000.0):
            with self.subTest(shift_s=shift_s):
                await cluster.press(CALL, 1.0)
                cluster.restart_ledgers(shift_s)
                await cluster.press(CALL, LONG_WINDOW.window_s)
                self.assertIn(OVER_LIMIT, cluster.statuses, "the account is not at its limit")
                self.assertLessEqual(cluster.highest(CALL), LONG_WINDOW.most(RATE_PER_S, BURST))


if __name__ == "__main__":
    unittest.main()
