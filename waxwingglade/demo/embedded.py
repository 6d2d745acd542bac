"""Run a complete system in one process: entries and the stand-ins of their external services.

It serves the demo and tests.  The parts communicate over loopback sockets as they do between VMs.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec

from waxwingglade.connection.keys import new_key
from waxwingglade.process.daemon import Daemon
from waxwingglade.process.entry import Entry
from waxwingglade.settings import (
    CallerKey,
    DurabilitySettings,
    ListenSettings,
    OperatorKey,
    PeerSettings,
    ProcessSettings,
    Role,
    StoreSettings,
    TargetKind,
    TargetSettings,
    ToolSettings,
)
from waxwingglade.standins import EngineSpeed, EngineStandin, StoreStandin, ToolStandin

MODEL = "base"
LOOPBACK = "127.0.0.1"

TOOLS = [
    ToolSettings("booking", "/booking", answers_by_key=True, price_microcents=1000),
    ToolSettings("notice", "/notice", answers_by_key=True, price_microcents=100),
    ToolSettings("order", "/order", price_microcents=1000),
    ToolSettings("lookup", "/lookup", idempotent=True),
]


class EmbeddedSettings(msgspec.Struct, frozen=True):
    """Size of an embedded system.

    Parameters
    ----------
    zones : tuple of str
        Availability zone of each entry.
    engines, services : int
        Numbers of model servers and application servers.
    tenants : tuple of str
        Tenants that get a key.
    operators : dict
        Role of each operator that gets a key.
    config : dict
        Initial tree of the configuration in nested form; the operators are added to it.
    speed : EngineSpeed
        Speed of the model servers.
    """

    zones: tuple[str, ...] = ("helsinki-1",)
    engines: int = 2
    services: int = 1
    tenants: tuple[str, ...] = ("kettu",)
    operators: dict[str, Role] = {}
    config: dict[str, Any] = {}
    speed: EngineSpeed = EngineSpeed()


class Embedded:
    """The parts of an embedded system.

    Attributes
    ----------
    tokens : dict
        Bearer token of each tenant.
    operator_tokens : dict
        Bearer token of each operator.
    """

    def __init__(self, settings: EmbeddedSettings | None = None) -> None:
        self.settings = settings or EmbeddedSettings()
        self.store = StoreStandin()
        self.engines = [EngineStandin(self.settings.speed) for _ in range(self.settings.engines)]
        self.services = [ToolStandin() for _ in range(self.settings.services)]
        self.daemons: list[Daemon] = []
        self.keys = {tenant: new_key() for tenant in self.settings.tenants}
        self.tokens = {tenant: key.token for tenant, key in self.keys.items()}
        self.operator_keys = {name: new_key() for name in self.settings.operators}
        self.operator_tokens = {name: key.token for name, key in self.operator_keys.items()}

    @property
    def urls(self) -> list[str]:
        """URL at which each entry serves callers."""
        return [daemon.url for daemon in self.daemons]

    async def start(self, **overrides: Any) -> None:
        """Start the stand-ins, then the entries; `overrides` replace fields of their settings."""
        for standin in (self.store, *self.engines, *self.services):
            await standin.start()
        for number in range(len(self.settings.zones)):
            await self.start_entry(number, **overrides)
        await self._wait_for_peers()

    async def start_entry(self, number: int, **overrides: Any) -> Daemon:
        """Start one entry in addition to the running ones."""
        settings = msgspec.structs.replace(self.entry_settings(number), **overrides)
        daemon = Daemon(Entry(settings))
        await daemon.start()
        self.daemons.append(daemon)
        return daemon

    async def _wait_for_peers(self) -> None:
        """Wait until each entry can use every other as a peer."""
        expected = len(self.daemons) - 1
        while any(len(each.entry.members.usable()) < expected for each in self.daemons):
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Stop everything."""
        for daemon in self.daemons:
            await daemon.stop()
        for standin in (*self.services, *self.engines, self.store):
            await standin.stop()

    def entry_settings(self, number: int) -> ProcessSettings:
        """Return the settings of one entry; its peers are the entries that run already."""
        return ProcessSettings(
            entry=f"entry-{number + 1}",
            zone=self.settings.zones[number],
            listen=ListenSettings(LOOPBACK),
            store=StoreSettings(urls=[self.store.url], calls_per_second=50.0),
            durability=DurabilitySettings(heartbeat_s=0.05, suspect_after_s=1.0),
            peers=[_peer(daemon.entry) for daemon in self.daemons],
            targets=self.target_settings(),
            caller_keys=[
                CallerKey(tenant, key.salt, key.sha256) for tenant, key in self.keys.items()
            ],
            operator_keys=[
                OperatorKey(name, self.settings.operators[name], key.salt, key.sha256)
                for name, key in self.operator_keys.items()
            ],
            config=self.initial_tree(),
        )

    def initial_tree(self) -> dict[str, Any]:
        """Return the initial tree of the configuration."""
        roles = {name: role.value for name, role in self.settings.operators.items()}
        return {**self.settings.config, "operators": roles} if roles else self.settings.config

    def target_settings(self) -> list[TargetSettings]:
        """Return the settings of all targets, distributed over the zones."""
        zones = self.settings.zones
        engines = [
            TargetSettings(
                f"engine-{number + 1}",
                TargetKind.MODEL,
                zones[number % len(zones)],
                engine.url,
                models=[MODEL],
            )
            for number, engine in enumerate(self.engines)
        ]
        services = [
            TargetSettings(
                f"service-{number + 1}",
                TargetKind.SERVICE,
                zones[number % len(zones)],
                service.url,
                tools=TOOLS,
            )
            for number, service in enumerate(self.services)
        ]
        return engines + services


def _peer(entry: Entry) -> PeerSettings:
    return PeerSettings(entry.own.entry, entry.own.zone, entry.own.peer_address)


@contextlib.asynccontextmanager
async def embedded(
    settings: EmbeddedSettings | None = None, **overrides: Any
) -> AsyncIterator[Embedded]:
    """Run an embedded system during a ``with`` block."""
    running = Embedded(settings)
    try:
        await running.start(**overrides)
        yield running
    finally:
        await running.stop()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll until a condition is true."""
    while not condition():
        await asyncio.sleep(0.01)


__all__ = ["MODEL", "TOOLS", "Embedded", "EmbeddedSettings", "embedded", "wait_until"]
