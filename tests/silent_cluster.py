"""Ledger processes and an entry in the test's own process, with relays on their links."""

import asyncio
import json
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from unittest import mock

from tests.platform_cluster import configuration
from tests.ports import ReservedPorts
from tests.prove.relay import ADDRESS, Relays
from waxwingglade.base import ProgramId, ZoneId
from waxwingglade.follow.tests.builders import MemoryStore
from waxwingglade.ingress.entry import Ingress
from waxwingglade.ingress.settings import IngressSettings
from waxwingglade.ledger.messages import BeginTurn, EndTurn, TurnBegun, TurnId
from waxwingglade.ledger.node import LedgerNode, LedgerSettings
from waxwingglade.platform.headers import DIALECT
from waxwingglade.platform.process import KEYS

SIZE = 3
ANYBODY = 100
"""Number of whoever connects to a relay."""

SPARE_S = 2.0
"""Seconds after which a spare process has heard of all members, and would have joined."""

PATIENCE_S = 30.0


class SilentCluster:
    """Three ledger processes, one in each zone, and an entry in the zone of the first.

    The store is asked directly: its connections are another matter.
    """

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.store.put(KEYS.configuration, json.dumps(configuration(3)).encode())
        self.relays = Relays(dict)
        self.ports = ReservedPorts(ADDRESS)
        self.folder = tempfile.TemporaryDirectory()
        self.nodes: list[LedgerNode] = []
        self.begun = 0
        settings = IngressSettings("front", ZoneId("zone-0"), f"{ADDRESS}:0", f"{ADDRESS}:0")
        # Metrics register themselves once for a whole process.
        with mock.patch("waxwingglade.ingress.entry.IngressMetrics"):
            self.entry = Ingress(settings, self.store, KEYS, DIALECT)

    async def start(self) -> None:
        """Start all, and wait until the ledger has its members and the entry is ready."""
        for number in range(SIZE):
            await self._start_node(number, self.ports.reserve())
        await self.entry.start()
        await self.until(self._is_settled)
        await self.until(lambda: self.entry.ready)

    async def add_spare(self) -> None:
        """Start another ledger process in the first zone, which is not needed as a member."""
        await self._start_node(SIZE, self.ports.reserve())
        await asyncio.sleep(SPARE_S)

    async def _start_node(self, number: int, port: int) -> None:
        relay = await self.relays.add(number, port, source=ANYBODY)
        folder = Path(self.folder.name) / str(number)
        folder.mkdir()
        settings = LedgerSettings(
            f"vm-{number}",
            ZoneId(f"zone-{number % SIZE}"),
            f"tcp://{ADDRESS}:{relay}",
            folder,
            SIZE,
            SIZE,
            "status/",
        )
        with mock.patch("waxwingglade.ledger.node.LedgerMetrics"):
            node = LedgerNode(settings, self.store, KEYS)
        listen = node.server.start
        # It tells the others the relay's address as its own, and listens behind it.
        with mock.patch.object(node.server, "start", lambda _: listen(f"tcp://{ADDRESS}:{port}")):
            await node.start()
        self.nodes.append(node)

    def _is_settled(self) -> bool:
        sets = [node.replica.replicas for node in self.nodes[:SIZE]]
        return all(each.settled and len(each.members) == SIZE for each in sets)

    async def stop(self) -> None:
        """Stop all."""
        await self.entry.stop()
        for node in self.nodes:
            await node.stop()
        await self.relays.close()
        self.ports.close()
        self.folder.cleanup()

    async def until(self, condition: Callable[[], bool]) -> float:
        """Wait until a condition holds; return the seconds that it took."""
        began_at = time.monotonic()
        async with asyncio.timeout(PATIENCE_S):
            while not condition():
                await asyncio.sleep(0.01)
        return time.monotonic() - began_at

    async def begin_and_end(self) -> bool:
        """Begin and end a turn as the entry would; return whether both were decided."""
        self.begun += 1
        turn, program = TurnId(f"turn-{self.begun}"), ProgramId(f"program-{self.begun}")
        begun = await self.entry.ledger.begin(BeginTurn(turn, program, 40, 100), 0.9)
        return isinstance(begun, TurnBegun) and await self.entry.ledger.end(
            EndTurn(turn, program, 40), 1.5
        )


__all__ = ["SilentCluster"]
