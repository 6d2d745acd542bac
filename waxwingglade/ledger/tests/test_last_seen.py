"""Time since a member was last seen, for new members and after a stall of this process."""

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any

from waxwingglade.base import ZoneId
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.ledger.membership import JOIN_BESIDE_S, REMOVE_AFTER_S, Membership


def member(name: str) -> Member:
    """Return a member in the zone that its name begins with."""
    return Member(f"disk-{name}", f"vm-{name}", f"tcp://{name}", ZoneId(name[0]))


MEMBERS = tuple(member(name) for name in ("a1", "b1", "c1"))
STANDBY, JOINED = member("b2"), member("b3")


class Clock:
    """A clock that is set by hand."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class LastSeenTest(unittest.IsolatedAsyncioTestCase):
    """A replica on standby in the zone of a member that is lost."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.replica = SimpleNamespace(replicas=ReplicaSet(3, MEMBERS, True))
        watcher: Any = SimpleNamespace(retiring={})
        self.membership = Membership(
            STANDBY,
            self.replica,
            watcher,
            store=None,
            ask=self.never_answer,
            wanted=3,
            zones=3,
            replicas_key="",
            status_prefix="",
            candidacy=None,
            clock=self.clock,
        )
        self.mark_seen(*MEMBERS)

    async def never_answer(self, *_: Any) -> None:
        """Answer no ping while the test runs."""
        await asyncio.Event().wait()

    def mark_seen(self, *members: Member) -> None:
        """Record that members are seen now."""
        for each in members:
            self.membership.unresponsive_s(each)
            self.membership.last_seen_at[each.disk] = self.clock()

    def is_needed(self) -> bool:
        """Return whether the replica would join."""
        return self.membership._is_needed(self.replica.replicas)

    async def test_a_member_that_has_just_joined_is_not_unresponsive(self) -> None:
        """Guards against a second replica that joins beside the first for one lost member."""
        self.clock.now += JOIN_BESIDE_S + 0.1
        self.mark_seen(MEMBERS[0], MEMBERS[2])
        self.assertTrue(self.is_needed())
        self.replica.replicas = ReplicaSet(4, (*MEMBERS, JOINED), True)
        self.assertFalse(self.is_needed())
        self.clock.now += REMOVE_AFTER_S
        self.assertTrue(self.is_needed())

    async def test_a_stall_does_not_make_others_unresponsive(self) -> None:
        """Guards against joining for a member that answered while this process stalled."""
        self.mark_seen(*MEMBERS)
        self.clock.now += JOIN_BESIDE_S + 0.1
        self.membership.discount_stall(JOIN_BESIDE_S)
        self.assertFalse(self.is_needed())
        self.clock.now += JOIN_BESIDE_S
        self.assertTrue(self.is_needed())

    async def test_a_member_that_joins_again_is_not_unresponsive(self) -> None:
        """Guards against counting the time before it joined, when it was not pinged."""
        for members in ((*MEMBERS, JOINED), MEMBERS, (*MEMBERS, JOINED)):
            self.clock.now += REMOVE_AFTER_S
            self.replica.replicas = ReplicaSet(self.replica.replicas.epoch + 1, members, True)
            self.mark_seen(*MEMBERS)
        self.assertEqual(self.membership.unresponsive_s(JOINED), 0.0)


if __name__ == "__main__":
    unittest.main()
