"""Answers of targets that end early never reach callers, or the ledger, as whole."""

import asyncio
import itertools
import unittest
from collections.abc import Iterator

import msgspec

from waxwingglade.ingress.tests.entry_builders import (
    HOST,
    ONCE,
    PLAIN,
    SEALED,
    TURNS,
    EntryUnderTest,
    FakeTarget,
)
from waxwingglade.transport import ConnectionBroken, HttpRequest
from waxwingglade.transport.http1 import open_connection
from waxwingglade.transport.tests.cut_builders import Answer, Cut, Ending, answers, send_cut

BODY = b"hello"
EVENTS = [b"id: %d\ndata: event %d\n\n" % (number, number) for number in range(1, 3)]
STREAM = b"".join(EVENTS)
DATA = [b"", b"event 1\n", b"event 1\nevent 2\n"]
"""What is stored of a turn after each number of events."""

SEAL = SEALED.encode() + b"Connection: close\r\n"
NOT_RUN = b"X-Waxwingglade-Not-Run: 1\r\nConnection: close\r\n"
REJECTED = ("bare line ends", "no headers")
"""Framings of answers that are not passed on even if they are whole, as no valid HTTP or without
the seal."""


class Received(msgspec.Struct, frozen=True):
    """What a caller received.

    Parameters
    ----------
    status : int
        Status of the answer; 0 without a head.
    complete : bool
        Whether the answer ended by its framing.
    """

    status: int = 0
    body: bytes = b""
    complete: bool = False


class CutTarget(FakeTarget):
    """Answers requests with the cuts of a script, and then with its last one.

    Targets may share a script.
    """

    def __init__(self, script: list[Cut]) -> None:
        super().__init__()
        self.script = script

    async def _answer(self, writer: asyncio.StreamWriter) -> None:
        await send_cut(writer, self.script.pop(0) if len(self.script) > 1 else self.script[0])
        raise ConnectionAbortedError("closed after its answer")


def all_cuts(answer: Answer, others: int) -> Iterator[Cut]:
    """Yield cuts of an answer, sent whole or byte by byte, and closed in order or by a reset."""
    ways = itertools.cycle(itertools.product(Ending, (False, True)))
    for size, (ending, bytewise) in zip(answer.cuts(others), ways, strict=False):
        yield Cut(answer.data[:size], ending, bytewise)


class CutAnswers(unittest.IsolatedAsyncioTestCase):
    resumable = False

    async def asyncSetUp(self) -> None:
        # The debug mode of the loop records a stack for each callback, most of the time taken here.
        asyncio.get_running_loop().set_debug(False)
        self.script: list[Cut] = []
        self.targets = [CutTarget(self.script), CutTarget(self.script)]
        self.entry = EntryUnderTest(*self.targets, resumable=self.resumable)
        await self.entry.start()
        self.addAsyncCleanup(self.entry.stop)
        self.calls = 0

    @property
    def sent(self) -> int:
        """Number of requests that arrived at targets."""
        return sum(len(target.arrived) for target in self.targets)

    async def ask(self, path: str, *script: Cut) -> Received:
        """Send a request that differs from all earlier ones; return what its caller receives."""
        self.calls += 1
        self.script[:] = script
        for target in self.targets:
            target.arrived.clear()
        self.entry.ledger.ended.clear()
        headers = [
            ("Host", HOST),
            ("X-Waxwingglade-Request-Id", f"r{self.calls}"),
            ("X-Waxwingglade-Program-Id", f"p{self.calls}"),
            ("X-Waxwingglade-Token-Budget", "100"),
            ("X-Waxwingglade-Token-Count", "10,10"),
        ]
        connection = await open_connection(self.entry.address, 5.0)
        connection.send(HttpRequest("POST", path, headers, b"body %d" % self.calls))
        status, body = 0, b""
        try:
            async with asyncio.timeout(5.0):
                status = (await connection.read_head(lambda _: True)).status
                while (piece := await connection.read_piece()) is not None:
                    body += piece
        except ConnectionBroken:
            return Received(status, body)
        finally:
            connection.close()
        return Received(status, body, not connection.unframed)

    def stored(self) -> list[bytes]:
        """Return what the ledger stored as the answers of turns."""
        return [message.kept.answered for message in self.entry.ledger.ended if message.kept]


class PlainCalls(CutAnswers):
    async def check(self, path: str, answer: Answer, cut: Cut, sendings: int) -> None:
        received = await self.ask(path, cut)
        self.assertTrue(received.complete)
        if received.status != 200:
            is_whole = cut.ending is Ending.FIN and answer.is_whole(len(cut.data), cut.ending)
            unsealed = answer.name == "no headers" and len(cut.data) >= answer.body_at
            expected = (sendings,) if not unsealed else (1, sendings)
            self.assertEqual(received.status, 502)
            self.assertIn(self.sent, expected)
            self.assertFalse(is_whole and answer.name not in REJECTED, "whole, but not passed on")
            return
        self.assertNotIn(answer.name, REJECTED)
        self.assertTrue(answer.is_whole(len(cut.data), cut.ending), "incomplete, but a success")
        self.assertIn(received.body, (BODY, cut.data[answer.body_at :]))
        self.assertEqual(self.sent, 1)

    async def test_an_idempotent_call_gets_no_cut_answer(self) -> None:
        for answer in answers(BODY, SEAL):
            for cut in all_cuts(answer, others=2):
                with self.subTest(framing=answer.name, cut=cut):
                    await self.check(PLAIN, answer, cut, sendings=2)

    async def test_a_call_that_may_not_run_twice_is_sent_once_if_its_answer_is_cut(self) -> None:
        for answer in answers(BODY, SEAL):
            for cut in all_cuts(answer, others=2):
                with self.subTest(framing=answer.name, cut=cut):
                    await self.check(ONCE, answer, cut, sendings=1)

    async def test_a_promise_not_to_run_counts_once_its_head_is_whole(self) -> None:
        """Guards against a second sending after a head that ends before it is complete."""
        whole = next(each for each in answers(BODY, SEAL) if each.name == "length")
        for answer in answers(b"no", NOT_RUN, b"503 Full"):
            if answer.name in REJECTED:
                continue
            for cut in all_cuts(answer, others=0):
                with self.subTest(framing=answer.name, cut=cut):
                    received = await self.ask(ONCE, cut, Cut(whole.data))
                    if len(cut.data) < answer.body_at:
                        self.assertEqual((received.status, self.sent), (502, 1))
                    elif cut.ending is Ending.FIN:
                        self.assertEqual((received.status, self.sent), (200, 2))


class Streams(CutAnswers):
    async def check(self, answer: Answer, cut: Cut) -> None:
        received = await self.ask(TURNS, cut)
        count = received.body.count(b"\n\n")
        self.assertEqual(received.body if received.status == 200 else b"", b"".join(EVENTS[:count]))
        is_whole = answer.is_whole(len(cut.data), cut.ending)
        if received.complete and received.status == 200:
            self.assertTrue(is_whole, "incomplete, but ended as complete")
            self.assertNotIn(answer.name, REJECTED)
            self.assertEqual(self.stored(), [DATA[count]])
            return
        self.assertEqual(self.stored(), [])
        if received.complete:
            self.assertEqual(received.status, 502)
        if cut.data == answer.data and cut.ending is Ending.FIN:
            self.assertIn(answer.name, REJECTED)

    async def test_a_cut_turn_is_neither_ended_as_complete_nor_stored(self) -> None:
        for answer in answers(STREAM, SEAL):
            for cut in all_cuts(answer, others=2):
                with self.subTest(framing=answer.name, cut=cut):
                    await self.check(answer, cut)


class ResumableStreams(CutAnswers):
    resumable = True

    async def test_a_cut_stream_goes_on_without_a_gap_at_another_target(self) -> None:
        whole = next(each for each in answers(STREAM, SEAL) if each.name == "length")
        for answer in answers(STREAM, SEAL):
            for cut in all_cuts(answer, others=2):
                # Only the end of its connection ends it, and a whole event precedes that.
                if answer.is_whole(len(cut.data), cut.ending) and not answer.framed:
                    continue
                # A head without the seal is a whole answer, and not a broken one.
                if answer.name == "no headers" and len(cut.data) >= answer.body_at:
                    continue
                with self.subTest(framing=answer.name, cut=cut):
                    received = await self.ask(TURNS, cut, Cut(whole.data))
                    self.assertEqual(received, Received(200, STREAM, complete=True))
                    self.assertEqual(self.stored(), [DATA[-1]])


if __name__ == "__main__":
    unittest.main()
