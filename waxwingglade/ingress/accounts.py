"""Who sends a request: the client account that holds its key, or a refusal."""

import msgspec
from loguru import logger

from waxwingglade.base.credentials import KeyDigest, bearer_token, digest_of
from waxwingglade.follow.feed import LONGEST_AGE_S
from waxwingglade.follow.model import ClientAccount
from waxwingglade.ingress.dialect import Call
from waxwingglade.ingress.refusal import UNAUTHORIZED, UNAVAILABLE, Refusal


class KeyAgeLimits(msgspec.Struct, frozen=True):
    """How old a view may be under which a key is judged; ages in seconds.

    The age is that of `CachedView.incomplete_s`: changes that the store acknowledged longer ago
    are in the view.

    Parameters
    ----------
    honour_s : float
        Up to which a key is honoured.  Beyond, it may have been taken away.
    deny_s : float
        Up to which a key that is not in the view is denied.  Beyond, it may have been added.
    away_s : float
        From which on callers should go to another entry.
    """

    max_accept_age_s: float = float("inf")
    max_deny_age_s: float = 2.0
    not_ready_age_s: float = float("inf")


class AccountTable:
    """The client accounts of one version of the configuration, by the digests of their keys.

    Parameters
    ----------
    accounts : tuple of ClientAccount
        The accounts.  A key that two of them have belongs to the first.
    """

    def __init__(self, accounts: tuple[ClientAccount, ...]) -> None:
        self.holders: dict[KeyDigest, ClientAccount] = {}
        for account in accounts:
            for key in account.keys:
                holder = self.holders.setdefault(key, account)
                if holder.name != account.name:
                    logger.bind(holder=holder.name, other=account.name).warning(
                        "a key is held by two client accounts, and goes by the first"
                    )

    def holder(self, call: Call) -> ClientAccount | None:
        """Return the account that holds a call's key, None if there is none."""
        token = bearer_token(call.credentials)
        return None if token is None else self.holders.get(digest_of(token))


def identify(table: AccountTable, call: Call, age_s: float, rules: KeyAgeLimits) -> ClientAccount:
    """Return the account that sends a call.

    Parameters
    ----------
    age_s : float
        Age of the view, in seconds.

    Raises
    ------
    Refusal
        If no account holds the call's key, or that can't be known.
    """
    account = table.holder(call)
    if account is None and age_s <= rules.max_deny_age_s:
        raise Refusal(UNAUTHORIZED, "no key" if not call.credentials else "unknown key")
    if account is None or age_s > rules.max_accept_age_s:
        raise Refusal(
            UNAVAILABLE, f"not run: keys were confirmed {min(age_s, LONGEST_AGE_S):.1f} s ago"
        )
    return account


__all__ = ["AccountTable", "KeyAgeLimits", "identify"]
