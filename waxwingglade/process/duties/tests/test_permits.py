"""Permits are never exceeded, and orders lead to any desired state."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.base import TargetId
from waxwingglade.connection import EngineOrder, EngineState, OrderKind
from waxwingglade.connection.tests.store_builders import ManualClock
from waxwingglade.connection.tests.target_builders import FIXED
from waxwingglade.process.duties.desired import DesiredTarget
from waxwingglade.process.duties.permits import MINUTE_S, LoadPermits
from waxwingglade.process.duties.reconcile import has_effect, next_step, serving
from waxwingglade.settings import WeightStoreSettings
from waxwingglade.standins.engine_orders import OrderExecutor

NAMES = st.lists(st.sampled_from("abcd"), unique=True)
ADAPTERS = st.lists(st.sampled_from("xyz"), unique=True)
ROLES = st.sampled_from(["", "prefill", "decode"])
WANTED = st.builds(DesiredTarget, NAMES.filter(bool), ADAPTERS, ROLES)
TARGETS = st.sampled_from([TargetId(f"engine-{number}") for number in range(5)])
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["wait", "begin", "take", "end", "give_back"]),
        TARGETS,
        st.floats(0.0, 90.0),
    ),
    max_size=60,
)
ROUNDING = 1e-6


class Permits(unittest.TestCase):
    @FIXED
    @given(EVENTS, st.integers(1, 3), st.floats(0.5, 30.0))
    def test_no_order_of_events_exceeds_them(self, events, at_once, per_minute):
        clock = ManualClock()
        permits = LoadPermits(WeightStoreSettings(at_once, per_minute), clock)
        running = set()
        taken = []
        for event, target, seconds in events:
            if event == "wait":
                clock.now += seconds
            elif event == "begin" and permits.begin(target):
                running.add(target)
            elif event == "end":
                permits.end(target)
                running.discard(target)
            elif event == "take":
                # Take all tokens, and try to take more than there can ever be.
                got = sum(permits.take() for _ in range(2 * at_once))
                taken += [clock.now] * got
            elif event == "give_back" and taken:
                permits.give_back()
                taken.pop()
            self.assertLessEqual(len(running), at_once)
        self.check_rate(taken, at_once, per_minute)

    def check_rate(self, taken, burst, per_minute):
        """Check that no interval has more tokens than the rate allows plus one burst."""
        for first, start in enumerate(taken):
            for last in range(first, len(taken)):
                allowed = (taken[last] - start) * per_minute / MINUTE_S + burst
                self.assertLessEqual(last - first + 1, allowed + ROUNDING)

    @FIXED
    @given(st.lists(st.floats(0.0, 200.0), max_size=8), st.integers(1, 3), st.floats(0.5, 30.0))
    def test_holders_in_a_row_add_no_burst_of_their_own(self, terms, at_once, per_minute):
        clock = ManualClock()
        start, taken = clock.now, 0
        for seconds in terms:
            permits = LoadPermits(WeightStoreSettings(at_once, per_minute), clock)
            clock.now += seconds
            taken += sum(permits.take() for _ in range(at_once + 1))
        self.assertLessEqual(taken, (clock.now - start) * per_minute / MINUTE_S + ROUNDING)


class Steps(unittest.TestCase):
    @FIXED
    @given(NAMES, ADAPTERS, ROLES, WANTED)
    def test_orders_lead_to_the_desired_state(self, models, adapters, role, desired):
        book = OrderExecutor(models, ManualClock(), 0.0, honours_fencing=True)
        book.adapters, book.role = list(adapters), role
        given_orders = []
        while (step := next_step(desired, book.state())) is not None:
            self.assertFalse(has_effect(step, book.state()))
            self.assertTrue(book.take(EngineOrder(step.kind, step.value, 1)))
            self.assertTrue(has_effect(step, book.state()))
            given_orders.append(step)
        state = book.state()
        self.assertEqual(set(desired.models), set(state.models))
        self.assertEqual(set(desired.adapters), set(state.adapters))
        self.assertEqual(desired.role or role, state.role)
        self.assertEqual(len(set(given_orders)), len(given_orders))

    def test_unloading_comes_first_and_an_undesired_model_gets_no_calls(self):
        desired = DesiredTarget(["new"], ["tone"])
        state = EngineState(["old"], ["tone"])
        self.assertEqual(OrderKind.UNLOAD_MODEL, next_step(desired, state).kind)
        self.assertEqual(["tone"], serving(desired, state))
