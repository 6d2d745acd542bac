"""One real entry with stand-ins for its surroundings, in one event loop."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec

from waxwingglade.base import ConfigVersion, TenantId
from waxwingglade.connection.peer_messages import CreateProgram, SubmitCall
from waxwingglade.demo.embedded import TOOLS
from waxwingglade.process.daemon import Daemon
from waxwingglade.process.entry import Entry, ResolvedPolicy
from waxwingglade.process.serving import serve
from waxwingglade.program import Message, MessageRole, ModelCall, ToolCall
from waxwingglade.settings import ProcessSettings, ProgramPolicy, parse_settings
from waxwingglade.standins import EngineStandin, PlatformStandin, StoreStandin, ToolStandin

TENANT = TenantId("kettu")
WAIT_LIMIT_S = 20.0


async def until(condition: Callable[[], bool]) -> None:
    """Wait for a condition, and fail if it is not met within `WAIT_LIMIT_S`."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not condition():
            await asyncio.sleep(0.01)


class OneEntry:
    """An entry with stand-ins for an engine, a service, the store and the platform's list of VMs.

    Parameters
    ----------
    policy : ProgramPolicy
        Policy of every program.
    overrides : dict
        Settings of the entry that differ from the defaults.
    """

    def __init__(self, policy: ProgramPolicy, overrides: dict[str, Any]) -> None:
        self.policy = policy
        self.overrides = overrides
        self.store = StoreStandin()
        self.engine = EngineStandin()
        self.tool = ToolStandin()
        self.platform = PlatformStandin()
        self.daemon: Daemon | None = None

    @property
    def entry(self) -> Entry:
        """The entry's state."""
        assert self.daemon is not None
        return self.daemon.entry

    async def start(self) -> None:
        """Start the stand-ins and the entry on free ports."""
        for standin in (self.store, self.engine, self.tool, self.platform):
            await standin.start()
        settings = parse_settings(self.settings(), ProcessSettings, "test")
        in_force = ResolvedPolicy(self.policy, ConfigVersion(1))
        self.daemon = Daemon(Entry(settings, lambda *_: in_force))
        await self.daemon.start()

    def settings(self) -> dict[str, Any]:
        """Return the entry's settings."""
        targets = [
            {
                "target": "engine-1",
                "kind": "model",
                "zone": "zone-1",
                "url": self.engine.url,
                "models": ["base"],
            },
            {
                "target": "tool-1",
                "kind": "service",
                "zone": "zone-1",
                "url": self.tool.url,
                "tools": msgspec.to_builtins(TOOLS),
            },
        ]
        return {
            "entry": "entry-0",
            "zone": "zone-1",
            "store": {"urls": [self.store.url]},
            "platform": {"vms_url": self.platform.vms_url, "poll_s": 0.05},
            "targets": targets,
            **self.overrides,
        }

    async def stop(self) -> None:
        """Stop the entry and the stand-ins."""
        if self.daemon is not None:
            await self.daemon.stop()
        for standin in (self.store, self.engine, self.tool, self.platform):
            await standin.stop()

    async def outcome(self, request) -> Any:
        """Return the last event of a request."""
        last = None
        async for event in serve(self.entry, request):
            last = event
        return last

    async def create(self, request: str = "r1"):
        """Create a program and return its id."""
        return (await self.outcome(CreateProgram(TENANT, "appointment", request))).program

    async def model_call(self, program, call: str, text: str = "hello", **more: Any) -> Any:
        """Run a model call and return its outcome."""
        messages = [Message(MessageRole.USER, text)]
        body = ModelCall(call, "base", messages, **more)
        return await self.outcome(SubmitCall(TENANT, program, body))

    async def tool_call(self, program, call: str, tool: str, **arguments: Any) -> Any:
        """Run a tool call and return its outcome."""
        body = ToolCall(call, tool, arguments)
        return await self.outcome(SubmitCall(TENANT, program, body))


@contextlib.asynccontextmanager
async def one_entry(
    policy: ProgramPolicy | None = None, **overrides: Any
) -> AsyncIterator[OneEntry]:
    """Run one entry with its stand-ins during a test."""
    running = OneEntry(policy or ProgramPolicy(), overrides)
    try:
        await running.start()
        yield running
    finally:
        await running.stop()
