"""State of the targets to which an entry may send calls, as estimated by that entry."""

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
    """State of one target, as estimated by this entry.

    The last report states the number of calls at the target at the time of the report, over all
    entries.  The estimate subtracts this entry's own calls of that time and adds its current ones,
    so a stale report does not hide the entry's recent calls.
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
        self.external_load = 0
        self.waiting_preferred = 0
        self.reported_at = now
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
        """Estimated number of calls at the target now."""
        return self.external_load + self.in_flight

    @property
    def on_trial(self) -> bool:
        """Whether the target has recently started, been readmitted or failed."""
        return self.started_at is not None or self.failures > 0

    def record_in_flight(self, now: float, change: int) -> None:
        """Record a sent call (+1) or an ended call (-1)."""
        self.in_flight += change
        self.sends.append((now, self.in_flight))

    def own_in_flight_at(self, stamp: float) -> int:
        """Return the number of this entry's calls that were in flight at `stamp`."""
        for time, count in reversed(self.sends):
            if time <= stamp:
                return count
        return self.sends[0][1]

    def report_load(self, now: float, report: LoadReport) -> None:
        """Apply a load report unless it is older than the last one."""
        stamp = now - report.age_s
        if stamp < self.reported_at:
            return
        self.reported_at = stamp
        self.cache_used = report.cache_used
        self.external_load = max(0, report.running + report.waiting - self.own_in_flight_at(stamp))

    def observe_prefill(self, tokens: int, seconds: float) -> None:
        """Update the prefill speed with a prefill of `tokens`."""
        if tokens < MIN_SAMPLE_TOKENS or seconds <= 0:
            return
        self.prefill_tokens_per_s += SMOOTHING * (tokens / seconds - self.prefill_tokens_per_s)

    def observe_decode(self, tokens: int, seconds: float) -> None:
        """Update the generation speed with an output of `tokens`."""
        if tokens <= 1:
            return
        self.samples += 1
        self.decode_s_per_token += SMOOTHING * (seconds / tokens - self.decode_s_per_token)

    def observe_service(self, seconds: float) -> None:
        """Update the service time with the duration of a completed call."""
        self.service_s += SMOOTHING * (seconds - self.service_s)


class TargetTable:
    """All targets of which this entry has information, by pool, and those with capacity.

    Parameters
    ----------
    settings : DecisionSettings
        Constants of the decisions.
    home : ZoneId
        Zone of this entry.
    clock : Clock
        Monotonic seconds.
    seed : int or None
        Seed of the random choices; None for a different one in each process.
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
        self.expiry_checked_at = clock()

    def add(self, settings: TargetSettings, slow_start: bool = False) -> TargetView:
        """Add a target, or replace an existing one and its state.

        Parameters
        ----------
        settings : TargetSettings
            The target.
        slow_start : bool
            Whether the target has just started, so that its limit rises gradually to its slots.
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
        """Remove a target and its state."""
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
        """Restrict a target to calls of the given models and its own tools; return its view."""
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
        """Return whether `view` may get new work, regardless of its load."""
        return not view.leaving and view.ejected_until <= self.clock()

    def any_usable(self, pool: Pool) -> bool:
        """Return whether any target of `pool` may get new work, regardless of its load."""
        return any(self.usable(view) for view in self.pools.get(pool, {}).values())

    def limit(self, view: TargetView, urgency: Urgency) -> int:
        """Return the load of `view` below which another call of `urgency` may be sent."""
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
        """Update the sets of targets with capacity to the state of `view`."""
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
        """Apply a target's load report; return its view."""
        view = self.targets.get(target)
        if view is None:
            return None
        view.report_load(self.clock(), report)
        self.refresh(view)
        return view

    def expire_reports(self) -> list[TargetView]:
        """Discard expired load reports; otherwise a target without new reports would stay closed.

        Returns
        -------
        list of TargetView
            Targets that may have capacity as a result.
        """
        now = self.clock()
        if now < self.expiry_checked_at + self.settings.stale_load_s / STALE_CHECKS:
            return []
        self.expiry_checked_at = now
        before = now - self.settings.stale_load_s
        stale = [
            view
            for view in self.targets.values()
            if view.external_load and view.reported_at < before
        ]
        for view in stale:
            view.external_load = 0
            self.refresh(view)
        return stale

    def set_leaving(self, target: TargetId, leaving: bool = True) -> None:
        """Exclude a target from new work because it is leaving, or end this state."""
        view = self.targets.get(target)
        if view is None or view.leaving == leaving:
            return
        view.leaving = leaving
        if not leaving:
            view.started_at = self.clock()
        self.refresh(view)

    def apply_cache_events(self, target: TargetId, events: CacheEvents) -> bool:
        """Apply a batch of cache events.

        Returns
        -------
        bool
            Whether batches are missing, so that the caller should request the complete state of the
            target and pass it to `resync`.
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
        """Replace the blocks of a target by its complete state after the batch `sequence`."""
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
