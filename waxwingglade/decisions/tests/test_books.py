"""What is remembered of pauses, releases and output lengths."""

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


class Pauses(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.book = PauseTracker(SETTINGS, self.clock)

    def pause(self, times, seconds):
        for _ in range(times):
            self.book.begin(OTHER, TOOL)
            self.clock.advance(seconds)
            self.book.end(OTHER)

    def test_cache_is_kept_while_little_is_known_of_a_tool(self):
        self.pause(MIN_PAUSES - 1, 2 * SETTINGS.hold_max_s)
        self.assertIs(PauseDecision.KEEP, self.book.begin(PROGRAM, TOOL))

    def test_cache_is_let_go_for_a_tool_that_usually_takes_longer_than_the_bound(self):
        self.pause(MIN_PAUSES, 2 * SETTINGS.hold_max_s)
        self.assertIs(PauseDecision.RELEASE, self.book.begin(PROGRAM, TOOL))
        self.assertIs(PauseDecision.KEEP, self.book.begin(PROGRAM, ToolName("quick")))

    def test_a_pause_of_a_program_that_ended_teaches_nothing(self):
        for _ in range(MIN_PAUSES):
            self.book.begin(PROGRAM, TOOL)
            self.book.forget(PROGRAM)
            self.book.end(PROGRAM)
        self.assertIsNone(self.book.expected_s(TOOL))


class Releases(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.book = ReleaseTracker(SETTINGS, self.clock)
        self.book.record_sent(PROGRAM, ENGINE)

    def test_a_release_is_sent_until_it_is_acknowledged(self):
        holdings = self.book.release(PROGRAM)
        self.assertEqual([Holding(PROGRAM, ENGINE)], holdings)
        self.assertEqual([], self.book.due())
        for _ in range(2):
            self.clock.advance(SETTINGS.release_retry_s)
            self.assertEqual(holdings, self.book.due())
        self.book.acknowledge(holdings[0])
        self.clock.advance(SETTINGS.release_retry_s)
        self.assertEqual([], self.book.due())

    def test_a_call_sent_after_the_release_takes_it_back(self):
        self.book.release(PROGRAM)
        self.book.record_sent(PROGRAM, ENGINE)
        self.clock.advance(SETTINGS.release_retry_s)
        self.assertEqual([], self.book.due())

    def test_a_target_that_is_gone_is_sent_no_release(self):
        self.book.record_sent(OTHER, ENGINE)
        self.book.release(OTHER)
        self.book.forget_target(ENGINE)
        self.clock.advance(SETTINGS.release_retry_s)
        self.assertEqual(([], []), (self.book.due(), self.book.release(PROGRAM)))

    def test_a_sweep_finds_programs_that_ended_unseen_or_are_idle(self):
        self.assertEqual([], self.book.sweep({PROGRAM}))
        self.book.record_sent(OTHER, ENGINE)
        self.assertEqual([Holding(OTHER, ENGINE)], self.book.sweep({PROGRAM}))
        self.clock.advance(SETTINGS.hold_max_s)
        self.assertEqual([Holding(PROGRAM, ENGINE)], self.book.sweep({PROGRAM}))


class Outputs(unittest.TestCase):
    def test_lengths_are_learned_by_class_and_model_and_stated_ones_are_kept(self):
        clock, book = FakeClock(), OutputLengthTracker()
        asked = make_work(clock)
        asked.expected_output_tokens = 0
        book.fill_in_expected_output(asked)
        self.assertEqual(DEFAULT_OUTPUT_TOKENS, asked.expected_output_tokens)
        book.observe(asked, 500)
        book.observe(asked, 600)
        asked.expected_output_tokens = 0
        book.fill_in_expected_output(asked)
        self.assertTrue(500 < asked.expected_output_tokens < 600)
        stated = make_work(clock)
        book.fill_in_expected_output(stated)
        self.assertEqual(8, stated.expected_output_tokens)

    def test_tool_calls_have_no_output_tokens(self):
        work = make_work(FakeClock())
        work.prompt_tokens = work.expected_output_tokens = 0
        OutputLengthTracker().fill_in_expected_output(work)
        self.assertEqual(0, work.expected_output_tokens)
