"""Grants of one call within the limit of its client account, one for each sending.

A limit counts every sending that a target may have run.  The grant of a sending that was certainly
not run covers the next one.
"""

from collections.abc import Awaitable, Callable

from waxwingglade.ledger.messages import QuotaSpent, QuotaTaken, Unavailable

Take = Callable[[], Awaitable[QuotaTaken | QuotaSpent | Unavailable]]


class NoGrant(Exception):
    """A call that may have run gets no grant to be sent again.

    Parameters
    ----------
    reason : str
        Why it gets none.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class SendGrants:
    """The grants of one call.

    Parameters
    ----------
    take : callable or None
        Takes one more grant; None if the call is not counted.

    Attributes
    ----------
    taken : int
        Number of grants that were taken.
    """

    def __init__(self, take: Take | None) -> None:
        self.take = take
        self.taken = 0

    def add(self) -> None:
        """Count a grant that was taken elsewhere."""
        self.taken += 1

    async def ensure(self, sendings: int) -> None:
        """Take a grant if there are fewer than `sendings`; raise `NoGrant` if it is refused."""
        if self.take is None or self.taken >= sendings:
            return
        answer = await self.take()
        if isinstance(answer, QuotaSpent):
            raise NoGrant("the client account is over its limit")
        if isinstance(answer, Unavailable):
            raise NoGrant(answer.reason)
        self.add()


__all__ = ["NoGrant", "SendGrants", "Take"]
