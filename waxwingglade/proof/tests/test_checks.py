"""Test that each check passes a valid run and reports each kind of its violations."""

import tempfile
import unittest
from pathlib import Path

import msgspec

from waxwingglade.base import ConfigVersion, ErrorCode, Failure, ProgramId, Verdict
from waxwingglade.connection.peer_messages import ProgramView
from waxwingglade.program import Done
from waxwingglade.proof import CHECKS, Point, check_all, load_history
from waxwingglade.proof.history import (
    Answered,
    CacheReported,
    ConfigInForce,
    DrainEnded,
    EffectSeen,
    GenerationSeen,
    NoAnswer,
    NoAnswerCause,
    TargetLeaving,
    TextReceived,
)
from waxwingglade.proof.tests.builders import (
    ENGINE,
    ENTRIES,
    FIRST,
    SECOND,
    change,
    valid_history,
    valid_run,
)

NOT_RUN = Failure(Verdict.NOT_RUN, ErrorCode.OVERLOADED, "refused")


def is_done(event):
    """Return whether an answer says that a call ran."""
    return isinstance(event.answer, Done)


def is_last_view_of(program):
    """Return a predicate that selects the last view of a program."""
    times = [
        event.at
        for event in valid_history().of(Answered)
        if isinstance(event.answer, ProgramView) and event.answer.program == program
    ]
    return lambda event: event.at == times[-1]


def last_view(program):
    """Return the last view of a program."""
    pick = is_last_view_of(program)
    return next(event.answer for event in valid_history().of(Answered) if pick(event))


class Checks(unittest.TestCase):
    def assert_found(self, point, history):
        """Assert that the check of a guarantee reports a violation."""
        self.assertTrue(CHECKS[point](history), point)

    def test_a_valid_run_passes_every_check(self):
        self.assertEqual([], check_all(valid_history()))

    def test_a_saved_history_has_the_same_verdict(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "runs" / "history.jsonl"
            history = valid_history()
            history.save(path)
            loaded = load_history(path)
        self.assertEqual(history.seed, loaded.seed)
        self.assertEqual(sorted(map(str, history.events)), sorted(map(str, loaded.events)))
        self.assertEqual([], check_all(loaded))

    def test_order_of_a_late_effect(self):
        history = valid_history()
        change(history, EffectSeen, lambda seen: seen.program == FIRST, arrived=900.0)
        self.assert_found(Point.ORDER, history)

    def test_order_of_a_call_repeated_after_the_next_one(self):
        run = valid_run()
        first = run.history.of(GenerationSeen)[0]
        run.record(msgspec.structs.replace(first, at=run.tick()))
        self.assert_found(Point.ORDER, run.history)

    def test_history_lost(self):
        history = valid_history()
        view = last_view(FIRST)
        shorter = msgspec.structs.replace(view, history=view.history[:2], calls=view.calls[:1])
        change(history, Answered, is_last_view_of(FIRST), answer=shorter)
        self.assert_found(Point.HISTORY, history)

    def test_history_of_another_program(self):
        history = valid_history()
        view = last_view(FIRST)
        mixed = msgspec.structs.replace(view, history=view.history + last_view(SECOND).history[:2])
        change(history, Answered, is_last_view_of(FIRST), answer=mixed)
        self.assert_found(Point.HISTORY, history)

    def test_prompt_of_another_history(self):
        history = valid_history()
        seen = history.of(GenerationSeen)
        change(history, GenerationSeen, lambda each: True, conversation=seen[1].conversation)
        self.assert_found(Point.HISTORY, history)

    def test_history_that_cannot_be_read(self):
        history = valid_history()
        unavailable = Failure(Verdict.NOT_RUN, ErrorCode.UNAVAILABLE, "no copies")
        change(history, Answered, is_last_view_of(SECOND), answer=unavailable)
        self.assert_found(Point.HISTORY, history)

    def test_budget_of_tokens(self):
        history = valid_history()
        change(history, GenerationSeen, lambda seen: seen.program == SECOND, prompt_tokens=995)
        self.assert_found(Point.BUDGET, history)

    def test_budget_of_money(self):
        history = valid_history()
        price = last_view(SECOND).budget.money_microcents + 1
        change(history, EffectSeen, lambda seen: seen.program == SECOND, price_microcents=price)
        self.assert_found(Point.BUDGET, history)

    def test_budget_of_reserved_tokens_and_turns(self):
        for changes in ({"tokens_reserved": 1001}, {"turns": 11}):
            history = valid_history()
            view = msgspec.structs.replace(last_view(SECOND), **changes)
            change(history, Answered, is_last_view_of(SECOND), answer=view)
            self.assert_found(Point.BUDGET, history)

    def test_budget_of_wall_time(self):
        history = valid_history()
        view = last_view(SECOND)
        budget = msgspec.structs.replace(view.budget, wall_s=1.0)
        short = msgspec.structs.replace(view, budget=budget)
        change(history, Answered, is_last_view_of(SECOND), answer=short)
        self.assert_found(Point.BUDGET, history)

    def test_memory_held_for_an_ended_program(self):
        history = valid_history()
        change(history, CacheReported, lambda report: True, programs=[FIRST])
        self.assert_found(Point.RELEASE, history)

    def test_answers_swapped(self):
        history = valid_history()
        answers = [each for each in history.of(Answered) if is_done(each)]
        change(history, Answered, lambda each: each.at == answers[0].at, answer=answers[1].answer)
        self.assert_found(Point.ANSWERS, history)

    def test_truncated_answers(self):
        history = valid_history()
        complete = next(each.answer for each in history.of(Answered) if is_done(each))
        truncated = msgspec.structs.replace(complete, text=complete.text[:-4])
        change(history, Answered, is_done, answer=truncated)
        self.assert_found(Point.ANSWERS, history)

    def test_answers_with_a_gap_in_the_stream(self):
        history = valid_history()
        change(history, TextReceived, lambda piece: piece.offset == 5, offset=6)
        self.assert_found(Point.ANSWERS, history)

    def test_requests_without_an_answer(self):
        history = valid_history()
        no_answer = NoAnswer(NoAnswerCause.TIMEOUT)
        change(history, Answered, is_last_view_of(SECOND), answer=no_answer)
        self.assert_found(Point.ANSWERS, history)

    def test_a_refused_call_that_ran(self):
        history = valid_history()
        change(history, Answered, is_done, answer=NOT_RUN)
        self.assert_found(Point.NOT_RUN, history)

    def test_an_effect_without_a_request(self):
        history = valid_history()
        change(history, EffectSeen, lambda seen: True, program=ProgramId("z.e.i.0.foreign"))
        self.assert_found(Point.NOT_RUN, history)

    def test_a_repeated_non_idempotent_effect(self):
        run = valid_run()
        run.record(run.history.of(EffectSeen)[0])
        self.assert_found(Point.AT_MOST_ONCE, run.history)

    def test_work_for_a_leaving_target(self):
        history = valid_history()
        change(history, TargetLeaving, lambda left: True, at=1.0)
        self.assert_found(Point.LEAVING, history)

    def test_a_request_cut_off_by_a_drain(self):
        for answer in (
            NoAnswer(NoAnswerCause.CUT),
            Failure(Verdict.MAY_HAVE_RUN, ErrorCode.CANCELLED, "cut short"),
        ):
            run = valid_run()
            drain = run.history.of(DrainEnded)[0]
            change(
                run.history,
                Answered,
                lambda each, end=drain: end.at - 2 < each.at < end.at,
                answer=answer,
            )
            self.assert_found(Point.DRAIN, run.history)

    def test_a_drain_that_failed(self):
        history = valid_history()
        change(history, DrainEnded, lambda end: True, exit_status=-9)
        self.assert_found(Point.DRAIN, history)

    def test_configuration_that_reverts(self):
        run = valid_run()
        run.record(ConfigInForce(run.tick(), ENTRIES[1], ConfigVersion(1), "one"))
        self.assert_found(Point.CONFIG, run.history)

    def test_configuration_that_is_not_applied(self):
        history = valid_history()
        late = 1000.0
        change(
            history, ConfigInForce, lambda r: r.entry == ENTRIES[1] and r.version == 2, entry="x"
        )
        history.record(ConfigInForce(late, ENTRIES[1], ConfigVersion(1), "one"))
        self.assert_found(Point.CONFIG, history)

    def test_configuration_with_two_contents(self):
        history = valid_history()
        change(history, ConfigInForce, lambda report: report.version == 2, digest="other")
        self.assert_found(Point.CONFIG, history)

    def test_every_point_has_a_check(self):
        self.assertEqual(set(Point), set(CHECKS))

    def test_targets_are_named_in_violations(self):
        history = valid_history()
        change(history, TargetLeaving, lambda left: True, at=1.0)
        self.assertIn(ENGINE, str(CHECKS[Point.LEAVING](history)[0]))
