"""A cluster of the daemons with a client account that has a limit, and its callers."""

import asyncio
import itertools
import random
import time
from typing import ClassVar

from tests.platform_cluster import (
    CALL,
    HOST,
    WAIT_TIMEOUT_S,
    Node,
    PlatformCluster,
    configuration,
)
from tests.windows import Span, windows
from waxwingglade.base import WaxwinggladeError
from waxwingglade.decisions.quota import QuotaRules
from waxwingglade.standins.metadata_store import MetadataStore, Refusal
from waxwingglade.standins.registered_server import RegisteredServer, Run, ServerFault

RESUMED = "/resumed/"
KEY = "key-of-the-shop"
RULES = QuotaRules(window_s=2.0, excess=0.1, slack=6.0)
RATE_PER_S, BURST = 6.0, 3.0
MOST = RULES.most(RATE_PER_S, BURST)
SERVERS = 5
"""Servers of each service."""

GRANTS_QUOTA = 'waxwingglade_ledger_state{name="grants_quota"} 1'
"""Line of the metrics page of a member that grants requests."""

PAUSE_S = 0.05
"""Seconds between two requests of a caller."""


class LossyServer(RegisteredServer):
    """A server that runs its requests, and loses the answers to a share of them.

    Attributes
    ----------
    share : float
        Share of the answers that it loses.
    lost : int
        Number of answers that it has lost.
    """

    share = 0.0
    lost = 0

    def __init__(self, store: MetadataStore, service: str, events: int, rng: random.Random) -> None:
        super().__init__(store, service, events)
        self.rng = rng

    async def _run(self, writer: asyncio.StreamWriter, request: str, body: bytes) -> bool:
        self.fault = ServerFault.NONE
        if self.rng.random() < self.share:
            self.fault = ServerFault.TRUNCATED if self.events else ServerFault.CUT
            self.lost += 1
        return await super()._run(writer, request, body)


class LimitedAccounts(PlatformCluster):
    """Entries and ledger processes, an account with a limit, and servers that can lose answers.

    Parameters
    ----------
    entries : int
        Number of entries.
    rules : QuotaRules
        Rules for the limit.
    """

    tenants: ClassVar[list[dict]] = [
        {"name": "shop", "api_keys": [KEY], "rate_per_s": RATE_PER_S, "burst": BURST}
    ]
    key = KEY

    def __init__(self, entries: int = 3, rules: QuotaRules = RULES) -> None:
        self.rules = rules
        self.bounds = {
            "quota_window_s": rules.window_s,
            "quota_excess": rules.excess,
            "quota_slack": rules.slack,
        }
        super().__init__(entries=entries)
        self.version = 3
        self.configure(RATE_PER_S, BURST)
        rng = random.Random(1)
        self.engines = [LossyServer(self.store, "engines", 4, rng) for _ in range(SERVERS)]
        self.notes = [LossyServer(self.store, "notes", 0, rng) for _ in range(SERVERS)]
        self.request_numbers = itertools.count()
        self.sent_at: dict[str, float] = {}
        self.statuses: list[int] = []

    def store_address(self, node: str) -> str:
        """Return the address of the store, which differs for entries and ledger processes."""
        host = "localhost" if node.startswith("storage") else "127.0.0.1"
        return f"{host}:{self.store.address.rpartition(':')[2]}"

    def restart_ledgers(self, shift_s: float) -> None:
        """Kill all ledger processes, and start them on machines whose clocks have started anew."""
        for node in self.ledgers:
            node.kill()
            node.shift_s = shift_s
            node.start()

    def refuse_ledgers(self) -> Refusal:
        """Let the store refuse all ledger processes from now on, and serve the entries."""
        return self.store.refuse({self.store_address(node.name) for node in self.ledgers}, 503)

    def configure(self, rate_per_s: float, burst: float) -> None:
        """Write a configuration with another limit of the account to the store."""
        resumed = {
            "name": "resumed",
            "host": HOST,
            "path_prefix": RESUMED,
            "kind": "streaming",
            "service": "engines",
            "max_attempts": 2,
            "resumable": True,
            "timeout_ms": 5000,
        }
        self.version += 1
        tenants = [{**self.tenants[0], "rate_per_s": rate_per_s, "burst": burst}]
        self.store.put("op/config", configuration(self.version, [resumed], tenants))

    async def start(self) -> None:
        """Start everything, and wait until all members grant their shares of the limit."""
        await super().start()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            for node in self.ledgers:
                while GRANTS_QUOTA not in await self.page(node):
                    await asyncio.sleep(0.2)

    def lose_answers(self, share: float) -> None:
        """Let all servers lose the answers to a share of their requests from now on."""
        for server in [*self.engines, *self.notes]:
            server.share = share

    async def press(self, path: str, seconds: float, callers: int = 24) -> None:
        """Send requests through all entries; the usual callers send far more than the limit."""
        end_at = time.monotonic() + seconds
        await asyncio.gather(*(self._press(path, end_at, number) for number in range(callers)))

    async def _press(self, path: str, end_at: float, caller: int) -> None:
        entries = itertools.cycle(self.entries[caller % len(self.entries) :] + self.entries)
        while time.monotonic() < end_at:
            await self._send(next(entries), path, f"{path}{next(self.request_numbers)}")
            await asyncio.sleep(PAUSE_S)

    async def _send(self, entry: Node, path: str, request: str) -> None:
        self.sent_at[request] = time.monotonic()
        try:
            response = await self.call(entry, "POST", path, request.encode(), request_id=request)
        except (WaxwinggladeError, TimeoutError):
            return
        self.statuses.append(response.status)

    def runs(self, path: str) -> list[Run]:
        """Return all runs of the requests that `press` sent to a path."""
        runs = [run for server in [*self.engines, *self.notes] for run in server.runs]
        return [run for run in runs if run.path == path and run.request in self.sent_at]

    @property
    def lost(self) -> int:
        """Number of answers that servers have lost."""
        return sum(server.lost for server in [*self.engines, *self.notes])

    def highest(self, path: str) -> int:
        """Return the highest number of runs of a path in one window of the limit."""
        spans = [Span(self.sent_at[run.request], run.began_at) for run in self.runs(path)]
        return max((window.runs for window in windows(spans, self.rules.window_s)), default=0)


__all__ = ["BURST", "CALL", "MOST", "RATE_PER_S", "RESUMED", "RULES", "LimitedAccounts"]
