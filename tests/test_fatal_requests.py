"""Requests that end each server that runs them, through real entries and the real ledger."""

import unittest

from tests.fatal_requests import EAGER, MARK, MAX_ENDED, RESUMED, FatalRequests, program
from tests.platform_cluster import CALL, STREAM


class SentAfterThreeEnds(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = FatalRequests()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()

    async def test_no_server_gets_a_request_under_which_three_have_ended(self) -> None:
        cases = {
            "turn": (STREAM, 6, program("p1")),
            "resumed turn": (RESUMED, 6, program("p2")),
            "tool call": (CALL, 4, {"program_id": "p3", "session_id": "s3"}),
            "plain call": (EAGER, 4, {"affinity_key": "object"}),
        }
        for name, (path, times, headers) in cases.items():
            with self.subTest(name):
                await self.cluster.until(lambda: self.cluster.recovered)
                body = MARK + name.encode()
                answers = await self.cluster.repeat(path, body, times, **headers)
                sent = self.cluster.fatal_runs(body)
                self.assertLessEqual(len(sent), MAX_ENDED, [each.status for each in answers])


if __name__ == "__main__":
    unittest.main()
