"""Test the batching of the engine stand-in with simulated time."""

import asyncio
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.connection.tests.target_builders import FIXED
from waxwingglade.standins import EngineFaults, answer_text
from waxwingglade.standins.tests.engine_builders import MODEL, engine_core, job_request, run_all

BRIEF = "a brief of many words " * 30


class BatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_run_by_priority_number_then_arrival(self) -> None:
        core, _ = engine_core(slots=1)
        jobs = [
            core.submit(job_request(name, priority=priority))
            for name, priority in (("a", 2), ("b", 1), ("c", 2), ("d", 0))
        ]
        await run_all(core, *jobs)
        order = sorted(core.records, key=lambda each: each.admitted)
        self.assertEqual(["d", "b", "a", "c"], [each.request_id for each in order])

    async def test_requests_share_steps(self) -> None:
        core, time = engine_core(slots=2, step_s=1.0, step_per_request_s=0.5)
        jobs = [core.submit(job_request(name, tokens=4)) for name in ("a", "b")]
        await run_all(core, *jobs)
        # The first step prefills both requests; the other three decode two requests each.
        self.assertAlmostEqual(1.0 + 3 * 1.5, time.now, places=2)

    async def test_prefill_takes_time_unless_cached(self) -> None:
        core, time = engine_core(step_s=0.0, prefill_tokens_per_s=100.0)
        await run_all(core, core.submit(job_request("a", BRIEF, program="p")))
        first, time.now = time.now, 0.0
        await run_all(core, core.submit(job_request("b", BRIEF, program="p")))
        self.assertGreater(first, 10 * time.now)
        again = core.records[1]
        self.assertEqual(again.prompt_tokens - again.cached_tokens, round(time.now * 100))

    async def test_repeated_prefill_is_counted(self) -> None:
        core, _ = engine_core(cache_blocks=12)
        await run_all(core, core.submit(job_request("a", BRIEF)))
        await run_all(core, core.submit(job_request("b", BRIEF.upper())))
        self.assertEqual(0, core.prefilled_again_tokens())
        await run_all(core, core.submit(job_request("c", BRIEF)))
        last = core.records[2]
        self.assertGreater(core.prefilled_again_tokens(), 0)
        self.assertEqual(last.again_tokens, core.prefilled_again_tokens())

    async def test_prefill_that_another_engine_holds_is_counted(self) -> None:
        core, _ = engine_core()
        other, _ = engine_core()
        core.group = other.group = [core, other]
        await run_all(other, other.submit(job_request("a", BRIEF)))
        await run_all(core, core.submit(job_request("b", BRIEF)))
        record = core.records[0]
        self.assertEqual(record.prompt_tokens // 16 * 16, record.elsewhere_tokens)

    async def test_cancel_frees_the_slot_and_caches_the_computed_blocks(self) -> None:
        core, _ = engine_core(slots=1)
        first = core.submit(job_request("a", BRIEF, tokens=1000))
        second = core.submit(job_request("b"))
        running = asyncio.create_task(core.run())
        await first.outputs.get()
        self.assertTrue(core.cancel("a"))
        running.cancel()
        await run_all(core, second)
        self.assertEqual(["cancelled", "stop"], [each.outcome for each in core.records])
        self.assertGreater(core.cache.match(first.blocks), 0)
        self.assertFalse(core.cache.pins)
        self.assertFalse(core.cancel("a"))

    async def test_release_during_a_request_does_not_release_its_cache(self) -> None:
        core, _ = engine_core()
        job = core.submit(job_request("a", BRIEF, tokens=50))
        running = asyncio.create_task(core.run())
        await job.outputs.get()
        core.release(job.request.program)
        self.assertEqual({}, core.cache.held)
        running.cancel()
        await run_all(core, job)
        self.assertIn(job.request.program, core.cache.held)

    async def test_hanging_engine_makes_no_step(self) -> None:
        core, time = engine_core()
        core.faults = EngineFaults(hang=True)
        job = core.submit(job_request("a"))
        running = asyncio.create_task(core.run())
        while time.now < 1.0:
            await asyncio.sleep(0)
        self.assertTrue(job.outputs.empty())
        core.faults = EngineFaults()
        running.cancel()
        self.assertEqual(4 * 4, len((await run_all(core, job))[0]))

    async def test_slow_factor(self) -> None:
        core, time = engine_core(step_s=1.0)
        core.faults = EngineFaults(slow_factor=3.0)
        await run_all(core, core.submit(job_request("a", tokens=4)))
        self.assertAlmostEqual(12.0, time.now, places=2)


class ResumeTest(unittest.TestCase):
    @FIXED
    @given(st.text(max_size=100), st.integers(1, 30), st.data())
    def test_resumed_answer_equals_the_uninterrupted_one(
        self, text: str, tokens: int, data: st.DataObject
    ) -> None:
        request = job_request("a", text, tokens)
        complete = answer_text(MODEL, request.messages, tokens)
        start = complete[: 4 * data.draw(st.integers(0, tokens))]
        resumed = msgspec.structs.replace(request, resume_text=start)
        core, _ = engine_core()
        rest = asyncio.run(self._run(core, resumed))
        self.assertEqual(complete, start + rest)
        self.assertTrue(core.records[0].resume_matches)

    def test_a_wrong_start_is_recorded(self) -> None:
        core, _ = engine_core()
        resumed = msgspec.structs.replace(job_request("a"), resume_text="oops")
        asyncio.run(self._run(core, resumed))
        self.assertFalse(core.records[0].resume_matches)

    async def _run(self, core, request) -> str:
        return (await run_all(core, core.submit(request)))[0]


if __name__ == "__main__":
    unittest.main()
