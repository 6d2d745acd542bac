"""Targets whose models change while calls wait."""

import asyncio
import unittest
import unittest.mock

from waxwingglade.base import ClassName, ProgramId, TargetId, TenantId, ZoneId, monotonic
from waxwingglade.decisions import DecisionSettings, Dispatcher, TargetTable, Work
from waxwingglade.decisions.work import BlockHash, Pool
from waxwingglade.settings import ProgramPolicy, TargetKind, TargetSettings

ENGINE = TargetId("engine-1")
DISABLED_S = 1e6
TIMEOUT_S = 20.0
BLOCKS = (BlockHash(1), BlockHash(2))


def work(model):
    """Return a call of a model."""
    now = monotonic()
    return Work(
        program=ProgramId("p"),
        tenant=TenantId("t"),
        program_class=ClassName("c"),
        policy=ProgramPolicy(),
        pool=Pool(model),
        created_at=now,
        deadline_at=now + 1000.0,
        blocks=BLOCKS,
        prompt_tokens=64,
        expected_output_tokens=1,
    )


class Models(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = TargetTable(DecisionSettings(), ZoneId("z"), monotonic, seed=1)
        for number in (1, 2):
            url = "http://127.0.0.1:9"
            models = ["base", "old"] if number == 1 else ["old"]
            self.table.add(
                TargetSettings(f"engine-{number}", TargetKind.MODEL, "z", url, models, slots=1)
            )
        self.dispatcher = Dispatcher(self.table, monotonic)

    async def test_a_target_with_a_cached_prompt_gets_no_calls_of_a_removed_model(self):
        self.table.cache.add(self.table.targets[ENGINE].number, BLOCKS)
        self.dispatcher.set_models(ENGINE, ["base"])
        grant = (await self.dispatcher.acquire(work("old"))).unwrap()
        self.assertEqual("engine-2", grant.target)

    async def test_a_waiting_call_goes_to_a_target_that_loaded_its_model(self):
        first = (await self.dispatcher.acquire(work("base"))).unwrap()
        self.assertEqual(ENGINE, first.target)
        with unittest.mock.patch("waxwingglade.decisions.dispatch.RECHECK_S", DISABLED_S):
            waiting = asyncio.create_task(self.dispatcher.acquire(work("base")))
            await asyncio.sleep(0)
            self.dispatcher.set_models(TargetId("engine-2"), ["base"])
            async with asyncio.timeout(TIMEOUT_S):
                self.assertEqual("engine-2", (await waiting).unwrap().target)

    async def test_a_model_that_no_target_has_is_refused(self):
        self.dispatcher.set_models(ENGINE, [])
        self.assertTrue((await self.dispatcher.acquire(work("base"))).is_err())
        self.table.remove(ENGINE)
        self.assertEqual({TargetId("engine-2")}, set(self.table.pools[Pool("old")]))
