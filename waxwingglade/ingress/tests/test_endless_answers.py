"""Parts of answers that a target never ends, and that no caller needs."""

import unittest

from waxwingglade.ingress.attempt import REFUSAL_TIMEOUT_S
from waxwingglade.ingress.events import MAX_COMMENT_BYTES, EventSplitter, StreamError
from waxwingglade.ingress.tests.entry_builders import (
    ONCE,
    PLAIN,
    TURNS,
    Behaviour,
    EntryUnderTest,
    FakeTarget,
)

COMMENT = b":" + b"c" * 1000 + b"\n\n"


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


class Comments(unittest.TestCase):
    def test_comments_without_end_are_no_stream(self) -> None:
        splitter = EventSplitter()
        with self.assertRaises(StreamError):
            for _ in range(2 * MAX_COMMENT_BYTES // len(COMMENT)):
                splitter.feed(COMMENT)

    def test_comments_between_events_are_passed_on(self) -> None:
        splitter = EventSplitter()
        for number in range(2 * MAX_COMMENT_BYTES // len(COMMENT)):
            self.assertEqual(2, len(splitter.feed(COMMENT + b"id: %d\ndata: x\n\n" % number)))


if __name__ == "__main__":
    unittest.main()
