"""Storage of turns at a majority of the members, and retrieval of chains of turns."""

import asyncio

from loguru import logger

from waxwingglade.base.logs import Sampler
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.ledger.messages import Find, Found, Keep, Kept, OtherEpoch, Turn, TurnId
from waxwingglade.ledger.rounds import FIRST_PAUSE_S, LONGEST_PAUSE_S, NoMajority, Rounds

DENIALS_LOGGED_PER_S = 10.0
"""Maximum number of log lines per second for turns that do not exist; a caller may ask for many."""


class Turns:
    """Stores and finds turns on behalf of entries.

    Parameters
    ----------
    rounds : Rounds
        Sends messages to the members.
    """

    def __init__(self, rounds: Rounds) -> None:
        self.rounds = rounds
        self.denials = Sampler(DENIALS_LOGGED_PER_S)

    async def store(self, turn: Turn) -> None:
        """Store a turn at a majority of the members.

        Raises
        ------
        NoMajority
            If too few members answer.
        """
        pause_s = FIRST_PAUSE_S
        while True:
            replicas = self.rounds.usable_members()
            order = list(replicas.members)
            message = Keep(replicas.epoch, turn)
            # All members are asked at once, so that each of them can continue the turn locally.
            answers = await self.rounds.majority(order, len(order), message, Kept)
            if len(answers) >= replicas.majority:
                return
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, LONGEST_PAUSE_S)

    async def find(self, turn: TurnId) -> tuple[Turn, ...] | None:
        """Return the chain up to a turn; None if the turn certainly does not exist.

        A turn that was answered completely is stored at a majority of the set of members of that
        time.  If the members without the turn intersect every such majority, the turn does not
        exist.

        Raises
        ------
        NoMajority
            If too few members answer to decide.
        """
        while True:
            replicas = self.rounds.usable_members()
            message = Find(replicas.epoch, turn)
            if (chain := await self._find_here(replicas, message)) is not None:
                return chain
            absent: set[str] = set()
            partial: dict[TurnId, Turn] = {}
            refused = False
            async for member, answer in self.rounds.answers(replicas, message):
                if isinstance(answer, OtherEpoch):
                    self.rounds.observe_replicas(answer.replicas)
                    refused = True
                if not isinstance(answer, Found):
                    continue
                if answer.whole:
                    return answer.chain
                partial.update({each.turn: each for each in answer.chain})
                if not answer.chain:
                    absent.add(member.disk)
                if (chain := _join(partial, turn)) is not None:
                    return chain
                if replicas.intersects_all_majorities(absent):
                    self._log_denial(turn, replicas, absent)
                    return None
            if not refused:
                raise NoMajority(
                    f"{len(absent)} of {len(replicas.members)} members without the turn"
                )
            await asyncio.sleep(FIRST_PAUSE_S)

    def _log_denial(self, turn: TurnId, replicas: ReplicaSet, absent: set[str]) -> None:
        """Log the members without a turn that was denied.

        The log line of the entry has the request along with this turn.
        """
        if not self.denials.allows():
            return
        logger.bind(
            previous=turn,
            epoch=replicas.epoch,
            settled=replicas.settled,
            joining=[member.vm for member in replicas.members if member.disk == replicas.joining],
            without_it=[member.vm for member in replicas.members if member.disk in absent],
            left_out=self.denials.take_left_out(),
        ).warning("turn denied")

    async def _find_here(self, replicas: ReplicaSet, message: Find) -> tuple[Turn, ...] | None:
        """Return the chain up to a turn if the replica of this process has all of it.

        The local replica has it in most cases.  If all members were asked at once, each would send
        the whole chain.
        """
        for member in replicas.members:
            if member.disk != self.rounds.own.disk:
                continue
            answer = await self.rounds.ask_one(member, message)
            if isinstance(answer, Found) and answer.whole:
                return answer.chain
        return None


def _join(turns: dict[TurnId, Turn], last: TurnId) -> tuple[Turn, ...] | None:
    """Return the complete chain up to a turn; None if any turn of it is missing."""
    chain = []
    wanted: TurnId | None = last
    while wanted is not None:
        turn = turns.get(wanted)
        if turn is None or len(chain) > len(turns):
            return None
        chain.append(turn)
        wanted = turn.previous
    return tuple(reversed(chain))


__all__ = ["Turns"]
