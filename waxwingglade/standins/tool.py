"""Stand-in for a plain service with tools, for tests, the demo and the benchmarks."""

import asyncio
from http import HTTPStatus
from typing import Any

import msgspec
import tornado.web

from waxwingglade.base import monotonic
from waxwingglade.settings import ToolSettings
from waxwingglade.standins.server import StandinServer

DEFAULT_TOOLS = (
    ToolSettings("booking", "/booking", answers_by_key=True, price_microcents=1000),
    ToolSettings("notice", "/notice", answers_by_key=True, price_microcents=100),
    ToolSettings("order", "/order", price_microcents=1000),
    ToolSettings("lookup", "/lookup", idempotent=True),
)


class ToolFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the stand-in, set by ``POST /standin/faults``.

    Parameters
    ----------
    hang : bool
        Do not answer, without an effect.
    cut_before, cut_after : bool
        Close the connection before or after the effect.
    error_before, error_after : bool
        Answer 500 with the verdict "not_run" or "ran".
    garbage : bool
        Answer with something that is not JSON, after the effect.
    delay_s : float
        Seconds before the effect.
    """

    hang: bool = False
    cut_before: bool = False
    cut_after: bool = False
    error_before: bool = False
    error_after: bool = False
    garbage: bool = False
    delay_s: float = 0.0


class Effect(msgspec.Struct, frozen=True):
    """One effect of a call; `at` and the request's arrival are in monotonic seconds."""

    tool: str
    key: str
    fencing: int
    arguments: Any
    at: float
    result: Any
    arrived: float = 0.0


class ToolStandin:
    """State of the stand-in with its HTTP server.

    By default it does not deduplicate by idempotency key, so that a repeated call has two effects.
    """

    def __init__(
        self,
        tools: tuple[ToolSettings, ...] = DEFAULT_TOOLS,
        deduplicates: bool = False,
        honours_fencing: bool = False,
    ) -> None:
        self.tools = {each.path: each for each in tools}
        self.deduplicates = deduplicates
        self.honours_fencing = honours_fencing
        self.highest_fencing = 0
        self.faults = ToolFaults()
        self.effects: list[Effect] = []
        self.server = StandinServer(_routes(self))

    @property
    def url(self) -> str:
        """Base URL of the stand-in."""
        return self.server.url

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port; 0 selects a free one."""
        self.server.start(port)

    async def stop(self) -> None:
        """Close the port and all connections, as a killed service would."""
        await self.server.stop()

    def effects_of(self, key: str) -> list[Effect]:
        """Return all effects of a call; more than one shows that the call was repeated."""
        return [each for each in self.effects if each.key == key]


class _Handler(tornado.web.RequestHandler):
    def initialize(self, standin: ToolStandin) -> None:
        self.standin = standin
        self.arrived = monotonic()

    def cut(self) -> None:
        self.request.connection.stream.close()

    def refuse(self, status: int, verdict: str, code: str = "") -> None:
        self.set_status(status)
        self.write({"verdict": verdict, "code": code})


class _Call(_Handler):
    async def post(self) -> None:
        faults = self.standin.faults
        if faults.hang:
            await asyncio.Event().wait()
        if faults.cut_before:
            self.cut()
            return
        if faults.error_before:
            self.refuse(HTTPStatus.INTERNAL_SERVER_ERROR, "not_run")
            return
        await asyncio.sleep(faults.delay_s)
        self._run(faults)

    def _run(self, faults: ToolFaults) -> None:
        fencing = int(self.request.headers.get("X-Fencing-Number", "0"))
        if self.standin.honours_fencing and fencing < self.standin.highest_fencing:
            self.refuse(HTTPStatus.CONFLICT, "not_run", "fenced")
            return
        self.standin.highest_fencing = max(fencing, self.standin.highest_fencing)
        self._answer(self._effect(fencing), faults)

    def _answer(self, effect: Effect, faults: ToolFaults) -> None:
        if faults.cut_after:
            self.cut()
            return
        if faults.error_after:
            self.refuse(HTTPStatus.INTERNAL_SERVER_ERROR, "ran")
            return
        if faults.garbage:
            self.write("<html>")
            return
        self.write(msgspec.json.encode({"result": effect.result}))

    def _effect(self, fencing: int) -> Effect:
        tool = self.standin.tools[self.request.path].tool
        key = self.request.headers.get("Idempotency-Key", "")
        earlier = self.standin.effects_of(key)
        if earlier and self.standin.deduplicates:
            return earlier[0]
        arguments = msgspec.json.decode(self.request.body)
        result = {"tool": tool, "number": len(self.standin.effects) + 1}
        effect = Effect(tool, key, fencing, arguments, monotonic(), result, self.arrived)
        self.standin.effects.append(effect)
        return effect


class _Outcome(_Handler):
    def get(self, key: str) -> None:
        effects = self.standin.effects_of(key)
        if not effects:
            self.write({"found": False})
            return
        self.write(msgspec.json.encode({"found": True, "result": effects[0].result}))


class _Faults(_Handler):
    def post(self) -> None:
        self.standin.faults = msgspec.json.decode(self.request.body, type=ToolFaults)
        self.write({})


class _History(_Handler):
    def get(self) -> None:
        self.write(msgspec.json.encode({"effects": self.standin.effects}))


def _routes(standin: ToolStandin) -> list[tuple[str, type, dict[str, Any]]]:
    state = {"standin": standin}
    routes: list[tuple[str, type, dict[str, Any]]] = []
    for path, tool in standin.tools.items():
        routes.append((path, _Call, state))
        if tool.answers_by_key:
            routes.append((path + r"/outcome/([^/]+)", _Outcome, state))
    routes.append(("/standin/faults", _Faults, state))
    routes.append(("/standin/history", _History, state))
    return routes


__all__ = ["DEFAULT_TOOLS", "Effect", "ToolFaults", "ToolStandin"]
