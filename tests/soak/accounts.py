"""Client accounts of a soak: their keys and limits, and keys that are taken away."""

import itertools
import random
import time

import msgspec

from waxwingglade.decisions.quota import QuotaRules

REVOKE_S = 3.0
"""Seconds after which a key that was taken away must be dead everywhere."""

OLD_KEYS = 0.3
"""Share of requests that are sent with a key of an account that may have been taken away."""

RULES = QuotaRules(window_s=2.0, excess=0.1, slack=6.0)
FREE, LIMITED = "free", "limited"
LIMITS = {FREE: (0.0, 0.0), LIMITED: (6.0, 3.0)}
"""Requests a second, and on top of them, of each account; 0 for no limit."""

BOUNDS = {
    "strict_revoke": True,
    "revoke_ms": int(1000 * REVOKE_S),
    "quota_window_s": RULES.window_s,
    "quota_excess": RULES.excess,
    "quota_slack": RULES.slack,
}


class Key(msgspec.Struct):
    """A key of an account, and when the store acknowledged that it is there and that it is not."""

    account: str
    text: str
    added_at: float
    revoked_at: float = float("inf")


class Accounts:
    """The accounts of one run.

    Attributes
    ----------
    settled : bool
        Whether callers have stopped to use keys that were taken away.
    """

    def __init__(self, draw: random.Random) -> None:
        self.draw = draw
        self.numbers = itertools.count(1)
        self.keys: dict[str, Key] = {}
        self.settled = False
        for account in LIMITS:
            self._add(account)

    def _add(self, account: str) -> None:
        text = f"key-of-{account}-{next(self.numbers)}"
        self.keys[text] = Key(account, text, time.monotonic())

    def tenants(self) -> list[dict]:
        """Return the accounts as the operator writes them."""
        return [
            {
                "name": account,
                "api_keys": [key.text for key in self.of(account)],
                "rate_per_s": rate_per_s,
                "burst": burst,
            }
            for account, (rate_per_s, burst) in LIMITS.items()
        ]

    def of(self, account: str) -> list[Key]:
        """Return the keys that an account has now."""
        keys = [key for key in self.keys.values() if key.account == account]
        return [key for key in keys if key.revoked_at == float("inf")]

    def replace_key(self) -> Key:
        """Take the oldest key of some account away and give it another; return the old one."""
        account = self.draw.choice(list(LIMITS))
        old = self.of(account)[0]
        self._add(account)
        # Noted before the store is written to, so that the new configuration lacks it.
        old.revoked_at = time.monotonic()
        return old

    def draw_key(self, account: str) -> str:
        """Return a key of an account; at times one that was taken away, until `settled`."""
        keys = [key for key in self.keys.values() if key.account == account]
        old = not self.settled and self.draw.random() < OLD_KEYS
        return (self.draw.choice(keys) if old else self.of(account)[-1]).text


__all__ = ["BOUNDS", "FREE", "LIMITED", "LIMITS", "REVOKE_S", "RULES", "Accounts", "Key"]
