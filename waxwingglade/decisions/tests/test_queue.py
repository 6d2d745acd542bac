"""Order, fairness and refusals of the queue."""

import asyncio
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingglade.base import Err, ErrorCode, Verdict
from waxwingglade.decisions import TicketState
from waxwingglade.decisions.tests.builders import FakeClock, offer, queue, take_next, work
from waxwingglade.settings import Urgency

URGENT, NORMAL, ROUTINE = Urgency.URGENT, Urgency.NORMAL, Urgency.ROUTINE


class OrderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()

    def test_urgent_goes_before_routine_that_came_first(self) -> None:
        waiting = queue(self.clock)
        routine, normal, urgent = offer(waiting, work(ROUTINE), work(NORMAL), work(URGENT))
        self.assertEqual([take_next(waiting) for _ in range(3)], [urgent, normal, routine])

    def test_program_due_first_goes_first(self) -> None:
        waiting = queue(self.clock)
        late, early = offer(waiting, work(deadline_at=900.0), work(deadline_at=500.0))
        self.assertEqual([take_next(waiting) for _ in range(2)], [early, late])

    def test_calls_that_waited_long_get_their_share(self) -> None:
        waiting = queue(self.clock, lower_share=0.25, ageing_s=10.0)
        offer(waiting, *[work(ROUTINE) for _ in range(20)])
        self.clock.advance(10.0)
        offer(waiting, *[work(URGENT) for _ in range(40)])
        granted = Counter(take_next(waiting).work.policy.urgency for _ in range(40))
        self.assertEqual(granted[ROUTINE], 8)

    def test_calls_that_waited_briefly_get_no_share(self) -> None:
        waiting = queue(self.clock, lower_share=0.25, ageing_s=10.0)
        offer(waiting, *[work(ROUTINE) for _ in range(20)])
        self.clock.advance(9.0)
        offer(waiting, *[work(URGENT) for _ in range(40)])
        granted = Counter(take_next(waiting).work.policy.urgency for _ in range(40))
        self.assertEqual(granted[ROUTINE], 0)

    def test_share_goes_to_the_call_that_waited_longest(self) -> None:
        waiting = queue(self.clock, lower_share=1.0, ageing_s=10.0)
        (first,) = offer(waiting, work(ROUTINE))
        self.clock.advance(5.0)
        offer(waiting, work(NORMAL))
        self.clock.advance(10.0)
        offer(waiting, work(URGENT), work(URGENT))
        take_next(waiting)
        self.assertIs(take_next(waiting), first)


class FairnessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()

    def test_tenants_get_service_by_weight(self) -> None:
        waiting = queue(self.clock)
        offer(waiting, *[work(tenant="light", weight=1.0) for _ in range(60)])
        offer(waiting, *[work(tenant="heavy", weight=3.0) for _ in range(60)])
        granted = Counter(take_next(waiting).work.tenant for _ in range(40))
        self.assertAlmostEqual(granted["heavy"], 30, delta=1)

    def test_flood_of_one_tenant_does_not_delay_another(self) -> None:
        waiting = queue(self.clock)
        offer(waiting, *[work(tenant="flood", deadline_at=500.0) for _ in range(100)])
        take_next(waiting)
        (other,) = offer(waiting, work(tenant="quiet", deadline_at=900.0))
        self.assertIn(other, [take_next(waiting) for _ in range(2)])

    def test_idle_tenant_accumulates_no_credit(self) -> None:
        waiting = queue(self.clock)
        offer(waiting, *[work(tenant="busy") for _ in range(50)])
        for _ in range(20):
            take_next(waiting)
        offer(waiting, *[work(tenant="idle") for _ in range(50)])
        granted = Counter(take_next(waiting).work.tenant for _ in range(20))
        self.assertAlmostEqual(granted["busy"], 10, delta=1)


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()

    def test_unreachable_deadline_is_refused_at_once(self) -> None:
        waiting = queue(self.clock)
        offer(waiting, *[work() for _ in range(100)])
        for _ in range(50):
            self.clock.advance(1.0)
            take_next(waiting)
        outcome = waiting.offer(work(deadline_at=self.clock() + 10.0))
        self.assertIsInstance(outcome, Err)
        failure = outcome.err_value
        self.assertIs(failure.verdict, Verdict.NOT_RUN)
        self.assertIs(failure.code, ErrorCode.DEADLINE)
        self.assertGreater(failure.retry_after_s, 10.0)
        self.assertFalse(isinstance(waiting.offer(work(deadline_at=1e6)), Err))

    def test_service_that_ends_after_the_deadline_is_refused(self) -> None:
        outcome = queue(self.clock).offer(work(deadline_at=101.0), service_s=2.0)
        self.assertIs(outcome.err_value.code, ErrorCode.DEADLINE)

    def test_waiting_calls_of_a_tenant_are_bounded(self) -> None:
        waiting = queue(self.clock)
        offer(waiting, work(queue_limit=2), work(queue_limit=2))
        refused = waiting.offer(work(queue_limit=2)).err_value
        self.assertIs(refused.verdict, Verdict.NOT_RUN)
        self.assertIs(refused.code, ErrorCode.OVERLOADED)
        self.assertIsNotNone(refused.retry_after_s)
        offer(waiting, work(tenant="other", queue_limit=2))

    async def test_urgent_call_replaces_the_tenants_routine_one(self) -> None:
        waiting = queue(self.clock)
        routine, _ = offer(waiting, work(ROUTINE, queue_limit=2), work(NORMAL, queue_limit=2))
        routine.answer = asyncio.get_running_loop().create_future()
        (urgent,) = offer(waiting, work(URGENT, queue_limit=2))
        self.assertIs(routine.state, TicketState.REFUSED)
        self.assertIs(routine.answer.result().err_value.code, ErrorCode.OVERLOADED)
        self.assertIs(take_next(waiting), urgent)


class EveryCallEndsOnceTest(unittest.TestCase):
    @settings(deadline=None, max_examples=200, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["offer", "offer", "take", "cancel"]),
                st.sampled_from(list(Urgency)),
                st.sampled_from(["a", "b", "c"]),
                st.integers(0, 30),
            ),
            max_size=80,
        )
    )
    def test_each_offer_is_granted_refused_or_cancelled_once(self, steps) -> None:
        clock = FakeClock()
        waiting = queue(clock, ageing_s=3.0, lower_share=0.3, look_ahead=2)
        tickets = []
        ended: Counter = Counter()
        refused = 0
        for action, urgency, tenant, number in steps:
            clock.advance(number / 10)
            if action == "offer":
                call = work(urgency, tenant, clock() + number, queue_limit=4)
                outcome = waiting.offer(call)
                refused += isinstance(outcome, Err)
                tickets += [] if isinstance(outcome, Err) else [outcome.ok_value]
            elif action == "take" and len(waiting):
                ended[take_next(waiting, number / 10)] += 1
            elif action == "cancel" and tickets:
                ticket = tickets[number % len(tickets)]
                ended[ticket] += waiting.cancel(ticket)
            left = [ticket for ticket in tickets if ticket.state is TicketState.WAITING]
            self.assertEqual(len(waiting), len(left))
            self.assertLessEqual(set(waiting.candidates()), set(left))
        while len(waiting):
            ended[take_next(waiting)] += 1
        for ticket in tickets:
            pushed_out = ticket.state is TicketState.REFUSED
            self.assertEqual(ended[ticket] + pushed_out, 1)
        offers = sum(action == "offer" for action, *_ in steps)
        self.assertEqual(len(tickets) + refused, offers)


if __name__ == "__main__":
    unittest.main()
