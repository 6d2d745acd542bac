"""Sums of the load that processes report to one another, and what one of them learns from it.

This handles many entries before few targets.  A turn takes some tenths of a second, and tens of
entries place turns at the same targets meanwhile, so that an entry that knows only its own turns
places them almost at random: the busiest engine then has 1.9 times the mean load.
"""

import msgspec

from waxwingglade.base import Clock, monotonic
from waxwingglade.decisions.shared_load import EntryLoad, TargetLoad
from waxwingglade.follow.model import IncarnationName

Loads = dict[IncarnationName, EntryLoad]

REPORT_INTERVAL_S = 0.5
"""Greatest seconds between two reports of an entry that has requests in progress."""

REPORT_EXPIRY_S = 3 * REPORT_INTERVAL_S
"""Seconds after which the report of an entry no longer counts.  Callers should not be kept from a
target for longer than two seconds by the requests of an entry that has ended."""

MEMBER_INTERVAL_S = 0.2
"""Greatest seconds between two reports of a member whose entries have requests in progress."""

MEMBER_EXPIRY_S = 3 * MEMBER_INTERVAL_S
"""Seconds after which the report of a member no longer counts.  Shorter than for an entry, since
the entries of a member that has ended report to another one at once, and count twice until then."""

SLOWNESS_HALF_LIFE_S = 10.0
"""Half-life of the weight of an observed turn.  At ten turns a second, an average of the last ten
seconds is within a twentieth although single turns differ by half."""

LEARNING_S = 0.3
"""Seconds after the first report for which the sums are incomplete.  Entries with requests in
progress report when one of them ends, and most requests that are in progress end within that
time."""

FORGET_S = 60.0
"""Seconds without news after which an idle target is forgotten, far longer than between two turns
at a target that is in use."""

NO_LOAD = EntryLoad()


class Report(msgspec.Struct):
    """The last report of a process, and when it expires, in monotonic seconds."""

    loads: Loads
    is_entry: bool
    expires_at: float


class TargetSums(msgspec.Struct):
    """What all processes have reported about a target.

    Parameters
    ----------
    in_flight, tokens : int
        Sums of the current reports of all processes.
    entries_in_flight, entries_tokens : int
        Sums of those of entries alone, without other members.
    stretch, stretch_at : float or None, float
        Latest report of the target, and when it was made.
    slowness_sum, turns, faded_at : float
        Fading sums over observed turns, and the time up to which they have faded.
    new_slowness_sum, new_turns : float, int
        Observations of entries that other members have not been told.
    failures, failed_at : int, float
        Failures since the last success, and when the last of them was reported.
    new_successes, new_failures : int
        Ends of requests that other members have not been told.
    is_stretch_new : bool
        Whether other members have not been told the latest stretch.
    changed_at : float
        Time of the last report about the target.
    """

    in_flight: int = 0
    tokens: int = 0
    entries_in_flight: int = 0
    entries_tokens: int = 0
    stretch: float | None = None
    stretch_at: float = float("-inf")
    slowness_sum: float = 0.0
    turns: float = 0.0
    faded_at: float = 0.0
    new_slowness_sum: float = 0.0
    new_turns: int = 0
    failures: int = 0
    failed_at: float = float("-inf")
    new_successes: int = 0
    new_failures: int = 0
    is_stretch_new: bool = False
    changed_at: float = 0.0

    def add(self, load: EntryLoad, is_entry: bool, sign: int) -> None:
        """Add or subtract a process's share of the load."""
        self.in_flight += sign * load.in_flight
        self.tokens += sign * load.tokens
        if is_entry:
            self.entries_in_flight += sign * load.in_flight
            self.entries_tokens += sign * load.tokens

    def observe(self, load: EntryLoad, is_entry: bool, now: float) -> None:
        """Record what a process has observed since its last report."""
        self.changed_at = now
        if load.stretch is not None and now - load.stretch_age_s > self.stretch_at:
            self.stretch, self.stretch_at = load.stretch, now - load.stretch_age_s
            self.is_stretch_new = is_entry
        self._observe_ends(load, is_entry, now)
        if load.turns <= 0:
            return
        self.fade(now)
        self.slowness_sum += load.slowness_sum
        self.turns += load.turns
        if is_entry:
            self.new_slowness_sum += load.slowness_sum
            self.new_turns += load.turns

    def _observe_ends(self, load: EntryLoad, is_entry: bool, now: float) -> None:
        if load.successes:
            self.failures = 0
        if load.failures:
            self.failures += load.failures
            self.failed_at = now
        if is_entry:
            self.new_successes += load.successes
            self.new_failures += load.failures

    def fade(self, now: float) -> None:
        """Reduce the weight of the turns that were observed before."""
        factor = 0.5 ** (max(0.0, now - self.faded_at) / SLOWNESS_HALF_LIFE_S)
        self.slowness_sum *= factor
        self.turns *= factor
        self.faded_at = now

    def take_entries_load(self, now: float) -> EntryLoad:
        """Return the sums of the entries, with what other members have not been told yet."""
        load = EntryLoad(
            self.entries_in_flight,
            self.entries_tokens,
            self.stretch if self.is_stretch_new else None,
            now - self.stretch_at if self.is_stretch_new else 0.0,
            self.new_slowness_sum,
            self.new_turns,
            self.new_successes,
            self.new_failures,
        )
        self.is_stretch_new = False
        self.new_successes = self.new_failures = 0
        self.new_slowness_sum, self.new_turns = 0.0, 0
        return load

    def without(self, own: EntryLoad, now: float) -> TargetLoad:
        """Return the load without the share of the process that asks."""
        if self.turns > 0:
            self.fade(now)
        return TargetLoad(
            self.in_flight - own.in_flight,
            self.tokens - own.tokens,
            self.stretch,
            0.0 if self.stretch is None else now - self.stretch_at,
            self.slowness_sum / self.turns if self.turns > 0 else None,
            self.turns,
            self.failures,
            now - self.failed_at if self.failures else 0.0,
        )


class LoadSums:
    """The current reports of entries and of other members of the ledger, and their sums.

    Parameters
    ----------
    clock : Clock
        Monotonic seconds.

    Attributes
    ----------
    reports : dict
        Last report of each process, by its name.
    targets : dict
        Sums by target.
    entries : int
        Number of entries among these processes.
    changed : bool
        Whether other members have not been told a change of the entries' sums.
    """

    def __init__(self, clock: Clock = monotonic) -> None:
        self.clock = clock
        self.learning_until = float("inf")
        self.reports: dict[str, Report] = {}
        self.targets: dict[IncarnationName, TargetSums] = {}
        self.entries = 0
        self.changed = False

    @property
    def is_learning(self) -> bool:
        """Whether entries began so recently to report that not all of them have done so."""
        return self.clock() < self.learning_until

    def record(self, process: str, loads: Loads, is_entry: bool) -> None:
        """Replace the report of a process; a target that is missing has no load from it."""
        now = self.clock()
        before = self.reports.get(process)
        expiry_s = REPORT_EXPIRY_S if is_entry else MEMBER_EXPIRY_S
        self.reports[process] = Report(loads, is_entry, now + expiry_s)
        if before is not None:
            self._withdraw(before)
        elif is_entry:
            self._add_entry(now)
        for name, load in loads.items():
            sums = self.targets.get(name)
            if sums is None:
                sums = self.targets[name] = TargetSums(faded_at=now)
            sums.add(load, is_entry, 1)
            sums.observe(load, is_entry, now)
        if is_entry and (before is None or before.loads != loads):
            self.changed = True

    def _add_entry(self, now: float) -> None:
        if not self.entries:
            self.learning_until = now + LEARNING_S
        self.entries += 1

    def _withdraw(self, report: Report) -> None:
        for name, load in report.loads.items():
            self.targets[name].add(load, report.is_entry, -1)

    def expire(self) -> None:
        """Drop the reports of processes that report no more, and targets that are out of use."""
        now = self.clock()
        for process, report in list(self.reports.items()):
            if report.expires_at <= now:
                del self.reports[process]
                self._withdraw(report)
                self.changed |= report.is_entry
                self.entries -= report.is_entry
        # No current report names a target without recent news.
        for name, sums in list(self.targets.items()):
            if now - sums.changed_at > FORGET_S:
                del self.targets[name]

    def loads_for(self, process: str) -> dict[IncarnationName, TargetLoad]:
        """Return the loads of all targets, without the share of a process."""
        now = self.clock()
        report = self.reports.get(process)
        own = report.loads if report is not None else {}
        return {
            name: sums.without(own.get(name, NO_LOAD), now) for name, sums in self.targets.items()
        }

    def take_entries_loads(self) -> Loads:
        """Return the report of this process to other members, which counts as told."""
        now = self.clock()
        self.changed = False
        loads = {name: sums.take_entries_load(now) for name, sums in self.targets.items()}
        return {name: load for name, load in loads.items() if load != NO_LOAD}


__all__ = [
    "MEMBER_EXPIRY_S",
    "MEMBER_INTERVAL_S",
    "REPORT_EXPIRY_S",
    "REPORT_INTERVAL_S",
    "LoadSums",
    "Loads",
]
