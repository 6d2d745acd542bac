"""Storage of turns at a majority of the members, and retrieval of chains of turns."""

import asyncio
from contextlib import aclosing

import msgspec
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
        exist.  An earlier turn of its chain that no member sends is never taken as nonexistent.

        Raises
        ------
        NoMajority
            If too few members answer to decide, or none that answers has a turn of the chain.
        """
        while True:
            replicas = self.rounds.usable_members()
            known = await self._find_here(replicas, turn)
            refused = False
            while (missing := _first_missing(known, turn)) is not None:
                search = await self._search(replicas, missing, known)
                if missing == turn and replicas.intersects_all_majorities(search.absent):
                    self._log_denial(turn, replicas, search.absent)
                    return None
                if search.found:
                    continue
                if not search.refused:
                    raise NoMajority(
                        f"{len(search.absent)} of {len(replicas.members)} members without "
                        + ("the turn" if missing == turn else f"{missing}, an earlier turn")
                    )
                refused = True
                break
            if not refused:
                return _chain(known, turn)
            await asyncio.sleep(FIRST_PAUSE_S)

    async def _search(
        self, replicas: ReplicaSet, missing: TurnId, known: dict[TurnId, Turn]
    ) -> "_Search":
        """Ask the members for a turn, and add it and the turns before it to the known ones.

        Returns once a member has sent the turn, or it certainly does not exist, or all have
        answered.
        """
        search = _Search()
        async with aclosing(
            self.rounds.answers(replicas, Find(replicas.epoch, missing))
        ) as answers:
            async for member, answer in answers:
                if isinstance(answer, OtherEpoch):
                    self.rounds.observe_replicas(answer.replicas)
                    search.refused = True
                if not isinstance(answer, Found):
                    continue
                known.update({each.turn: each for each in answer.chain})
                if answer.chain:
                    search.found = True
                    return search
                search.absent.add(member.disk)
                if replicas.intersects_all_majorities(search.absent):
                    return search
        return search

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

    async def _find_here(self, replicas: ReplicaSet, turn: TurnId) -> dict[TurnId, Turn]:
        """Return the part of the chain up to a turn that the replica of this process has.

        The local replica has all of it in most cases.  If all members were asked at once, each
        would send the whole chain.
        """
        for member in replicas.members:
            if member.disk != self.rounds.own.disk:
                continue
            answer = await self.rounds.ask_one(member, Find(replicas.epoch, turn))
            if isinstance(answer, Found):
                return {each.turn: each for each in answer.chain}
        return {}


class _Search(msgspec.Struct):
    """Outcome of asking the members for one turn.

    Parameters
    ----------
    found : bool
        Whether a member has sent the turn.
    refused : bool
        Whether a member uses another set of members.
    absent : set of str
        Disks of the members without the turn.
    """

    found: bool = False
    refused: bool = False
    absent: set[str] = msgspec.field(default_factory=set)


def _first_missing(turns: dict[TurnId, Turn], last: TurnId) -> TurnId | None:
    """Return the last turn of a chain that is not among the turns; None if all are.

    Raises
    ------
    NoMajority
        If turns continue each other.  Callers choose their names, and a name that is used again may
        be that of different turns at different members.
    """
    wanted: TurnId | None = last
    for _ in range(len(turns) + 1):
        if wanted is None or wanted not in turns:
            return wanted
        wanted = turns[wanted].previous
    raise NoMajority(f"the turns before {last} continue each other")


def _chain(turns: dict[TurnId, Turn], last: TurnId) -> tuple[Turn, ...]:
    """Return the chain up to a turn, of which none is missing."""
    chain = []
    wanted: TurnId | None = last
    while wanted is not None:
        chain.append(turns[wanted])
        wanted = turns[wanted].previous
    return tuple(reversed(chain))


__all__ = ["Turns"]
