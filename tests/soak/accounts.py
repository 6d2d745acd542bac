"""Client accounts of a soak run: their keys, limits and revoked keys."""

import itertools
import random
import time

import msgspec

from waxwingglade.decisions.quota import QuotaRules

REVOKE_S = 3.0
"""Seconds after which every entry must reject a revoked key."""

ANY_KEY_SHARE = 0.3
"""Share of requests that are sent with any key of an account, including revoked ones."""

RULES = QuotaRules(window_s=2.0, excess=0.1, slack=6.0)
FREE, LIMITED = "free", "limited"

BOUNDS = {
    "strict_revoke": True,
    "revoke_ms": int(1000 * REVOKE_S),
    "quota_window_s": RULES.window_s,
    "quota_excess": RULES.excess,
    "quota_slack": RULES.slack,
}


class Limit(msgspec.Struct):
    """A limit of an account, and when it was in force, in monotonic seconds.

    Parameters
    ----------
    rate_per_s, burst : float
        Requests per second, and on top of them in a window; a rate of 0 is no limit.
    """

    rate_per_s: float
    burst: float
    from_at: float = float("-inf")
    until_at: float = float("inf")

    @property
    def most(self) -> float:
        """Number of requests that are allowed in a window."""
        return RULES.most(self.rate_per_s, self.burst) if self.rate_per_s else float("inf")


NO_LIMIT = Limit(0.0, 0.0)
FIRST_LIMIT = Limit(6.0, 3.0)
LATER_LIMITS = (NO_LIMIT, Limit(2.0, 0.0), Limit(4.0, 1.0), Limit(12.0, 6.0))


class Key(msgspec.Struct):
    """A key of an account, and the times at which it was added and revoked."""

    account: str
    text: str
    added_at: float
    revoked_at: float = float("inf")


class Accounts:
    """The accounts of one run.

    Attributes
    ----------
    only_current : bool
        Whether callers no longer use revoked keys.
    limits : dict
        Limits of each account, the oldest first.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.numbers = itertools.count(1)
        self.keys: dict[str, Key] = {}
        self.only_current = False
        self.limits = {FREE: [NO_LIMIT], LIMITED: [msgspec.structs.replace(FIRST_LIMIT)]}
        for account in self.limits:
            self._add(account)

    def _add(self, account: str) -> None:
        text = f"key-of-{account}-{next(self.numbers)}"
        self.keys[text] = Key(account, text, time.monotonic())

    def tenants(self) -> list[dict]:
        """Return the accounts in the format of the configuration."""
        return [
            {
                "name": account,
                "api_keys": [key.text for key in self.current_keys(account)],
                "rate_per_s": limits[-1].rate_per_s,
                "burst": limits[-1].burst,
            }
            for account, limits in self.limits.items()
        ]

    def change_limit(self) -> Limit:
        """Choose another limit for the limited account; return the one that it replaces."""
        limits = self.limits[LIMITED]
        chosen = self.rng.choice((FIRST_LIMIT, *LATER_LIMITS))
        limits.append(msgspec.structs.replace(chosen, from_at=time.monotonic()))
        return limits[-2]

    def current_keys(self, account: str) -> list[Key]:
        """Return the current keys of an account."""
        keys = [key for key in self.keys.values() if key.account == account]
        return [key for key in keys if key.revoked_at == float("inf")]

    def replace_key(self) -> Key:
        """Revoke the oldest key of a random account and add a new one; return the old key."""
        account = self.rng.choice(list(self.limits))
        old = self.current_keys(account)[0]
        self._add(account)
        # Recorded before the new configuration, which lacks the key, is written to the store.
        old.revoked_at = time.monotonic()
        return old

    def draw_key(self, account: str) -> str:
        """Return a key of an account, at times a revoked one unless `only_current`."""
        keys = [key for key in self.keys.values() if key.account == account]
        use_any_key = not self.only_current and self.rng.random() < ANY_KEY_SHARE
        return (self.rng.choice(keys) if use_any_key else self.current_keys(account)[-1]).text


__all__ = [
    "BOUNDS",
    "FIRST_LIMIT",
    "FREE",
    "LIMITED",
    "NO_LIMIT",
    "REVOKE_S",
    "RULES",
    "Accounts",
    "Key",
    "Limit",
]
