"""Programs of a client account that begins more of them than its limit carries to their ends."""

import heapq
import random
import unittest

from waxwingglade.decisions.program_starts import ProgramLength, ProgramStarts, may_begin
from waxwingglade.decisions.quota import Grants, QuotaRules, decide

RULES = QuotaRules(window_s=5.0, excess=0.1, slack=20.0)


class ProgramsTest(unittest.TestCase):
    """An account begins several times the programs that its limit carries.

    A program makes 18 requests, one each 0.15 s; it fails with one that is refused three times.
    """

    REQUESTS = 18
    PACE_S = 0.15
    TRIES = 3
    RETRY_S = 0.3

    def completed(self, gated: bool, most: int, programs_per_s: float, seed: int) -> int:
        """Return how many programs are whole at their ends: those of 40 s, after a calm time."""
        chance = random.Random(seed)
        grants, starts, size, whole = Grants(), ProgramStarts(), ProgramLength(), 0
        calm_per_s = 0.5 * most / RULES.window_s / self.REQUESTS
        begins, now = [], -20.0
        while (now := now + chance.expovariate(programs_per_s if now > 0 else calm_per_s)) < 40.0:
            begins.append((now, chance.random(), 0, 0))
        heapq.heapify(begins)
        while begins:
            now, name, done, failed = heapq.heappop(begins)
            may = (
                not gated or done or may_begin(starts, most, RULES, now, size.mean_requests).granted
            )
            if may and decide(grants, most, RULES, now).granted:
                grants.record(now)
                if not grants.recently_refused(now):
                    size.record(done == 0)
                done, failed = done + 1, 0
                if done == self.REQUESTS:
                    whole += now > 0
                    continue
                heapq.heappush(begins, (now + self.PACE_S, name, done, failed))
                continue
            starts.record_refused(done > 0, now)
            if failed + 1 < self.TRIES:
                heapq.heappush(begins, (now + self.RETRY_S, name, done, failed + 1))
        return whole

    def test_more_programs_end_whole_than_in_order_of_arrival(self) -> None:
        most = 400
        carried = most / RULES.window_s / self.REQUESTS
        for times in (2.0, 4.0, 7.5):
            kept = [self.completed(True, most, times * carried, seed) for seed in range(4)]
            in_order = [self.completed(False, most, times * carried, seed) for seed in range(4)]
            with self.subTest(times=times, kept=kept, in_order=in_order):
                self.assertGreater(min(kept), max(in_order))
                self.assertGreater(min(kept), 0.7 * 40.0 * carried)

    def test_an_account_within_its_limit_loses_nothing(self) -> None:
        most = 400
        carried = most / RULES.window_s / self.REQUESTS
        for seed in range(4):
            kept = self.completed(True, most, 0.5 * carried, seed)
            in_order = self.completed(False, most, 0.5 * carried, seed)
            self.assertGreaterEqual(kept, in_order)


if __name__ == "__main__":
    unittest.main()
