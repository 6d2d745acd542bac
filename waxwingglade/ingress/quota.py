"""Enforce the rate limits of client accounts at an entry."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from waxwingglade.ingress.refusal import TOO_MANY, UNAVAILABLE, Refusal
from waxwingglade.ingress.send_grants import SendGrants
from waxwingglade.ingress.serving import Serving
from waxwingglade.ledger.client import LedgerClient
from waxwingglade.ledger.messages import QuotaSpent, QuotaTaken, TakeQuota, Unavailable

MAX_QUOTA_WAIT_S = 0.5
"""Maximum time in seconds for which a request of a running program waits for quota.  The caller of
a refused request may have no retry left, and programs tolerate delays of a fraction of a second."""

MIN_RETRY_INTERVAL_S = 0.02
"""Minimum seconds between two requests for quota."""

T = TypeVar("T")


def send_grants(serving: Serving, ledger: LedgerClient) -> SendGrants:
    """Return the grants of a call, none of them taken yet."""
    account, limit = serving.account, serving.limit
    if account is None or limit is None or limit.rate_per_s <= 0:
        return SendGrants(None)
    message = TakeQuota(account.name, limit)

    async def take() -> QuotaTaken | QuotaSpent | Unavailable:
        answer = await ledger.quotas.take(message, serving.time_left())
        if isinstance(answer, QuotaTaken):
            serving.record_grant(answer.grant)
        return answer

    return SendGrants(take)


async def take_quota(serving: Serving, ledger: LedgerClient, grants: SendGrants) -> None:
    """Take the grant for the first sending of a call, if its client account has a limit.

    Raises
    ------
    Refusal
        If the account is over its limit, or no replica answered.
    """
    if grants.take is None:
        return
    answer = await retry_until_granted(grants.take)
    if isinstance(answer, QuotaTaken):
        grants.add()
        return
    if isinstance(answer, QuotaSpent):
        raise over_limit(serving, ledger, answer)
    raise Refusal(UNAVAILABLE, f"not run: {answer.reason}")


async def check_may_begin_program(serving: Serving, ledger: LedgerClient) -> None:
    """Raise a `Refusal` if the client account of a call may not begin a program now.

    The rate limit would not suffice to complete the program, and the programs under way would get
    less of it.
    """
    account = serving.account
    if account is None or account.rate_per_s <= 0:
        return
    spent = await ledger.quotas.begin_program(account.name)
    if spent is not None:
        raise _refusal(spent)


async def retry_until_granted(ask: Callable[[], Awaitable[T]]) -> T:
    """Ask for quota until it is granted, for at most `MAX_QUOTA_WAIT_S`; return the last answer."""
    end_at = time.monotonic() + MAX_QUOTA_WAIT_S
    while True:
        answer = await ask()
        if not isinstance(answer, QuotaSpent):
            return answer
        pause_s = max(MIN_RETRY_INTERVAL_S, answer.retry_s)
        if time.monotonic() + pause_s > end_at:
            return answer
        await asyncio.sleep(pause_s)


def over_limit(serving: Serving, ledger: LedgerClient, spent: QuotaSpent) -> Refusal:
    """Record a call that is over the limit of its client account, and return its refusal."""
    assert serving.account is not None
    ledger.quotas.record_refused(serving.account.name)
    return _refusal(spent)


def _refusal(spent: QuotaSpent) -> Refusal:
    return Refusal(TOO_MANY, "not run: the client account is over its limit", spent.retry_s)


__all__ = [
    "check_may_begin_program",
    "over_limit",
    "retry_until_granted",
    "send_grants",
    "take_quota",
]
