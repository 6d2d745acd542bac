"""Every call is granted, refused or cancelled exactly once, in any sequence of events."""

import asyncio
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingglade.base import Err, Ok, TargetId
from waxwingglade.decisions import LoadReport
from waxwingglade.decisions.tests.rule_builders import (
    BLOCKS,
    FAULT,
    USAGE,
    make_dispatcher,
    make_work,
    settle,
)
from waxwingglade.process.tests.virtual_time import run_in_virtual_time
from waxwingglade.settings import Urgency

TARGETS = 3
ROUNDS = 200
OFFERS = st.tuples(
    st.just("offer"),
    st.sampled_from(list(Urgency)),
    st.sampled_from(["a", "b"]),
    st.sampled_from([2.0, 10.0, 60.0]),
    st.integers(0, len(BLOCKS)),
)
STEPS = st.lists(
    st.one_of(
        OFFERS,
        OFFERS,
        st.tuples(st.sampled_from(["cancel", "finish", "fail"]), st.integers(0, 20)),
        st.tuples(st.just("wait"), st.sampled_from([0.0, 0.3, 3.0, 15.0])),
        st.tuples(st.just("leave"), st.integers(0, TARGETS - 1), st.booleans()),
        st.tuples(st.just("report"), st.integers(0, TARGETS - 1), st.integers(0, 3)),
        st.tuples(st.just("settle")),
    ),
    max_size=50,
)


class Run:
    """One run: the offered calls, their outcomes, and the open grants."""

    def __init__(self, case):
        self.case = case
        self.clock = asyncio.get_running_loop().time
        self.dispatcher = make_dispatcher(self.clock, TARGETS, slots=2)
        self.views = list(self.dispatcher.table.targets.values())
        self.tasks = []
        self.grants = []
        self.ends = Counter()

    async def acquire(self, number, work):
        try:
            outcome = await self.dispatcher.acquire(work)
        except asyncio.CancelledError:
            self.ends[number, "cancelled"] += 1
            return
        if isinstance(outcome, Err):
            self.ends[number, "refused"] += 1
            return
        assert isinstance(outcome, Ok)
        self.ends[number, "granted"] += 1
        self.case.assertFalse(outcome.ok_value.ended)
        self.grants.append(outcome.ok_value)

    def offer(self, urgency, tenant, deadline_s, depth):
        work = make_work(self.clock, urgency, tenant, deadline_s, BLOCKS[:depth], queue_limit=4)
        self.tasks.append(asyncio.create_task(self.acquire(len(self.tasks), work)))

    def cancel(self, number):
        if self.tasks:
            self.tasks[number % len(self.tasks)].cancel()

    def finish(self, number):
        if self.grants:
            grant = self.grants.pop(number % len(self.grants))
            grant.first_token()
            grant.finished(USAGE)

    def fail(self, number):
        if self.grants:
            self.grants.pop(number % len(self.grants)).failed(FAULT)

    def leave(self, number, leaving):
        self.dispatcher.set_leaving(TargetId(f"engine-{number}"), leaving)

    def report(self, number, running):
        load = LoadReport(running=running, age_s=0.1)
        self.dispatcher.report_load(TargetId(f"engine-{number}"), load)

    async def wait(self, seconds):
        await asyncio.sleep(seconds)

    async def settle(self):
        await settle()

    async def play(self, steps):
        """Apply every step, and then let all open calls end."""
        for name, *arguments in steps:
            done = getattr(self, name)(*arguments)
            if done is not None:
                await done
            for view in self.views:
                self.case.assertLessEqual(view.in_flight, view.limits[Urgency.URGENT])
        for _ in range(ROUNDS):
            while self.grants:
                self.finish(0)
            await asyncio.sleep(1.0)
        if self.tasks:
            # A task that is cancelled before its first step never requests a target.
            await asyncio.wait(self.tasks)
        for number, task in enumerate(self.tasks):
            if task.cancelled():
                self.ends[number, "cancelled"] += 1


class Ends(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(STEPS)
    def test_every_call_ends_exactly_once_and_nothing_stays_in_flight(self, steps):
        async def play():
            run = Run(self)
            await run.play(steps)
            return run

        run = run_in_virtual_time(play())
        self.assertEqual([], [task for task in run.tasks if not task.done()])
        self.assertEqual(
            [], [task for task in run.tasks if not task.cancelled() and task.exception()]
        )
        ended = Counter(number for number, _ in run.ends.elements())
        self.assertEqual({number: 1 for number in range(len(run.tasks))}, dict(ended))
        left = [(view.in_flight, view.waiting_preferred) for view in run.views]
        self.assertEqual([(0, 0)] * TARGETS, left)
        for queue in run.dispatcher.queues.values():
            self.assertEqual((0, {}), (len(queue), queue.waiting_of))
