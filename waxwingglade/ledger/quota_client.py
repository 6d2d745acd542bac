"""The limits of client accounts, as an entry asks the ledger's members for them."""

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from loguru import logger

from waxwingglade.base import Clock, WaxwinggladeError, monotonic
from waxwingglade.base.rendezvous import weight
from waxwingglade.follow.model import ClientAccountId, Replica
from waxwingglade.ledger.messages import (
    BeginProgram,
    QuotaSpent,
    QuotaTaken,
    TakeQuota,
    Unavailable,
)
from waxwingglade.transport.links import Links

TAKE_S = 0.15
"""Seconds for a member to grant a request before another is asked."""

SPENT_S = 0.25
"""Longest time in seconds for which an account that no member granted anything is refused without
asking again."""

ASK_FOR_S = 0.9
"""Seconds for a request to be granted, over all members that are asked."""


class QuotaClient:
    """The limits of client accounts for one entry.

    Parameters
    ----------
    links : Links
        Connections to members.
    in_order : callable
        The members in the order in which they are asked; a key spreads what is asked over them.
    avoid : callable
        Called with a member that gave no answer, which is asked last for a while.
    clock : Clock
        Monotonic seconds.

    Attributes
    ----------
    spent : dict
        Until when each account that no member granted anything is refused without asking.
    refused : Counter
        Requests of each account's programs under way that were refused and not told of yet.
    """

    def __init__(
        self,
        links: Links,
        in_order: Callable[[str], list[Replica]],
        avoid: Callable[[Replica], None],
        clock: Clock = monotonic,
    ) -> None:
        self.links = links
        self.in_order = in_order
        self.avoid = avoid
        self.clock = clock
        self.spent: dict[ClientAccountId, float] = {}
        self.refused: Counter[ClientAccountId] = Counter()

    async def take(
        self, client: ClientAccountId, timeout_s: float
    ) -> QuotaTaken | QuotaSpent | Unavailable:
        """Have a request granted within the limit of its client account."""
        if (spent := self.known_spent(client)) is not None:
            return spent
        end_at = self.clock() + min(timeout_s, ASK_FOR_S)
        return await self.take_from(self.in_order(random.random().hex()), client, None, end_at)

    def known_spent(self, client: ClientAccountId) -> QuotaSpent | None:
        """Return the refusal of an account of which all members said lately that it has no room."""
        left_s = self.spent.get(client, 0.0) - self.clock()
        return QuotaSpent(left_s) if left_s > 0 else None

    async def take_from(
        self,
        members: list[Replica],
        client: ClientAccountId,
        spent: QuotaSpent | None,
        end_at: float,
    ) -> QuotaTaken | QuotaSpent | Unavailable:
        """Ask members one after the other until one grants a request.

        Where some have no room and the others do not answer, the request is refused as over the
        limit: a member that does not answer may have granted its part to others.

        Parameters
        ----------
        spent : QuotaSpent or None
            What a member that was asked before has answered.
        end_at : float
            Until when members are asked, in monotonic seconds.
        """
        for member in members:
            left_s = end_at - self.clock()
            if left_s <= 0:
                break
            answer = await self._ask(member, TakeQuota(client), min(TAKE_S, left_s))
            if isinstance(answer, QuotaTaken):
                return answer
            if isinstance(answer, QuotaSpent) and (spent is None or answer.retry_s < spent.retry_s):
                spent = answer
        if spent is None:
            return Unavailable("no member granted or refused the request")
        self.spent[client] = self.clock() + min(SPENT_S, spent.retry_s)
        return spent

    async def begin_program(self, client: ClientAccountId) -> QuotaSpent | None:
        """Ask whether an account may begin a program; return why not, None if it may try.

        One member is asked for all programs of an account, so that it knows of all of them.  Where
        it does not answer a program begins: its requests are counted in any case.
        """
        members = self.in_order(client)
        if not members:
            return None
        member = max(members, key=lambda each: weight(client, each.disk))
        message = BeginProgram(client, self.refused.pop(client, 0))
        answer = await self._ask(member, message, TAKE_S)
        return answer if isinstance(answer, QuotaSpent) else None

    def note_refused(self, client: ClientAccountId) -> None:
        """Note that a request of a program under way was refused as over its account's limit."""
        self.refused[client] += 1

    async def _ask(
        self, member: Replica, message: TakeQuota | BeginProgram, timeout_s: float
    ) -> Any:
        """Ask one member; None if it gives no answer."""
        try:
            return await self.links.to(member.address).request(message, timeout_s)
        except WaxwinggladeError as error:
            self.avoid(member)
            logger.bind(replica=member.vm, account=message.client, reason=str(error)).info(
                "limit not asked for"
            )
            return None


__all__ = ["QuotaClient"]
