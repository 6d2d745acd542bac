"""Test the stand-ins of the store and the platform over HTTP."""

import json
import unittest
from unittest import mock

from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from waxwingglade.connection.tests.store_builders import ManualClock
from waxwingglade.standins import (
    VM,
    PlatformStandin,
    StoreLimits,
    StoreStandin,
    VMState,
    store_state,
)
from waxwingglade.standins.store_state import LeaseRecord, StoreState


async def post(url: str, message: object) -> HTTPResponse:
    """Post JSON and return the answer with any status."""
    client = AsyncHTTPClient()
    return await client.fetch(url, method="POST", body=json.dumps(message), raise_error=False)


class StoreStandinTest(unittest.IsolatedAsyncioTestCase):
    """Tests of the protocol and the fault controls."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.standin = StoreStandin(StoreLimits(10.0, 10.0), self.clock)
        await self.standin.start()
        self.addAsyncCleanup(self.standin.stop)

    async def call(self, path: str, message: object) -> dict:
        """Return the decoded answer of a call."""
        return json.loads((await post(self.standin.url + path, message)).body)

    async def test_put_and_range(self) -> None:
        put = await self.call("/v3/kv/put", {"key": "aw==", "value": "dg=="})
        self.assertEqual(put, {"header": {"revision": "2"}})
        found = await self.call("/v3/kv/range", {"key": "aw=="})
        item = {"key": "aw==", "create_revision": "2", "mod_revision": "2"}
        self.assertEqual(found["kvs"], [{**item, "version": "1", "value": "dg=="}])

    async def test_compare_by_value(self) -> None:
        await self.call("/v3/kv/put", {"key": "aw==", "value": "dg=="})
        equal = {"key": "aw==", "target": "VALUE", "value": "dg=="}
        self.assertTrue((await self.call("/v3/kv/txn", {"compare": [equal]}))["succeeded"])
        other = {**equal, "result": "GREATER"}
        self.assertNotIn("succeeded", await self.call("/v3/kv/txn", {"compare": [other]}))

    async def test_leases_expire_with_their_keys(self) -> None:
        lease = (await self.call("/v3/lease/grant", {"TTL": "5"}))["ID"]
        await self.call("/v3/kv/put", {"key": "aw==", "lease": lease})
        self.clock.now += 5.0
        self.assertNotIn("kvs", await self.call("/v3/kv/range", {"key": "aw=="}))
        renewed = await self.call("/v3/lease/keepalive", {"ID": lease})
        self.assertNotIn("TTL", renewed["result"])

    async def test_calls_above_the_rate_are_refused(self) -> None:
        for _ in range(10):
            await self.call("/v3/kv/range", {"key": "aw=="})
        refused = await post(self.standin.url + "/v3/kv/range", {"key": "aw=="})
        self.assertEqual((refused.code, json.loads(refused.body)["code"]), (429, 8))
        self.clock.now += 0.5
        found = await post(self.standin.url + "/v3/kv/range", {"key": "aw=="})
        self.assertEqual(found.code, 200)

    async def test_a_waiting_watch_counts_as_a_read(self) -> None:
        self.assertTrue(self.standin.rates.open_watch())
        self.standin.rates.reads.tokens = 0.0
        self.clock.now += 1.0
        admitted = [self.standin.rates.admit(is_write=False) for _ in range(10)]
        self.assertEqual(admitted.count(True), 9)

    async def test_faults_can_be_set_during_an_outage(self) -> None:
        url = self.standin.control_url + "/standin/faults"
        self.standin.state.leases[7] = LeaseRecord(5, self.clock.now + 5.0, set())
        await post(url, {"outage": "refuse", "lapse_all_leases": True})
        self.assertEqual(self.standin.state.leases, {})
        with self.assertRaises(ConnectionRefusedError):
            await post(self.standin.url + "/v3/kv/range", {})
        faults = json.loads((await AsyncHTTPClient().fetch(url)).body)
        self.assertEqual((faults["outage"], faults["lapse_all_leases"]), ("refuse", False))
        await post(url, {})
        self.assertIn("header", await self.call("/v3/kv/range", {"key": "aw=="}))
        self.assertEqual((await post(url, {"no_such_fault": 1})).code, 400)

    async def test_the_history_is_bounded(self) -> None:
        state = StoreState()
        with mock.patch.object(store_state, "MAX_HISTORY", 4):
            for _ in range(5):
                state.put(store_state.PutRequest(key=b"k"), state.revision + 1)
        self.assertEqual((state.compacted, len(state.history)), (4, 2))


class PlatformStandinTest(unittest.IsolatedAsyncioTestCase):
    """Tests of the list of VMs."""

    async def test_the_list_lags(self) -> None:
        clock = ManualClock()
        standin = PlatformStandin(lag_s=3.0, clock=clock)
        await standin.start()
        self.addAsyncCleanup(standin.stop)
        live = VM("vm-1", "helsinki-a", VMState.LIVE, "127.0.0.1")
        standin.set_vms([live])
        clock.now += 3.0
        shown = {"vm": "vm-1", "zone": "helsinki-a", "state": "live", "address": "127.0.0.1"}
        await post(f"{standin.url}/standin/vms", [{**shown, "state": "leaving"}])
        found = await AsyncHTTPClient().fetch(standin.vms_url)
        self.assertEqual(json.loads(found.body), [shown])
        clock.now += 3.0
        found = await AsyncHTTPClient().fetch(standin.vms_url)
        self.assertEqual(json.loads(found.body)[0]["state"], "leaving")
