"""Completed programs of an account that begins more programs than its limit allows."""

import heapq
import random
import unittest

from waxwingglade.decisions.program_starts import ProgramLength, ProgramStarts, may_begin
from waxwingglade.decisions.quota import Grants, QuotaRules, decide

RULES = QuotaRules(window_s=5.0, excess=0.1, slack=20.0)


class ProgramsTest(unittest.TestCase):
    """An account begins several times as many programs as its limit allows to complete.

    A program sends 18 requests at intervals of 0.15 s.  It fails if a request is refused three
    times.
    """

    REQUESTS = 18
    INTERVAL_S = 0.15
    TRIES = 3
    RETRY_S = 0.3

    def completed(self, limited: bool, most: int, programs_per_s: float, seed: int) -> int:
        """Return the number of programs completed in 40 s, after a period of low load."""
        rng = random.Random(seed)
        grants, starts, size, completed_count = Grants(), ProgramStarts(), ProgramLength(), 0
        low_rate_per_s = 0.5 * most / RULES.window_s / self.REQUESTS
        begins, now = [], -20.0
        while (now := now + rng.expovariate(programs_per_s if now > 0 else low_rate_per_s)) < 40.0:
            begins.append((now, rng.random(), 0, 0))
        heapq.heapify(begins)
        while begins:
            now, name, done, failed = heapq.heappop(begins)
            may = (
                not limited
                or done
                or may_begin(starts, most, RULES, now, size.mean_requests).granted
            )
            if may and decide(grants, most, RULES, now).granted:
                grants.record(now)
                if not grants.recently_refused(now):
                    size.record(done == 0)
                done, failed = done + 1, 0
                if done == self.REQUESTS:
                    completed_count += now > 0
                    continue
                heapq.heappush(begins, (now + self.INTERVAL_S, name, done, failed))
                continue
            starts.record_refused(done > 0, now)
            if failed + 1 < self.TRIES:
                heapq.heappush(begins, (now + self.RETRY_S, name, done, failed + 1))
        return completed_count

    def test_more_programs_complete_than_in_order_of_arrival(self) -> None:
        most = 400
        capacity_per_s = most / RULES.window_s / self.REQUESTS
        for times in (2.0, 4.0, 7.5):
            with_limit = [
                self.completed(True, most, times * capacity_per_s, seed) for seed in range(4)
            ]
            in_order = [
                self.completed(False, most, times * capacity_per_s, seed) for seed in range(4)
            ]
            with self.subTest(times=times, with_limit=with_limit, in_order=in_order):
                self.assertGreater(min(with_limit), max(in_order))
                self.assertGreater(min(with_limit), 0.7 * 40.0 * capacity_per_s)

    def test_an_account_within_its_limit_completes_as_many_programs(self) -> None:
        most = 400
        capacity_per_s = most / RULES.window_s / self.REQUESTS
        for seed in range(4):
            with_limit = self.completed(True, most, 0.5 * capacity_per_s, seed)
            in_order = self.completed(False, most, 0.5 * capacity_per_s, seed)
            self.assertGreaterEqual(with_limit, in_order)


if __name__ == "__main__":
    unittest.main()
