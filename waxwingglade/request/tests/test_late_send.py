"""Guards against sending a call too late.

An owner can be paused, or lose its log, while it waits for the start of a call to become durable.
Another entry may have taken over the program before the owner continues.
"""

import unittest
from unittest.mock import patch

from waxwingglade.base import Epoch, ErrorCode, Failure, Verdict, not_run
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.process.tests.one_entry import one_entry

PAUSE_S = 100.0
YEAR_S = 3e7
append = OwnedLog.append


class LateSend(unittest.IsolatedAsyncioTestCase):
    async def test_an_owner_that_lost_its_log_during_the_append_sends_nothing(self):
        async def append_and_lose(owned, program, *bodies):
            appended = await append(owned, program, *bodies)
            owned.fence(Epoch(owned.epoch + 1))
            return appended

        async with one_entry() as running:
            program = await running.create()
            with patch.object(OwnedLog, "append", append_and_lose):
                await running.tool_call(program, "t1", "booking", slot=1)
            effects = list(running.tool.effects)
        self.assertEqual([], effects)

    async def test_an_owner_that_was_paused_confirms_its_ownership_before_it_sends(self):
        async with one_entry() as running:
            program = await running.create()
            clock = running.entry.clock

            async def append_and_pause(owned, program, *bodies):
                appended = await append(owned, program, *bodies)
                running.entry.clock = lambda: clock() + PAUSE_S
                return appended

            async def confirm(_owned):
                return not_run(ErrorCode.UNAVAILABLE, "too few copies can be reached")

            with (
                patch.object(OwnedLog, "append", append_and_pause),
                patch.object(OwnedLog, "confirm_ownership", confirm),
            ):
                outcome = await running.tool_call(program, "t1", "booking", slot=1)
            effects = list(running.tool.effects)
        self.assertEqual([], effects)
        self.assertIsInstance(outcome, Failure)
        self.assertIs(Verdict.NOT_RUN, outcome.verdict)

    async def test_a_call_whose_start_exceeds_the_limit_of_wall_time_is_not_sent(self):
        async with one_entry() as running:
            program = await running.create()
            wall_clock = running.entry.wall_clock

            async def append_slowly(owned, program, *bodies):
                appended = await append(owned, program, *bodies)
                running.entry.wall_clock = lambda: wall_clock() + YEAR_S
                return appended

            with patch.object(OwnedLog, "append", append_slowly):
                outcome = await running.tool_call(program, "t1", "booking", slot=1)
            effects = list(running.tool.effects)
        self.assertEqual([], effects)
        self.assertIs(ErrorCode.BUDGET_EXCEEDED, outcome.code)
        self.assertIs(Verdict.NOT_RUN, outcome.verdict)
