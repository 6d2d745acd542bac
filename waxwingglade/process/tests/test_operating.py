"""The HTTP interface for operators, and the distribution of a configuration to all entries."""

import contextlib
import tempfile
import unittest

from waxwingglade.connection.api_client import ApiClient
from waxwingglade.connection.http import HttpClient
from waxwingglade.connection.tests.caller_builders import client, create, model_call
from waxwingglade.demo.embedded import EmbeddedSettings, embedded, wait_until
from waxwingglade.settings import Role, StoreSettings

OPERATORS = {
    "vera": Role.VIEWER,
    "petra": Role.PROPOSER,
    "amos": Role.APPROVER,
    "adam": Role.ADMIN,
}
UNREACHABLE_STORE = StoreSettings(urls=["http://127.0.0.1:9"], calls_per_second=50.0, timeout_s=0.2)
CHANGE = {"changes": [{"level": "tenant:kettu", "setting": "deadline_s", "value": 42.0}]}


@contextlib.asynccontextmanager
async def system(*zones, **overrides):
    """Run an embedded system with operators; yield it with a factory of clients for operators."""
    settings = EmbeddedSettings(zones or ("helsinki-1",), operators=OPERATORS)
    http = HttpClient()

    def operator(name, entry=0):
        return ApiClient(http, running.daemons[entry].operator_url, running.operator_tokens[name])

    try:
        async with embedded(settings, **overrides) as running:
            yield running, http, operator
    finally:
        await http.close()


async def change_configuration(operator):
    """Propose and approve `CHANGE` at the first entry; return the version."""
    await wait_for_store(operator)
    proposed = await operator("petra").json("POST", "/v1/config/proposals", CHANGE)
    path = f"/v1/config/proposals/{proposed['proposal']['id']}/approve"
    body = {"text_digest": proposed["text_digest"]}
    approved = await operator("amos").json("POST", path, body)
    return approved["proposal"]["version"]


async def wait_for_store(operator):
    """Wait until the first tree is stored and in force at the first entry."""
    while (await operator("vera").json("GET", "/v1/config"))["version"] == 0:
        pass


class Roles(unittest.IsolatedAsyncioTestCase):
    async def test_each_role_has_exactly_its_permissions(self):
        program = "/v1/programs/a.b.c.1.d"
        proposal = "/v1/config/proposals/p"
        cases = [
            (Role.VIEWER, "GET", "/v1/status", None),
            (Role.VIEWER, "GET", "/v1/programs", None),
            (Role.VIEWER, "GET", program, None),
            (Role.VIEWER, "GET", "/v1/config", None),
            (Role.VIEWER, "GET", "/v1/config/explain", None),
            (Role.VIEWER, "GET", "/v1/config/status", None),
            (Role.VIEWER, "GET", "/v1/config/history", None),
            (Role.VIEWER, "GET", "/v1/config/proposals", None),
            (Role.VIEWER, "GET", proposal, None),
            (Role.VIEWER, "GET", "/v1/targets", None),
            (Role.VIEWER, "GET", "/v1/targets/engine-1", None),
            (Role.VIEWER, "GET", "/v1/orders", None),
            (Role.PROPOSER, "PUT", "/v1/targets/engine-1", {}),
            (Role.PROPOSER, "DELETE", "/v1/targets/engine-1", None),
            (Role.PROPOSER, "POST", "/v1/config/proposals", {}),
            (Role.PROPOSER, "POST", f"{proposal}/accept", None),
            (Role.PROPOSER, "POST", f"{proposal}/withdraw", None),
            (Role.APPROVER, "POST", f"{proposal}/approve", {}),
            (Role.APPROVER, "POST", f"{proposal}/reject", {}),
            (Role.ADMIN, "POST", "/v1/programs", {}),
            (Role.ADMIN, "GET", f"{program}/history", None),
            (Role.ADMIN, "POST", f"{program}/cancel", {}),
            (Role.ADMIN, "POST", "/v1/drain", None),
        ]
        order = list(Role)
        async with system() as (running, http, operator):
            for least, method, path, body in cases:
                for name, role in OPERATORS.items():
                    answer = await operator(name).send(method, path, body)
                    allowed = order.index(role) >= order.index(least)
                    self.assertEqual(allowed, answer.status != 403, (name, method, path))
            url = running.daemons[0].operator_url
            for token in ("", "wrong", running.tokens["kettu"]):
                answer = await ApiClient(http, url, token).send("GET", "/v1/status")
                self.assertEqual(401, answer.status)
            caller = ApiClient(http, running.urls[0], running.operator_tokens["adam"])
            self.assertEqual(401, (await caller.send("GET", "/v1/programs")).status)
            self.assertTrue(running.daemons[0].drain_requested.is_set())


class Programs(unittest.IsolatedAsyncioTestCase):
    async def test_operators_see_programs_of_all_tenants_without_their_messages(self):
        async with system("helsinki-1", "helsinki-2") as (running, http, operator):
            caller = client(running, http)
            program = await create(caller)
            await caller.json("POST", f"/v1/programs/{program}/calls", model_call("m1", "secret"))
            listing = await operator("vera", 1).json("GET", "/v1/programs?tenant=kettu")
            self.assertEqual([program], [each["program"] for each in listing["programs"]])
            none = await operator("vera", 1).json("GET", "/v1/programs?tenant=other")
            self.assertEqual([], none["programs"])
            shown = await operator("vera", 1).send("GET", f"/v1/programs/{program}")
            self.assertNotIn(b"secret", shown.body)
            history = await operator("adam").json("GET", f"/v1/programs/{program}/history")
            self.assertEqual("secret", history["messages"][0]["content"])
            path = f"/v1/programs/{program}/cancel"
            cancelled = await operator("adam").json("POST", path, {"reason": "asked for"})
            self.assertEqual(("ended", "asked for"), (cancelled["state"], cancelled["end_reason"]))

    async def test_an_operator_creates_a_program_for_a_tenant(self):
        async with system() as (running, http, operator):
            body = {"tenant": "kettu", "program_class": "appointment"}
            made = await operator("adam").json("POST", "/v1/programs", body)
            path = f"/v1/programs/{made['program']}"
            view = await client(running, http).json("GET", path)
            self.assertEqual("open", view["state"])

    async def test_the_status_names_peers_logs_and_targets(self):
        async with system("helsinki-1", "helsinki-2") as (running, _, operator):
            logs = running.daemons[0].entry.owned.values()
            await wait_until(lambda: all(len(each.copies) == 2 for each in logs))
            status = await operator("vera").json("GET", "/v1/status")
            self.assertEqual(["entry-2"], [peer["entry"] for peer in status["peers"]])
            self.assertEqual({"model", "service"}, {each["kind"] for each in status["targets"]})
            self.assertTrue(all(len(log["holders"]) == 2 for log in status["logs"]))


class Configuration(unittest.IsolatedAsyncioTestCase):
    async def test_an_accepted_change_is_in_force_on_all_entries(self):
        async with system("z-1", "z-1", "z-1", "z-2") as (running, http, operator):
            version = await change_configuration(operator)
            self.assertEqual(2, version)
            await wait_until(lambda: versions(running) == {2})
            watchers = [each.entry.configuration.is_watcher() for each in running.daemons]
            self.assertEqual((2, True), (sum(watchers[:3]), watchers[3]))
            for entry in range(4):
                program = await create(client(running, http, entry))
                state = running.daemons[entry].entry.log_for(program).programs[program]
                self.assertEqual(42.0, state.created.policy.deadline_s)
                self.assertEqual(2, state.created.config_version)
            path = "/v1/config/explain?tenant=kettu&class=appointment"
            values = (await operator("vera", 3).json("GET", path))["values"]
            deadline = next(each for each in values if each["setting"] == "deadline_s")
            self.assertEqual((42.0, "tenant:kettu"), (deadline["value"], deadline["level"]))
            history = await operator("vera", 1).json("GET", "/v1/config/history")
            self.assertEqual([2, 1], [each["version"] for each in history["versions"]])
            status = await operator("vera", 2).json("GET", "/v1/config/status")
            self.assertEqual([], status["behind"] + status["ahead"] + status["differing"])

    async def test_entries_that_cannot_reach_the_store_get_versions_from_peers(self):
        async with system("z-1") as (running, _, operator):
            for number, zone in ((1, "z-2"), (2, "z-2")):
                running.settings = EmbeddedSettings(("z-1", zone, zone), operators=OPERATORS)
                await running.start_entry(number, store=UNREACHABLE_STORE)
            await change_configuration(operator)
            await wait_until(lambda: versions(running) == {2})
            sources = [each.entry.config.source.value for each in running.daemons]
            self.assertEqual(["store", "peer", "peer"], sources)

    async def test_an_isolated_entry_starts_from_its_saved_copy(self):
        with tempfile.TemporaryDirectory() as folder:
            async with system(data_folder=folder) as (running, _, operator):
                await change_configuration(operator)
                saved = running.daemons[0].entry.settings
            async with system(store=UNREACHABLE_STORE, data_folder=saved.data_folder) as (
                running,
                _,
                _,
            ):
                config = running.daemons[0].entry.config
                self.assertEqual((2, "copy"), (config.current.version, config.source.value))
                self.assertFalse(config.confirmed)

    async def test_a_proposer_cannot_approve_and_a_stale_digest_is_refused(self):
        async with system() as (_, _, operator):
            await wait_for_store(operator)
            proposed = await operator("amos").json("POST", "/v1/config/proposals", CHANGE)
            path = f"/v1/config/proposals/{proposed['proposal']['id']}"
            digest = {"text_digest": proposed["text_digest"]}
            own = await operator("amos").send("POST", f"{path}/approve", digest)
            stale = await operator("adam").send("POST", f"{path}/approve", {"text_digest": "0"})
            early = await operator("amos").send("POST", f"{path}/accept")
            self.assertEqual([403, 409], [own.status, stale.status])
            self.assertNotEqual(200, early.status)
            rejected = await operator("adam").json("POST", f"{path}/reject", {"reason": "no"})
            self.assertEqual("rejected", rejected["proposal"]["state"])
            self.assertEqual(1, (await operator("vera").json("GET", "/v1/config"))["version"])


def versions(running):
    """Return the versions in force."""
    return {daemon.entry.config.current.version for daemon in running.daemons}
