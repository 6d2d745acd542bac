"""Cancellations that come at the very moment of an answer."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from waxwingglade.connection.engine import _AnswerStream
from waxwingglade.connection.engine_events import StreamTimeouts
from waxwingglade.connection.http import Exchange, HttpRequest
from waxwingglade.connection.peer import _next_answer
from waxwingglade.connection.peer_messages import PROTOCOL_VERSION, Envelope, Noted

PATIENCE_S = 60.0
MOST_STEPS = 6
"""Steps of the event loop within which a waiting task has surely taken what came."""


class Pieces:
    """The part of an exchange that a stream reads from."""

    next_piece = Exchange.next_piece

    def __init__(self) -> None:
        self.request = HttpRequest("POST", "http://127.0.0.1:1", timeout_s=PATIENCE_S)
        self.status = 200
        self.pieces: asyncio.Queue[bytes] = asyncio.Queue()


async def is_cancelled(wait: Awaitable, answer: Callable[[], None], steps: int) -> bool:
    """Cancel a wait `steps` steps after its answer came; return whether it noticed in time."""
    task = asyncio.ensure_future(wait)
    for _ in range(MOST_STEPS):
        await asyncio.sleep(0)
    answer()
    for _ in range(steps):
        await asyncio.sleep(0)
    if not task.cancel():
        # It had its answer before the cancellation, and must not have failed instead.
        task.result()
        return True
    await asyncio.wait([task])
    return task.cancelled()


class CancelWithAnswer(unittest.IsolatedAsyncioTestCase):
    async def test_a_wait_for_a_peer_is_cancelled_though_the_answer_comes(self):
        for steps in range(MOST_STEPS):
            answers: asyncio.Queue[Envelope] = asyncio.Queue()
            envelope = Envelope(PROTOCOL_VERSION, 1, "", Noted())
            wait = _next_answer(answers, PATIENCE_S, lambda: True)
            noticed = await is_cancelled(wait, lambda q=answers, e=envelope: q.put_nowait(e), steps)
            self.assertTrue(noticed, f"lost {steps} steps after the answer")

    async def test_a_wait_for_an_engine_is_cancelled_though_a_piece_comes(self):
        for steps in range(MOST_STEPS):
            pieces = Pieces()
            wait = _AnswerStream(pieces, StreamTimeouts()).next_events()
            noticed = await is_cancelled(wait, lambda p=pieces: p.pieces.put_nowait(b"x"), steps)
            self.assertTrue(noticed, f"lost {steps} steps after the piece")
