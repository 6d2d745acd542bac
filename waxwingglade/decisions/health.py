"""Health of targets: circuit breaking, ejection and slow start."""

import statistics

from waxwingglade.base import ErrorCode, Failure
from waxwingglade.base.doubling import doubled_s
from waxwingglade.decisions.targets import TargetTable, TargetView
from waxwingglade.decisions.work import Pool

TARGET_FAULTS = frozenset({ErrorCode.UNAVAILABLE, ErrorCode.TIMEOUT, ErrorCode.TARGET_FAILED})
MIN_SAMPLES = 5
CHECK_EVERY = 5
COMPARED_PEERS = 15
MIN_COMPARED = 3


def record_success(view: TargetView) -> None:
    """Record a completed call."""
    view.failures = 0
    if view.started_at is None:
        view.ejections = 0


def record_failure(table: TargetTable, view: TargetView, failure: Failure) -> None:
    """Record a failed call; eject the target after several consecutive failures.

    A target that reports that it is draining is marked as leaving.  Failures that the target has
    not caused, such as a cancelled call, are ignored.
    """
    if failure.code is ErrorCode.DRAINING:
        table.set_leaving(view.target)
        return
    if failure.code not in TARGET_FAULTS:
        return
    view.failures += 1
    if view.failures >= table.settings.eject_after:
        eject(table, view)


def check_speed(table: TargetTable, view: TargetView) -> None:
    """Eject `view` if its tokens take several times as long as the median target's.

    Every `CHECK_EVERY` samples, it is compared with a random sample of targets whose speed is
    known.
    """
    if view.samples < MIN_SAMPLES or view.samples % CHECK_EVERY or not table.usable(view):
        return
    compared = [
        other.decode_s_per_token
        for other in some_peers(table, view)
        if other.samples >= MIN_SAMPLES and table.usable(other)
    ]
    if len(compared) < MIN_COMPARED:
        return
    if view.decode_s_per_token > table.settings.slow_ratio * statistics.median(compared):
        eject(table, view)


def eject(table: TargetTable, view: TargetView) -> bool:
    """Exclude `view` from new work temporarily, unless too many targets are already ejected.

    Returns
    -------
    bool
        Whether it was ejected.
    """
    if not table.usable(view) or not may_eject(table, view):
        return False
    settings = table.settings
    length = doubled_s(settings.eject_s, view.ejections, settings.eject_max_s)
    view.ejections += 1
    view.failures = 0
    view.samples = 0
    view.ejected_until = table.clock() + length
    view.started_at = view.ejected_until
    table.ejected.append(view)
    table.refresh(view)
    return True


def may_eject(table: TargetTable, view: TargetView) -> bool:
    """Return whether ejecting `view` keeps its pools within their maximum ejected share."""
    return all(_ejected_in(table, pool) + 1 <= _floor(table, pool) for pool in view.pools)


def readmit(table: TargetTable) -> list[TargetView]:
    """End the ejections that have expired, and begin the slow start of their targets."""
    if not table.ejected:
        return []
    now = table.clock()
    back = [view for view in table.ejected if view.ejected_until <= now]
    if not back:
        return []
    table.ejected = [view for view in table.ejected if view.ejected_until > now]
    for view in back:
        _forget_speed(table, view)
        table.refresh(view)
    return back


def some_peers(table: TargetTable, view: TargetView) -> list[TargetView]:
    """Return other targets of the first pool of `view`, chosen at random."""
    if not view.pools:
        # All models of the target were removed, so there is no other target to compare it with.
        return []
    others = [other for other in table.pools[view.pools[0]].values() if other is not view]
    if len(others) <= COMPARED_PEERS:
        return others
    return table.rng.sample(others, COMPARED_PEERS)


def _ejected_in(table: TargetTable, pool: Pool) -> int:
    return sum(pool in view.pools for view in table.ejected)


def _floor(table: TargetTable, pool: Pool) -> int:
    return int(len(table.pools[pool]) * table.settings.eject_max_share)


def _forget_speed(table: TargetTable, view: TargetView) -> None:
    """Reset the speed of a readmitted target to the median; otherwise it would get no calls."""
    others = [other.decode_s_per_token for other in some_peers(table, view)]
    if others:
        view.decode_s_per_token = statistics.median(others)
