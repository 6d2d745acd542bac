"""Share of each limit that one of several counters may grant, also while their set changes.

The counters are the members of a replica set, on which the replicas agree elsewhere.  A partitioned
counter continues with an old set for a bounded time and then grants nothing.  During this time, no
share may grow because a member has left, since that member may not have received the change, and no
new member may grant anything.
"""

from collections import deque
from collections.abc import Collection

import msgspec

from waxwingglade.base.rendezvous import weight


class QuotaShareRules(msgspec.Struct, frozen=True):
    """Times, in seconds, and the number of counters among which limits are divided.

    Parameters
    ----------
    max_view_age_s : float
        Greatest age of the set at which a counter still grants requests.
    window_s : float
        Length of the window in which requests are counted.
    usual_members : int
        Least number of counters among which limits are divided.
    """

    max_view_age_s: float
    window_s: float
    usual_members: int

    @property
    def settle_s(self) -> float:
        """Seconds after which no grant that is based on an older set counts any more."""
        return self.max_view_age_s + self.window_s


class QuotaShare:
    """The share of each limit that one counter may grant.

    Parameters
    ----------
    rules : QuotaShareRules
        Times, and the least number of counters.
    own : str
        Name of this counter.
    joined_before : bool
        Whether, according to its disk, this counter has already been a member for `settle_s`, or it
        belongs to the first set.
    largest : int
        Size of the largest set before its start, according to its disk.

    Attributes
    ----------
    member_since : float or None
        When this counter became a member in its own view; None if it is not a member.
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
        """Update the set of counters."""
        if self.began_at is None:
            self.began_at = now
        if epoch <= self.epoch:
            return
        skipped = epoch - self.epoch if self.epoch else 0
        # A set that was not received may be larger than the sets before and after it.
        largest = max(len(self.members), len(members)) + skipped // 2
        self.sizes.append((now, largest))
        self.epoch = epoch
        self.members = tuple(members)
        if self.own not in self.members:
            self.member_since, self.joined_before = None, False
        elif self.member_since is None:
            self.member_since = now

    def settled(self, now: float) -> bool:
        """Return whether this counter has been a member for long enough to grant requests."""
        if self.member_since is None:
            return False
        return self.joined_before or now - self.member_since >= self.rules.settle_s

    def share_of(self, most: int, account: str, now: float) -> int:
        """Return how many of the `most` requests in a window this counter may grant."""
        if not self.settled(now):
            return 0
        divisor, changing = self._divisor(now)
        share, remainder = divmod(most, divisor)
        if remainder and not changing and self._remainder_position(account) < remainder:
            share += 1
        return share

    def _divisor(self, now: float) -> tuple[int, bool]:
        """Return the divisor of limits, and whether the set has changed recently."""
        since = now - self.rules.settle_s
        while self.sizes and self.sizes[0][0] <= since:
            self.sizes.popleft()
        sizes = [size for _, size in self.sizes]
        changing = bool(sizes)
        if self.began_at is not None and self.began_at > since:
            sizes.append(self.largest_before)
        return max(self.rules.usual_members, len(self.members), *sizes), changing

    def _remainder_position(self, account: str) -> int:
        """Return this counter's position in the order that distributes an account's remainder."""
        order = sorted(self.members, key=lambda name: weight(account, name))
        return order.index(self.own)


__all__ = ["QuotaShare", "QuotaShareRules"]
