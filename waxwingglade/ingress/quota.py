"""The limits of client accounts, as an entry asks for them."""

from waxwingglade.ingress.refusal import TOO_MANY, UNAVAILABLE, Refusal
from waxwingglade.ingress.serving import Serving
from waxwingglade.ledger.client import LedgerClient
from waxwingglade.ledger.messages import QuotaSpent, QuotaTaken, TakeQuota


async def take_quota(serving: Serving, ledger: LedgerClient, is_first: bool = False) -> None:
    """Have a call granted within the limit of its client account, if it has one.

    Raises
    ------
    Refusal
        If the account is over its limit, or nobody could tell.
    """
    account = serving.account
    if account is None or account.rate_per_s <= 0:
        return
    answer = await ledger.take(TakeQuota(account.name, is_first), serving.time_left())
    if isinstance(answer, QuotaTaken):
        return
    if isinstance(answer, QuotaSpent):
        raise over_limit(answer)
    raise Refusal(UNAVAILABLE, f"not run: {answer.reason}")


def over_limit(spent: QuotaSpent) -> Refusal:
    """Return the refusal of a call beyond the limit of its client account."""
    return Refusal(TOO_MANY, "not run: the client account is over its limit", spent.retry_s)


__all__ = ["over_limit", "take_quota"]
