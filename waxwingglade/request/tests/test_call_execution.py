"""Tests of the reservations and attempts of a call, with one real entry."""

import asyncio
import unittest

from waxwingglade.base import ConfigVersion, Failure, Verdict
from waxwingglade.connection.peer_messages import EndProgram, ReadProgram
from waxwingglade.process.entry import ResolvedPolicy
from waxwingglade.process.tests.one_entry import TENANT, one_entry
from waxwingglade.program import CallStarted, Done, decode_record
from waxwingglade.request.model_call import MAX_ATTEMPTS
from waxwingglade.settings import Budget, ProgramPolicy
from waxwingglade.standins import EngineFaults, EngineStandin, ToolFaults

TOKENS = 20
LONG_ANSWER_PROMPT = "tell me all"
"""A prompt to which the stand-in's answer is longer than `TOKENS`."""


async def add_engine(running, number=2):
    """Add an engine and return it; the first engine gets work before it."""
    added = EngineStandin()
    await added.start()
    entry = running.entry
    settings = entry.targets["engine-1"]
    name = f"engine-{number}"
    other = type(settings)(
        target=name, kind=settings.kind, zone="zone-1", url=added.url, models=["base"]
    )
    entry.targets[name] = other
    entry.table.add(other)
    return added


class ModelAttempts(unittest.IsolatedAsyncioTestCase):
    async def test_a_truncated_answer_continues_on_another_engine_within_its_token_limit(self):
        for cut_after in (5, 15):
            with self.subTest(cut_after=cut_after):
                await self.check_truncated_answer(cut_after)

    async def check_truncated_answer(self, cut_after: int) -> None:
        """Truncate every stream after some tokens; compare with an answer in one stream."""
        policy = ProgramPolicy(max_output_tokens=TOKENS)
        async with one_entry(policy) as running:
            second = await add_engine(running)
            for engine in (running.engine, second):
                engine.faults = EngineFaults(cut_after_tokens=cut_after)
            program = await running.create()
            continued = await running.model_call(
                program, "m1", LONG_ANSWER_PROMPT, max_tokens=TOKENS
            )
            for engine in (running.engine, second):
                engine.faults = EngineFaults()
            uninterrupted = await running.model_call(
                await running.create("r2"), "m1", LONG_ANSWER_PROMPT, max_tokens=TOKENS
            )
            view = await running.outcome(ReadProgram(TENANT, program))
            await second.stop()
        self.assertEqual(TOKENS, uninterrupted.usage.output_tokens)
        self.assertEqual(uninterrupted.text, continued.text)
        self.assertGreater(view.tokens_spent, uninterrupted.usage.prompt_tokens + TOKENS)

    async def test_a_call_that_breaks_off_at_each_engine_is_sent_to_three_at_most(self):
        async with one_entry(ProgramPolicy(max_output_tokens=TOKENS)) as running:
            engines = [running.engine]
            engines += [await add_engine(running, number) for number in range(2, 7)]
            for engine in engines:
                engine.faults = EngineFaults(cut_after_tokens=1)
            outcome = await running.model_call(
                await running.create(), "m1", LONG_ANSWER_PROMPT, max_tokens=TOKENS
            )
            reached = [engine for engine in engines if engine.records]
            sent = sum(len(engine.records) for engine in engines)
            for engine in engines[1:]:
                await engine.stop()
        self.assertIs(Verdict.MAY_HAVE_RUN, outcome.verdict)
        self.assertLessEqual(len(reached), 3)
        # An engine that broke off may be chosen again, so the attempts may end first.
        self.assertTrue(len(reached) == 3 or sent == MAX_ATTEMPTS, (len(reached), sent))

    async def test_each_attempt_that_may_have_run_is_charged_in_full(self):
        policy = ProgramPolicy(max_output_tokens=TOKENS, budget=Budget(tokens=120))
        async with one_entry(policy) as running:
            running.engine.faults = EngineFaults(cut_after_tokens=1)
            program = await running.create()
            outcome = await running.model_call(program, "m1")
            view = await running.outcome(ReadProgram(TENANT, program))
        self.assertIsInstance(outcome, Failure)
        self.assertIs(Verdict.MAY_HAVE_RUN, outcome.verdict)
        self.assertLessEqual(view.tokens_spent, 120)
        self.assertEqual(0, view.tokens_reserved)

    async def test_a_rejected_attempt_is_not_charged(self):
        async with one_entry() as running:
            running.engine.faults = EngineFaults(refuse=True)
            program = await running.create()
            outcome = await running.model_call(program, "m1")
            view = await running.outcome(ReadProgram(TENANT, program))
        self.assertIs(Verdict.NOT_RUN, outcome.verdict)
        self.assertEqual((0, 0, 0), (view.tokens_spent, view.tokens_reserved, view.turns))

    async def test_a_cancelled_call_frees_its_slot(self):
        async with one_entry() as running:
            running.engine.faults = EngineFaults(hang=True)
            program = await running.create()
            call = asyncio.create_task(running.model_call(program, "m1"))
            view = running.entry.table.targets["engine-1"]
            async with asyncio.timeout(20):
                while not view.in_flight:
                    await asyncio.sleep(0.01)
            await running.outcome(EndProgram(TENANT, program))
            outcome = await call
            self.assertEqual(0, view.in_flight)
        self.assertIs(Verdict.MAY_HAVE_RUN, outcome.verdict)


class Versions(unittest.IsolatedAsyncioTestCase):
    async def test_a_call_keeps_the_configuration_version_it_started_with(self):
        async with one_entry(ProgramPolicy(max_output_tokens=TOKENS)) as running:
            program = await running.create()
            running.engine.faults = EngineFaults(delay_s=0.2)
            first = asyncio.create_task(running.model_call(program, "m1", LONG_ANSWER_PROMPT))
            view = running.entry.table.targets["engine-1"]
            async with asyncio.timeout(20):
                while not view.in_flight:
                    await asyncio.sleep(0.01)
            newer_version = ResolvedPolicy(ProgramPolicy(max_output_tokens=3), ConfigVersion(2))
            running.entry.policy_for = lambda path: newer_version
            second = await running.model_call(program, "m2", LONG_ANSWER_PROMPT)
            log = running.entry.log_for(program)
            started = [decode_record(data).body for data in log.records]
            versions = [body.config_version for body in started if isinstance(body, CallStarted)]
        self.assertEqual(TOKENS, (await first).usage.output_tokens)
        self.assertEqual(3, second.usage.output_tokens)
        self.assertEqual([1, 2], versions)


class ToolAttempts(unittest.IsolatedAsyncioTestCase):
    async def test_a_call_that_may_have_run_and_is_not_idempotent_is_not_sent_again(self):
        async with one_entry() as running:
            running.tool.faults = ToolFaults(cut_after=True)
            program = await running.create()
            first = await running.tool_call(program, "t1", "booking", slot=1)
            running.tool.faults = ToolFaults()
            again = await running.tool_call(program, "t1", "booking", slot=1)
            effects = list(running.tool.effects)
        self.assertIs(Verdict.MAY_HAVE_RUN, first.verdict)
        self.assertEqual(first, again)
        self.assertEqual(1, len(effects))

    async def test_an_idempotent_call_is_sent_again(self):
        async with one_entry() as running:
            running.tool.faults = ToolFaults(cut_before=True)
            program = await running.create()
            call = asyncio.create_task(running.tool_call(program, "t1", "lookup", slot=1))
            await asyncio.sleep(0)
            first = await call
            running.tool.faults = ToolFaults()
            again = await running.tool_call(program, "t1", "lookup", slot=1)
        self.assertIsInstance(first, Failure)
        self.assertIsInstance(again, Done)
