"""Client of an entry for the request quotas of client accounts, which the members grant."""

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

MEMBER_TIMEOUT_S = 0.15
"""Timeout in seconds of a request to one member, after which another member is asked."""

MAX_REFUSAL_CACHE_S = 0.25
"""Maximum time in seconds for which an account that all members refused is refused here without a
new request to the members."""

TAKE_TIMEOUT_S = 0.9
"""Timeout in seconds to obtain a grant, over all members that are asked."""


class QuotaClient:
    """Client of one entry for the request quotas of client accounts.

    Parameters
    ----------
    links : Links
        Connections to members.
    in_order : callable
        Returns the members in the order in which they are asked for a key; different keys spread
        the requests over the members.
    avoid : callable
        Called with a member that did not answer, which is asked last for a while.
    clock : Clock
        Monotonic seconds.

    Attributes
    ----------
    spent : dict
        Monotonic time until which each account that all members refused is refused without a new
        request.
    refused : Counter
        Refused requests of running programs by account, not reported to a member yet.
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
        self, message: TakeQuota, timeout_s: float
    ) -> QuotaTaken | QuotaSpent | Unavailable:
        """Obtain a grant for a request within the limit of its client account."""
        if (spent := self.cached_refusal(message.client)) is not None:
            return spent
        end_at = self.clock() + min(timeout_s, TAKE_TIMEOUT_S)
        return await self.take_from(self.in_order(random.random().hex()), message, None, end_at)

    def cached_refusal(self, client: ClientAccountId) -> QuotaSpent | None:
        """Return the cached refusal of an account whose quota was recently used up everywhere."""
        left_s = self.spent.get(client, 0.0) - self.clock()
        return QuotaSpent(left_s) if left_s > 0 else None

    async def take_from(
        self,
        members: list[Replica],
        message: TakeQuota,
        spent: QuotaSpent | None,
        end_at: float,
    ) -> QuotaTaken | QuotaSpent | Unavailable:
        """Ask members one after the other until one grants a request.

        If some members refuse and the others do not answer, the request is refused as over the
        limit: a member that does not answer may have used up its quota share.

        Parameters
        ----------
        spent : QuotaSpent or None
            Refusal of a member that was asked before.
        end_at : float
            Monotonic time in seconds until which members are asked.
        """
        for member in members:
            left_s = end_at - self.clock()
            if left_s <= 0:
                break
            answer = await self._ask(member, message, min(MEMBER_TIMEOUT_S, left_s))
            if isinstance(answer, QuotaTaken):
                return answer
            if isinstance(answer, QuotaSpent) and (spent is None or answer.retry_s < spent.retry_s):
                spent = answer
        if spent is None:
            return Unavailable("no member granted or refused the request")
        self.spent[message.client] = self.clock() + min(MAX_REFUSAL_CACHE_S, spent.retry_s)
        return spent

    async def begin_program(self, client: ClientAccountId) -> QuotaSpent | None:
        """Ask whether an account may begin a program; return the refusal, None if it may begin.

        The same member is asked for all programs of an account, so that it counts all of them.  If
        the member does not answer, the program begins: its requests are counted in any case.
        """
        members = self.in_order(client)
        if not members:
            return None
        member = max(members, key=lambda each: weight(client, each.disk))
        message = BeginProgram(client, self.refused.pop(client, 0))
        answer = await self._ask(member, message, MEMBER_TIMEOUT_S)
        return answer if isinstance(answer, QuotaSpent) else None

    def record_refused(self, client: ClientAccountId) -> None:
        """Record that a request of a running program was refused as over its account's limit."""
        self.refused[client] += 1

    async def _ask(
        self, member: Replica, message: TakeQuota | BeginProgram, timeout_s: float
    ) -> Any:
        """Ask one member; return None if it does not answer."""
        try:
            return await self.links.to(member.address).request(message, timeout_s)
        except WaxwinggladeError as error:
            self.avoid(member)
            logger.bind(replica=member.vm, account=message.client, reason=str(error)).info(
                "member not asked for a quota"
            )
            return None


__all__ = ["QuotaClient"]
