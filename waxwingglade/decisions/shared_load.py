"""Load of targets as the entries report it to one another.

This handles many entries before few targets: with tens of entries, each sees only a small part of
the requests at a target, and the load that a target reports with an answer has changed before the
same entry sends it the next request.
"""

import msgspec


class EntryLoad(msgspec.Struct, frozen=True, array_like=True):
    """What one entry has in progress at a target, and what it has observed there.

    Parameters
    ----------
    in_flight : int
        Requests of the entry at the target.
    tokens : int
        Memory of an engine, in tokens, that these requests are expected to need.
    stretch : float or None
        How many times longer than usual work takes on the VM of the target, as last reported by it.
    stretch_age_s : float
        Seconds since that report.
    slowness_sum : float
        Sum of the observed slowness of `turns` turns that ended since the last report: how many
        times longer each took than a turn takes at an average engine.
    turns : int
        Number of these turns.
    successes, failures : int
        Requests that ended since the last report with a complete answer, and those by which the
        target failed.
    """

    in_flight: int = 0
    tokens: int = 0
    stretch: float | None = None
    stretch_age_s: float = 0.0
    slowness_sum: float = 0.0
    turns: int = 0
    successes: int = 0
    failures: int = 0


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """What other entries have in progress at a target, and what all entries have observed there.

    Parameters
    ----------
    in_flight, tokens : int
        As in `EntryLoad`, summed over the other entries.
    stretch : float or None
        The latest report of any entry.
    stretch_age_s : float
        Seconds since that report.
    slowness : float or None
        Average slowness of recent turns; None if none was observed.
    turns : float
        Weight of that average, in turns.
    failures : int
        Failures of the target since its last success, at any entry.
    failed_age_s : float
        Seconds since the last of these failures.
    """

    in_flight: int = 0
    tokens: int = 0
    stretch: float | None = None
    stretch_age_s: float = 0.0
    slowness: float | None = None
    turns: float = 0.0
    failures: int = 0
    failed_age_s: float = 0.0


__all__ = ["EntryLoad", "TargetLoad"]
