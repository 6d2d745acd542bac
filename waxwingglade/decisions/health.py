"""Which targets are fit for new work: circuit breaking, ejection and slow start."""

import statistics

from waxwingglade.base import ErrorCode, Failure
from waxwingglade.decisions.targets import TargetTable, TargetView
from waxwingglade.decisions.work import Pool

TARGET_FAULTS = frozenset({ErrorCode.UNAVAILABLE, ErrorCode.TIMEOUT, ErrorCode.TARGET_FAILED})
MIN_SAMPLES = 5
CHECK_EVERY = 5
COMPARED = 15
MIN_COMPARED = 3


def record_success(view: TargetView) -> None:
    """Take in a call that ran to its end."""
    view.failures = 0
    if view.started_at is None:
        view.ejections = 0


def record_failure(table: TargetTable, view: TargetView, failure: Failure) -> None:
    """Take in a failed call; eject the target after several in a row.

    A target that says that it is draining is leaving.  Failures that are not the target's fault,
    such as a cancelled call, say nothing about it.
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

    It is compared, now and then, with some others whose speed has been measured as well.
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
    """Give `view` no new work for a while, unless too many are ejected already.

    Returns
    -------
    bool
        Whether it was ejected.
    """
    if not table.usable(view) or not may_eject(table, view):
        return False
    settings = table.settings
    length = min(settings.eject_max_s, settings.eject_s * 2**view.ejections)
    view.ejections += 1
    view.failures = 0
    view.samples = 0
    view.ejected_until = table.clock() + length
    view.started_at = view.ejected_until
    table.ejected.append(view)
    table.refresh(view)
    return True


def may_eject(table: TargetTable, view: TargetView) -> bool:
    """Return whether every pool of `view` keeps its least share of targets without it."""
    return all(_ejected_in(table, pool) + 1 <= _floor(table, pool) for pool in view.pools)


def readmit(table: TargetTable) -> list[TargetView]:
    """End the ejections whose time is up; the targets then start slowly."""
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
        # All of its models were taken; there is nothing to compare it with.
        return []
    others = [other for other in table.pools[view.pools[0]].values() if other is not view]
    if len(others) <= COMPARED:
        return others
    return table.rng.sample(others, COMPARED)


def _ejected_in(table: TargetTable, pool: Pool) -> int:
    return sum(pool in view.pools for view in table.ejected)


def _floor(table: TargetTable, pool: Pool) -> int:
    return int(len(table.pools[pool]) * table.settings.eject_max_share)


def _forget_speed(table: TargetTable, view: TargetView) -> None:
    """Assume the usual speed of a returned target, or it would never be tried again."""
    others = [other.decode_s_per_token for other in some_peers(table, view)]
    if others:
        view.decode_s_per_token = statistics.median(others)
