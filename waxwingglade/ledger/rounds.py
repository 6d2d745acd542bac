"""Rounds of messages among the replicas: ask several the same until enough have answered."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from functools import partial
from typing import Any

from loguru import logger

from waxwingglade.base import ProgramId, WaxwinggladeError, monotonic
from waxwingglade.base.rendezvous import weight
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.ledger.messages import Ballot, OtherEpoch, Rejected

Ask = Callable[[Member, Any, float], Awaitable[Any]]
"""Sends a request to a member and returns its answer within some seconds."""

ROUND_S = 0.25
"""Seconds for one round of messages; a round trip between zones takes some 3 ms and a flush 1 ms,
so this is only reached by members that are gone or stalled."""

HEDGE_S = 0.1
"""Seconds after which the members that were not needed are asked, too.  A round takes 3 to 8 ms,
and some 60 ms in a crowd; asking all of a ledger that is merely busy would make it busier."""

AVOID_S = 5.0
"""Seconds for which a member that gave no answer is asked last; each time it is tried again, what
is under way waits for `HEDGE_S`."""


FIRST_PAUSE_S = 0.004
LONGEST_PAUSE_S = 0.1
"""Pause after rounds that came to nothing, as another's proposal or set of members came first; for
proposals it is drawn at random up to a bound that doubles."""


class NoMajority(WaxwinggladeError):
    """Too few members answered; whether a change holds is not known.

    Parameters
    ----------
    message : str
        What happened.
    unresponsive : iterable of Member
        Members that were asked and gave no answer.
    """

    def __init__(self, message: str, unresponsive: Iterable[Member] = ()) -> None:
        super().__init__(message)
        self.unresponsive = tuple(unresponsive)


class Rounds:
    """Asks the members of the ledger on behalf of one process.

    Parameters
    ----------
    own : Member
        The replica in this process; asking it costs no message.
    members : callable
        The present set of members.
    ask : callable
        Sends a request to a member and returns the answer; raises `WaxwinggladeError` if none.
    observe_replicas : callable
        Called with a set of members that some replica knows.
    rejected : callable
        Called with a program and the ballot that stood in the way of its proposal.
    """

    def __init__(
        self,
        own: Member,
        members: Callable[[], ReplicaSet],
        ask: Ask,
        observe_replicas: Callable[[ReplicaSet], None],
        rejected: Callable[[ProgramId, Ballot], None] = lambda *_: None,
    ) -> None:
        self.own = own
        self.members = members
        self.ask = ask
        self.observe_replicas = observe_replicas
        self.rejected = rejected
        self.avoided: dict[str, float] = {}

    def usable_members(self) -> ReplicaSet:
        """Return the present set of members; `NoMajority` while none are known."""
        replicas = self.members()
        if not replicas.members:
            raise NoMajority("no members known")
        return replicas

    async def majority(
        self, order: list[Member], first: int, message: Any, wanted: type
    ) -> list[Any]:
        """Bring a majority to accept or promise something; return its answers.

        Accounts are changed at as many members as are needed, and at the others only once one of
        these has refused or has not answered within `HEDGE_S`.  A member that was left out learns
        of a change when its promise is asked for.

        Parameters
        ----------
        order : list of Member
            All members, in the order in which they are asked.
        first : int
            How many of them are asked at once.
        message : ReplicaRequest
            What they are asked.
        wanted : type
            Type of a good answer.

        Returns
        -------
        list
            The good answers; fewer than a majority if too many refused.

        Raises
        ------
        NoMajority
            If too few members answered at all.
        """
        asking = _Asking(self.ask, message)
        asking.add(order[:first])
        needed = len(order) // 2 + 1
        good = []
        refused = 0
        # Whoever is silent is not waited for once it can't decide the round any more.  A zone that
        # is cut off otherwise costs `ROUND_S` for each proposal that another has overtaken, and
        # three of them the time in which a turn may begin.
        while asking.open and len(good) + asking.left(order) >= needed:
            answered = await asking.next(HEDGE_S if len(asking.asked) < len(order) else None)
            if answered is None:
                self._avoid(asking.open)
                asking.add(order)
                continue
            member, answer = answered
            if isinstance(answer, wanted):
                good.append(answer)
                if len(good) >= needed:
                    return good
                continue
            refused += self._is_refusal(member, message, answer)
            asking.add(order)
        if not refused:
            raise NoMajority(f"{len(good)} of {len(order)} members answered", asking.unresponsive)
        return good

    def _is_refusal(self, member: Member, message: Any, answer: Any) -> bool:
        """Return whether a member refused, and note what it said; if not, it gave no answer."""
        if isinstance(answer, Rejected):
            self.rejected(message.program, answer.promised)
            return True
        if isinstance(answer, OtherEpoch):
            self.observe_replicas(answer.replicas)
            return True
        self._avoid([member])
        return False

    def nearest_first(self, replicas: ReplicaSet, program: ProgramId) -> list[Member]:
        """Return the members in the order in which they are asked: those that answer, and near."""
        now = monotonic()

        def order(member: Member) -> tuple[bool, bool, bool, int]:
            avoided = self.avoided.get(member.disk, 0.0) > now
            own, near = member.disk == self.own.disk, member.zone == self.own.zone
            return avoided, not own, not near, weight(program, member.disk)

        return sorted(replicas.members, key=order)

    def _avoid(self, members: Iterable[Member]) -> None:
        for member in members:
            self.avoided[member.disk] = monotonic() + AVOID_S

    async def answers(
        self, replicas: ReplicaSet, message: Any
    ) -> AsyncIterator[tuple[Member, Any]]:
        """Yield all members and their answers as they come, None for one that gives none."""
        asking = _Asking(self.ask, message)
        asking.add(replicas.members)
        while asking.open:
            answered = await asking.next(None)
            assert answered is not None
            yield answered

    async def ask_one(self, member: Member, message: Any) -> Any:
        """Return one member's answer, None if it gives none."""
        try:
            return await self.ask(member, message, ROUND_S)
        except WaxwinggladeError:
            return None


class _Asking:
    """A request under way to several members, each of which is asked once."""

    def __init__(self, ask: Ask, message: Any) -> None:
        self.ask = ask
        self.message = message
        self.asked: set[str] = set()
        self.open: list[Member] = []
        self.failed: list[Member] = []
        self.answers: asyncio.Queue[tuple[Member, Any]] = asyncio.Queue()

    def add(self, members: Iterable[Member]) -> None:
        """Ask further members."""
        for member in members:
            if member.disk in self.asked:
                continue
            self.asked.add(member.disk)
            self.open.append(member)
            asking = asyncio.ensure_future(self.ask(member, self.message, ROUND_S))
            asking.add_done_callback(partial(self._answered, member))

    def _answered(self, member: Member, asked: asyncio.Future[Any]) -> None:
        self.answers.put_nowait((member, _outcome(asked)))

    def left(self, order: list[Member]) -> int:
        """Return how many members of a round have not answered, asked or not."""
        return len(self.open) + len(order) - len(self.asked)

    async def next(self, timeout_s: float | None) -> tuple[Member, Any] | None:
        """Return the next member that has answered and its answer; None if none does in time."""
        try:
            async with asyncio.timeout(timeout_s):
                member, answer = await self.answers.get()
        except TimeoutError:
            return None
        self.open.remove(member)
        if answer is None:
            self.failed.append(member)
        return member, answer

    @property
    def unresponsive(self) -> list[Member]:
        """Members that were asked and have given no answer."""
        return [*self.failed, *self.open]


def _outcome(asked: asyncio.Future[Any]) -> Any:
    """Return a member's answer, None if it gave none."""
    if asked.cancelled():
        return None
    error = asked.exception()
    if error is None:
        return asked.result()
    if not isinstance(error, WaxwinggladeError):
        logger.opt(exception=error).error("asking a member failed")
    return None


__all__ = ["Ask", "NoMajority", "Rounds"]
