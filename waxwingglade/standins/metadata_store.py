"""Stand-in for the platform's metadata store with revisions, watches and conditional writes."""

import asyncio
import base64
import json
from collections import Counter, defaultdict
from enum import Enum
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

PAGE_ITEMS = 50
PAGE_BYTES = 1_000_000
"""Size of a page of a listing from which on it takes no further item."""

MAX_KEY_BYTES = 200
MAX_VALUE_BYTES = 1024 * 1024
MAX_TRANSACTION_ROWS = 32
MAX_WAIT_MS = 30_000
READS_PER_S, WRITES_PER_S = 2000, 400
"""Calls that the store of a small deployment serves in a second, from all processes together."""

RESERVED_PREFIXES = ("op/", "servers/")
"""Prefixes of keys that only operators and servers write."""


def current_second() -> int:
    """Return the present second of the event loop."""
    return int(asyncio.get_running_loop().time())


class StoreFault(Enum):
    """Fault of the store."""

    NONE = "none"
    BUSY = "busy"
    UNRESPONSIVE = "silent"
    LOST_ANSWERS = "lost answers"


class ListingCut(Enum):
    """Where the connection of a listing closes."""

    BODY = "in the body of its first page"
    LATER_PAGE = "instead of the answer for its second page"


class Refusal(msgspec.Struct, eq=False):
    """Addresses of the store at which it refuses all calls, and the status of the refusals."""

    addresses: set[str]
    status: int


class MetadataStore:
    """Items in memory, with an HTTP server.

    Calls over HTTP are held to the documented limits.  The methods of this class are not, so that a
    test can write whatever another writer might.

    Attributes
    ----------
    calls : int
        Number of calls received.
    fault : StoreFault
        Current fault.
    refusals : list of Refusal
        Callers whose calls are refused at present.
    hidden : set of int
        Revisions whose events no watch returns, although its revision covers them.
    hides_changes : bool
        Whether the revisions of new changes become hidden.
    hidden_from : dict
        Revisions whose events are not returned to the watches at an address.
    blind : set of str
        Addresses at which new changes become hidden; empty for all of them.
    silences_watches : bool
        Whether watches get no answer, not even at the end of their wait.
    listing_cut : ListingCut or None
        Where listings are cut.
    page_items : int
        Number of items on a page of a listing.
    calls_in_second : Counter
        Reads and writes in the present second of the event loop.
    watches : set
        Watches that wait.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.compacted_revision = 0
        self.changed = asyncio.Event()
        self.fault = StoreFault.NONE
        self.refusals: list[Refusal] = []
        self.hidden: set[int] = set()
        self.hides_changes = False
        self.hidden_from: defaultdict[str, set[int]] = defaultdict(set)
        self.blind: set[str] = set()
        self.silences_watches = False
        self.listing_cut: ListingCut | None = None
        self.page_items = PAGE_ITEMS
        self.calls_in_second: Counter[str] = Counter()
        self.second = 0
        self.watches: set[_Watch] = set()
        self.calls = 0
        self.server: HTTPServer | None = None
        self.address = ""

    def start(self, host: str = "127.0.0.1") -> None:
        """Start to serve on a free port."""
        rules = [
            (r"/v1/kv-key", _Key),
            (r"/v1/kv-range", _Range),
            (r"/v1/kv-watch", _Watch),
            (r"/v1/kv-txn", _Txn),
        ]
        application = Application(
            [(path, handler, {"store": self}) for path, handler in rules],
            log_function=lambda _: None,
        )
        self.server = HTTPServer(application)
        sockets = bind_sockets(0, host)
        self.server.add_sockets(sockets)
        self.address = f"{host}:{sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop serving."""
        assert self.server is not None
        self.server.stop()
        await self.server.close_all_connections()

    def exceeds_rate(self, method: str) -> bool:
        """Count a call, and return whether it is one too many in this second."""
        second = current_second()
        if second != self.second:
            self.second = second
            self.calls_in_second.clear()
        self.calls_in_second[method] += 1
        limit = WRITES_PER_S if method == "POST" else READS_PER_S
        return self.calls_in_second[method] > limit

    def put(self, key: str, value: Any) -> int:
        """Write a JSON value, as the operator or a server does."""
        return self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> int:
        """Write an item."""
        return self.put_text(key, base64.b64encode(value).decode())

    def put_text(self, key: str, text: str) -> int:
        """Write an item with the text of its value as the store sends it, valid base64 or not."""
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease_id": 0,
        }
        self.items[key] = item
        self._record(item)
        return self.revision

    def refuse(self, addresses: set[str], status: int) -> Refusal:
        """Refuse all calls to some addresses of the store, including watches that wait."""
        refusal = Refusal(addresses, status)
        self.refusals.append(refusal)
        self._wake_watches()
        return refusal

    def refusal_of(self, address: str) -> int | None:
        """Return the status with which calls to an address are refused; None if they are served."""
        statuses = (each.status for each in self.refusals if address in each.addresses)
        return next(statuses, None)

    def put_damaged(self, key: str, **fields: Any) -> int:
        """Write an item that is shown with other values of some fields; return its revision."""
        revision = self.put(key, {})
        self.items[key] = self.history[-1] = {**self.items[key], **fields}
        return revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._record({"key": key, "revision": self.revision, "deleted": True})

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, or None."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def compact(self) -> None:
        """Discard the history."""
        self.history.clear()
        self.compacted_revision = self.revision

    def cut_watches(self) -> None:
        """Close the connections of all watches, and answer later ones again."""
        self.silences_watches = False
        for watch in self.watches:
            watch.close()
        self._wake_watches()

    def events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        """Return the changes below a prefix after a revision."""
        return [
            event
            for event in self.history
            if event["revision"] > after
            and event["key"].startswith(prefix)
            and event["revision"] not in self.hidden
        ]

    def _record(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        if self.hides_changes and not self.blind:
            self.hidden.add(self.revision)
        for address in self.blind if self.hides_changes else ():
            self.hidden_from[address].add(self.revision)
        self._wake_watches()

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class _Handler(RequestHandler):
    def initialize(self, store: MetadataStore) -> None:
        self.store = store

    async def prepare(self) -> None:
        self.store.calls += 1
        if self.refuse():
            return
        if self.store.exceeds_rate(self.request.method or ""):
            self.answer(429, {})
            return
        if self.store.fault is StoreFault.BUSY:
            self.set_status(503)
            self.finish()
        if self.store.fault is StoreFault.UNRESPONSIVE:
            await asyncio.sleep(3600)

    def refuse(self) -> bool:
        """Refuse the call if its caller is refused at present; return whether that is so."""
        status = self.store.refusal_of(self.request.headers.get("Host", ""))
        if status is not None:
            self.answer(status, {})
        return status is not None

    def close(self) -> None:
        """Close the connection."""
        self.request.connection.stream.close()

    def answer(self, status: int, body: Any) -> None:
        self.set_status(status)
        self.finish(body)


class _Key(_Handler):
    def get(self) -> None:
        item = self.store.items.get(self.get_argument("key"))
        if item is None:
            self.answer(404, {})
            return
        self.answer(200, {**item, "current_rev": self.store.revision})


class _Range(_Handler):
    async def get(self) -> None:
        prefix = self.get_argument("path_prefix")
        after = self.get_argument("after", "")
        keys = sorted(key for key in self.store.items if key.startswith(prefix) and key > after)
        items = self._first_items(keys)
        more = len(keys) > len(items)
        page = {"items": items, "has_more": more, "current_rev": self.store.revision}
        if self.store.listing_cut is ListingCut.BODY:
            await self._cut_in_body(json.dumps(page).encode())
        elif self.store.listing_cut is ListingCut.LATER_PAGE and after:
            self.close()
        else:
            self.answer(200, page)

    def _first_items(self, keys: list[str]) -> list[dict[str, Any]]:
        """Return the items of a page that begins with the first key."""
        items: list[dict[str, Any]] = []
        size = 0
        for key in keys[: self.store.page_items]:
            items.append(self.store.items[key])
            size += len(key) + len(str(items[-1]["value"]))
            if size >= PAGE_BYTES:
                break
        return items

    async def _cut_in_body(self, body: bytes) -> None:
        self.set_header("Content-Length", len(body))
        self.write(body[: len(body) // 2])
        await self.flush()
        self.close()


class _Watch(_Handler):
    async def get(self) -> None:
        prefix = self.get_argument("path_prefix")
        after = int(self.get_argument("after"))
        if int(self.get_argument("wait_ms")) > MAX_WAIT_MS:
            self.answer(400, {"error": f"wait_ms exceeds {MAX_WAIT_MS}"})
            return
        end_at = asyncio.get_running_loop().time() + int(self.get_argument("wait_ms")) / 1000
        self.store.watches.add(self)
        try:
            await self._watch(prefix, after, end_at)
        finally:
            self.store.watches.discard(self)

    async def _watch(self, prefix: str, after: int, end_at: float) -> None:
        while True:
            if self.request.connection.stream.closed():
                return
            if self.store.silences_watches:
                await self.store.changed.wait()
                continue
            if after < self.store.compacted_revision:
                self.answer(410, {})
                return
            if self.refuse():
                return
            hidden = self.store.hidden_from[self.request.headers.get("Host", "")]
            events = [
                event
                for event in self.store.events(prefix, after)
                if event["revision"] not in hidden
            ]
            remaining_s = end_at - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                break
            try:
                async with asyncio.timeout(remaining_s):
                    await self.store.changed.wait()
            except TimeoutError:
                continue
        self.answer(200, {"events": events, "current_rev": self.store.revision})


class _Txn(_Handler):
    def post(self) -> None:
        body = json.loads(self.request.body)
        if (rejected := _why_rejected(body)) is not None:
            status, error = rejected
            self.answer(status, {"error": error})
            return
        expected = body.get("expected_rev", [])
        current = [self.store.items.get(row["key"]) for row in expected]
        if any(
            (item["revision"] if item else 0) != row["revision"]
            for item, row in zip(current, expected, strict=True)
        ):
            self.answer(412, {"items": [item for item in current if item]})
            return
        for write in body["writes"]:
            self.store.put_bytes(write["key"], base64.b64decode(write["value"]))
        for key in body.get("remove", []):
            self.store.remove(key)
        if self.store.fault is StoreFault.LOST_ANSWERS:
            self.close()
            return
        self.answer(200, {"revision": self.store.revision})


def _why_rejected(body: dict[str, Any]) -> tuple[int, str] | None:
    """Return the status and error for a transaction that exceeds a limit, None if it is valid."""
    expected, writes = body.get("expected_rev", []), body["writes"]
    removed = body.get("remove", [])
    rows = len(expected) + len(writes) + len(removed)
    if rows > MAX_TRANSACTION_ROWS:
        return 400, f"{rows} entries exceed {MAX_TRANSACTION_ROWS}"
    written = [row["key"] for row in writes] + removed
    for key in written + [row["key"] for row in expected]:
        if len(key.encode()) > MAX_KEY_BYTES:
            return 400, f"a key of {len(key.encode())} bytes exceeds {MAX_KEY_BYTES}"
    for key in written:
        if key.startswith(RESERVED_PREFIXES):
            return 403, f"{key!r} is written by operators and servers only"
    for row in writes:
        size = len(base64.b64decode(row["value"]))
        if size > MAX_VALUE_BYTES:
            return 400, f"{row['key']!r}: {size} bytes exceed {MAX_VALUE_BYTES}"
    return None


__all__ = ["MAX_KEY_BYTES", "PAGE_ITEMS", "ListingCut", "MetadataStore", "StoreFault"]
