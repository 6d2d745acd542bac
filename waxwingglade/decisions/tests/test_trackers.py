"""Trackers of pauses, releases and output lengths."""

import unittest

from waxwingglade.base import ProgramId, TargetId, ToolName
from waxwingglade.decisions import DecisionSettings, Holding
from waxwingglade.decisions.output_length import DEFAULT_OUTPUT_TOKENS, OutputLengthTracker
from waxwingglade.decisions.pause import MIN_PAUSES, PauseDecision, PauseTracker
from waxwingglade.decisions.release import ReleaseTracker
from waxwingglade.decisions.tests.rule_builders import FakeClock, make_work

PROGRAM, OTHER = ProgramId("p"), ProgramId("q")
ENGINE = TargetId("engine-0")
TOOL = ToolName("tool")
SETTINGS = DecisionSettings()


class PauseTrackerTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.tracker = PauseTracker(SETTINGS, self.clock)

    def pause(self, times, seconds):
        for _ in range(times):
            self.tracker.begin(OTHER, TOOL)
            self.clock.advance(seconds)
            self.tracker.end(OTHER)

    def test_cache_is_retained_while_a_tool_has_few_samples(self):
        self.pause(MIN_PAUSES - 1, 2 * SETTINGS.hold_max_s)
        self.assertIs(PauseDecision.KEEP, self.tracker.begin(PROGRAM, TOOL))

    def test_cache_is_released_for_a_tool_that_usually_takes_longer_than_the_bound(self):
        self.pause(MIN_PAUSES, 2 * SETTINGS.hold_max_s)
        self.assertIs(PauseDecision.RELEASE, self.tracker.begin(PROGRAM, TOOL))
        self.assertIs(PauseDecision.KEEP, self.tracker.begin(PROGRAM, ToolName("quick")))

    def test_a_pause_of_an_ended_program_is_not_a_sample(self):
        for _ in range(MIN_PAUSES):
            self.tracker.begin(PROGRAM, TOOL)
            self.tracker.forget(PROGRAM)
            self.tracker.end(PROGRAM)
        self.assertIsNone(self.tracker.expected_s(TOOL))


class ReleaseTrackerTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.tracker = ReleaseTracker(SETTINGS, self.clock)
        self.tracker.record_sent(PROGRAM, ENGINE)

    def test_a_release_is_sent_until_it_is_acknowledged(self):
        holdings = self.tracker.release(PROGRAM)
        self.assertEqual([Holding(PROGRAM, ENGINE)], holdings)
        self.assertEqual([], self.tracker.due())
        for _ in range(2):
            self.clock.advance(SETTINGS.release_retry_s)
            self.assertEqual(holdings, self.tracker.due())
        self.tracker.acknowledge(holdings[0])
        self.clock.advance(SETTINGS.release_retry_s)
        self.assertEqual([], self.tracker.due())

    def test_a_call_sent_after_the_release_cancels_it(self):
        self.tracker.release(PROGRAM)
        self.tracker.record_sent(PROGRAM, ENGINE)
        self.clock.advance(SETTINGS.release_retry_s)
        self.assertEqual([], self.tracker.due())

    def test_a_removed_target_is_sent_no_release(self):
        self.tracker.record_sent(OTHER, ENGINE)
        self.tracker.release(OTHER)
        self.tracker.forget_target(ENGINE)
        self.clock.advance(SETTINGS.release_retry_s)
        self.assertEqual(([], []), (self.tracker.due(), self.tracker.release(PROGRAM)))

    def test_a_sweep_finds_idle_programs_and_those_with_an_unobserved_end(self):
        self.assertEqual([], self.tracker.sweep({PROGRAM}))
        self.tracker.record_sent(OTHER, ENGINE)
        self.assertEqual([Holding(OTHER, ENGINE)], self.tracker.sweep({PROGRAM}))
        self.clock.advance(SETTINGS.hold_max_s)
        self.assertEqual([Holding(PROGRAM, ENGINE)], self.tracker.sweep({PROGRAM}))


class OutputLengthTrackerTest(unittest.TestCase):
    def test_lengths_are_estimated_by_class_and_model_and_stated_ones_do_not_change(self):
        clock, tracker = FakeClock(), OutputLengthTracker()
        call = make_work(clock)
        call.expected_output_tokens = 0
        tracker.fill_in_expected_output(call)
        self.assertEqual(DEFAULT_OUTPUT_TOKENS, call.expected_output_tokens)
        tracker.observe(call, 500)
        tracker.observe(call, 600)
        call.expected_output_tokens = 0
        tracker.fill_in_expected_output(call)
        self.assertTrue(500 < call.expected_output_tokens < 600)
        stated = make_work(clock)
        tracker.fill_in_expected_output(stated)
        self.assertEqual(8, stated.expected_output_tokens)

    def test_tool_calls_have_no_output_tokens(self):
        work = make_work(FakeClock())
        work.prompt_tokens = work.expected_output_tokens = 0
        OutputLengthTracker().fill_in_expected_output(work)
        self.assertEqual(0, work.expected_output_tokens)
