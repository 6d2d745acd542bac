"""Test the demo's programs, its report and the comparison of calls."""

import unittest

from waxwingglade.connection.tests.caller_builders import client, create, model_call, system
from waxwingglade.demo.overhead import measure_overhead
from waxwingglade.demo.report import percentile, report_classes
from waxwingglade.demo.run import DemoSettings, mark_ended, run_demo
from waxwingglade.demo.scripts import PLANS, appointment, choose_plans
from waxwingglade.demo.session import Measurement, run_program
from waxwingglade.standins import Effect, ToolFaults

QUICK = DemoSettings(programs=12, arrivals_s=0.0, pause_factor=0.0)


def effect(program, call, tool="booking"):
    """Return an effect of a program's call."""
    return Effect(tool, f"{program}.{call}", 1, {}, 0.0, {})


class Demo(unittest.IsolatedAsyncioTestCase):
    async def test_all_programs_finish_without_repeated_effects(self):
        progress = []
        report = await run_demo(QUICK, lambda *step: progress.append(step))
        reports = report.classes
        self.assertEqual({plan.program_class for plan in PLANS}, {r.program_class for r in reports})
        self.assertEqual((12, 12), progress[-1])
        for report in reports:
            self.assertEqual(report.started, report.finished)
            self.assertEqual(0, report.doubled)
            self.assertGreaterEqual(report.effects, report.finished)

    async def test_a_call_that_may_have_run_is_not_retried_and_the_program_is_unfinished(self):
        async with system() as (running, http):
            running.services[0].faults = ToolFaults(cut_after=True)
            caller = client(running, http)
            measured = await run_program(caller, "appointment", appointment, no_pause)
            self.assertFalse(measured.finished)
            self.assertEqual(1, measured.refusals)
            effects = running.services[0].effects
            self.assertEqual(0, report_classes([measured], effects)[0].doubled)

    async def test_cache_held_for_an_ended_program_is_counted(self):
        async with system() as (running, http):
            caller = client(running, http)
            program = await create(caller)
            text = "long enough to fill a block of the cache " * 5
            await caller.json("POST", f"/v1/programs/{program}/calls", model_call("m1", text))
            mark_ended(running, Measurement("appointment", programs=[program]))
            histories = [engine.history() for engine in running.engines]
            self.assertGreater(sum(each.ended_token_seconds for each in histories), 0.0)

    async def test_direct_and_forwarded_calls_are_measured(self):
        measured = await measure_overhead(calls=2)
        self.assertGreater(measured.direct.p50_ms, 0.0)
        self.assertGreater(measured.ratio_p50, 0.0)


class Report(unittest.TestCase):
    def test_repeated_effects_of_non_idempotent_tools_are_counted(self):
        measured = [Measurement("design", True, 1.0, ["p", "child"])]
        effects = [
            effect("p", "c1"),
            effect("p", "c1"),
            effect("child", "c1"),
            effect("p", "c2", "lookup"),
            effect("p", "c2", "lookup"),
        ]
        report = report_classes(measured, effects)[0]
        self.assertEqual((3, 1), (report.effects, report.doubled))

    def test_wasted_cache_is_a_fraction_of_the_reusable_tokens(self):
        one = Measurement("revision", reusable_tokens=300, wasted_tokens=100)
        other = Measurement("revision", reusable_tokens=100, wasted_tokens=100)
        self.assertEqual(0.5, report_classes([one, other], [])[0].wasted_cache)
        self.assertIsNone(report_classes([Measurement("revision")], [])[0].wasted_cache)

    def test_percentiles_are_values_of_the_sample(self):
        ordered = [float(number) for number in range(1, 101)]
        self.assertEqual(
            [50.0, 95.0, 99.0], [percentile(ordered, share) for share in (0.5, 0.95, 0.99)]
        )
        self.assertEqual(7.0, percentile([7.0], 0.99))
        self.assertIsNone(percentile([], 0.5))

    def test_a_seed_determines_the_programs_of_every_class(self):
        plans = choose_plans(10, seed=3)
        self.assertEqual(plans, choose_plans(10, seed=3))
        self.assertEqual(set(PLANS), set(plans))


async def no_pause(_seconds):
    """Return without waiting."""
