"""Reads turns that this member lacks from other members.

A turn is acknowledged once a majority has stored it.  A member that was away, or whose message was
lost, does not have it; without a repair, the loss of another member could make it unavailable.
"""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from waxwingglade.base import WaxwinggladeError
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.ledger.messages import CompareTurns, DifferentTurns, Fetch, Fetched, TurnId
from waxwingglade.ledger.replica import Replica
from waxwingglade.ledger.rounds import Ask

COMPARE_INTERVAL_S = 0.5
"""Mean seconds between comparisons, each with the next member."""

COMPARE_TIMEOUT_S = 0.5
FETCH_TIMEOUT_S = 2.0
"""Timeouts of requests in seconds; an answer with turns has up to a megabyte."""

MAX_FETCH_NAMES = 100
"""Most turns in one request."""


class TurnRepair:
    """Compares the turns of this member with those of the others, and reads the missing ones.

    Parameters
    ----------
    own : Member
        The replica of this process.
    replica : Replica
        Stores the turns.
    members : callable
        Returns the current set of members.
    ask : callable
        Sends a request to a member.

    Attributes
    ----------
    repaired : int
        Turns that were read from other members.
    compared : int
        Comparisons so far, which determine the next member.
    """

    def __init__(
        self, own: Member, replica: Replica, members: Callable[[], ReplicaSet], ask: Ask
    ) -> None:
        self.own = own
        self.replica = replica
        self.members = members
        self.ask = ask
        self.repaired = 0
        self.compared = 0

    async def run(self) -> None:
        """Compare periodically with one member after the other."""
        while self.replica.journal.failure is None:
            await asyncio.sleep(COMPARE_INTERVAL_S * (0.5 + random.random()))
            await self.repair_from_next()

    async def repair_from_next(self) -> None:
        """Read from the next member the turns that this one lacks."""
        members = self.members().members
        others = [member for member in members if member.disk != self.own.disk]
        if not others or len(others) == len(members):
            # Only members store turns; one that joins reads all of them first.
            return
        self.compared += 1
        member = others[self.compared % len(others)]
        try:
            await self.repair_from(member)
        except WaxwinggladeError as error:
            logger.bind(member=member.vm, reason=str(error)).debug("turns not compared")

    async def repair_from(self, member: Member) -> None:
        """Read from a member the turns that this one lacks.

        Raises
        ------
        WaxwinggladeError
            If the member does not answer.
        """
        index = self.replica.index
        message = CompareTurns(index.checksums(self.replica.wall_clock()), tuple(index.gaps))
        answer = await self.ask(member, message, COMPARE_TIMEOUT_S)
        if not isinstance(answer, DifferentTurns):
            raise WaxwinggladeError(f"{member.vm} did not compare turns")
        wanted = index.missing(answer.turns)
        if not wanted:
            return
        before = self.repaired
        try:
            await self._fetch_all(member, wanted)
        finally:
            logger.bind(member=member.vm, turns=self.repaired - before, gaps=len(index.gaps)).info(
                "turns repaired"
            )

    async def _fetch_all(self, member: Member, wanted: list[TurnId]) -> None:
        """Read turns and, as far as they are missing as well, all that they continue."""
        index = self.replica.index
        asked: set[TurnId] = set()
        while wanted:
            batch = wanted[:MAX_FETCH_NAMES]
            answer = await self.ask(member, Fetch(turns=tuple(batch)), FETCH_TIMEOUT_S)
            if not isinstance(answer, Fetched):
                raise WaxwinggladeError(f"{member.vm} sent no turns")
            await self.replica.store_fetched(answer)
            self.repaired += len(answer.turns)
            # An answer ends at a maximum size, with at least one turn if the member has any.
            asked |= set(batch) if not answer.turns else {turn.turn for turn in answer.turns}
            names = dict.fromkeys([*wanted, *index.gaps])
            wanted = [name for name in index.missing(names) if name not in asked]


__all__ = ["TurnRepair"]
