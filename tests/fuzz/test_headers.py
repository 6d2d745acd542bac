"""Arbitrary numbers in the headers of targets."""

import math
import unittest

import hypothesis.strategies as st
from hypothesis import given, settings

from tests.fuzz.builders import FIXED
from waxwingglade.base import TargetId, ZoneId, monotonic
from waxwingglade.follow.model import ServiceName, Target
from waxwingglade.ingress.target_state import TargetState
from waxwingglade.platform.headers import LOAD, read_answer
from waxwingglade.transport import HttpResponse

MORE = settings(FIXED, max_examples=400)
TARGET = Target(TargetId("i"), ServiceName("s"), "10.0.0.1:1", ZoneId("z"), 8)

numbers = (
    st.integers().map(str)
    | st.floats().map(str)
    | st.text(max_size=8)
    | st.sampled_from(["9" * digits for digits in (10, 19, 20, 39, 309, 401, 5000)])
    | st.sampled_from(["-1", "inf", "nan", "1e400", "1e308", "\u0663", "1_0", " 7 "])
)
lists_of_numbers = st.lists(numbers, min_size=1, max_size=5).map(",".join)


class Headers(unittest.TestCase):
    @MORE
    @given(lists_of_numbers)
    def test_a_load_that_a_target_reports_keeps_no_request_from_it(self, value):
        load = read_answer(HttpResponse(200, [(LOAD, value)])).load
        state = TargetState(TARGET, monotonic)
        if load is not None:
            state.record_load(1.0, load)
        self.assertTrue(math.isfinite(state.load(1.1, 1.0)))
