"""Tests of the event stream of a call, read from any offset, and of the order of calls."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.base import ErrorCode
from waxwingglade.program import Delta, Done, Reset
from waxwingglade.program.tests.builders import PROGRAM, created, done, fold, model_call
from waxwingglade.request.events import CallEvents, replay
from waxwingglade.request.order import CallOrder

ATTEMPT = "a1"
text_pieces = st.lists(st.text(min_size=1, max_size=5), max_size=8)


def text_of(events, before: str = "") -> str:
    """Return the text that a caller who already had `before` has after the events."""
    text = before
    for event in events:
        if isinstance(event, Reset):
            text = ""
        if isinstance(event, Delta):
            assert event.offset == len(text)
            text += event.text
    return text


class Follow(unittest.TestCase):
    @given(text_pieces, st.integers(0, 40), st.sampled_from([ATTEMPT, "another"]))
    def test_a_reader_has_the_complete_text_from_any_offset(self, parts, offset, attempt):
        full_text = "".join(parts)
        offset = min(offset, len(full_text))

        async def run():
            events = CallEvents(ATTEMPT, model_call("m1"))
            seen = []

            async def follow():
                async for event in events.follow(offset, attempt):
                    seen.append(event)

            task = asyncio.create_task(follow())
            for part in parts:
                events.add_text(part)
                await asyncio.sleep(0)
            events.finish(done(full_text))
            await task
            return seen

        seen = asyncio.run(run())
        known = full_text[:offset] if attempt == ATTEMPT or not offset else "x" * offset
        self.assertEqual(full_text, text_of(seen, known))
        self.assertEqual(done(full_text), seen[-1])
        self.assertEqual(1, sum(isinstance(event, Done) for event in seen))

    @given(st.text(max_size=20), st.integers(0, 20), st.sampled_from([ATTEMPT, "another"]))
    def test_a_reader_of_a_recorded_answer_has_the_complete_text(self, full_text, offset, attempt):
        offset = min(offset, len(full_text))

        async def run():
            return [event async for event in replay(done(full_text), ATTEMPT, offset, attempt)]

        known = full_text[:offset] if attempt == ATTEMPT or not offset else "x" * offset
        self.assertEqual(full_text, text_of(asyncio.run(run()), known))


class Order(unittest.IsolatedAsyncioTestCase):
    async def run_calls(self, numbers, timeout_s: float = 5.0):
        """Run calls that arrive in the given order; return the order they ran in and the errors."""
        state = fold(created())[PROGRAM]
        order = CallOrder()
        ran = []

        async def run(number):
            call = model_call(f"m{number}", order=number)
            async with order.turn(state, call, timeout_s) as turn:
                if turn.is_err():
                    return turn.err_value.code
                ran.append(number)
                await asyncio.sleep(0)
                state.next_order = max(state.next_order, number + 1)
            return None

        codes = await asyncio.gather(*(run(number) for number in numbers))
        return ran, codes

    async def test_numbered_calls_run_in_order_whatever_their_order_of_arrival(self):
        ran, _ = await self.run_calls([3, 1, 4, 2])
        self.assertEqual([1, 2, 3, 4], ran)

    async def test_calls_without_a_number_run_one_at_a_time(self):
        state = fold(created())[PROGRAM]
        order = CallOrder()
        running = 0
        max_running = 0

        async def run(number):
            nonlocal running, max_running
            async with order.turn(state, model_call(f"m{number}"), 5.0):
                running += 1
                max_running = max(max_running, running)
                await asyncio.sleep(0)
                running -= 1

        await asyncio.gather(*(run(number) for number in range(5)))
        self.assertEqual(1, max_running)

    async def test_a_number_below_the_next_one_is_rejected(self):
        state = fold(created())[PROGRAM]
        state.next_order = 3
        async with CallOrder().turn(state, model_call("m1", order=2), 1.0) as turn:
            self.assertIs(ErrorCode.OUT_OF_ORDER, turn.err_value.code)

    async def test_a_number_after_a_gap_is_rejected_after_the_timeout(self):
        ran, codes = await self.run_calls([2], timeout_s=0.01)
        self.assertEqual(([], [ErrorCode.OUT_OF_ORDER]), (ran, codes))
