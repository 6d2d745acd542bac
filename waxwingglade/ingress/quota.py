"""The limits of client accounts, as an entry asks for them."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from waxwingglade.ingress.refusal import TOO_MANY, UNAVAILABLE, Refusal
from waxwingglade.ingress.serving import Serving
from waxwingglade.ledger.client import LedgerClient
from waxwingglade.ledger.messages import QuotaSpent, QuotaTaken

MAX_QUOTA_WAIT_S = 0.5
"""Longest time in seconds for which a request of a program under way waits for room.  Refused, its
caller may have no try left; programs allow for some fractions of a second."""

MIN_RETRY_INTERVAL_S = 0.02
"""Seconds before room is asked for again, at least."""

T = TypeVar("T")


async def take_quota(serving: Serving, ledger: LedgerClient) -> None:
    """Have a call granted within the limit of its client account, if it has one.

    Raises
    ------
    Refusal
        If the account is over its limit, or nobody could tell.
    """
    account = serving.account
    if account is None or account.rate_per_s <= 0:
        return
    answer = await retry_until_granted(
        lambda: ledger.quotas.take(account.name, serving.time_left())
    )
    if isinstance(answer, QuotaTaken):
        return
    if isinstance(answer, QuotaSpent):
        raise over_limit(serving, ledger, answer)
    raise Refusal(UNAVAILABLE, f"not run: {answer.reason}")


async def check_may_begin_program(serving: Serving, ledger: LedgerClient) -> None:
    """Raise a `Refusal` if a call's account should begin no program now.

    Its limit would not carry the program to its end, and those under way would lose by it.
    """
    account = serving.account
    if account is None or account.rate_per_s <= 0:
        return
    spent = await ledger.quotas.begin_program(account.name)
    if spent is not None:
        raise _refusal(spent)


async def retry_until_granted(ask: Callable[[], Awaitable[T]]) -> T:
    """Ask for room until there is some, for `HOLD_S` seconds at most; return the last answer."""
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
    """Return the refusal of a call beyond the limit of its client account, and note it."""
    assert serving.account is not None
    ledger.quotas.note_refused(serving.account.name)
    return _refusal(spent)


def _refusal(spent: QuotaSpent) -> Refusal:
    return Refusal(TOO_MANY, "not run: the client account is over its limit", spent.retry_s)


__all__ = ["check_may_begin_program", "over_limit", "retry_until_granted", "take_quota"]
