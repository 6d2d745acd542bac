"""Which part of every limit one of several counters may grant, while their set changes.

The counters are the members of a replica set that is agreed on elsewhere.  One that is cut off goes
on by an old set for a while, and then grants nothing; that while is bounded.  Within it, no part
may grow by the leaving of a member that may not have heard of it, and no member that has joined may
grant anything.
"""

from collections import deque
from collections.abc import Collection

import msgspec

from waxwingglade.base.rendezvous import weight


class QuotaShareRules(msgspec.Struct, frozen=True):
    """Times in seconds.

    Parameters
    ----------
    max_view_age_s : float
        Age of the set up to which a counter grants anything.
    window_s : float
        Length of the spans in which requests are counted.
    usual_members : int
        Counters among which limits are divided, unless there are more.
    """

    max_view_age_s: float
    window_s: float
    usual_members: int

    @property
    def settle_s(self) -> float:
        """Seconds after which nothing that was granted by an older set counts any more."""
        return self.max_view_age_s + self.window_s


class QuotaShare:
    """The part that one counter may grant.

    Parameters
    ----------
    rules : QuotaShareRules
        Times, and the usual number of counters.
    own : str
        Name of this counter.
    joined_before : bool
        Whether it has been a member for long enough already, as its disk tells, or is among the
        first of all.
    largest : int
        Size of the largest set that it knew before its start, as far as its disk tells.

    Attributes
    ----------
    member_since : float or None
        Since when it has believed to be a member; None while it does not.
    """

    def __init__(
        self, rules: QuotaShareRules, own: str, joined_before: bool = False, largest: int = 0
    ) -> None:
        self.rules = rules
        self.own = own
        self.joined_before = joined_before
        self.epoch = 0
        self.members: tuple[str, ...] = ()
        self.member_since: float | None = None
        self.sizes: deque[tuple[float, int]] = deque()
        self.largest_before = largest
        self.began_at: float | None = None

    def update_members(self, epoch: int, members: Collection[str], now: float) -> None:
        """Take in the present set of counters."""
        if self.began_at is None:
            self.began_at = now
        if epoch <= self.epoch:
            return
        skipped = epoch - self.epoch if self.epoch else 0
        # Sets that were never heard of may have been larger than those before and after.
        largest = max(len(self.members), len(members)) + skipped // 2
        self.sizes.append((now, largest))
        self.epoch = epoch
        self.members = tuple(members)
        if self.own not in self.members:
            self.member_since, self.joined_before = None, False
        elif self.member_since is None:
            self.member_since = now

    def settled(self, now: float) -> bool:
        """Return whether this counter has been a member for long enough to grant anything."""
        if self.member_since is None:
            return False
        return self.joined_before or now - self.member_since >= self.rules.settle_s

    def share_of(self, most: int, account: str, now: float) -> int:
        """Return what this counter may grant of what all may grant in a window."""
        if not self.settled(now):
            return 0
        divisor, changing = self._divisor(now)
        part, rest = divmod(most, divisor)
        if rest and not changing and self._place(account) < rest:
            part += 1
        return part

    def _divisor(self, now: float) -> tuple[int, bool]:
        """Return among how many limits are divided, and whether the set has changed lately."""
        since = now - self.rules.settle_s
        while self.sizes and self.sizes[0][0] <= since:
            self.sizes.popleft()
        sizes = [size for _, size in self.sizes]
        changing = bool(sizes)
        if self.began_at is not None and self.began_at > since:
            sizes.append(self.largest_before)
        return max(self.rules.usual_members, len(self.members), *sizes), changing

    def _place(self, account: str) -> int:
        """Return this counter's place in the order in which an account's remainder is dealt out."""
        order = sorted(self.members, key=lambda name: weight(account, name))
        return order.index(self.own)


__all__ = ["QuotaShare", "QuotaShareRules"]
