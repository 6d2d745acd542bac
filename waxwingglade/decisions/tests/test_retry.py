"""Retries by verdict, the retry budget, and timeouts."""

import unittest

from waxwingglade.base import ErrorCode, Failure, Verdict
from waxwingglade.decisions import DecisionSettings, RetryBudget, may_retry, timeout_s
from waxwingglade.decisions.tests.builders import NOTICE, tool_work, work


class RetryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = RetryBudget(DecisionSettings(retry_ratio=0.1, retry_burst=2.0))

    def test_only_calls_without_a_risk_of_repeated_side_effects_are_retried(self) -> None:
        allowed = {
            (verdict, idempotent): may_retry(
                tool_work(NOTICE, idempotent),
                Failure(verdict, ErrorCode.TIMEOUT, ""),
                RetryBudget(DecisionSettings()),
            )
            for verdict in Verdict
            for idempotent in (False, True)
        }
        self.assertEqual(
            [key for key, repeated in allowed.items() if not repeated],
            [(Verdict.MAY_HAVE_RUN, False), (Verdict.RAN, False)],
        )

    def test_permanent_failures_are_not_retried(self) -> None:
        failure = Failure(Verdict.NOT_RUN, ErrorCode.BUDGET_EXCEEDED, "")
        self.assertFalse(may_retry(work(), failure, self.budget))
        self.assertEqual(self.budget.tokens, 2.0)

    def test_retries_are_a_share_of_first_attempts(self) -> None:
        failure = Failure(Verdict.NOT_RUN, ErrorCode.UNAVAILABLE, "")
        retried = 0
        for _ in range(200):
            self.budget.record_first_attempt()
            retried += may_retry(work(), failure, self.budget)
        self.assertIn(retried, (20, 21, 22))

    def test_timeout_ends_at_the_programs_deadline(self) -> None:
        call = tool_work(NOTICE, deadline_at=130.0)
        self.assertEqual(timeout_s(call, 100.0), 20.0)
        self.assertEqual(timeout_s(call, 125.0), 5.0)
        self.assertEqual(timeout_s(call, 140.0), 0.0)
        self.assertEqual(timeout_s(work(deadline_at=900.0), 100.0), 60.0)


if __name__ == "__main__":
    unittest.main()
