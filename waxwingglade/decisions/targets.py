"""What one entry knows of the targets it may send to."""

import random
from collections import deque
from collections.abc import Iterable

from waxwingglade.base import Clock, TargetId, ZoneId
from waxwingglade.decisions.cache_index import CacheIndex
from waxwingglade.decisions.sampling import SampledSet
from waxwingglade.decisions.work import BlockHash, CacheEvents, LoadReport, Pool, pool_of_tool
from waxwingglade.settings import TargetSettings, Urgency
from waxwingglade.settings.decisions import DecisionSettings

SEND_HISTORY = 64
MAX_BATCHES_AFTER_GAP = 64
STALE_CHECKS = 5
SMOOTHING = 0.2
MIN_SAMPLE_TOKENS = 256
URGENCIES = (Urgency.URGENT, Urgency.NORMAL, Urgency.ROUTINE)


class TargetView:
    """One target as this entry sees it.

    The last report says how many calls the target served at its stamp, whoever sent them.  What
    this entry had under way at the stamp is subtracted and what it has under way now is added, so
    a stale report does not hide the entry's own sends.
    """

    def __init__(
        self, settings: TargetSettings, decisions: DecisionSettings, number: int, now: float
    ) -> None:
        self.settings = settings
        self.number = number
        self.target = TargetId(settings.target)
        self.zone = ZoneId(settings.zone)
        self.slots = settings.slots
        self.pools = tuple(
            [Pool(model) for model in settings.models]
            + [pool_of_tool(tool.tool) for tool in settings.tools]
        )
        self.limits = {
            Urgency.URGENT: max(1, int(self.slots * decisions.urgent_room)),
            Urgency.NORMAL: max(1, int(self.slots * decisions.normal_room)),
            Urgency.ROUTINE: max(1, int(self.slots * decisions.routine_room)),
        }
        self.in_flight = 0
        self.foreign_load = 0
        self.waiting_preferred = 0
        self.stamp = now
        self.cache_used = 0.0
        self.sends: deque[tuple[float, int]] = deque([(now, 0)], maxlen=SEND_HISTORY)
        self.leaving = False
        self.ejected_until = 0.0
        self.ejections = 0
        self.failures = 0
        self.started_at: float | None = None
        self.sequence: int | None = None
        self.after_gap: list[CacheEvents] = []
        self.samples = 0
        self.prefill_tokens_per_s = decisions.prefill_tokens_per_s
        self.decode_s_per_token = decisions.decode_s_per_token
        self.service_s = decisions.service_s

    @property
    def load(self) -> int:
        """Calls believed to be at the target now."""
        return self.foreign_load + self.in_flight

    @property
    def on_trial(self) -> bool:
        """Whether the target has just started, returned or failed."""
        return self.started_at is not None or self.failures > 0

    def record_in_flight(self, now: float, change: int) -> None:
        """Count a call sent (+1) or ended (-1)."""
        self.in_flight += change
        self.sends.append((now, self.in_flight))

    def own_in_flight_at(self, stamp: float) -> int:
        """Return how many of this entry's calls were under way at `stamp`."""
        for time, count in reversed(self.sends):
            if time <= stamp:
                return count
        return self.sends[0][1]

    def report_load(self, now: float, report: LoadReport) -> None:
        """Take in a report, unless a newer one is known."""
        stamp = now - report.age_s
        if stamp < self.stamp:
            return
        self.stamp = stamp
        self.cache_used = report.cache_used
        self.foreign_load = max(0, report.running + report.waiting - self.own_in_flight_at(stamp))

    def observe_prefill(self, tokens: int, seconds: float) -> None:
        """Take in the time in which `tokens` of prompt were read."""
        if tokens < MIN_SAMPLE_TOKENS or seconds <= 0:
            return
        self.prefill_tokens_per_s += SMOOTHING * (tokens / seconds - self.prefill_tokens_per_s)

    def observe_decode(self, tokens: int, seconds: float) -> None:
        """Take in the time in which `tokens` were generated."""
        if tokens <= 1:
            return
        self.samples += 1
        self.decode_s_per_token += SMOOTHING * (seconds / tokens - self.decode_s_per_token)

    def observe_service(self, seconds: float) -> None:
        """Take in the length of a whole call."""
        self.service_s += SMOOTHING * (seconds - self.service_s)


class TargetTable:
    """All targets known to this entry, by pool, with the places open in each.

    Parameters
    ----------
    settings : DecisionSettings
        Constants.
    home : ZoneId
        Zone of this entry.
    clock : Clock
        Monotonic seconds.
    seed : int or None
        Start of the random choices; None for a different one in each process.
    """

    def __init__(
        self, settings: DecisionSettings, home: ZoneId, clock: Clock, seed: int | None = None
    ) -> None:
        self.settings = settings
        self.home = home
        self.clock = clock
        self.rng = random.Random(seed)
        self.cache = CacheIndex(settings.max_blocks)
        self.targets: dict[TargetId, TargetView] = {}
        self.numbered: dict[int, TargetView] = {}
        self.free_numbers: list[int] = []
        self.pools: dict[Pool, dict[TargetId, TargetView]] = {}
        self.open: dict[Pool, dict[Urgency, SampledSet[TargetView]]] = {}
        self.ejected: list[TargetView] = []
        self.checked_at = clock()

    def add(self, settings: TargetSettings, slow_start: bool = False) -> TargetView:
        """Add a target, or replace what is known of one.

        Parameters
        ----------
        settings : TargetSettings
            The target.
        slow_start : bool
            Whether it has just started, so that it gets up to its slots little by little.
        """
        self.remove(TargetId(settings.target))
        number = self.free_numbers.pop() if self.free_numbers else len(self.numbered)
        view = TargetView(settings, self.settings, number, self.clock())
        if slow_start:
            view.started_at = self.clock()
        self.targets[view.target] = view
        self.numbered[number] = view
        for pool in view.pools:
            self.pools.setdefault(pool, {})[view.target] = view
            self.open.setdefault(pool, {urgency: SampledSet() for urgency in URGENCIES})
        self.refresh(view)
        return view

    def remove(self, target: TargetId) -> None:
        """Forget a target."""
        view = self.targets.pop(target, None)
        if view is None:
            return
        view.leaving = True
        self.refresh(view)
        self.ejected = [other for other in self.ejected if other is not view]
        self.cache.drop(view.number)
        del self.numbered[view.number]
        self.free_numbers.append(view.number)
        for pool in view.pools:
            del self.pools[pool][target]

    def set_models(self, target: TargetId, models: Iterable[str]) -> TargetView | None:
        """Give a target only calls of the models named, and of its tools; return its view."""
        view = self.targets.get(target)
        if view is None:
            return None
        tools = [pool_of_tool(tool.tool) for tool in view.settings.tools]
        pools = tuple([Pool(model) for model in models] + tools)
        for pool in set(view.pools).difference(pools):
            del self.pools[pool][target]
            for members in self.open[pool].values():
                members.discard(view)
        view.pools = pools
        for pool in pools:
            self.pools.setdefault(pool, {})[target] = view
            self.open.setdefault(pool, {urgency: SampledSet() for urgency in URGENCIES})
        self.refresh(view)
        return view

    def usable(self, view: TargetView) -> bool:
        """Return whether `view` may get new work at all."""
        return not view.leaving and view.ejected_until <= self.clock()

    def any_usable(self, pool: Pool) -> bool:
        """Return whether some target of `pool` may get new work, now or when it has room."""
        return any(self.usable(view) for view in self.pools.get(pool, {}).values())

    def limit(self, view: TargetView, urgency: Urgency) -> int:
        """Return the calls at `view` below which one more of `urgency` may be sent."""
        if view.started_at is None:
            return view.limits[urgency]
        share = (self.clock() - view.started_at) / max(self.settings.slow_start_s, 1e-9)
        if share >= 1:
            view.started_at = None
            return view.limits[urgency]
        return max(1, int(view.limits[urgency] * share))

    def has_capacity(self, view: TargetView, urgency: Urgency) -> bool:
        """Return whether a call of `urgency` may be sent to `view` now."""
        return self.usable(view) and view.load < self.limit(view, urgency)

    def refresh(self, view: TargetView) -> None:
        """Bring the sets of open targets in line with `view`."""
        usable = self.usable(view)
        load = view.load
        for urgency in URGENCIES:
            is_open = usable and load < self.limit(view, urgency)
            for pool in view.pools:
                members = self.open[pool][urgency]
                if is_open:
                    members.add(view)
                else:
                    members.discard(view)

    def report_load(self, target: TargetId, report: LoadReport) -> TargetView | None:
        """Take in a target's load report; return its view."""
        view = self.targets.get(target)
        if view is None:
            return None
        view.report_load(self.clock(), report)
        self.refresh(view)
        return view

    def expire_reports(self) -> list[TargetView]:
        """Forget loads reported too long ago, or a target would stay closed for want of news.

        Returns
        -------
        list of TargetView
            Targets that may have got room by it.
        """
        now = self.clock()
        if now < self.checked_at + self.settings.stale_load_s / STALE_CHECKS:
            return []
        self.checked_at = now
        before = now - self.settings.stale_load_s
        stale = [
            view for view in self.targets.values() if view.foreign_load and view.stamp < before
        ]
        for view in stale:
            view.foreign_load = 0
            self.refresh(view)
        return stale

    def set_leaving(self, target: TargetId, leaving: bool = True) -> None:
        """Give a target no new work, or end that state."""
        view = self.targets.get(target)
        if view is None or view.leaving == leaving:
            return
        view.leaving = leaving
        if not leaving:
            view.started_at = self.clock()
        self.refresh(view)

    def apply_cache_events(self, target: TargetId, events: CacheEvents) -> bool:
        """Take in a batch of cache events.

        Returns
        -------
        bool
            Whether batches are missing, so that the whole state should be asked of the target and
            given to `resync`.
        """
        view = self.targets.get(target)
        if view is None:
            return False
        gap = view.sequence is None or events.sequence != view.sequence + 1
        if gap:
            view.after_gap = [*view.after_gap, events][-MAX_BATCHES_AFTER_GAP:]
        else:
            view.sequence = events.sequence
        self._apply(view, events)
        return gap

    def resync(self, target: TargetId, sequence: int, blocks: Iterable[BlockHash]) -> None:
        """Take in all blocks that a target held after the batch `sequence`."""
        view = self.targets.get(target)
        if view is None:
            return
        view.sequence = sequence
        self.cache.replace(view.number, blocks)
        newer, view.after_gap = view.after_gap, []
        for events in newer:
            if events.sequence == view.sequence + 1:
                view.sequence = events.sequence
                self._apply(view, events)

    def _apply(self, view: TargetView, events: CacheEvents) -> None:
        self.cache.remove(view.number, events.removed)
        self.cache.add(view.number, events.stored)
