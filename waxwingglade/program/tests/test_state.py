"""Tests of the state that records produce."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.base import CallId, ErrorCode, Failure, FormatError, ProgramId, Verdict
from waxwingglade.program import Amount, MessageRole, decode_record, encode_record
from waxwingglade.program.records import CallMoved, Record, _encoder
from waxwingglade.program.tests.builders import (
    PROGRAM,
    created,
    done,
    ended,
    fold,
    model_call,
    started,
    tool_call,
)

REJECTED = Failure(Verdict.NOT_RUN, ErrorCode.OVERLOADED, "refused")
LOST = Failure(Verdict.MAY_HAVE_RUN, ErrorCode.OWNER_LOST, "lost")


class Calls(unittest.TestCase):
    def test_a_turn_is_added_to_the_history_when_it_has_an_answer(self):
        call = model_call("m1")
        state = fold(created(), started(call))[PROGRAM]
        self.assertEqual([], state.history)
        fold(ended("m1", done()), programs={PROGRAM: state})
        self.assertEqual(["hello", "answer"], [message.content for message in state.history])
        self.assertEqual(10, state.history_tokens)

    def test_a_failed_turn_adds_no_message_to_the_history(self):
        state = fold(created(), started(model_call("m1")), ended("m1", LOST))[PROGRAM]
        self.assertEqual([], state.history)

    def test_a_tool_result_is_added_to_the_history(self):
        state = fold(created(), started(tool_call("t1")), ended("t1", done()))[PROGRAM]
        self.assertEqual([MessageRole.TOOL], [message.role for message in state.history])

    def test_the_reservation_of_an_unfinished_call_counts(self):
        state = fold(created(), started(model_call("m1"), 50))[PROGRAM]
        self.assertEqual(Amount(50, 500), state.account.reserved)
        self.assertEqual(1, state.account.turns)

    def test_a_call_that_ended_counts_what_it_spent(self):
        state = fold(created(), started(model_call("m1"), 50), ended("m1", done(), 10))[PROGRAM]
        self.assertEqual(Amount(), state.account.reserved)
        self.assertEqual(Amount(10, 100), state.account.spent)

    def test_a_call_that_did_not_run_does_not_change_the_state(self):
        state = fold(created(), started(model_call("m1")), ended("m1", REJECTED, 0))[PROGRAM]
        self.assertEqual({}, state.calls)
        self.assertEqual((0, Amount()), (state.account.turns, state.account.spent))

    def test_the_reservation_for_a_second_target_ends_with_the_call(self):
        moved = CallMoved(CallId("m1"), "engine-2", Amount(7, 70))
        state = fold(created(), started(model_call("m1"), 50), moved)[PROGRAM]
        self.assertEqual(Amount(57, 570), state.account.reserved)
        fold(ended("m1", done(), 10), programs={PROGRAM: state})
        self.assertEqual(Amount(), state.account.reserved)

    def test_the_next_order_stays_while_the_call_may_be_repeated(self):
        call = model_call("m1", order=1)
        state = fold(created(), started(call), ended("m1", LOST))[PROGRAM]
        self.assertEqual(1, state.next_order)
        fold(started(call), ended("m1", done()), programs={PROGRAM: state})
        self.assertEqual(2, state.next_order)

    def test_only_idempotent_calls_may_be_repeated(self):
        state = fold(
            created(),
            started(model_call("m1")),
            ended("m1", LOST),
            started(tool_call("t1"), idempotent=False),
            ended("t1", LOST),
        )[PROGRAM]
        self.assertTrue(state.calls[CallId("m1")].repeatable())
        self.assertFalse(state.calls[CallId("t1")].repeatable())

    def test_sub_agents_are_charged_to_their_root(self):
        programs = fold(created())
        child = ProgramId(f"{PROGRAM}1")
        fold(created(PROGRAM), started(model_call("m1"), 50), programs=programs, program=child)
        self.assertEqual(PROGRAM, programs[child].root)
        self.assertEqual(Amount(50, 500), programs[PROGRAM].account.reserved)

    @given(st.lists(st.sampled_from(["run", "refuse", "lose"]), max_size=12))
    def test_nothing_is_reserved_once_all_calls_have_ended(self, endings):
        outcomes = {"run": done(), "refuse": REJECTED, "lose": LOST}
        programs = fold(created())
        for number, ending in enumerate(endings):
            call = f"m{number}"
            fold(started(model_call(call)), ended(call, outcomes[ending]), programs=programs)
        account = programs[PROGRAM].account
        self.assertEqual(Amount(), account.reserved)
        self.assertEqual(sum(ending != "refuse" for ending in endings), account.turns)


class Format(unittest.TestCase):
    def test_a_record_is_the_same_after_encoding_and_decoding(self):
        record = decode_record(encode_record(3, PROGRAM, started(model_call("m1"))))
        self.assertEqual((3, PROGRAM), (record.epoch, record.program))
        self.assertEqual(started(model_call("m1")), record.body)

    def test_a_newer_format_is_rejected(self):
        data = _encoder.encode(Record(99, 1, PROGRAM, created()))
        with self.assertRaisesRegex(FormatError, "newer"):
            decode_record(data)

    @given(st.binary(max_size=200))
    def test_random_bytes_are_rejected(self, data):
        with self.assertRaises(FormatError):
            decode_record(data)
