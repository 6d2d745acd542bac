"""Loads of targets are distributed while another target does not answer."""

import asyncio
import unittest
from unittest import mock

import msgspec

from waxwingglade.base import Ok, TargetId
from waxwingglade.connection.engine_events import EngineLoad
from waxwingglade.process import sampling
from waxwingglade.process.tests.one_entry import one_entry, until

PERIOD_S = 0.05
REPORTS = 3
SLOW, QUICK = TargetId("engine-0"), TargetId("engine-1")


class SlowTarget(unittest.IsolatedAsyncioTestCase):
    async def test_a_target_that_does_not_answer_does_not_delay_the_loads_of_others(self):
        reported = []
        released = asyncio.Event()

        async def read_load(_client, target):
            if target.target == SLOW:
                await released.wait()
            return Ok(EngineLoad(0, 0, 0.0, 0.0))

        with mock.patch.object(sampling, "read_load", read_load):
            async with one_entry(sampling={"period_s": PERIOD_S}) as running:
                entry = running.entry
                quick = entry.targets[QUICK]
                entry.targets[SLOW] = msgspec.structs.replace(quick, target=SLOW)
                with mock.patch.object(entry.dispatcher, "report_load") as report_load:
                    report_load.side_effect = lambda target, report: reported.append(
                        (target, report.age_s)
                    )
                    await until(lambda: SLOW in sampling.assigned_targets(entry))
                    await asyncio.sleep(2 * PERIOD_S)
                    reported.clear()
                    await until(lambda: len(reported) >= REPORTS)
                    self.assertEqual({QUICK}, {target for target, _ in reported})
                    released.set()
                    await until(lambda: SLOW in dict(reported))
        first_age_s = next(age_s for target, age_s in reported if target == SLOW)
        self.assertGreaterEqual(first_age_s, REPORTS * PERIOD_S)


if __name__ == "__main__":
    unittest.main()
