"""Rounds among replicas when some refuse and others do not answer."""

import asyncio
import unittest
from typing import Any

from waxwingglade.base import ProgramId, ZoneId
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.ledger.messages import (
    NEW_ACCOUNT,
    Accept,
    Accepted,
    Ballot,
    Rejected,
)
from waxwingglade.ledger.rounds import Rounds

MESSAGE = Accept(1, ProgramId("p"), Ballot(1, "a"), NEW_ACCOUNT)
NO_ANSWER = None
SOON_S = 2.0
"""Timeout in seconds of a round without waiting; unresponsive members never answer."""


class RoundsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.members = [Member(f"d{n}", f"vm-{n}", f"a-{n}", ZoneId("z")) for n in range(5)]

    async def outcome(self, answers: list[Any], first: int = 3) -> list[Any]:
        """Run a round with one given answer for each member; return the good answers."""
        by_disk = dict(zip([member.disk for member in self.members], answers, strict=True))

        async def ask(member: Member, _message: Any, _timeout_s: float) -> Any:
            answer = by_disk[member.disk]
            if answer is NO_ANSWER:
                await asyncio.Event().wait()
            return answer

        rounds = Rounds(self.members[0], ReplicaSet, ask, lambda _: None, lambda *_: None)
        async with asyncio.timeout(SOON_S):
            return await rounds.majority(self.members, first, MESSAGE, Accepted)

    async def test_a_member_that_cannot_decide_the_round_is_not_waited_for(self) -> None:
        """Guards against waiting for a partitioned zone while two processes change one account.

        A lost round would take 0.25 s, and three of them the 0.9 s after which a turn times
        out.  Waiting turns would then exhaust the capacity of the processes.
        """
        refusal = Rejected(Ballot(2, "b"))
        good = await self.outcome([Accepted(), refusal, refusal, refusal, NO_ANSWER])
        self.assertEqual([Accepted()], good)

    async def test_a_member_that_may_decide_the_round_is_waited_for(self) -> None:
        with self.assertRaises(TimeoutError):
            await self.outcome(
                [Accepted(), Accepted(), Rejected(Ballot(2, "b")), NO_ANSWER, NO_ANSWER]
            )

    async def test_a_majority_is_enough(self) -> None:
        good = await self.outcome(
            [Accepted(), NO_ANSWER, Accepted(), Accepted(), NO_ANSWER], first=5
        )
        self.assertEqual(3 * [Accepted()], good)


if __name__ == "__main__":
    unittest.main()
