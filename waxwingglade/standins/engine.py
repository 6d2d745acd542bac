"""Stand-in for a model engine over HTTP, for tests, the demo and the benchmarks."""

import asyncio
from collections.abc import Sequence

import msgspec

from waxwingglade.base import Clock, ProgramId, monotonic
from waxwingglade.standins.engine_batch import EngineCore, EngineFaults, EngineSpeed, Sleep
from waxwingglade.standins.engine_handlers import engine_routes
from waxwingglade.standins.engine_orders import OrderExecutor
from waxwingglade.standins.engine_reports import ControlRecord, EngineRecord
from waxwingglade.standins.server import StandinServer


class EngineHistory(msgspec.Struct, frozen=True):
    """The history of one engine, for checks.

    Parameters
    ----------
    requests, controls : list
        Completion and control requests to the engine, in order of arrival.
    held : list of ProgramId
        Programs for which it holds cache.
    prefilled_again_tokens : int
        Prefilled tokens that this engine had cached before.
    ended_token_seconds : float
        Token-seconds held by ended programs.
    """

    requests: list[EngineRecord]
    controls: list[ControlRecord]
    held: list[ProgramId]
    prefilled_again_tokens: int
    ended_token_seconds: float


class EngineStandin:
    """One engine with its core, its orders and its server.

    Parameters
    ----------
    speed : EngineSpeed, optional
        Size and speed.
    models : sequence of str
        Loaded models; an engine without loaded models serves all.
    honours_fencing : bool
        Whether orders with an old fencing number are refused.
    clock, sleep : callable
        As for `EngineCore`.
    """

    def __init__(
        self,
        speed: EngineSpeed | None = None,
        models: Sequence[str] = (),
        *,
        honours_fencing: bool = False,
        clock: Clock = monotonic,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self.speed = speed or EngineSpeed()
        self.clock = clock
        self.core = EngineCore(self.speed, clock, sleep)
        self.orders = OrderExecutor(list(models), clock, self.speed.order_s, honours_fencing)
        self.controls: list[ControlRecord] = []
        self.server = StandinServer(engine_routes(self))
        self.task: asyncio.Task | None = None

    @property
    def url(self) -> str:
        """Base URL of the stand-in."""
        return self.server.url

    @property
    def faults(self) -> EngineFaults:
        """Faults in force."""
        return self.core.faults

    @faults.setter
    def faults(self, faults: EngineFaults) -> None:
        self.core.faults = faults

    @property
    def records(self) -> list[EngineRecord]:
        """Received requests, in order of arrival."""
        return self.core.records

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port and begin to generate; port 0 selects a free one."""
        self.server.start(port)
        self.task = asyncio.create_task(self.core.run())

    async def stop(self) -> None:
        """Close the port and all connections, as a killed engine would."""
        if self.task is None:
            return
        self.task.cancel()
        await self.server.stop()

    def record_control(
        self, kind: str, subject: str, *, fencing: int = 0, accepted: bool = True
    ) -> None:
        """Add a control request to the history."""
        self.controls.append(ControlRecord(kind, subject, self.clock(), fencing, accepted))

    def history(self) -> EngineHistory:
        """Return the history for checks."""
        return EngineHistory(
            self.records,
            self.controls,
            sorted(self.core.cache.held),
            self.core.prefilled_again_tokens(),
            self.core.cache.wasted_token_seconds(),
        )


__all__ = ["EngineHistory", "EngineStandin"]
