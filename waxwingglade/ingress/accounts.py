"""Authenticate callers: find the client account that holds the key of a request."""

from collections.abc import Callable

import msgspec
from loguru import logger

from waxwingglade.base.credentials import KeyDigest, bearer_token, digest_of
from waxwingglade.follow.feed import LONGEST_AGE_S
from waxwingglade.follow.model import ClientAccount
from waxwingglade.ingress.dialect import Call
from waxwingglade.ingress.refusal import UNAUTHORIZED, UNAVAILABLE, Refusal


class KeyAgeLimits(msgspec.Struct, frozen=True):
    """Limits on the age, in seconds, of the cached view that keys are checked against.

    The age is that of `CachedView.incomplete_s`: changes that the store acknowledged longer ago
    are in the view.

    Parameters
    ----------
    max_accept_age_s : float
        Up to this age a key is accepted.  In an older view, it may have been revoked since.
    max_deny_age_s : float
        Up to this age a key that is not in the view is denied.  It may have been added since an
        older view.
    not_ready_age_s : float
        From this age on the entry reports that it is not ready, so callers go to another entry.
    """

    max_accept_age_s: float = float("inf")
    max_deny_age_s: float = 2.0
    not_ready_age_s: float = float("inf")


class AccountTable:
    """The client accounts of one version of the configuration, by the digests of their keys.

    Parameters
    ----------
    accounts : tuple of ClientAccount
        The accounts.  A key that two accounts share belongs to the first one.
    """

    def __init__(self, accounts: tuple[ClientAccount, ...]) -> None:
        self.holders: dict[KeyDigest, ClientAccount] = {}
        for account in accounts:
            for key in account.keys:
                holder = self.holders.setdefault(key, account)
                if holder.name != account.name:
                    logger.bind(holder=holder.name, other=account.name).warning(
                        "key is shared by two client accounts; using the first"
                    )

    def holder(self, call: Call) -> ClientAccount | None:
        """Return the account that holds the key of a call, or None."""
        token = bearer_token(call.credentials)
        return None if token is None else self.holders.get(digest_of(token))


def identify(
    table: AccountTable,
    call: Call,
    age_s: float,
    rules: KeyAgeLimits,
    retry_after_s: Callable[[], float | None] = lambda: None,
) -> ClientAccount:
    """Return the client account of a call.

    Parameters
    ----------
    age_s : float
        Age of the view, in seconds.
    retry_after_s : callable
        Returns the seconds after which a caller may retry if the view is too old; None for the
        default.

    Raises
    ------
    Refusal
        If no account holds the key of the call, or the view is too old to decide.
    """
    account = table.holder(call)
    if account is None and age_s <= rules.max_deny_age_s:
        raise Refusal(UNAUTHORIZED, "no key" if not call.credentials else "unknown key")
    if account is None or age_s > rules.max_accept_age_s:
        reason = f"not run: keys were confirmed {min(age_s, LONGEST_AGE_S):.1f} s ago"
        raise Refusal(UNAVAILABLE, reason, retry_after_s())
    return account


__all__ = ["AccountTable", "KeyAgeLimits", "identify"]
