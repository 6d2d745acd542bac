"""Parts of answers that a target never ends, and that no caller needs."""

import time
import unittest

from waxwingglade.ingress.events import (
    MAX_COMMENT_BYTES,
    MAX_EVENT_BYTES,
    EventSplitter,
    StreamError,
)
from waxwingglade.ingress.tests.entry_builders import (
    ONCE,
    PLAIN,
    TURNS,
    Behaviour,
    EntryUnderTest,
    FakeTarget,
)

MAX_REFUSED_S = 0.4
PIECES = 20_000
MAX_STALL_S = 0.5
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
                self.assertLess(seconds, MAX_REFUSED_S, "two targets refuse it")


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


class SmallPieces(unittest.TestCase):
    """Guards against an entry that serves nobody else while it searches the same bytes again."""

    def test_a_long_event_in_small_pieces_takes_little_time(self) -> None:
        splitter = EventSplitter()
        splitter.feed(b"data: " + b"x" * (MAX_EVENT_BYTES // 2))
        began_at = time.process_time()
        for _ in range(PIECES):
            splitter.feed(b"x")
        self.assertLess(time.process_time() - began_at, MAX_STALL_S)
        (event,) = [*splitter.feed(b"\r\n\r"), *splitter.feed(b"\n")]
        self.assertTrue(event.raw.endswith(b"x\r\n\r\n"))

    def test_many_events_in_one_piece_take_little_time(self) -> None:
        for end in (b"\n\n", b"\r\n\r\n"):
            with self.subTest(end):
                began_at = time.process_time()
                events = EventSplitter().feed((b"data: x" + end) * PIECES)
                self.assertLess(time.process_time() - began_at, MAX_STALL_S)
                self.assertEqual(PIECES, len(events))


if __name__ == "__main__":
    unittest.main()
