"""Tests of tasks that have to last as long as their owner."""

import asyncio
import unittest
from unittest import mock

from waxwingglade.base import tasks
from waxwingglade.base.tasks import (
    FIRST_PAUSE_S,
    LONGEST_PAUSE_S,
    RAN_WELL_S,
    PeriodicSteps,
    run_forever,
)

EVENT = "task failed, will be run again"


class RunForeverTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.now = 100.0
        self.pauses: list[float] = []
        self.real_sleep = asyncio.sleep
        self.enterContext(mock.patch.object(tasks, "monotonic", lambda: self.now))
        self.enterContext(mock.patch.object(tasks.asyncio, "sleep", self._sleep))
        self.enterContext(mock.patch.object(tasks, "failures", tasks.Counter()))

    async def _sleep(self, seconds: float) -> None:
        self.pauses.append(seconds)
        await self.real_sleep(0)

    async def _run(self, *runs_s: float) -> None:
        """Run a task that fails after each of some times, and then returns."""
        remaining = list(runs_s)

        async def fail_at_first() -> None:
            if remaining:
                self.now += remaining.pop(0)
                raise ZeroDivisionError

        await run_forever(fail_at_first)

    async def test_pauses_grow_to_a_limit_and_shrink_after_a_long_run(self) -> None:
        await self._run(*[0.0] * 6, RAN_WELL_S, 0.0)
        self.assertEqual([FIRST_PAUSE_S, 2 * FIRST_PAUSE_S, 4 * FIRST_PAUSE_S], self.pauses[:3])
        self.assertEqual([LONGEST_PAUSE_S] * 3, self.pauses[3:6])
        self.assertEqual([FIRST_PAUSE_S, 2 * FIRST_PAUSE_S], self.pauses[6:])

    async def test_each_failure_is_logged_with_its_trace_and_counted(self) -> None:
        records = []
        sink = tasks.logger.add(lambda message: records.append(message.record))
        self.addCleanup(tasks.logger.remove, sink)
        await self._run(0.0, 0.0)
        self.assertEqual([EVENT] * 2, [each["message"] for each in records])
        self.assertEqual({"ERROR"}, {each["level"].name for each in records})
        self.assertIs(ZeroDivisionError, records[0]["exception"].type)
        self.assertEqual([2], list(tasks.failures.values()))

    async def test_a_cancelled_task_is_not_run_again(self) -> None:
        task = run_forever(lambda: asyncio.Event().wait())
        await self.real_sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual([], self.pauses)

    async def test_a_task_is_run_again_if_only_what_it_awaited_was_cancelled(self) -> None:
        awaited: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        awaited.cancel()
        remaining = [awaited]

        async def wait_once() -> None:
            if remaining:
                await remaining.pop()

        await run_forever(wait_once)
        self.assertEqual([FIRST_PAUSE_S], self.pauses)


class PeriodicStepsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.now = 100.0
        self.enterContext(mock.patch.object(tasks, "failures", tasks.Counter()))
        self.steps = PeriodicSteps("Owner.run", lambda: self.now)

    async def runs(self, step: mock.Mock, seconds: float) -> int:
        """Return how often a step that is due ten times a second is run within some seconds."""
        step.reset_mock()
        for _ in range(round(10 * seconds)):
            await self.steps.run("step", step)
            self.now += 0.1
        return step.call_count

    async def test_a_step_that_fails_is_left_out_for_pauses_that_grow_to_a_limit(self) -> None:
        failing = mock.Mock(side_effect=ZeroDivisionError)
        self.assertLessEqual(await self.runs(failing, 1.5), 4)
        self.assertIn(await self.runs(failing, 10 * LONGEST_PAUSE_S), (9, 10))
        self.assertEqual([("Owner.run: step",)], list(tasks.failures))

    async def test_a_step_that_succeeds_again_is_run_each_time(self) -> None:
        await self.runs(mock.Mock(side_effect=ZeroDivisionError), 2.0)
        self.now += LONGEST_PAUSE_S
        self.assertEqual(20, await self.runs(mock.Mock(return_value=None), 2.0))
        self.assertEqual({}, self.steps.pauses)

    async def test_the_failure_of_an_awaited_step_is_counted(self) -> None:
        await self.steps.run("step", mock.AsyncMock(side_effect=ZeroDivisionError))
        self.assertEqual([1], list(tasks.failures.values()))
