"""Tests of the upper bounds and checks of budgets."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.base import ErrorCode, Verdict
from waxwingglade.program import Account, Amount, Message, MessageRole
from waxwingglade.program.budget import check_amount, check_time, check_turns, max_prompt_tokens
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
from waxwingglade.settings import Budget

BUDGET = Budget(tokens=100, money_microcents=1000, turns=2, wall_s=10.0)


class Checks(unittest.TestCase):
    def test_the_last_token_may_be_used_but_no_further_token(self):
        account = Account(spent=Amount(60, 0), reserved=Amount(30, 0))
        self.assertTrue(check_amount(account, BUDGET, Amount(10, 0)).is_ok())
        refused = check_amount(account, BUDGET, Amount(11, 0)).err_value
        self.assertEqual(
            (Verdict.NOT_RUN, ErrorCode.BUDGET_EXCEEDED), (refused.verdict, refused.code)
        )

    def test_money_is_limited(self):
        account = Account(spent=Amount(0, 999))
        self.assertTrue(check_amount(account, BUDGET, Amount(0, 1)).is_ok())
        self.assertTrue(check_amount(account, BUDGET, Amount(0, 2)).is_err())

    def test_turns_are_limited(self):
        self.assertTrue(check_turns(Account(turns=1), BUDGET).is_ok())
        self.assertTrue(check_turns(Account(turns=2), BUDGET).is_err())

    def test_wall_time_is_limited(self):
        state = fold(created(wall_s=10.0))[PROGRAM]
        self.assertTrue(check_time(state, BUDGET, 110.0).is_ok())
        self.assertTrue(check_time(state, BUDGET, 110.1).is_err())


class PromptBound(unittest.TestCase):
    @given(st.lists(st.text(max_size=50), max_size=4), st.text(max_size=50))
    def test_the_bound_covers_one_token_per_byte(self, turns, new):
        programs = fold(created())
        total = 0
        for number, text in enumerate(turns):
            call = f"m{number}"
            fold(started(model_call(call, text)), programs=programs)
            answer = done(text, tokens=len(text.encode()))
            fold(ended(call, answer), programs=programs)
            total = answer.usage.prompt_tokens + answer.usage.output_tokens
        bound = max_prompt_tokens(programs[PROGRAM], [Message(MessageRole.USER, new)])
        self.assertGreaterEqual(bound, total + len(new.encode()))

    def test_tool_results_since_the_last_answer_are_counted(self):
        programs = fold(created(), started(model_call("m1")), ended("m1", done()))
        before = max_prompt_tokens(programs[PROGRAM], [])
        fold(started(tool_call("t1")), ended("t1", done()), programs=programs)
        self.assertGreater(max_prompt_tokens(programs[PROGRAM], []), before)
