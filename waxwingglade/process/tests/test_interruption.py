"""What the caller of a call is told when its program ends, at each stage of the call.

Guards against an answer that looks like a crash of the entry: the caller would repeat a call that
cannot succeed, and would not learn that nothing was sent.
"""

import asyncio
import unittest
from typing import Any
from unittest.mock import patch

from loguru import logger

from waxwingglade.base import Epoch, ErrorCode, Failure, Verdict
from waxwingglade.connection.peer_messages import EndProgram, EntryState, SubmitCall
from waxwingglade.process import calls
from waxwingglade.process.expiry import TURNS_EXCEEDED, WALL_TIME_EXCEEDED
from waxwingglade.process.tests.held_append import held_append
from waxwingglade.process.tests.one_entry import TENANT, WAIT_LIMIT_S, OneEntry, one_entry, until
from waxwingglade.program import (
    CallEnded,
    CallStarted,
    Created,
    Done,
    Message,
    MessageRole,
    ModelCall,
    SubProgramCall,
    ToolCall,
)
from waxwingglade.settings import Budget, ProgramPolicy
from waxwingglade.standins import EngineFaults, ToolFaults

REASON = "asked for"


class InterruptionCase(unittest.IsolatedAsyncioTestCase):
    """A test with one entry, whose calls are submitted as tasks."""

    async def asyncSetUp(self) -> None:
        self.enterContext(patch.object(calls, "ORDER_WAIT_LIMIT_S", WAIT_LIMIT_S))

    def submit(self, running: OneEntry, program, call) -> asyncio.Task:
        """Submit a call without waiting for its outcome."""
        return asyncio.create_task(running.outcome(SubmitCall(TENANT, program, call)))

    async def hang(self, running: OneEntry, program, call) -> asyncio.Task:
        """Submit a call that its target never answers, and wait until it was sent."""
        running.tool.faults = ToolFaults(hang=True)
        running.engine.faults = EngineFaults(hang=True)
        task = self.submit(running, program, call)
        views = running.entry.table.targets.values()
        await until(lambda: any(view.in_flight for view in views))
        return task

    async def end(self, running: OneEntry, program) -> Any:
        return await running.outcome(EndProgram(TENANT, program, REASON))

    def assert_ended(self, outcome: Any, verdict: Verdict, reason: str = REASON) -> None:
        """Check that an answer names the end of the program as its cause."""
        self.assertIsInstance(outcome, Failure)
        self.assertEqual((ErrorCode.PROGRAM_ENDED, verdict), (outcome.code, outcome.verdict))
        self.assertIn(reason, outcome.message)
        self.assertIsNone(outcome.retry_after_s)


class Waiting(InterruptionCase):
    async def test_a_call_that_waits_for_its_turn_as_the_turns_run_out_did_not_run(self) -> None:
        """The program ends because the call before it was refused, as its turns were used up."""
        async with one_entry(ProgramPolicy(budget=Budget(turns=1))) as running:
            program = await running.create()
            await running.tool_call(program, "c1", "notice")
            waiting = self.submit(running, program, ToolCall("c3", "order", {}, order=3))
            over = await running.tool_call(program, "c2", "notice")
            outcome = await waiting
            effects = [effect.tool for effect in running.tool.effects]
        self.assertIs(ErrorCode.BUDGET_EXCEEDED, over.code)
        self.assert_ended(outcome, Verdict.NOT_RUN, TURNS_EXCEEDED)
        self.assertEqual(["notice"], effects)

    async def test_a_call_that_waits_for_a_running_one_did_not_run(self) -> None:
        async with one_entry() as running:
            program = await running.create()
            sent = await self.hang(running, program, ToolCall("c1", "booking", {}, order=1))
            waiting = self.submit(running, program, ToolCall("c2", "order", {}, order=2))
            state = running.entry.log_for(program).programs[program]
            await until(lambda: "c2" in running.entry.running_program(state).calls)
            await self.end(running, program)
            self.assert_ended(await sent, Verdict.MAY_HAVE_RUN)
            self.assert_ended(await waiting, Verdict.NOT_RUN)
            for call, verdict in (("c1", Verdict.MAY_HAVE_RUN), ("c2", Verdict.NOT_RUN)):
                tool = "booking" if call == "c1" else "order"
                repeated = ToolCall(call, tool, {}, order=int(call[1]))
                self.assert_ended(await self.submit(running, program, repeated), verdict)

    async def test_a_call_that_ends_before_its_task_has_run_is_answered(self) -> None:
        async with one_entry() as running:
            program = await running.create()
            owned = running.entry.log_for(program)
            state = owned.programs[program]
            request = SubmitCall(TENANT, program, ToolCall("c1", "order", {}))
            events = calls.start_call(
                running.entry, owned, state, running.entry.running_program(state), request
            )
            await self.end(running, program)
            async with asyncio.timeout(WAIT_LIMIT_S):
                outcome = await events.wait()
            effects = list(running.tool.effects)
        self.assert_ended(outcome, Verdict.NOT_RUN)
        self.assertEqual([], effects)


class Starting(InterruptionCase):
    async def test_a_call_whose_start_is_not_yet_durable_did_not_run(self) -> None:
        async with one_entry() as running:
            program = await running.create()
            with held_append(CallStarted) as held:
                call = self.submit(running, program, ToolCall("c1", "order", {}))
                await held.added.wait()
                view = await self.end(running, program)
                outcome = await call
            effects = list(running.tool.effects)
        self.assert_ended(outcome, Verdict.NOT_RUN)
        self.assertEqual([], effects)
        self.assertEqual([], view.calls)
        spent = (view.money_spent_microcents, view.money_reserved_microcents, view.turns)
        self.assertEqual((0, 0, 0), spent)

    async def test_a_sub_agent_whose_start_is_not_yet_durable_was_not_created(self) -> None:
        async with one_entry() as running:
            program = await running.create()
            with held_append(CallStarted) as held:
                call = self.submit(running, program, SubProgramCall("s1"))
                await held.added.wait()
                view = await self.end(running, program)
                outcome = await call
        self.assert_ended(outcome, Verdict.NOT_RUN)
        self.assertEqual(([], []), (view.calls, view.children))

    async def test_a_sub_agent_that_is_not_yet_durable_may_have_been_created(self) -> None:
        async with one_entry() as running:
            program = await running.create()
            with held_append(Created) as held:
                call = self.submit(running, program, SubProgramCall("s1"))
                await held.added.wait()
                view = await self.end(running, program)
                outcome = await call
        self.assert_ended(outcome, Verdict.MAY_HAVE_RUN)
        self.assertEqual([outcome], [each.outcome for each in view.calls])


class Sent(InterruptionCase):
    async def test_a_call_that_was_sent_may_have_run(self) -> None:
        message = Message(MessageRole.USER, "hello")
        for call in (ToolCall("c1", "booking", {}), ModelCall("c1", "base", [message])):
            with self.subTest(call=type(call).__name__):
                async with one_entry() as running:
                    program = await running.create()
                    sent = await self.hang(running, program, call)
                    view = await self.end(running, program)
                    outcome = await sent
                self.assert_ended(outcome, Verdict.MAY_HAVE_RUN)
                self.assertEqual([outcome], [each.outcome for each in view.calls])

    async def test_a_call_is_told_of_the_limit_of_wall_time(self) -> None:
        policy = ProgramPolicy(budget=Budget(wall_s=0.2), tool_timeout_s=60.0)
        async with one_entry(policy) as running:
            program = await running.create()
            outcome = await (await self.hang(running, program, ToolCall("c1", "booking", {})))
        self.assert_ended(outcome, Verdict.MAY_HAVE_RUN, WALL_TIME_EXCEEDED)

    async def test_a_draining_entry_gives_the_same_answer(self) -> None:
        async with one_entry() as running:
            program = await running.create()
            call = ToolCall("c1", "booking", {})
            sent = await self.hang(running, program, call)
            running.entry.members.state = EntryState.DRAINING
            await self.end(running, program)
            self.assert_ended(await sent, Verdict.MAY_HAVE_RUN)
            self.assert_ended(await self.submit(running, program, call), Verdict.MAY_HAVE_RUN)

    async def test_a_call_of_a_sub_agent_is_told_of_the_end_of_its_parent(self) -> None:
        async with one_entry() as running:
            program = await running.create()
            created = await running.outcome(SubmitCall(TENANT, program, SubProgramCall("s1")))
            child = created.result["program"]
            sent = await self.hang(running, child, ToolCall("c1", "booking", {}))
            await self.end(running, program)
            outcome = await sent
        self.assert_ended(outcome, Verdict.MAY_HAVE_RUN)

    async def test_a_call_that_every_target_has_refused_did_not_run(self) -> None:
        """The call waits for a target again after an attempt that certainly did not run."""
        async with one_entry() as running:
            program = await running.create()
            dispatcher = running.entry.dispatcher
            acquire, waiting = dispatcher.acquire, asyncio.Event()
            granted = 0

            async def acquire_once(work):
                nonlocal granted
                granted += 1
                if granted > 1:
                    waiting.set()
                    await asyncio.Event().wait()
                return await acquire(work)

            running.tool.faults = ToolFaults(error_before=True)
            with patch.object(dispatcher, "acquire", acquire_once):
                call = self.submit(running, program, ToolCall("c1", "booking", {}))
                await waiting.wait()
                view = await self.end(running, program)
                outcome = await call
            effects = list(running.tool.effects)
        self.assert_ended(outcome, Verdict.NOT_RUN)
        self.assertEqual(([], [], 0), (effects, view.calls, view.money_spent_microcents))


class Logged(InterruptionCase):
    async def test_the_reason_that_a_caller_gave_is_not_logged(self) -> None:
        lines: list[str] = []
        sink = logger.add(lambda message: lines.append(message.record["message"]))
        self.addCleanup(logger.remove, sink)
        async with one_entry() as running:
            program = await running.create()
            sent = await self.hang(running, program, ToolCall("c1", "booking", {}))
            await self.end(running, program)
            await sent
        self.assertIn("call interrupted: program_ended, may_have_run", lines)
        self.assertFalse([line for line in lines if REASON in line])


class Answered(InterruptionCase):
    async def test_a_call_that_was_answered_keeps_its_answer(self) -> None:
        async with one_entry() as running:
            program = await running.create()
            with held_append(CallEnded) as held:
                call = self.submit(running, program, ToolCall("c1", "booking", {"slot": 1}))
                await held.added.wait()
                ending = asyncio.create_task(self.end(running, program))
                state = running.entry.log_for(program).programs[program]
                await until(lambda: running.entry.running_program(state).ended)
                held.release.set()
                outcome = await call
                view = await ending
            results = [effect.result for effect in running.tool.effects]
        self.assertIsInstance(outcome, Done)
        self.assertEqual([outcome.result], results)
        self.assertEqual([outcome], [each.outcome for each in view.calls])


class OtherCauses(InterruptionCase):
    async def test_a_call_that_the_entry_stops_is_not_told_that_its_program_ended(self) -> None:
        async with one_entry() as running:
            program = await running.create()
            sent = await self.hang(running, program, ToolCall("c1", "booking", {}))
            waiting = self.submit(running, program, ToolCall("c2", "order", {}, order=2))
            await asyncio.sleep(0)
            await running.daemon.stop()
            running.daemon = None
            outcomes = [await sent, await waiting]
        self.assertEqual({ErrorCode.CANCELLED}, {outcome.code for outcome in outcomes})
        verdicts = [outcome.verdict for outcome in outcomes]
        self.assertEqual([Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN], verdicts)

    async def test_a_call_whose_program_was_taken_over_is_sent_to_the_new_owner(self) -> None:
        async with one_entry() as running:
            program = await running.create()
            owned = running.entry.log_for(program)
            state = owned.programs[program]
            await self.hang(running, program, ToolCall("c1", "booking", {}))
            events = running.entry.running_program(state).calls["c1"]
            owned.fence(Epoch(owned.epoch + 1))
            running.entry.demote(owned)
            async with asyncio.timeout(WAIT_LIMIT_S):
                outcome = await events.wait()
        self.assertEqual((ErrorCode.FENCED, Verdict.MAY_HAVE_RUN), (outcome.code, outcome.verdict))

    async def test_an_exception_has_an_answer_of_its_own(self) -> None:
        async def fail(execution):
            raise RuntimeError("planted")

        async with one_entry() as running:
            program = await running.create()
            with patch.object(calls, "run_tool_call", fail):
                outcome = await running.tool_call(program, "c1", "order")
            again = await running.tool_call(program, "c1", "order")
        self.assertEqual((ErrorCode.INTERNAL, Verdict.NOT_RUN), (outcome.code, outcome.verdict))
        self.assertIsInstance(again, Done)


if __name__ == "__main__":
    unittest.main()
