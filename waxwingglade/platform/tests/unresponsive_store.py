"""A stand-in of the platform's store and connections that stop answering, for virtual time."""

import asyncio
import base64
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from waxwingglade.transport import HttpRequest, HttpResponse

ROUND_TRIP_S = 0.004
CONFIGURATION_KEY = "op/config"


class UnresponsiveStore:
    """The configuration in a store, and the state of the connections to the store.

    Attributes
    ----------
    unresponsive : bool
        Whether the store answers nothing.  Requests in this period are never answered.
    frozen_before : float
        Connections opened up to this time, in seconds of the loop, never answer again.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.version = 1
        self.revision = 1
        self.changed = asyncio.Event()
        self.unresponsive = False
        self.frozen_before = float("-inf")
        self.oldest = 0

    def configure(self, version: int) -> None:
        """Write a version of the configuration."""
        self.version = version
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def stop_answering(self) -> None:
        """Stop answering, including requests sent before."""
        self.unresponsive = True
        self.frozen_before = self.loop.time()

    def resume(self) -> None:
        """Answer requests again, on connections that are opened from now on."""
        self.unresponsive = False
        self.frozen_before = self.loop.time()

    def freeze_connections(self) -> None:
        """Let all open connections stop answering permanently."""
        self.frozen_before = self.loop.time()

    def item(self) -> dict[str, Any]:
        """Return the item of the configuration in the wire format."""
        value = json.dumps({"version": self.version}).encode()
        return {
            "key": CONFIGURATION_KEY,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
        }

    async def answer(self, path: str) -> dict[str, Any]:
        """Answer a listing or a watch."""
        await asyncio.sleep(ROUND_TRIP_S)
        parts = urlsplit(path)
        if parts.path == "/v1/kv-range":
            return {"items": [self.item()], "has_more": False, "current_rev": self.revision}
        query = parse_qs(parts.query)
        after, wait_s = int(query["after"][0]), int(query["wait_ms"][0]) / 1000
        if after >= self.revision:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
        events = [self.item()] if after < self.revision else []
        return {"events": events, "current_rev": self.revision}


class UnresponsiveConnection:
    """A connection to the store, with the methods of `Http1Connection` that the client uses."""

    def __init__(self, store: UnresponsiveStore) -> None:
        self.store = store
        self.opened_at = store.loop.time()
        self.path = ""
        self.body = b""
        self.usable = True

    def send(self, request: HttpRequest) -> None:
        """Store the path of the request."""
        self.path = request.path
        self.usable = False

    async def read_head(self, is_ours: Callable[[HttpResponse], bool]) -> HttpResponse:
        """Return the head of the answer, or wait forever if there is none."""
        await self._wait_while_unresponsive()
        answer = await self.store.answer(self.path)
        await self._wait_while_unresponsive()
        self.body = json.dumps(answer).encode()
        return HttpResponse(200, [])

    async def _wait_while_unresponsive(self) -> None:
        """Wait forever if the connection is unresponsive."""
        if self.store.unresponsive or self.opened_at <= self.store.frozen_before:
            await asyncio.Event().wait()

    async def read_body(self, limit: int) -> bytes:
        """Return the body of the answer."""
        self.usable = True
        return self.body


class UnresponsivePool:
    """A pool of connections to the store, with the interface of the client's pool."""

    def __init__(self, store: UnresponsiveStore) -> None:
        self.store = store
        self.idle: list[UnresponsiveConnection] = []

    async def acquire(self, address: str) -> UnresponsiveConnection:
        """Return an idle connection or a new one."""
        return self.idle.pop() if self.idle else UnresponsiveConnection(self.store)

    def release(self, address: str, connection: UnresponsiveConnection) -> None:
        """Retain a connection as idle once its answer was read."""
        if connection.usable:
            self.idle.append(connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections."""
        self.idle.clear()

    def close(self) -> None:
        """Close everything."""
        self.idle.clear()
