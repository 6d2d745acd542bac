"""Turns of the ledger: copies at a majority of the members, and chains that are put together."""

import asyncio

from loguru import logger

from waxwingglade.base.logs import Sampler
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.ledger.messages import Find, Found, Keep, Kept, OtherEpoch, Turn, TurnId
from waxwingglade.ledger.rounds import FIRST_PAUSE_S, LONGEST_PAUSE_S, NoMajority, Rounds

DENIALS_LOGGED_PER_S = 10.0
"""Lines a second for turns that do not exist; a caller may ask for many."""


class Turns:
    """Keeps and finds turns on behalf of entries.

    Parameters
    ----------
    rounds : Rounds
        Asks the members.
    """

    def __init__(self, rounds: Rounds) -> None:
        self.rounds = rounds
        self.denials = Sampler(DENIALS_LOGGED_PER_S)

    async def copy(self, turn: Turn) -> None:
        """Have a majority of the members keep a turn; `NoMajority` if too few answer."""
        pause_s = FIRST_PAUSE_S
        while True:
            replicas = self.rounds.usable_members()
            order = list(replicas.members)
            message = Keep(replicas.epoch, turn)
            # All are asked at once, so that each has the turn at hand when it is continued.
            answers = await self.rounds.majority(order, len(order), message, Kept)
            if len(answers) >= replicas.majority:
                return
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, LONGEST_PAUSE_S)

    async def find(self, turn: TurnId) -> tuple[Turn, ...] | None:
        """Return the chain up to a turn; None if it certainly does not exist.

        A turn that was answered whole is held by a majority of the set of that time.  If the
        members without it include one of every such majority, it was not.
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
                partial.update({part.turn: part for part in answer.chain})
                if not answer.chain:
                    absent.add(member.disk)
                if (chain := _join(partial, turn)) is not None:
                    return chain
                if replicas.meet_all(absent):
                    self._log_denial(turn, replicas, absent)
                    return None
            if not refused:
                raise NoMajority(
                    f"{len(absent)} of {len(replicas.members)} members without the turn"
                )
            await asyncio.sleep(FIRST_PAUSE_S)

    def _log_denial(self, turn: TurnId, replicas: ReplicaSet, absent: set[str]) -> None:
        """Log on whose word a turn was denied; the entry's line names the request and this turn."""
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
        """Return the chain up to a turn if this process's replica holds all of it.

        It mostly does.  If all members were asked at once, each would send the whole chain.
        """
        for member in replicas.members:
            if member.disk != self.rounds.own.disk:
                continue
            answer = await self.rounds.ask_one(member, message)
            if isinstance(answer, Found) and answer.whole:
                return answer.chain
        return None


def _join(parts: dict[TurnId, Turn], last: TurnId) -> tuple[Turn, ...] | None:
    """Return the whole chain up to a turn, if all its parts are there."""
    chain = []
    wanted: TurnId | None = last
    while wanted is not None:
        part = parts.get(wanted)
        if part is None or len(chain) > len(parts):
            return None
        chain.append(part)
        wanted = part.previous
    return tuple(reversed(chain))


__all__ = ["Turns"]
