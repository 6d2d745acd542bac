"""Rounds of messages among the replicas: send one request to several until enough answer."""

import asyncio
from collections import deque
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
"""Sends a request to a member and returns its answer; the float is the timeout in seconds."""

ROUND_TIMEOUT_S = 0.25
"""Timeout of one request in seconds.  A round trip between zones takes about 3 ms and a flush 1 ms,
so only unreachable or stalled members exceed it."""

HEDGE_S = 0.1
"""Seconds after which the remaining members are asked as well.  A round takes 3 to 8 ms, and about
60 ms under contention; a shorter delay would add load to a ledger that is merely busy."""

AVOID_DURATION_S = 5.0
"""Seconds for which a member that gave no answer is asked last.  Each retry of such a member delays
the current round by `HEDGE_S`."""


FIRST_PAUSE_S = 0.004
LONGEST_PAUSE_S = 0.1
"""Bounds in seconds of the pause after a round that lost to another proposal or set of members; for
proposals the pause is random, up to a bound that doubles."""


class NoMajority(WaxwinggladeError):
    """Too few members answered; whether a change is committed is unknown.

    Parameters
    ----------
    message : str
        What happened.
    unresponsive : iterable of Member
        Members that were asked and did not answer.
    """

    def __init__(self, message: str, unresponsive: Iterable[Member] = ()) -> None:
        super().__init__(message)
        self.unresponsive = tuple(unresponsive)


class Rounds:
    """Sends requests to the members of the ledger on behalf of one process.

    Parameters
    ----------
    own : Member
        The replica in this process; a request to it needs no message.
    members : callable
        Returns the current set of members.
    ask : callable
        Sends a request to a member and returns the answer; raises `WaxwinggladeError` without one.
    observe_replicas : callable
        Called with the set of members of a replica that refused a request under another one.
    rejected : callable
        Called with a program and the higher ballot for which its proposal was rejected.
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
        """Return the current set of members; raise `NoMajority` while it is unknown."""
        replicas = self.members()
        if not replicas.members:
            raise NoMajority("no members known")
        return replicas

    async def majority(
        self, order: list[Member], first: int, message: Any, wanted: type
    ) -> list[Any]:
        """Send a request until a majority has accepted or promised; return its answers.

        The first members are asked at once, and the others only when one of these refuses or does
        not answer within `HEDGE_S`.  A member that was not asked is brought up to date by a later
        proposal.

        Parameters
        ----------
        order : list of Member
            All members, in the order in which they are asked.
        first : int
            Number of members that are asked at once.
        message : ReplicaRequest
            The request.
        wanted : type
            Type of an answer that counts towards the majority.

        Returns
        -------
        list
            Answers of the wanted type; fewer than a majority if too many members refused.

        Raises
        ------
        NoMajority
            If too few members answered and none refused.
        """
        request = _Request(self.ask, message)
        request.add(order[:first])
        needed = len(order) // 2 + 1
        good = []
        refused = 0
        # Unresponsive members that can no longer decide the round are not waited for.  Otherwise a
        # partitioned zone costs `ROUND_TIMEOUT_S` for each overtaken proposal, and three of these
        # use up the time in which a turn may begin.
        while request.open and len(good) + request.left(order) >= needed:
            answered = await request.next(HEDGE_S if len(request.asked) < len(order) else None)
            if answered is None:
                self._avoid(request.open)
                request.add(order)
                continue
            member, answer = answered
            if isinstance(answer, wanted):
                good.append(answer)
                if len(good) >= needed:
                    return good
                continue
            refused += self._handle_refusal(member, message, answer)
            request.add(order)
        if not refused:
            raise NoMajority(f"{len(good)} of {len(order)} members answered", request.unresponsive)
        return good

    def _handle_refusal(self, member: Member, message: Any, answer: Any) -> bool:
        """Return whether a member refused, and report why; otherwise avoid the member."""
        if isinstance(answer, Rejected):
            self.rejected(message.program, answer.promised)
            return True
        if isinstance(answer, OtherEpoch):
            self.observe_replicas(answer.replicas)
            return True
        self._avoid([member])
        return False

    def nearest_first(self, replicas: ReplicaSet, program: ProgramId) -> list[Member]:
        """Return the members in the order in which to ask them: responsive and near ones first."""
        now = monotonic()

        def order(member: Member) -> tuple[bool, bool, bool, int]:
            avoided = self.avoided.get(member.disk, 0.0) > now
            own, near = member.disk == self.own.disk, member.zone == self.own.zone
            return avoided, not own, not near, weight(program, member.disk)

        return sorted(replicas.members, key=order)

    def _avoid(self, members: Iterable[Member]) -> None:
        for member in members:
            self.avoided[member.disk] = monotonic() + AVOID_DURATION_S

    async def answers(
        self, replicas: ReplicaSet, message: Any
    ) -> AsyncIterator[tuple[Member, Any]]:
        """Yield each member with its answer as answers arrive; None if it gives none."""
        request = _Request(self.ask, message)
        request.add(replicas.members)
        while request.open:
            answered = await request.next(None)
            assert answered is not None
            yield answered

    async def ask_one(self, member: Member, message: Any) -> Any:
        """Return the answer of one member; None if it gives none."""
        try:
            return await self.ask(member, message, ROUND_TIMEOUT_S)
        except WaxwinggladeError:
            return None


class _Request:
    """A request in progress to several members; each is asked at most once."""

    def __init__(self, ask: Ask, message: Any) -> None:
        self.ask = ask
        self.message = message
        self.asked: set[str] = set()
        self.open: list[Member] = []
        self.failed: list[Member] = []
        self.answers: deque[tuple[Member, Any]] = deque()
        self.waiter: asyncio.Future[None] | None = None

    def add(self, members: Iterable[Member]) -> None:
        """Send the request to those of the members that were not asked yet."""
        for member in members:
            if member.disk in self.asked:
                continue
            self.asked.add(member.disk)
            self.open.append(member)
            request = asyncio.ensure_future(self.ask(member, self.message, ROUND_TIMEOUT_S))
            request.add_done_callback(partial(self._answered, member))

    def _answered(self, member: Member, asked: asyncio.Future[Any]) -> None:
        self.answers.append((member, outcome_of(asked)))
        if self.waiter is not None:
            _wake(self.waiter)

    def left(self, order: list[Member]) -> int:
        """Return how many members of a round have not answered, whether asked or not."""
        return len(self.open) + len(order) - len(self.asked)

    async def next(self, timeout_s: float | None) -> tuple[Member, Any] | None:
        """Return the next member that answers and its answer; None if none does in time."""
        if not self.answers:
            await self._wait(timeout_s)
        if not self.answers:
            return None
        member, answer = self.answers.popleft()
        self.open.remove(member)
        if answer is None:
            self.failed.append(member)
        return member, answer

    async def _wait(self, timeout_s: float | None) -> None:
        """Wait for an answer.

        A queue and a timeout context would take several times as long, for each answer.
        """
        loop = asyncio.get_running_loop()
        self.waiter = loop.create_future()
        timer = None if timeout_s is None else loop.call_later(timeout_s, _wake, self.waiter)
        try:
            await self.waiter
        finally:
            self.waiter = None
            if timer is not None:
                timer.cancel()

    @property
    def unresponsive(self) -> list[Member]:
        """Members that were asked and did not answer."""
        return [*self.failed, *self.open]


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)


def outcome_of(asked: asyncio.Future[Any]) -> Any:
    """Return the answer of a member; None if it gave none."""
    if asked.cancelled():
        return None
    error = asked.exception()
    if error is None:
        return asked.result()
    if not isinstance(error, WaxwinggladeError):
        logger.opt(exception=error).error("unexpected error from a request to a member")
    return None


__all__ = ["Ask", "NoMajority", "Rounds", "outcome_of"]
