"""Test data and helpers of the connection tests."""

import contextlib
from collections.abc import AsyncIterator
from typing import Any

from tornado.netutil import bind_sockets

from waxwingglade.connection.api_client import ApiClient
from waxwingglade.connection.caller import caller_application, http_server
from waxwingglade.connection.caller_stream import Serve
from waxwingglade.connection.http import HttpClient
from waxwingglade.connection.keys import new_key
from waxwingglade.demo.embedded import Embedded, EmbeddedSettings, embedded
from waxwingglade.settings import CallerKey, ProcessSettings

TENANTS = ("kettu", "kiprono")


def model_call(call: str, text: str = "hello", **more: Any) -> dict[str, Any]:
    """Return the body of a model call with one user message."""
    messages = [{"role": "user", "content": text}]
    return {"type": "model", "call": call, "model": "base", "messages": messages, **more}


def client(running: Embedded, http: HttpClient, entry: int = 0, tenant: str = "kettu") -> ApiClient:
    """Return a client of one entry."""
    return ApiClient(http, running.urls[entry], running.tokens[tenant])


@contextlib.asynccontextmanager
async def system(zones: int = 1, **overrides: Any) -> AsyncIterator[tuple[Embedded, HttpClient]]:
    """Run one entry in each of a number of zones, and an HTTP client."""
    names = tuple(f"helsinki-{number + 1}" for number in range(zones))
    settings = EmbeddedSettings(names, tenants=TENANTS)
    http = HttpClient()
    try:
        async with embedded(settings, **overrides) as running:
            yield running, http
    finally:
        await http.close()


@contextlib.asynccontextmanager
async def serving(serve: Serve) -> AsyncIterator[ApiClient]:
    """Run the interface for callers on top of a function that serves requests, and a client."""
    key = new_key()
    settings = ProcessSettings(
        "entry-1", "helsinki-1", caller_keys=[CallerKey("kettu", key.salt, key.sha256)]
    )
    server = http_server(caller_application(settings, serve, lambda: True), settings.limits)
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    http = HttpClient()
    try:
        url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
        yield ApiClient(http, url, key.token)
    finally:
        server.stop()
        await server.close_all_connections()
        await http.close()


async def create(caller: ApiClient) -> str:
    """Create a program and return its id."""
    view = await caller.json("POST", "/v1/programs", {"program_class": "appointment"})
    return view["program"]
