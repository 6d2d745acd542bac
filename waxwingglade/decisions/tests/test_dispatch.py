"""The dispatcher: grants, refusals, and released slots."""

import asyncio
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingglade.base import Err, ErrorCode, Failure, Ok, Outcome, TargetId, Verdict
from waxwingglade.decisions import Dispatcher, Grant, LoadReport, Work
from waxwingglade.decisions.tests.builders import (
    BOOKING,
    NOTICE,
    FakeClock,
    blocks,
    engine,
    service,
    table,
    tool_work,
    work,
)
from waxwingglade.program.messages import Usage
from waxwingglade.settings import TargetSettings, Urgency

URGENT, NORMAL, ROUTINE = Urgency.URGENT, Urgency.NORMAL, Urgency.ROUTINE
BROKEN = Failure(Verdict.NOT_RUN, ErrorCode.UNAVAILABLE, "connection refused")
PROMPT = blocks(*range(1, 101))


async def settle() -> None:
    """Let every task run until it waits."""
    for _ in range(10):
        await asyncio.sleep(0)


class DispatchCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.waiting: list[asyncio.Task[Outcome[Grant]]] = []

    async def asyncTearDown(self) -> None:
        for task in self.waiting:
            task.cancel()
        await settle()

    def dispatcher(self, *targets: TargetSettings, **options) -> Dispatcher:
        return Dispatcher(table(self.clock, *targets, **options), self.clock)

    def start(self, dispatcher: Dispatcher, call: Work) -> "asyncio.Task[Outcome[Grant]]":
        task = asyncio.create_task(dispatcher.acquire(call))
        self.waiting.append(task)
        return task

    async def fill(self, dispatcher: Dispatcher, count: int, urgency: Urgency = URGENT):
        return [(await dispatcher.acquire(work(urgency))).unwrap() for _ in range(count)]


class GrantTest(DispatchCase):
    async def test_call_is_granted_at_once_if_a_slot_is_free(self) -> None:
        grant = (await self.dispatcher(engine("a")).acquire(work(URGENT))).unwrap()
        self.assertEqual((grant.target, grant.priority), ("a", 0))

    async def test_slot_of_a_finished_call_goes_to_the_most_urgent(self) -> None:
        dispatcher = self.dispatcher(engine("a", slots=4))
        grants = await self.fill(dispatcher, 5)
        routine = self.start(dispatcher, work(ROUTINE))
        urgent = self.start(dispatcher, work(URGENT))
        await settle()
        grants[0].finished(Usage())
        await settle()
        self.assertTrue(urgent.done())
        self.assertFalse(routine.done())

    async def test_routine_calls_leave_a_slot_for_an_urgent_one(self) -> None:
        dispatcher = self.dispatcher(engine("a", slots=4))
        tasks = [self.start(dispatcher, work(ROUTINE)) for _ in range(8)]
        await settle()
        self.assertEqual(sum(task.done() for task in tasks), 3)
        self.assertTrue((await dispatcher.acquire(work(URGENT))).is_ok())

    async def test_failed_call_releases_its_slot(self) -> None:
        dispatcher = self.dispatcher(engine("a", slots=4))
        grants = await self.fill(dispatcher, 5)
        waiting = self.start(dispatcher, work(URGENT))
        await settle()
        grants[0].failed(BROKEN)
        await settle()
        self.assertTrue(waiting.done())

    async def test_slot_is_released_only_once(self) -> None:
        dispatcher = self.dispatcher(engine("a"))
        (grant,) = await self.fill(dispatcher, 1)
        grant.finished(Usage())
        grant.finished(Usage())
        grant.failed(BROKEN)
        self.assertEqual(grant.view.in_flight, 0)

    async def test_report_with_free_slots_leads_to_a_grant(self) -> None:
        dispatcher = self.dispatcher(engine("a", slots=4))
        dispatcher.report_load(TargetId("a"), LoadReport(9))
        waiting = self.start(dispatcher, work(NORMAL))
        await settle()
        self.assertFalse(waiting.done())
        self.clock.advance(1.0)
        dispatcher.report_load(TargetId("a"), LoadReport(3))
        await settle()
        self.assertTrue(waiting.done())

    async def test_urgent_call_of_one_tool_goes_before_routine_of_another(self) -> None:
        dispatcher = self.dispatcher(service("a", slots=4, tools=(BOOKING, NOTICE)))
        held = [(await dispatcher.acquire(tool_work(NOTICE, urgency=URGENT))) for _ in range(5)]
        routine = self.start(dispatcher, tool_work(BOOKING, urgency=NORMAL))
        urgent = self.start(dispatcher, tool_work(NOTICE, urgency=URGENT))
        await settle()
        for grant in held[:2]:
            grant.unwrap().finished(Usage())
        await settle()
        self.assertEqual((urgent.done(), routine.done()), (True, False))

    async def test_call_waits_up_to_the_wait_limit_for_the_target_with_its_cache(self) -> None:
        dispatcher = self.dispatcher(engine("a"), engine("b"), patience_s=2.0)
        dispatcher.table.cache.add(dispatcher.table.targets[TargetId("a")].number, PROMPT)
        for target in ("a", "b"):
            dispatcher.report_load(TargetId(target), LoadReport(5))
        call = work(URGENT, blocks=PROMPT, prompt_tokens=6400, latency_weight=0.1)
        waiting = self.start(dispatcher, call)
        await settle()
        self.clock.advance(1.0)
        dispatcher.report_load(TargetId("b"), LoadReport(0))
        await settle()
        self.assertFalse(waiting.done())
        self.clock.advance(1.1)
        dispatcher.report_load(TargetId("b"), LoadReport(0))
        await settle()
        self.assertEqual(waiting.result().unwrap().target, "b")

    async def test_cache_is_recorded_at_the_first_token(self) -> None:
        dispatcher = self.dispatcher(engine("a"))
        grant = (await dispatcher.acquire(work(blocks=PROMPT, prompt_tokens=6400))).unwrap()
        self.assertEqual(dispatcher.table.cache.deepest(PROMPT)[0], 0)
        grant.first_token()
        self.assertEqual(dispatcher.table.cache.deepest(PROMPT)[0], 100)

    async def test_expected_output_is_estimated_by_class(self) -> None:
        dispatcher = self.dispatcher(engine("a"))
        for _ in range(2):
            call = work()
            grant = (await dispatcher.acquire(call)).unwrap()
            grant.first_token()
            grant.finished(Usage(output_tokens=40))
        self.assertEqual(call.expected_output_tokens, 40)


class RefusalTest(DispatchCase):
    def assert_refused(self, outcome: Outcome[Grant], code: ErrorCode) -> None:
        assert isinstance(outcome, Err)
        self.assertIs(outcome.err_value.verdict, Verdict.NOT_RUN)
        self.assertIs(outcome.err_value.code, code)
        self.assertIsNotNone(outcome.err_value.retry_after_s)

    async def test_call_past_its_deadline_is_refused(self) -> None:
        dispatcher = self.dispatcher(engine("a"))
        outcome = await dispatcher.acquire(work(deadline_at=99.0))
        self.assert_refused(outcome, ErrorCode.DEADLINE)

    async def test_waiting_call_is_refused_when_its_deadline_comes(self) -> None:
        dispatcher = self.dispatcher(engine("a", slots=4))
        await self.fill(dispatcher, 5)
        call = tool_work(NOTICE, deadline_at=100.01)
        call.pool = work().pool
        self.assert_refused(await dispatcher.acquire(call), ErrorCode.DEADLINE)
        self.assertFalse(any(len(queue) for queue in dispatcher.queues.values()))

    async def test_call_that_no_target_can_take_is_refused(self) -> None:
        dispatcher = self.dispatcher(engine("a"))
        self.assert_refused(await dispatcher.acquire(tool_work(NOTICE)), ErrorCode.UNAVAILABLE)
        dispatcher.set_leaving(TargetId("a"))
        self.assert_refused(await dispatcher.acquire(work()), ErrorCode.UNAVAILABLE)

    async def test_leaving_target_gets_no_waiting_call(self) -> None:
        dispatcher = self.dispatcher(engine("a", slots=4), engine("b", slots=4))
        grants = await self.fill(dispatcher, 10)
        waiting = self.start(dispatcher, work(URGENT))
        await settle()
        dispatcher.set_leaving(TargetId("a"))
        for grant in grants:
            if grant.target == "a":
                grant.finished(Usage())
        dispatcher.report_load(TargetId("a"), LoadReport(0))
        await settle()
        self.assertFalse(waiting.done())
        next(grant for grant in grants if grant.target == "b").finished(Usage())
        await settle()
        self.assertEqual(waiting.result().unwrap().target, "b")


class CancelTest(DispatchCase):
    async def test_cancelled_call_leaves_the_queue(self) -> None:
        dispatcher = self.dispatcher(engine("a", slots=4))
        grants = await self.fill(dispatcher, 5)
        first = self.start(dispatcher, work(URGENT, deadline_at=500.0))
        second = self.start(dispatcher, work(URGENT, deadline_at=900.0))
        await settle()
        first.cancel()
        await settle()
        grants[0].finished(Usage())
        await settle()
        self.assertTrue(second.done())

    async def test_grant_that_arrives_as_the_caller_leaves_is_released(self) -> None:
        dispatcher = self.dispatcher(engine("a", slots=4))
        grants = await self.fill(dispatcher, 5)
        first = self.start(dispatcher, work(URGENT, deadline_at=500.0))
        second = self.start(dispatcher, work(URGENT, deadline_at=900.0))
        await settle()
        grants[0].finished(Usage())
        first.cancel()
        await settle()
        self.assertTrue(first.cancelled())
        self.assertTrue(second.done())
        self.assertEqual(grants[0].view.in_flight, 5)


class EverySlotIsReleasedTest(unittest.TestCase):
    @settings(deadline=None, max_examples=60, derandomize=True)
    @given(st.integers(0, 1 << 30))
    def test_each_call_ends_once_and_every_slot_is_released(self, seed: int) -> None:
        asyncio.run(self.run_calls(random.Random(seed)))

    async def run_calls(self, rng: random.Random) -> None:
        clock = FakeClock()
        targets = table(clock, engine("a", slots=2), engine("b", slots=3), seed=1)
        dispatcher = Dispatcher(targets, clock)
        tasks, held = [], []
        for _ in range(60):
            step = rng.random()
            if step < 0.5:
                call = work(rng.choice(list(Urgency)), rng.choice("xy"), queue_limit=8)
                tasks.append(asyncio.create_task(dispatcher.acquire(call)))
            elif step < 0.7 and held:
                held.pop(rng.randrange(len(held))).finished(Usage())
            elif step < 0.8 and held:
                held.pop(rng.randrange(len(held))).failed(BROKEN)
            elif step < 0.9 and tasks:
                rng.choice(tasks).cancel()
            clock.advance(rng.random())
            if rng.random() < 0.7:
                held += await self.collect(tasks)
        while tasks or held:
            clock.advance(1.0)
            held += await self.collect(tasks)
            while held:
                held.pop().finished(Usage())
        self.assertEqual([view.in_flight for view in targets.targets.values()], [0, 0])
        self.assertEqual([view.waiting_preferred for view in targets.targets.values()], [0, 0])
        self.assertFalse(any(len(queue) for queue in dispatcher.queues.values()))

    async def collect(self, tasks: list) -> list[Grant]:
        """Remove the tasks that have ended; return their grants."""
        await settle()
        done = [task for task in tasks if task.done()]
        for task in done:
            tasks.remove(task)
        outcomes = [task.result() for task in done if not task.cancelled()]
        return [outcome.ok_value for outcome in outcomes if isinstance(outcome, Ok)]


if __name__ == "__main__":
    unittest.main()
