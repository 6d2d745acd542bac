"""Limits on loading weights: the number of targets that load at once, and a token bucket.

The entry that gives the zone's orders holds the permits, for as long as its lease lasts.  A new
holder starts with an empty bucket, so that two holders in a row never exceed the rate by more than
one burst.
"""

from waxwingglade.base import Clock, TargetId, monotonic
from waxwingglade.settings import WeightStoreSettings

MINUTE_S = 60.0


class LoadPermits:
    """The permits of one holder.

    Parameters
    ----------
    settings : WeightStoreSettings
        The limits.
    clock : Clock
        Monotonic time in seconds.
    """

    def __init__(self, settings: WeightStoreSettings, clock: Clock = monotonic) -> None:
        self.settings = settings
        self.clock = clock
        self.loading: set[TargetId] = set()
        self.tokens = 0.0
        self.filled_at = clock()

    def begin(self, target: TargetId) -> bool:
        """Count a target as loading if there is a free slot; return whether it counts."""
        if target in self.loading:
            return True
        if len(self.loading) >= self.settings.loads_at_once:
            return False
        self.loading.add(target)
        return True

    def end(self, target: TargetId) -> None:
        """Stop counting a target as loading."""
        self.loading.discard(target)

    def take(self) -> bool:
        """Take a token for one order to load; return whether there was one."""
        self._refill()
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Return the token of an order that did not run."""
        self.tokens = min(self.tokens + 1.0, float(self.settings.loads_at_once))

    def _refill(self) -> None:
        now = self.clock()
        gained = (now - self.filled_at) * self.settings.loads_per_minute / MINUTE_S
        self.tokens = min(self.tokens + gained, float(self.settings.loads_at_once))
        self.filled_at = now
