"""Cancellations that coincide with an answer.

Guards against a lost cancellation, which happens if the answer arrives in almost the same iteration
of the event loop.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from waxwingglade.connection.engine import _AnswerStream
from waxwingglade.connection.engine_events import StreamTimeouts
from waxwingglade.connection.http import Exchange, HttpRequest
from waxwingglade.connection.peer import _next_answer
from waxwingglade.connection.peer_messages import PROTOCOL_VERSION, Envelope, Noted

TEST_TIMEOUT_S = 60.0
MAX_STEPS = 6
"""Iterations of the event loop within which a waiting task has certainly processed an answer."""


class FakeExchange:
    """The part of an exchange from which a stream reads."""

    next_piece = Exchange.next_piece
    piece_or_end = Exchange.piece_or_end

    def __init__(self) -> None:
        self.request = HttpRequest("POST", "http://127.0.0.1:1", timeout_s=TEST_TIMEOUT_S)
        self.status = 200
        self.used_grace = False
        self.turn_ends_at = 0.0
        self.pieces: asyncio.Queue[bytes] = asyncio.Queue()


async def handles_cancel(wait: Awaitable, answer: Callable[[], None], steps: int) -> bool:
    """Cancel a wait `steps` iterations after its answer; return whether it handles that correctly.

    It may end as cancelled, or with its answer if it had that before the cancellation.
    """
    task = asyncio.ensure_future(wait)
    for _ in range(MAX_STEPS):
        await asyncio.sleep(0)
    answer()
    for _ in range(steps):
        await asyncio.sleep(0)
    if not task.cancel():
        # The task had its answer before the cancellation, and must not have failed.
        task.result()
        return True
    await asyncio.wait([task])
    return task.cancelled()


class CancelWithAnswer(unittest.IsolatedAsyncioTestCase):
    async def test_a_wait_for_a_peer_is_cancelled_when_the_answer_arrives(self):
        for steps in range(MAX_STEPS):
            answers: asyncio.Queue[Envelope] = asyncio.Queue()
            envelope = Envelope(PROTOCOL_VERSION, 1, "", Noted())
            wait = _next_answer(answers, TEST_TIMEOUT_S, lambda: True)
            handled = await handles_cancel(
                wait, lambda q=answers, e=envelope: q.put_nowait(e), steps
            )
            self.assertTrue(handled, f"cancellation lost {steps} steps after the answer")

    async def test_a_wait_for_an_engine_is_cancelled_when_a_piece_arrives(self):
        for steps in range(MAX_STEPS):
            pieces = FakeExchange()
            wait = _AnswerStream(pieces, StreamTimeouts()).next_events()
            handled = await handles_cancel(wait, lambda p=pieces: p.pieces.put_nowait(b"x"), steps)
            self.assertTrue(handled, f"cancellation lost {steps} steps after the piece")
