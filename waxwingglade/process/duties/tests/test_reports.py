"""From a desired state set by an operator to the calls that targets get, with real entries."""

import unittest

from waxwingglade.connection.peer_messages import TargetReport
from waxwingglade.connection.tests.caller_builders import client, create, model_call
from waxwingglade.demo.embedded import EmbeddedSettings, embedded
from waxwingglade.process.duties.reports import apply_reports
from waxwingglade.process.duties.tests.builders import QUICK, until
from waxwingglade.process.tests.test_operating import OPERATORS, system
from waxwingglade.settings import WeightStoreSettings

PERMITS = WeightStoreSettings(loads_at_once=2, loads_per_minute=60_000.0)
QUICK_ORDERS = {"target_orders": QUICK, "weight_store": PERMITS}


class EndToEnd(unittest.IsolatedAsyncioTestCase):
    async def test_every_entry_sends_calls_only_where_the_model_is_loaded(self):
        zones = ("helsinki-1", "helsinki-1", "helsinki-1")
        async with system(*zones, **QUICK_ORDERS) as (running, http, operator):
            for name in ("engine-1", "engine-2"):
                models = ["base"] if name == "engine-1" else ["base@2"]
                put = await operator("petra").send("PUT", f"/v1/targets/{name}", {"models": models})
                self.assertEqual(200, put.status)
            await until(lambda: [serves(each) for each in running.daemons] == [PLACED] * 3)
            for entry in range(3):
                caller = client(running, http, entry)
                path = f"/v1/programs/{await create(caller)}/calls"
                for number, model in enumerate(("base@2", "base")):
                    call = {**model_call(f"m{number}", "hello"), "model": model}
                    answer = await caller.json("POST", path, call)
                    self.assertEqual("done", answer["type"], answer)
            served = [{each.model for each in engine.records} for engine in running.engines]
            self.assertEqual([{"base"}, {"base@2"}], served)
            status = await operator("vera", 2).json("GET", "/v1/orders")
            self.assertIn(status["holder"], {"entry-1", "entry-2", "entry-3"})
            self.assertEqual([True, True], [each["agrees"] for each in status["targets"]])

    async def test_an_entry_that_starts_later_gets_all_reports(self):
        zones = ("helsinki-1", "helsinki-1")
        async with system("helsinki-1", **QUICK_ORDERS) as (running, _, operator):
            await operator("petra").send("PUT", "/v1/targets/engine-1", {"models": ["base@2"]})
            await until(lambda: serves(running.daemons[0]).get("base@2") == ["engine-1"])
            running.settings = EmbeddedSettings(zones, operators=OPERATORS)
            late = await running.start_entry(1, **QUICK_ORDERS)
            await until(lambda: serves(late).get("base@2") == ["engine-1"])

    async def test_a_desired_state_can_be_removed(self):
        async with system("helsinki-1", **QUICK_ORDERS) as (running, _, operator):
            petra = operator("petra")
            await petra.send("PUT", "/v1/targets/engine-1", {"models": ["base@2"]})
            await until(lambda: "engine-1" not in serves(running.daemons[0])["base"])
            await petra.send("DELETE", "/v1/targets/engine-1?base_version=1")
            await until(lambda: "engine-1" in serves(running.daemons[0])["base"])
            view = await petra.json("GET", "/v1/targets/engine-1")
            self.assertEqual((None, 2, "petra"), (view["desired"], view["version"], "petra"))
            listed = await petra.json("GET", "/v1/targets")
            self.assertEqual(2, len(listed["targets"]))
            stale = await petra.send("PUT", "/v1/targets/engine-1", {**DESIRED, "base_version": 1})
            wrong = await petra.send("PUT", "/v1/targets/engine-1", {"models": []})
            unknown = await petra.send("PUT", "/v1/targets/engine-9", DESIRED)
            self.assertEqual([409, 400, 404], [stale.status, wrong.status, unknown.status])


class OutOfOrder(unittest.IsolatedAsyncioTestCase):
    async def test_a_report_that_arrives_late_changes_nothing(self):
        async with embedded() as running:
            entry = running.daemons[0].entry

            def report(fencing, number, *serving):
                apply_reports(entry, [TargetReport("engine-1", fencing, number, list(serving))])
                return serves(running.daemons[0])

            report(2, 2, "new")
            for fencing, number in ((2, 1), (1, 9), (2, 2)):
                self.assertEqual(["engine-1"], report(fencing, number, "old")["new"])
            self.assertEqual([], report(3, 1, "newest")["new"])


DESIRED = {"models": ["base"]}
PLACED = {"base": ["engine-1"], "base@2": ["engine-2"]}


def serves(daemon):
    """Return, for each model, the engines to which an entry may send calls."""
    pools = daemon.entry.table.pools
    return {pool: sorted(views) for pool, views in pools.items() if pool.startswith(("base", "n"))}
