"""Budgets, ends of programs, leaving targets and unused caches, with one real entry."""

import unittest

from waxwingglade.base import ErrorCode, Failure, Verdict
from waxwingglade.connection.peer_messages import EndProgram, ReadProgram, SubmitCall
from waxwingglade.process.tests.one_entry import TENANT, one_entry, until
from waxwingglade.program import Done, SubProgramCall
from waxwingglade.settings import Budget, ProgramPolicy
from waxwingglade.standins.platform import VM, VMState

LONG_PROMPT = "a text that fills whole blocks of the prefix cache " * 20


class Budgets(unittest.IsolatedAsyncioTestCase):
    async def test_tokens_are_refused_before_they_could_be_exceeded(self):
        policy = ProgramPolicy(budget=Budget(tokens=400), max_output_tokens=40)
        async with one_entry(policy) as running:
            program = await running.create()
            outcomes = [await running.model_call(program, f"m{turn}") for turn in range(20)]
            view = await running.outcome(ReadProgram(TENANT, program))
        refused = [outcome for outcome in outcomes if isinstance(outcome, Failure)]
        self.assertTrue(refused)
        self.assertEqual({ErrorCode.BUDGET_EXCEEDED}, {failure.code for failure in refused})
        self.assertEqual({Verdict.NOT_RUN}, {failure.verdict for failure in refused})
        self.assertLessEqual(view.tokens_spent + view.tokens_reserved, 400)

    async def test_a_program_is_ended_when_its_turns_are_used(self):
        policy = ProgramPolicy(budget=Budget(turns=2))
        async with one_entry(policy) as running:
            program = await running.create()
            for turn in range(3):
                last = await running.model_call(program, f"m{turn}")
            self.assertIs(ErrorCode.BUDGET_EXCEEDED, last.code)
            state = running.entry.log_for(program).programs[program]
            await until(lambda: state.ended is not None)
            self.assertIn("turns", state.ended.reason)

    async def test_a_hanging_tool_call_ends_with_the_wall_time_of_the_program(self):
        policy = ProgramPolicy(budget=Budget(wall_s=0.2), tool_timeout_s=60.0)
        async with one_entry(policy) as running:
            running.tool.faults = type(running.tool.faults)(hang=True)
            program = await running.create()
            outcome = await running.tool_call(program, "t1", "booking")
            view = await running.outcome(ReadProgram(TENANT, program))
        self.assertIs(Verdict.MAY_HAVE_RUN, outcome.verdict)
        self.assertEqual("ended", view.state)
        self.assertIn("wall time", view.end_reason)

    async def test_sub_agents_use_the_budget_of_their_root(self):
        policy = ProgramPolicy(budget=Budget(turns=4, depth=1))
        async with one_entry(policy) as running:
            program = await running.create()
            made = await running.outcome(SubmitCall(TENANT, program, SubProgramCall("s1")))
            child = made.result["program"]
            self.assertIsInstance(await running.model_call(child, "m1"), Done)
            deeper = await running.outcome(SubmitCall(TENANT, child, SubProgramCall("s1")))
            self.assertIs(ErrorCode.BUDGET_EXCEEDED, deeper.code)
            self.assertIsInstance(await running.model_call(child, "m2"), Done)
            self.assertIsInstance(await running.model_call(program, "m1"), Done)
            self.assertIs(ErrorCode.BUDGET_EXCEEDED, (await running.model_call(child, "m3")).code)


class Ends(unittest.IsolatedAsyncioTestCase):
    async def test_engines_release_their_cache_when_a_program_ends(self):
        async with one_entry() as running:
            program = await running.create()
            await running.model_call(program, "m1", LONG_PROMPT)
            self.assertIn(program, running.engine.core.cache.held)
            await running.outcome(EndProgram(TENANT, program))
            await until(lambda: program not in running.engine.core.cache.held)

    async def test_the_cache_of_an_unknown_program_is_found(self):
        async with one_entry(sampling={"sweep_period_s": 0.05}) as running:
            cache = running.engine.core.cache
            program = await running.create()
            await running.model_call(program, "m1", LONG_PROMPT)
            unknown = f"{program}x"
            cache.store(unknown, list(cache.held[program]))
            await until(lambda: unknown not in cache.held)
            self.assertIn(program, cache.held)

    async def test_a_log_is_removed_when_its_programs_have_ended(self):
        durability = {"ended_kept_s": 0.05, "programs_per_log": 1, "logs_per_entry": 1}
        async with one_entry(durability=durability) as running:
            program = await running.create()
            log = running.entry.log_for(program).log
            await running.outcome(EndProgram(TENANT, program))
            await running.create("r2")
            await until(lambda: log not in running.entry.owned)
            self.assertIsNone((await running.entry.directory.read(log)).ok_value.entry)
            missing = await running.outcome(ReadProgram(TENANT, program))
            self.assertIs(ErrorCode.NOT_FOUND, missing.code)


class Leaving(unittest.IsolatedAsyncioTestCase):
    async def test_a_leaving_target_gets_no_new_work(self):
        async with one_entry() as running:
            vms = [
                VM("engine-1", "zone-1", VMState.LEAVING, "127.0.0.1"),
                VM("tool-1", "zone-1", VMState.LIVE, "127.0.0.1"),
            ]
            running.platform.set_vms(vms)
            await until(lambda: running.entry.table.targets["engine-1"].leaving)
            program = await running.create()
            refused = await running.model_call(program, "m1")
            self.assertIs(Verdict.NOT_RUN, refused.verdict)
            self.assertIsNotNone(refused.retry_after_s)
            self.assertEqual([], running.engine.records)
            running.platform.set_vms([VM("engine-1", "zone-1", VMState.LIVE, "127.0.0.1"), vms[1]])
            await until(lambda: not running.entry.table.targets["engine-1"].leaving)
            self.assertIsInstance(await running.model_call(program, "m1"), Done)
