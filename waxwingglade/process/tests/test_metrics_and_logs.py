"""The metrics and logs of an entry."""

import io
import json
import re
import unittest

from loguru import logger
from prometheus_client.parser import text_string_to_metric_families

from waxwingglade.base import ConfigVersion
from waxwingglade.connection.api_client import ApiClient
from waxwingglade.connection.tests.caller_builders import client, create, model_call, system
from waxwingglade.demo.embedded import wait_until
from waxwingglade.process.logs import start_logging
from waxwingglade.process.metrics import MAX_CLASSES, OTHER_CLASS, Metrics
from waxwingglade.program import Created
from waxwingglade.settings import ProcessSettings, ProgramPolicy
from waxwingglade.standins import EngineFaults, ToolFaults

SECRET = "my-private-illness"
FIELDS = {"time", "level", "message", "program", "call", "tenant", "epoch", "config_version"}


async def samples(running, http, entry=0):
    """Return the metrics of an entry by name and labels."""
    answer = await ApiClient(http, running.urls[entry], "").send("GET", "/metrics")
    families = text_string_to_metric_families(answer.body.decode())
    return {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in families
        for sample in family.samples
    }


class MetricsOfAnEntry(unittest.IsolatedAsyncioTestCase):
    async def test_metrics_count_programs_calls_tokens_and_refusals(self):
        async with system(zones=2) as (running, http):
            caller = client(running, http)
            program = await create(caller)
            path = f"/v1/programs/{program}"
            done = await caller.json("POST", f"{path}/calls", model_call("m1"))
            await caller.json(
                "POST",
                f"{path}/calls",
                {"type": "tool", "call": "t1", "tool": "booking", "arguments": {}},
            )
            await caller.json("DELETE", path)
            await caller.json("GET", "/v1/programs/unknown")
            logs = running.daemons[0].entry.owned.values()
            await wait_until(lambda: any(owned.store_revision for owned in logs))
            found = await samples(running, http)
            labels = ("appointment", "kettu")
            name = "waxwingglade_{}_count".format
            self.assertEqual(2, found[(name("call_seconds"), *labels)])
            self.assertEqual(2, found[(name("queue_wait_seconds"), *labels)])
            self.assertEqual(1, found[(name("first_token_seconds"), *labels)])
            pieces = found[(name("between_tokens_seconds"), *labels)] + 1
            self.assertLessEqual(pieces, done["usage"]["output_tokens"])
            self.assertEqual(1, found[(name("program_seconds"), *labels)])
            self.assertEqual(1, found[("waxwingglade_refusals_total", "not_found", "not_run")])
            self.assertEqual(1, found[("waxwingglade_programs", "ended")])
            self.assertGreater(found[("waxwingglade_store_calls_total", "ownership")], 0)
            self.assertGreater(found[("waxwingglade_peer_bytes_total", "sent")], 0)
            self.assertEqual(1, found[("waxwingglade_peers_alive",)])

    def test_callers_cannot_add_an_unlimited_number_of_series(self):
        metrics = Metrics()
        for number in range(MAX_CLASSES + 10):
            created = Created("kettu", f"class-{number}", ProgramPolicy(), 0, 0.0, "r")
            metrics.observe_call(created, 1.0)
        classes = {labels["class"] for labels, _ in metrics.call.get_all()}
        self.assertEqual(MAX_CLASSES + 1, len(classes))
        self.assertIn(OTHER_CLASS, classes)


class Logs(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.stream = io.StringIO()
        settings = ProcessSettings("entry-1", "helsinki-1", log_level="TRACE")
        start_logging(settings, lambda: ConfigVersion(7), self.stream)
        self.addCleanup(logger.remove)

    def records(self):
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    async def test_records_name_program_call_tenant_epoch_and_version(self):
        async with system() as (running, http):
            caller = client(running, http)
            program = await create(caller)
            await caller.json("POST", f"/v1/programs/{program}/calls", model_call("m1"))
        self.assertTrue(all(record.keys() >= FIELDS for record in self.records()))
        ended = next(each for each in self.records() if each["message"].startswith("call ended"))
        self.assertEqual(
            (program, "m1", "kettu"), (ended["program"], ended["call"], ended["tenant"])
        )
        self.assertEqual((1, 0), (ended["epoch"], ended["config_version"]))
        self.assertEqual(7, self.records()[0]["config_version"])

    async def test_neither_tokens_nor_message_texts_get_in(self):
        async with system() as (running, http):
            caller = client(running, http)
            for faults in (ToolFaults(), ToolFaults(garbage=True), ToolFaults(cut_after=True)):
                running.services[0].faults = faults
                await self.send_secret(caller)
            running.engines[0].faults = EngineFaults(cut_after_tokens=2)
            running.engines[1].faults = EngineFaults(refuse=True)
            await self.send_secret(caller)
            tokens = list(running.tokens.values())
            await caller.send("GET", "/v1/programs/%ff", headers={"X-Text": SECRET})
        for secret in (SECRET, *tokens):
            self.assertNotIn(secret, self.stream.getvalue())
        self.assertRegex(self.stream.getvalue(), "call failed")

    async def send_secret(self, caller):
        """Send the secret in every place of a request where a caller may put text."""
        program = await create(caller)
        path = f"/v1/programs/{program}/calls"
        await caller.json("POST", path, model_call("m1", SECRET))
        call = {"type": "tool", "call": "t1", "tool": "booking", "arguments": {"why": SECRET}}
        await caller.json("POST", path, call)
        await caller.send("POST", path, b'{"type": "' + SECRET.encode() + b'"}')

    def test_only_type_and_location_of_an_exception_are_logged(self):
        try:
            raise ValueError(SECRET)
        except ValueError:
            logger.exception("something failed")
        exception = self.records()[0]["exception"]
        self.assertEqual("ValueError", exception[0])
        self.assertTrue(re.search(r"test_metrics_and_logs\.py:\d+", exception[1]))
        self.assertNotIn(SECRET, self.stream.getvalue())
