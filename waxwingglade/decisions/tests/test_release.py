"""Release of cache at the end of programs and in long pauses."""

import unittest

from waxwingglade.base import ProgramId, TargetId
from waxwingglade.decisions import (
    DecisionSettings,
    Dispatcher,
    Holding,
    PauseDecision,
    PauseTracker,
    ReleaseTracker,
)
from waxwingglade.decisions.tests.builders import NOTICE, FakeClock, blocks, engine, table, work

PROGRAM, OTHER = ProgramId("p"), ProgramId("q")
A, B = TargetId("a"), TargetId("b")


class ReleaseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        settings = DecisionSettings(release_retry_s=2.0, hold_max_s=60.0)
        self.book = ReleaseTracker(settings, self.clock)
        self.book.record_sent(PROGRAM, A)
        self.book.record_sent(PROGRAM, B)

    def test_end_releases_every_target_that_was_used(self) -> None:
        self.assertEqual(
            set(self.book.release(PROGRAM)), {Holding(PROGRAM, A), Holding(PROGRAM, B)}
        )
        self.assertEqual(self.book.release(PROGRAM), [])

    def test_release_is_repeated_until_it_is_acknowledged(self) -> None:
        self.book.release(PROGRAM)
        self.book.acknowledge(Holding(PROGRAM, A))
        self.assertEqual(self.book.due(), [])
        for _ in range(3):
            self.clock.advance(2.0)
            self.assertEqual(self.book.due(), [Holding(PROGRAM, B)])
        self.book.acknowledge(Holding(PROGRAM, B))
        self.clock.advance(2.0)
        self.assertEqual(self.book.due(), [])

    def test_late_repeat_does_not_hit_cache_that_is_used_again(self) -> None:
        self.book.release(PROGRAM)
        self.book.record_sent(PROGRAM, A)
        self.clock.advance(2.0)
        self.assertEqual(self.book.due(), [Holding(PROGRAM, B)])

    def test_sweep_finds_programs_that_ended_unseen(self) -> None:
        self.book.record_sent(OTHER, A)
        self.assertEqual(self.book.sweep({PROGRAM}), [Holding(OTHER, A)])

    def test_sweep_bounds_how_long_idle_cache_is_held(self) -> None:
        self.clock.advance(30.0)
        self.book.record_sent(OTHER, A)
        self.clock.advance(30.0)
        self.assertEqual(
            set(self.book.sweep({PROGRAM, OTHER})), {Holding(PROGRAM, A), Holding(PROGRAM, B)}
        )

    def test_target_that_is_gone_needs_no_release(self) -> None:
        self.book.release(PROGRAM)
        self.book.record_sent(OTHER, A)
        self.book.forget_target(A)
        self.clock.advance(2.0)
        self.assertEqual(self.book.due(), [Holding(PROGRAM, B)])
        self.assertEqual(self.book.release(OTHER), [])


class PauseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.book = PauseTracker(DecisionSettings(hold_max_s=60.0), self.clock)

    def learn(self, *lengths_s: float) -> None:
        for length_s in lengths_s:
            self.book.begin(PROGRAM, NOTICE)
            self.clock.advance(length_s)
            self.book.end(PROGRAM)

    def test_unknown_and_short_pauses_keep_the_cache(self) -> None:
        self.assertIs(self.book.begin(PROGRAM, NOTICE), PauseDecision.KEEP)
        self.learn(1.0, 2.0, 50.0, 1.0)
        self.assertIs(self.book.begin(PROGRAM, NOTICE), PauseDecision.KEEP)

    def test_tool_that_usually_pauses_beyond_the_bound_lets_go(self) -> None:
        self.learn(100.0, 2.0, 200.0, 300.0, 90.0)
        self.assertIs(self.book.begin(PROGRAM, NOTICE), PauseDecision.RELEASE)

    def test_memory_is_bounded(self) -> None:
        self.learn(*[100.0] * 100)
        self.learn(*[1.0] * 100)
        self.assertEqual(self.book.expected_s(NOTICE), 1.0)


class DispatcherReleaseTest(unittest.IsolatedAsyncioTestCase):
    async def test_program_releases_where_it_was_sent(self) -> None:
        clock = FakeClock()
        dispatcher = Dispatcher(table(clock, engine("a"), hold_max_s=60.0), clock)
        call = work(blocks=blocks(1, 2), prompt_tokens=128)
        (await dispatcher.acquire(call)).unwrap()
        self.assertEqual(dispatcher.program_paused(call.program, NOTICE), [])
        clock.advance(100.0)
        dispatcher.program_resumed(call.program)
        self.assertEqual(dispatcher.program_ended(call.program), [Holding(call.program, A)])


if __name__ == "__main__":
    unittest.main()
