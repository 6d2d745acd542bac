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
LIMITS = {FREE: (0.0, 0.0), LIMITED: (6.0, 3.0)}
"""Requests per second and burst of each account; 0 for no limit."""

BOUNDS = {
    "strict_revoke": True,
    "revoke_ms": int(1000 * REVOKE_S),
    "quota_window_s": RULES.window_s,
    "quota_excess": RULES.excess,
    "quota_slack": RULES.slack,
}


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
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.numbers = itertools.count(1)
        self.keys: dict[str, Key] = {}
        self.only_current = False
        for account in LIMITS:
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
                "rate_per_s": rate_per_s,
                "burst": burst,
            }
            for account, (rate_per_s, burst) in LIMITS.items()
        ]

    def current_keys(self, account: str) -> list[Key]:
        """Return the current keys of an account."""
        keys = [key for key in self.keys.values() if key.account == account]
        return [key for key in keys if key.revoked_at == float("inf")]

    def replace_key(self) -> Key:
        """Revoke the oldest key of a random account and add a new one; return the old key."""
        account = self.rng.choice(list(LIMITS))
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


__all__ = ["BOUNDS", "FREE", "LIMITED", "LIMITS", "REVOKE_S", "RULES", "Accounts", "Key"]
