"""Keys and limits of client accounts on separate processes, and explanations of refusals."""

import asyncio
import json
import time
import unittest
from typing import ClassVar

from tests.platform_cluster import CALL, ORDER, Node, PlatformCluster, configuration
from waxwingglade.cli.exits import ExitStatus
from waxwingglade.cli.tests.cli_builders import run_process
from waxwingglade.platform.headers import ACCOUNT
from waxwingglade.standins.metadata_store import StoreFault

UNAUTHORIZED, TOO_MANY_REQUESTS, UNAVAILABLE = 401, 429, 503
REVOKE_S, WINDOW_S = 2.0, 1.0
SHOP_KEY, SMALL_KEY = "key-of-the-shop", "key-of-the-small-one"
PAUSE_S = 0.1
"""Seconds between calls, so that the entry logs each of them."""

SMALL_LIMIT = 6
"""Requests per window of the account with a limit."""


class AccountCluster(PlatformCluster):
    """Two entries whose callers need keys."""

    key = SHOP_KEY
    bounds: ClassVar[dict[str, float]] = {
        "strict_revoke": True,
        "revoke_ms": int(1000 * REVOKE_S),
        "quota_window_s": WINDOW_S,
    }
    tenants: ClassVar[list[dict]] = [
        {"name": "shop", "api_keys": [SHOP_KEY]},
        {"name": "small", "api_keys": [SMALL_KEY], "rate_per_s": SMALL_LIMIT / WINDOW_S},
    ]


class AccountWalks(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = AccountCluster(entries=2)
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()
        self.entry, self.other = self.cluster.entries

    async def check_explanation(self, entry: Node, request: str, cause: str) -> None:
        """Check that the logs explain the cause of a request's status and contain no key."""
        nodes = [*self.cluster.entries, *self.cluster.ledgers]
        await self.cluster.until(
            lambda: any(line.get("request") == request for line in entry.logs())
        )
        logs = [node.folder / "log" for node in nodes]
        result = run_process("explain", request, *map(str, logs))
        self.assertEqual(ExitStatus.OK, result.status, result.errors)
        self.assertIn(cause, result.output)
        for log in logs:
            self.assertNotIn("key-of-", log.read_text())

    async def call(self, request: str, key: str, entry: Node | None = None) -> int:
        """Send a call that may run only once, with a key."""
        self.cluster.key = key
        answer = await self.cluster.call(entry or self.entry, "POST", ORDER, request_id=request)
        return answer.status

    def headers_of_runs(self, request: str) -> list[dict[str, str]]:
        """Return the headers with which servers ran a request."""
        runs = [run for server in self.cluster.notes for run in server.runs]
        return [run.headers for run in runs if run.request == request]

    async def test_a_server_receives_the_account_of_a_request(self) -> None:
        self.assertEqual(200, await self.call("r1", SHOP_KEY))
        (headers,) = self.headers_of_runs("r1")
        self.assertEqual("shop", headers[ACCOUNT.lower()])
        self.assertNotIn("authorization", headers)

    async def test_a_denied_request_is_explained_by_the_configuration(self) -> None:
        self.assertEqual(UNAUTHORIZED, await self.call("r1", "key-of-nobody"))
        self.assertEqual(UNAUTHORIZED, await self.call("r2", ""))
        self.assertEqual([], self.headers_of_runs("r1") + self.headers_of_runs("r2"))
        await self.check_explanation(
            self.entry, "r1", "no client account of the configuration in force"
        )
        await self.check_explanation(self.entry, "r2", "the request named no key")

    async def test_a_request_over_the_limit_is_explained_by_the_members(self) -> None:
        await self.cluster.until(self.all_are_members)
        statuses = []
        for number in range(4 * SMALL_LIMIT):
            entry = (self.entry, self.other)[number % 2]
            statuses.append(await self.call(f"r{number}", SMALL_KEY, entry))
        self.assertEqual({200, TOO_MANY_REQUESTS}, set(statuses))
        run_starts = sorted(
            run.began_at
            for server in self.cluster.notes
            for run in server.runs
            if run.headers.get(ACCOUNT.lower()) == "small"
        )
        self.assertLessEqual(sum(at < run_starts[0] + WINDOW_S for at in run_starts), SMALL_LIMIT)
        refused = statuses.index(TOO_MANY_REQUESTS)
        entry = (self.entry, self.other)[refused % 2]
        await self.check_explanation(
            entry, f"r{refused}", "no ledger member that was asked had room left"
        )

    def all_are_members(self) -> bool:
        """Return whether all ledger processes are members, which count requests."""
        return len(self.cluster.members()) == len(self.cluster.ledgers)

    async def test_a_key_that_was_taken_away_is_dead_though_nobody_hears_of_it(self) -> None:
        self.cluster.store.fault = StoreFault.UNRESPONSIVE
        tenants = [{"name": "shop", "api_keys": ["key-of-tomorrow"]}]
        self.cluster.store.put("op/config", configuration(9, tenants=tenants))
        revoked_at = time.monotonic()
        number = 0
        while time.monotonic() < revoked_at + 2 * REVOKE_S:
            sent_at = time.monotonic()
            status = await self.call(f"r{number}", SHOP_KEY)
            if sent_at > revoked_at + REVOKE_S:
                self.assertEqual(UNAVAILABLE, status)
                self.assertEqual([], self.headers_of_runs(f"r{number}"))
            number += 1
            await asyncio.sleep(PAUSE_S)
        await self.check_explanation(
            self.entry, f"r{number - 1}", "had not heard of the store for longer"
        )
        self.cluster.store.fault = StoreFault.NONE
        self.cluster.key = "key-of-tomorrow"
        await self.cluster.until_ready(self.entry)
        self.assertEqual(UNAUTHORIZED, await self.call("late", SHOP_KEY))

    async def test_a_turn_is_continued_only_by_its_own_account(self) -> None:
        self.cluster.key = SHOP_KEY
        first = await self.cluster.turn(self.entry, "t1", b"hello")
        self.assertEqual(200, first.status)
        self.cluster.key = SMALL_KEY
        stolen = await self.cluster.turn(self.other, "t2", b"more", previous_turn="t1")
        self.assertEqual(404, stolen.status)
        self.cluster.key = SHOP_KEY
        later = await self.cluster.turn(self.other, "t3", b"more", previous_turn="t1")
        self.assertEqual(200, later.status)


class MetricsPage(unittest.IsolatedAsyncioTestCase):
    async def test_the_metrics_contain_accounts_but_no_keys(self) -> None:
        cluster = AccountCluster(entries=1)
        self.addAsyncCleanup(cluster.stop)
        await cluster.start()
        await cluster.call(cluster.entries[0], "POST", CALL)
        page = await cluster.page(cluster.entries[0])
        self.assertIn(json.dumps("shop"), page)
        self.assertNotIn("key-of-", page)


if __name__ == "__main__":
    unittest.main()
