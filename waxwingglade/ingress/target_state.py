"""State of a target as known to one entry: load, speed, memory, failures, cached prompt parts."""

from collections import OrderedDict
from collections.abc import Iterable

from waxwingglade.base import Clock
from waxwingglade.decisions.ejection import Ejection, is_ejected_by_all
from waxwingglade.decisions.placement import Engine
from waxwingglade.decisions.shared_load import EntryLoad, TargetLoad
from waxwingglade.decisions.stretch import StretchReport, latest
from waxwingglade.decisions.target_speed import Slowness, faded
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
MEAN_LOAD_HALF_LIFE_S = 3.0
"""Half-life in seconds of the mean load, about the duration of a program.  Over less time it varies
by one or two turns, and running programs would move between equal engines."""

MIN_STRETCH, MAX_STRETCH = 0.1, 10.0
"""Bounds of a reported stretch, which comes from the network."""

MAX_CACHED_PARTS = 4_000
"""Maximum number of prompt parts recorded for a target."""


class TargetState:
    """State of one incarnation of a target, as observed by this entry.

    Attributes
    ----------
    cached_parts : OrderedDict
        Tokens of each prompt part that was sent to the target, the latest last.
    tokens : int
        Memory that the requests of this entry need at an engine, in tokens.
    stretch : float or None
        Last reported stretch of the target's VM, at `stretch_at` by the entry's clock; other
        entries were told of the report of `stretch_told_at`.
    speed : Slowness
        Slowness of the target as observed by this entry.
    slowness_sum, turns : float, int
        Slowness of the turns that have ended since the last `entry_load`, and their number.
    successes, failures : int
        Requests that have ended well or by a failure of the target since then.
    shared : TargetLoad or None
        What other entries have at the target, as shared by the ledger, for the time `shared_at`
        by the entry's clock.
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
        self.tokens = 0
        self.stretch: float | None = None
        self.stretch_at = float("-inf")
        self.stretch_told_at = float("-inf")
        self.speed = Slowness()
        self.slowness_sum = 0.0
        self.turns = 0
        self.successes = 0
        self.failures = 0
        self.mean_load = 0.0
        self.mean_load_at = float("-inf")

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
        if (shared := self.fresh_shared(now)) is not None:
            return float(self.in_flight + shared.in_flight)
        trust = 0.5 ** (max(0.0, now - self.load_reported_at) / LOAD_HALF_LIFE_S)
        return self.in_flight + trust * self.external_load + (1 - trust) * usual_external_load

    def record_load(self, now: float, stamp: LoadStamp) -> None:
        """Record a load that the target reported with an answer."""
        own = max(1, self.in_flight)
        self.external_load = max(0.0, stamp.running + stamp.waiting - own)
        self.load_reported_at = now
        if stamp.stretch is not None:
            self.stretch = min(MAX_STRETCH, max(MIN_STRETCH, stamp.stretch))
            self.stretch_at = now

    def fresh_shared(self, now: float) -> TargetLoad | None:
        """Return what other entries reported, or None if that is too old."""
        return self.shared if now - self.shared_at <= SHARED_LOAD_FRESH_S else None

    def record_success(self) -> None:
        """Record a complete answer."""
        self.ejection.record_success()
        self.successes += 1

    def record_failure(self, is_error: bool) -> None:
        """Record that the target failed; arguments as for `Ejection.record_failure`."""
        self.ejection.record_failure(is_error)
        self.failures += 1

    def is_ejected(self, now: float) -> bool:
        """Return whether the target gets no work while others are available."""
        if self.ejection.active:
            return True
        shared = self.shared
        if shared is None or not shared.failures:
            return False
        return is_ejected_by_all(shared.failures, shared.failed_age_s + now - self.shared_at)

    def stretch_report(self, now: float) -> StretchReport | None:
        """Return the latest stretch that the target reported to this or another entry."""
        own = shared = None
        if self.stretch is not None:
            own = StretchReport(self.stretch, now - self.stretch_at)
        if self.shared is not None and self.shared.stretch is not None:
            age_s = self.shared.stretch_age_s + now - self.shared_at
            shared = StretchReport(self.shared.stretch, age_s)
        return latest(own, shared)

    def relative_slowness(self, now: float) -> tuple[float, float]:
        """Return the slowness relative to the service's average, and the weight of its turns.

        What all entries observed counts longer than the load that they share, with less weight as
        it ages: an entry that is cut off still avoids slow targets.
        """
        own = self.speed.estimate(now)
        if self.shared is None or self.shared.slowness is None:
            return own
        turns = self.shared.turns * faded(now - self.shared_at)
        if turns < own[1]:
            return own
        return self.speed.estimate(now, self.shared.slowness, turns)

    def observe_ratio(self, ratio: float, now: float) -> None:
        """Record how many times longer than usual a turn took, without the stretch of the VM."""
        self.speed.observe(ratio, now)
        self.slowness_sum += ratio
        self.turns += 1

    def observe_load(self, load: float, now: float) -> None:
        """Update the recent mean load with the current estimate."""
        weight = 1 - 0.5 ** (max(0.0, now - self.mean_load_at) / MEAN_LOAD_HALF_LIFE_S)
        self.mean_load += weight * (load - self.mean_load)
        self.mean_load_at = now

    def held_tokens(self, now: float, load: float, mean_turn_tokens: float) -> float:
        """Return the estimated memory of all requests at an engine, without shared parts.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        load : float
            Estimated number of requests at the engine.
        mean_turn_tokens : float
            Memory of an average turn, for turns of which no entry has reported the memory.
        """
        shared = self.fresh_shared(now)
        if shared is not None:
            return float(self.tokens + shared.tokens)
        return self.tokens + max(0.0, load - self.in_flight) * mean_turn_tokens

    def entry_load(self, now: float) -> EntryLoad:
        """Return what this entry reports to others; turns are reported once."""
        stretch, age_s = None, 0.0
        if self.stretch_at > self.stretch_told_at:
            stretch, age_s = self.stretch, now - self.stretch_at
            self.stretch_told_at = self.stretch_at
        report = EntryLoad(
            self.in_flight,
            self.tokens,
            stretch,
            age_s,
            self.slowness_sum,
            self.turns,
            self.successes,
            self.failures,
        )
        self.slowness_sum, self.turns = 0.0, 0
        self.successes = self.failures = 0
        return report

    def record_shared(self, shared: TargetLoad, as_of: float) -> None:
        """Record what other entries have at the target."""
        self.shared, self.shared_at = shared, as_of

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
