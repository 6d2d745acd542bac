"""A store, engines, and holders of the duty that can be paused, in one event loop."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from waxwingglade.base import EntryId, EntryRef, Incarnation, OperatorId, TargetId, ZoneId
from waxwingglade.connection import EngineOrder, HttpClient, StoreClient, send_order
from waxwingglade.connection.peer import PeerLinks
from waxwingglade.connection.tests.store_builders import StoreTestCase, store_settings
from waxwingglade.process.duties.controller import OrderController
from waxwingglade.process.duties.desired import DesiredTarget, change_desired
from waxwingglade.process.duties.lease import Term, acquire
from waxwingglade.process.duties.reports import Reporter
from waxwingglade.process.members import Members
from waxwingglade.settings import (
    DurabilitySettings,
    ProcessSettings,
    TargetKind,
    TargetOrderSettings,
    TargetSettings,
    WeightStoreSettings,
)
from waxwingglade.standins import EngineSpeed, EngineStandin

ZONE = ZoneId("zone-a")
ENGINE = TargetId("engine-1")
OPERATOR = OperatorId("petra")
WAIT_LIMIT_S = 20.0
QUICK = TargetOrderSettings(
    follow_s=0.02,
    check_s=0.05,
    read_back_s=0.02,
    order_timeout_s=0.3,
    effect_timeout_s=0.3,
    margin_s=0.2,
)
PERMITS = WeightStoreSettings(loads_at_once=2, loads_per_minute=60_000.0)


def entry_ref(name: str) -> EntryRef:
    """Return an entry of the zone."""
    return EntryRef(EntryId(name), Incarnation(f"i-{name}"), ZONE, f"tcp://127.0.0.1:9/{name}")


def engine_settings(name: str, url: str, *, honours_fencing: bool = False) -> TargetSettings:
    """Return the settings of an engine."""
    return TargetSettings(
        name, TargetKind.MODEL, ZONE, url, models=["base"], honours_fencing=honours_fencing
    )


class Gate:
    """A point in the code at which a holder waits while it is paused."""

    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.open.set()
        self.reached = asyncio.Event()

    def pause(self) -> None:
        """Make later callers of `pass_through` wait."""
        self.reached.clear()
        self.open.clear()

    def resume(self) -> None:
        """Let all waiting callers continue."""
        self.open.set()

    async def pass_through(self) -> None:
        """Wait while the gate is closed."""
        if not self.open.is_set():
            self.reached.set()
        await self.open.wait()


class Holder:
    """An entry that holds the duty; it can be paused between its last check and the send."""

    def __init__(self, term: Term, http: HttpClient) -> None:
        self.term = term
        self.gate = Gate()
        self.sent: list[EngineOrder] = []
        members = Members(term.own, DurabilitySettings())
        self.reports: list[Any] = []
        self.reporter = Reporter(term.fencing, members, PeerLinks(None), self.reports.extend)
        self.controller = OrderController(term, http, self.reporter, self.send)
        self.task: asyncio.Task | None = None

    async def send(
        self, http: HttpClient, target: TargetSettings, order: EngineOrder, timeout_s: float
    ) -> Any:
        """Send an order once the holder is not paused."""
        # Shielded: an order that passed the last check is sent even if the holder is cancelled.
        return await asyncio.shield(self._send(http, target, order, timeout_s))

    async def _send(
        self, http: HttpClient, target: TargetSettings, order: EngineOrder, timeout_s: float
    ) -> Any:
        await self.gate.pass_through()
        self.sent.append(order)
        return await send_order(http, target, order, timeout_s)

    def start(self) -> None:
        """Begin to give orders."""
        self.task = asyncio.create_task(self.controller.run())

    async def stop(self) -> None:
        """Cancel the task of the holder."""
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task


class OrdersTestCase(StoreTestCase):
    """Provides a store, engines and holders of the duty."""

    honours_fencing = False

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.http = HttpClient()
        self.addAsyncCleanup(self.http.close)
        self.engines: list[EngineStandin] = []
        self.targets: list[TargetSettings] = []

    async def start_engine(self, models: tuple[str, ...] = ("old",), order_s: float = 0.0) -> Any:
        """Start an engine and return it."""
        engine = EngineStandin(
            EngineSpeed(order_s=order_s), models, honours_fencing=self.honours_fencing
        )
        await engine.start()
        self.addAsyncCleanup(engine.stop)
        self.engines.append(engine)
        name = f"engine-{len(self.engines)}"
        self.targets.append(engine_settings(name, engine.url, honours_fencing=self.honours_fencing))
        return engine

    def settings(self, name: str, **values: Any) -> ProcessSettings:
        """Return the settings of an entry."""
        store = store_settings(self.standin.url, lease_ttl_s=1.0)
        return ProcessSettings(
            entry=name,
            zone=ZONE,
            targets=self.targets,
            **{"store": store, "target_orders": QUICK, "weight_store": PERMITS, **values},
        )

    async def set_desired(
        self, *models: str, target: TargetId = ENGINE, role: str = "", adapters: tuple = ()
    ) -> None:
        """Set the desired state of a target."""
        desired = DesiredTarget(list(models), list(adapters), role)
        changed = await change_desired(self.client, ZONE, target, desired, OPERATOR, 0.0)
        changed.unwrap()

    async def acquire(self, name: str, **values: Any) -> Term:
        """Acquire the duty once it is free."""
        settings = self.settings(name, **values)
        store = StoreClient(settings.store)
        self.addAsyncCleanup(store.close)
        async with asyncio.timeout(WAIT_LIMIT_S):
            while (acquired := await acquire(store, settings, entry_ref(name))).is_err():
                await asyncio.sleep(0.01)
        return acquired.ok_value

    async def start_holder(self, name: str, **values: Any) -> Holder:
        """Acquire the duty and give orders."""
        holder = Holder(await self.acquire(name, **values), self.http)
        self.addAsyncCleanup(holder.stop)
        holder.start()
        return holder


async def until(condition: Callable[[], bool]) -> None:
    """Wait for a condition, and fail the test if it is not met within `WAIT_LIMIT_S`."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not condition():
            await asyncio.sleep(0.01)
