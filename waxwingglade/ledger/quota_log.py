"""Usage of the limits of client accounts at one member, for its log and metrics."""

from collections import Counter

import msgspec
from loguru import logger

from waxwingglade.base import Clock
from waxwingglade.base.buffered_metrics import LabelValues
from waxwingglade.follow.model import ClientAccountId

MAX_LOGGED_ACCOUNTS = 10
"""Accounts in the lines of one interval, those with most requests first."""


class QuotaUsage(msgspec.Struct):
    """Requests of one account at one member since its last log line.

    Parameters
    ----------
    highest : int
        Most requests that were granted in a window.
    """

    granted: int = 0
    refused: int = 0
    highest: int = 0


class QuotaLog:
    """Counts the requests that one member granted and refused, and logs them periodically.

    Parameters
    ----------
    interval_s : float
        Seconds between the lines of an account.
    clock : Clock
        Monotonic seconds.

    Attributes
    ----------
    answers : Counter
        Number of requests by label of the account and by answer, since the start.
    """

    def __init__(self, interval_s: float, clock: Clock) -> None:
        self.interval_s = interval_s
        self.clock = clock
        self.labels = LabelValues()
        self.answers: Counter[tuple[str, str]] = Counter()
        self.usage: dict[ClientAccountId, QuotaUsage] = {}
        self.began_at = clock()

    def record_granted(self, account: ClientAccountId, in_window: int) -> None:
        """Count a request that was granted, the last of `in_window` in the current window."""
        usage = self.usage.setdefault(account, QuotaUsage())
        usage.granted += 1
        usage.highest = max(usage.highest, in_window)
        self.answers[self.labels.label(account), "granted"] += 1

    def record_refused(self, account: ClientAccountId) -> None:
        """Count a request that was refused."""
        self.usage.setdefault(account, QuotaUsage()).refused += 1
        self.answers[self.labels.label(account), "refused"] += 1

    def record_returned(self, account: ClientAccountId) -> None:
        """Count a grant of a request that reached no target."""
        self.answers[self.labels.label(account), "returned"] += 1

    def write_if_due(self) -> None:
        """Log the usage by the accounts with most requests once per interval."""
        now = self.clock()
        if now - self.began_at < self.interval_s:
            return
        order = sorted(self.usage, key=lambda name: -self.usage[name].granted)
        for account in order[:MAX_LOGGED_ACCOUNTS]:
            usage = self.usage[account]
            logger.bind(
                account=account,
                granted=usage.granted,
                refused=usage.refused,
                highest=usage.highest,
                seconds=round(now - self.began_at, 2),
                left_out=max(0, len(order) - MAX_LOGGED_ACCOUNTS),
            ).info("quota used")
        self.usage.clear()
        self.began_at = now


__all__ = ["MAX_LOGGED_ACCOUNTS", "QuotaLog", "QuotaUsage"]
