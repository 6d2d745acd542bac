"""Parts of answers that a target never ends, and that no caller needs."""

import unittest

from waxwingglade.ingress.attempt import REFUSAL_TIMEOUT_S
from waxwingglade.ingress.tests.entry_builders import (
    ONCE,
    PLAIN,
    TURNS,
    Behaviour,
    EntryUnderTest,
    FakeTarget,
)


class Refusals(unittest.IsolatedAsyncioTestCase):
    async def test_a_refusal_that_does_not_end_delays_its_call_only_briefly(self) -> None:
        fakes = FakeTarget(Behaviour.REFUSE), FakeTarget(Behaviour.REFUSE)
        entry = EntryUnderTest(*fakes, max_attempts=2)
        self.addAsyncCleanup(entry.stop)
        await entry.start()
        for path in (PLAIN, ONCE, TURNS):
            with self.subTest(path):
                status, seconds = await entry.call(path, f"r{path}")
                self.assertEqual(503, status)
                self.assertLess(seconds, 4 * REFUSAL_TIMEOUT_S, "two targets refuse it")


if __name__ == "__main__":
    unittest.main()
