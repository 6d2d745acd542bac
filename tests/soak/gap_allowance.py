"""How much longer changes of the store may stay unknown while it withholds them."""

from collections.abc import Iterable

from tests.soak.kinds import WITHHOLDING_KINDS, FaultOccurrence


def allowance_s(occurrences: Iterable[FaultOccurrence], changed_at: float, bound_s: float) -> float:
    """Return the seconds for which the store withheld changes within the bound of a change.

    Parameters
    ----------
    changed_at : float
        When the store accepted the change, in monotonic seconds.
    bound_s : float
        Seconds within which the change has to be known otherwise.

    Returns
    -------
    float
        Seconds, infinite while the store still withholds changes.
    """
    due_at = changed_at + bound_s
    return sum(
        each.ended_at - max(changed_at, each.began_at)
        for each in occurrences
        if each.kind in WITHHOLDING_KINDS and each.overlaps(changed_at, due_at)
    )


__all__ = ["allowance_s"]
