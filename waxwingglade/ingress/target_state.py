"""State of a target as observed by one entry: load, speed, failures, cached prompt parts."""

from collections import OrderedDict
from collections.abc import Iterable

from waxwingglade.base import Clock
from waxwingglade.decisions.ejection import Ejection
from waxwingglade.decisions.placement import Engine
from waxwingglade.decisions.shared_load import EntryLoad, TargetLoad
from waxwingglade.follow.model import Target
from waxwingglade.ingress.dialect import LoadStamp

LOAD_HALF_LIFE_S = 0.5
"""Half-life in seconds of the weight of a reported load; reports lag by 0.2 s."""

SHARED_LOAD_FRESH_S = 0.25
"""Greatest age in seconds of a load that other entries shared.  Turns take some tenths of a second,
so most requests that it counts have ended later."""

SLOWNESS_SMOOTHING = 0.15
SLOW_RATIO = 1.6
"""Ratio to the median time per unit of work from which on a target counts as slow.  The times of
the answers of one service vary by about this ratio anyway."""

MAX_SLOWNESS = 10.0
MAX_CACHED_PARTS = 4_000
"""Maximum number of prompt parts recorded for a target."""


class TargetState:
    """State of one incarnation of a target, as observed by this entry.

    Attributes
    ----------
    cached_parts : OrderedDict
        Tokens of each prompt part that was sent to the target, the latest last.
    shared : TargetLoad or None
        Load from other entries, as last shared by the ledger.
    shared_at : float
        Monotonic time in seconds for which it holds.
    """

    def __init__(self, target: Target, clock: Clock) -> None:
        self.target = target
        self.in_flight = 0
        self.external_load = 0.0
        self.load_reported_at = float("-inf")
        self.shared: TargetLoad | None = None
        self.shared_at = float("-inf")
        self.ejection = Ejection(clock)
        self.unit_s: float | None = None
        self.cached_parts: OrderedDict[str, int] = OrderedDict()

    @property
    def slots(self) -> int:
        """Number of requests that the target runs concurrently."""
        return max(1, self.target.slots)

    def load(self, now: float, usual_external_load: float = 0.0) -> float:
        """Return the estimated number of requests at the target.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        usual_external_load : float
            Average number of requests that other entries have at a target of the service.  It
            replaces the reported load as the report ages, unless entries share their loads.
        """
        if self.shared is not None and now - self.shared_at <= SHARED_LOAD_FRESH_S:
            return float(self.in_flight + self.shared.in_flight)
        trust = 0.5 ** (max(0.0, now - self.load_reported_at) / LOAD_HALF_LIFE_S)
        return self.in_flight + trust * self.external_load + (1 - trust) * usual_external_load

    def record_load(self, now: float, stamp: LoadStamp) -> None:
        """Record a load that the target reported with an answer."""
        own = max(1, self.in_flight)
        self.external_load = max(0.0, stamp.running + stamp.waiting - own)
        self.load_reported_at = now

    def record_shared(self, shared: TargetLoad, as_of: float) -> None:
        """Record what other entries have at the target."""
        self.shared, self.shared_at = shared, as_of

    def entry_load(self, now: float) -> EntryLoad:
        """Return what this entry has at the target, and what it has observed since the last call.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        return EntryLoad(self.in_flight)

    def slowness(self, usual_s: float) -> float:
        """Return how many times slower than usual the target is, at least 1."""
        if self.unit_s is None or usual_s <= 0:
            return 1.0
        return min(MAX_SLOWNESS, max(1.0, self.unit_s / usual_s / SLOW_RATIO))

    def observe(self, unit_s: float) -> None:
        """Record the time in seconds of a unit of work."""
        before = unit_s if self.unit_s is None else self.unit_s
        self.unit_s = before + SLOWNESS_SMOOTHING * (unit_s - before)

    def as_engine(self, now: float, usual_external_load: float, usual_s: float) -> Engine:
        """Return the current state as an `Engine`; arguments as for `load` and `slowness`."""
        return Engine(self.load(now, usual_external_load), self.slots, self.slowness(usual_s))

    def record_prompt_part(self, part: str, tokens: int) -> None:
        """Record that the target has processed a part of a prompt."""
        self.cached_parts[part] = tokens
        self.cached_parts.move_to_end(part)
        while len(self.cached_parts) > MAX_CACHED_PARTS:
            self.cached_parts.popitem(last=False)


def median_unit_s(states: Iterable[TargetState]) -> float:
    """Return the median seconds per unit of work of some targets, 0 if none is known."""
    known = sorted(state.unit_s for state in states if state.unit_s is not None)
    return known[(len(known) - 1) // 2] if known else 0.0


__all__ = ["TargetState", "median_unit_s"]
