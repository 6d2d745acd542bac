"""The documented limits of the platform's store, which its stand-in must not exceed."""

import base64
import json
import unittest
from typing import Any
from unittest import mock

from waxwingglade.standins import metadata_store
from waxwingglade.standins.metadata_store import MetadataStore
from waxwingglade.transport import HttpRequest, HttpResponse, open_connection

KEY = "own/" + "k" * 196
"""A key of the greatest length."""


def writing(key: str, size: int = 1) -> dict[str, Any]:
    """Return a transaction that writes a value of some bytes."""
    return {"writes": [{"key": key, "value": base64.b64encode(bytes(size)).decode()}]}


class LimitsOfTheStore(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = MetadataStore()
        self.store.start()
        self.addAsyncCleanup(self.store.stop)

    async def call(self, method: str, path: str, body: Any = None) -> HttpResponse:
        """Call the store and return its answer."""
        connection = await open_connection(self.store.address, 1.0)
        content = b"" if body is None else json.dumps(body).encode()
        connection.send(HttpRequest(method, path, [("Host", self.store.address)], content))
        answer = await connection.read_head(lambda _: True)
        answer.body = await connection.read_body(16 * 1024 * 1024)
        connection.close()
        return answer

    async def test_transactions_beyond_a_limit_write_nothing(self) -> None:
        """Guards against a stand-in that takes what the store rejects, which hid lost reports."""
        rows = [{"key": f"own/{number}", "revision": 0} for number in range(32)]
        for body, status in (
            (writing(KEY), 200),
            (writing(KEY + "k"), 400),
            (writing("own/" + "\u00e9" * 99), 400),
            (writing("own/a", 1024 * 1024), 200),
            (writing("own/a", 1024 * 1024 + 1), 400),
            (writing("own/b") | {"expected_rev": rows[:31]}, 200),
            (writing("own/c") | {"expected_rev": rows}, 400),
            (writing("op/config"), 403),
            (writing("servers/a"), 403),
            ({"writes": [], "remove": ["servers/a"]}, 403),
        ):
            with self.subTest(str(body)[:80]):
                before = dict(self.store.items)
                answer = await self.call("POST", "/v1/kv-txn", body)
                self.assertEqual(status, answer.status, answer.body)
                self.assertEqual(status != 200, before == self.store.items)

    async def test_pages_of_a_listing_hold_a_million_bytes_and_one_item_at_least(self) -> None:
        for number in range(4):
            self.store.put_bytes(f"other/{number}", bytes(500_000))
        sizes = []
        after = ""
        while len(sizes) < 4:
            path = f"/v1/kv-range?path_prefix=other/&after={after}"
            page = json.loads((await self.call("GET", path)).body)
            sizes.append(len(page["items"]))
            after = page["items"][-1]["key"]
            if not page["has_more"]:
                break
        self.assertEqual([2, 2], sizes)

    async def test_calls_beyond_the_rate_are_refused_until_the_next_second(self) -> None:
        self.enterContext(mock.patch.object(metadata_store, "READS_PER_S", 3))
        second = self.enterContext(
            mock.patch.object(metadata_store, "current_second", return_value=1)
        )
        path = "/v1/kv-key?key=own/none"
        statuses = [(await self.call("GET", path)).status for _ in range(5)]
        self.assertEqual([404] * 3 + [429] * 2, statuses)
        second.return_value = 2
        self.assertEqual(404, (await self.call("GET", path)).status)

    async def test_a_watch_that_would_wait_for_too_long_is_rejected(self) -> None:
        path = "/v1/kv-watch?path_prefix=&after=0&wait_ms=30001"
        self.assertEqual(400, (await self.call("GET", path)).status)


if __name__ == "__main__":
    unittest.main()
