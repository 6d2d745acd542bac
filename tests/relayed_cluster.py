"""Ledger nodes and an entry in the test's own process, with relays on their links."""

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

MEMBERS = 3
ANY_CLIENT = 100
"""Relay number of every client, since all of them run in this process."""

SPARE_JOIN_S = 2.0
"""Seconds after which a spare node knows all members, and would have joined if it could."""

WAIT_TIMEOUT_S = 30.0


class RelayedCluster:
    """Three ledger nodes, one in each zone, and an entry in the zone of the first.

    The store is accessed directly, since these tests do not cover its connections.
    """

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.store.put(KEYS.configuration, json.dumps(configuration(3)).encode())
        self.relays = Relays(dict)
        self.ports = ReservedPorts(ADDRESS)
        self.folder = tempfile.TemporaryDirectory()
        self.nodes: list[LedgerNode] = []
        self.turns_begun = 0
        settings = IngressSettings("front", ZoneId("zone-0"), f"{ADDRESS}:0", f"{ADDRESS}:0")
        # Metrics can be registered only once in a process.
        with mock.patch("waxwingglade.ingress.entry.IngressMetrics"):
            self.entry = Ingress(settings, self.store, KEYS, DIALECT)

    async def start(self) -> None:
        """Start everything, and wait until the ledger has its members and the entry is ready."""
        for number in range(MEMBERS):
            await self._start_node(number, self.ports.reserve())
        await self.entry.start()
        await self.until(self._has_all_members)
        await self.until(lambda: self.entry.ready)

    async def add_spare(self) -> None:
        """Start another ledger node in the first zone, which is not needed as a member."""
        await self._start_node(MEMBERS, self.ports.reserve())
        await asyncio.sleep(SPARE_JOIN_S)

    async def _start_node(self, number: int, port: int) -> None:
        relay = await self.relays.add(number, port, source=ANY_CLIENT)
        folder = Path(self.folder.name) / str(number)
        folder.mkdir()
        settings = LedgerSettings(
            f"vm-{number}",
            ZoneId(f"zone-{number % MEMBERS}"),
            f"tcp://{ADDRESS}:{relay}",
            folder,
            MEMBERS,
            MEMBERS,
            "status/",
        )
        with mock.patch("waxwingglade.ledger.node.LedgerMetrics"):
            node = LedgerNode(settings, self.store, KEYS)
        listen = node.server.start
        # The node advertises the relay's address as its own, and listens behind the relay.
        with mock.patch.object(node.server, "start", lambda _: listen(f"tcp://{ADDRESS}:{port}")):
            await node.start()
        self.nodes.append(node)

    def _has_all_members(self) -> bool:
        sets = [node.replica.replicas for node in self.nodes[:MEMBERS]]
        return all(each.settled and len(each.members) == MEMBERS for each in sets)

    async def stop(self) -> None:
        """Stop everything."""
        await self.entry.stop()
        for node in self.nodes:
            await node.stop()
        await self.relays.close()
        self.ports.close()
        self.folder.cleanup()

    async def until(self, condition: Callable[[], bool]) -> float:
        """Wait until a condition holds; return the seconds waited."""
        began_at = time.monotonic()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)
        return time.monotonic() - began_at

    async def begin_and_end(self) -> bool:
        """Begin and end a turn as the entry would; return whether both were committed."""
        self.turns_begun += 1
        turn, program = TurnId(f"turn-{self.turns_begun}"), ProgramId(f"program-{self.turns_begun}")
        begun = await self.entry.ledger.begin(BeginTurn(turn, program, 40, 100), 0.9)
        return isinstance(begun, TurnBegun) and await self.entry.ledger.end(
            EndTurn(turn, program, 40), 1.5
        )


__all__ = ["RelayedCluster"]
