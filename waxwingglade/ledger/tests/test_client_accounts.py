"""Tests that only the client account that owns a turn can continue it."""

import unittest
from typing import Any

import msgspec

from waxwingglade.ledger.messages import EndTurn, NoSuchTurn, TurnBegun
from waxwingglade.ledger.records import TurnRecord, decode
from waxwingglade.ledger.tests.builders import Cluster, begin, turn


class ClientAccountTest(unittest.IsolatedAsyncioTestCase):
    """A turn can be continued only by the client account that created it."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.coordinator = self.cluster.coordinator("vm-0")

    async def keep(self, number: int, client: str | None) -> None:
        kept = msgspec.structs.replace(turn(number), client=client)
        self.assertTrue((await self.coordinator.end(EndTurn(kept.turn, None, 0, kept))).kept)

    async def continued(self, number: int, client: str | None) -> Any:
        asked = msgspec.structs.replace(begin(9, previous=f"turn-{number}"), client=client)
        return await self.coordinator.begin(asked)

    async def test_for_another_account_the_turn_does_not_exist(self) -> None:
        await self.keep(1, "shop")
        for client in ("garage", None):
            self.assertEqual(NoSuchTurn(), await self.continued(1, client))
        self.assertIsInstance(await self.continued(1, "shop"), TurnBegun)

    async def test_the_owner_survives_a_restart(self) -> None:
        await self.keep(1, "shop")
        for vm in list(self.cluster.replicas):
            await self.cluster.restart(vm)
            await self.cluster.replicas[vm].adopt_members(self.cluster.set)
        self.assertEqual(NoSuchTurn(), await self.continued(1, "garage"))
        self.assertIsInstance(await self.continued(1, "shop"), TurnBegun)

    async def test_a_turn_stored_without_an_account_can_be_continued(self) -> None:
        await self.keep(1, None)
        self.assertIsInstance(await self.continued(1, "shop"), TurnBegun)

    def test_a_record_of_a_version_without_client_accounts_is_read(self) -> None:
        old = msgspec.msgpack.encode(["t", ["turn-1", None, b"asked", b"answered", 4e9, "i-1"]])
        record = decode(old)
        assert isinstance(record, TurnRecord)
        self.assertIsNone(record.turn.client)


if __name__ == "__main__":
    unittest.main()
