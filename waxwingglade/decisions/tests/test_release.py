"""Release of cache at the end of programs and during long pauses."""

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
        self.tracker = ReleaseTracker(settings, self.clock)
        self.tracker.record_sent(PROGRAM, A)
        self.tracker.record_sent(PROGRAM, B)

    def test_end_releases_every_target_that_was_used(self) -> None:
        self.assertEqual(
            set(self.tracker.release(PROGRAM)), {Holding(PROGRAM, A), Holding(PROGRAM, B)}
        )
        self.assertEqual(self.tracker.release(PROGRAM), [])

    def test_release_is_repeated_until_it_is_acknowledged(self) -> None:
        self.tracker.release(PROGRAM)
        self.tracker.acknowledge(Holding(PROGRAM, A))
        self.assertEqual(self.tracker.due(), [])
        for _ in range(3):
            self.clock.advance(2.0)
            self.assertEqual(self.tracker.due(), [Holding(PROGRAM, B)])
        self.tracker.acknowledge(Holding(PROGRAM, B))
        self.clock.advance(2.0)
        self.assertEqual(self.tracker.due(), [])

    def test_resent_release_does_not_affect_cache_in_use_again(self) -> None:
        self.tracker.release(PROGRAM)
        self.tracker.record_sent(PROGRAM, A)
        self.clock.advance(2.0)
        self.assertEqual(self.tracker.due(), [Holding(PROGRAM, B)])

    def test_sweep_finds_programs_with_an_unobserved_end(self) -> None:
        self.tracker.record_sent(OTHER, A)
        self.assertEqual(self.tracker.sweep({PROGRAM}), [Holding(OTHER, A)])

    def test_sweep_bounds_how_long_idle_cache_is_held(self) -> None:
        self.clock.advance(30.0)
        self.tracker.record_sent(OTHER, A)
        self.clock.advance(30.0)
        self.assertEqual(
            set(self.tracker.sweep({PROGRAM, OTHER})), {Holding(PROGRAM, A), Holding(PROGRAM, B)}
        )

    def test_removed_target_needs_no_release(self) -> None:
        self.tracker.release(PROGRAM)
        self.tracker.record_sent(OTHER, A)
        self.tracker.forget_target(A)
        self.clock.advance(2.0)
        self.assertEqual(self.tracker.due(), [Holding(PROGRAM, B)])
        self.assertEqual(self.tracker.release(OTHER), [])


class PauseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.tracker = PauseTracker(DecisionSettings(hold_max_s=60.0), self.clock)

    def record_pauses(self, *lengths_s: float) -> None:
        for length_s in lengths_s:
            self.tracker.begin(PROGRAM, NOTICE)
            self.clock.advance(length_s)
            self.tracker.end(PROGRAM)

    def test_cache_is_retained_in_unknown_and_short_pauses(self) -> None:
        self.assertIs(self.tracker.begin(PROGRAM, NOTICE), PauseDecision.KEEP)
        self.record_pauses(1.0, 2.0, 50.0, 1.0)
        self.assertIs(self.tracker.begin(PROGRAM, NOTICE), PauseDecision.KEEP)

    def test_cache_is_released_if_pauses_usually_exceed_the_bound(self) -> None:
        self.record_pauses(100.0, 2.0, 200.0, 300.0, 90.0)
        self.assertIs(self.tracker.begin(PROGRAM, NOTICE), PauseDecision.RELEASE)

    def test_memory_is_bounded(self) -> None:
        self.record_pauses(*[100.0] * 100)
        self.record_pauses(*[1.0] * 100)
        self.assertEqual(self.tracker.expected_s(NOTICE), 1.0)


class DispatcherReleaseTest(unittest.IsolatedAsyncioTestCase):
    async def test_program_releases_cache_at_its_targets(self) -> None:
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
