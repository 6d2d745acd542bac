"""Check that servers get no more requests once they have left for some time."""

from collections.abc import Iterable, Mapping, Sequence

from tests.soak.gap_allowance import allowance_s
from tests.soak.kinds import EVERYWHERE, FaultKind, FaultOccurrence
from waxwingglade.standins.registered_server import Run

DRAIN_DETECTION_S = 2.0
"""Seconds after the store has accepted that a server leaves, after which it gets no more requests.
This is the platform's ``drain_ms``."""

CONTACT_S = 3.0
"""Seconds for which a process must have been without a fault.  This is the platform's
``contact_ms``."""

STORE_FAULTS = {
    FaultKind.STORE_BUSY,
    FaultKind.STORE_SILENT,
    FaultKind.STORE_LINK,
    FaultKind.KILL_ALL,
    FaultKind.PAUSE_ENTRY,
    FaultKind.PAUSE_LEDGER,
    FaultKind.SILENT_LINKS,
}
"""Faults during which an entry may need longer to learn of a change in the store."""

EXCUSED_BEFORE_S, EXCUSED_AFTER_S = 1.0, 4.0
"""Seconds before and after a server leaves in which a fault can excuse a late request."""

STORE = "store"
ENTRY_PREFIX = "front-"


def check_left(
    server: str,
    left_at: float,
    runs: Iterable[Run],
    entries: Mapping[str, str],
    faults: Sequence[FaultOccurrence],
    ledgers: Iterable[str] = (),
) -> list[str]:
    """Return what a server ran too long after it had left, unless a fault excuses it.

    The store may withhold that it leaves for a while, which prolongs the time by that while only.

    Parameters
    ----------
    server : str
        Name of the server.
    left_at : float
        When the store accepted that it leaves, in monotonic seconds.
    runs : iterable of Run
        Requests that it ran.
    entries : mapping
        Entry to which each request was sent.
    faults : sequence of FaultOccurrence
        Faults of the run.
    ledgers : iterable of str
        Names of the ledger processes.
    """
    limit_s = DRAIN_DETECTION_S + allowance_s(faults, left_at, DRAIN_DETECTION_S)
    ledgers = tuple(ledgers)
    violations = []
    for run in runs:
        entry = entries.get(run.request, "")
        late_s = run.began_at - left_at
        if late_s <= limit_s or is_excused(entry, left_at, run.began_at, faults, ledgers):
            continue
        violations.append(
            f"{run.request} from {entry} ran at {server} {late_s:.2f} s after it had left"
        )
    return violations


def is_excused(
    entry: str,
    changed_at: float,
    seen_at: float,
    faults: Sequence[FaultOccurrence],
    ledgers: Iterable[str],
) -> bool:
    """Return whether faults kept an entry from learning of a change of the store by `seen_at`."""
    relevant = [
        fault
        for fault in faults
        if fault.kind in STORE_FAULTS
        and fault.overlaps(changed_at - EXCUSED_BEFORE_S, changed_at + EXCUSED_AFTER_S)
    ]
    if any(_excuses(fault, entry, changed_at, seen_at) for fault in relevant):
        return True
    refusals = [fault for fault in faults if fault.kind is FaultKind.STORE_REFUSES]
    return _refused_at_once(refusals, {entry, *ledgers}, seen_at)


def _excuses(fault: FaultOccurrence, entry: str, left_at: float, began_at: float) -> bool:
    """Return whether a fault kept an entry, or what it depends on, from learning in time.

    A fault of other entries does not.
    """
    where = fault.where.split()
    of_all = fault.where in (EVERYWHERE, STORE)
    of_ledger = any(not name.startswith(ENTRY_PREFIX) for name in where)
    if not (of_all or of_ledger or entry in where):
        return False
    return fault.overlaps(left_at - EXCUSED_BEFORE_S, left_at) or fault.overlaps(
        began_at - CONTACT_S, began_at
    )


def _refused_at_once(refusals: list[FaultOccurrence], names: set[str], began_at: float) -> bool:
    """Return whether the store refused an entry and all that it could follow at one moment."""
    recent = [each for each in refusals if each.overlaps(began_at - CONTACT_S, began_at)]
    for moment in (max(each.began_at, began_at - CONTACT_S) for each in recent):
        refused = {
            name for each in recent if each.overlaps(moment, moment) for name in each.where.split()
        }
        if names <= refused:
            return True
    return False


__all__ = ["DRAIN_DETECTION_S", "ENTRY_PREFIX", "check_left", "is_excused"]
