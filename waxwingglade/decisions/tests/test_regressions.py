"""Regression tests for faults of the decisions."""

import unittest
from unittest import mock

from waxwingglade.base import TargetId
from waxwingglade.decisions import health
from waxwingglade.decisions.tests.rule_builders import (
    FAR_S,
    USAGE,
    FakeClock,
    make_dispatcher,
    make_work,
    settle,
    start,
    view_of,
)
from waxwingglade.settings import Urgency

FIRST = TargetId("engine-0")
SECOND = TargetId("engine-1")
ROUNDS = 200


class RegressionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        patch = mock.patch("waxwingglade.decisions.dispatch.RECHECK_S", FAR_S)
        patch.start()
        self.addCleanup(patch.stop)
        self.clock = FakeClock()

    async def test_a_routine_call_is_served_under_lasting_urgent_load(self):
        dispatcher = make_dispatcher(self.clock, slots=4)
        urgent_work = make_work(self.clock, Urgency.URGENT)
        grants = [(await dispatcher.acquire(urgent_work)).unwrap() for _ in range(5)]
        routine = await start(dispatcher, make_work(self.clock, Urgency.ROUTINE))
        waiting = [
            await start(dispatcher, make_work(self.clock, Urgency.URGENT)) for _ in range(ROUNDS)
        ]
        for _ in range(ROUNDS):
            self.clock.advance(1.0)
            grants.pop(0).finished(USAGE)
            await settle()
            grants += [task.result().unwrap() for task in waiting if task.done()]
            waiting = [task for task in waiting if not task.done()]
            if routine.done():
                break
        self.assertTrue(routine.done())

    async def test_an_ejected_target_without_models_is_readmitted(self):
        dispatcher = make_dispatcher(self.clock, targets=4)
        health.eject(dispatcher.table, dispatcher.table.targets[FIRST])
        dispatcher.set_models(FIRST, [])
        self.clock.advance(60.0)
        (await dispatcher.acquire(make_work(self.clock))).unwrap()

    async def test_a_removed_target_does_not_count_among_the_ejected(self):
        dispatcher = make_dispatcher(self.clock, targets=6)
        for number in (0, 1):
            self.assertTrue(health.eject(dispatcher.table, view_of(dispatcher.table, number)))
        for target in (FIRST, SECOND):
            dispatcher.table.remove(target)
        self.assertTrue(health.eject(dispatcher.table, view_of(dispatcher.table, 2)))
