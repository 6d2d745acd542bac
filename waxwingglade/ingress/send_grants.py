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
    available : bool
        Whether there is a grant for the next sending.
    """

    def __init__(self, take: Take | None) -> None:
        self.take = take
        self.available = False

    def add(self) -> None:
        """Add a grant that was taken elsewhere."""
        self.available = True

    async def ensure(self) -> None:
        """Take a grant for the next sending if there is none; raise `NoGrant` if it is refused."""
        if self.available or self.take is None:
            return
        answer = await self.take()
        if isinstance(answer, QuotaSpent):
            raise NoGrant("the client account is over its limit")
        if isinstance(answer, Unavailable):
            raise NoGrant(answer.reason)
        self.available = True

    def record_sent(self) -> None:
        """Use the grant for a sending."""
        self.available = False

    def record_not_run(self) -> None:
        """Keep the grant of a sending that was certainly not run."""
        self.available = True


__all__ = ["NoGrant", "SendGrants", "Take"]
