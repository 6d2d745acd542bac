"""Expected stretch of work at a target whose VM is shared with others.

This handles VMs on which work takes two to three times as long for fractions of a second.  A turn
that begins in such a phase is late, but a report that is older than the phase says nothing.
"""

import math

import msgspec

HALF_LIFE_S = 0.25
"""Half-life in seconds of the weight of a report; a phase lasts for about half a second."""

SMOOTHING = 0.02
"""Weight of one report in the average stretch of a service.  Few targets are stretched at a time,
so that the average needs the reports of fifty."""


class StretchReport(msgspec.Struct, frozen=True):
    """How many times longer than usual work took at a target, and for how long that is known."""

    stretch: float
    age_s: float


class UsualStretch:
    """Average stretch of the targets of a service."""

    def __init__(self) -> None:
        self.mean = 1.0

    def observe(self, stretch: float) -> None:
        """Update the average with a report."""
        self.mean += SMOOTHING * (stretch - self.mean)


def latest(first: StretchReport | None, second: StretchReport | None) -> StretchReport | None:
    """Return the newer of two reports."""
    if first is None or second is None:
        return first or second
    return first if first.age_s <= second.age_s else second


def expected_stretch(report: StretchReport | None, usual: float, duration_s: float) -> float:
    """Return the expected average stretch of work that begins now.

    Parameters
    ----------
    report : StretchReport or None
        Latest report of the target.
    usual : float
        Average stretch of the service.
    duration_s : float
        Duration of the work in seconds; the report says less about its later part.
    """
    if report is None:
        return usual
    half_lives = max(duration_s / HALF_LIFE_S, 1e-6)
    weight = (1 - 0.5**half_lives) / (half_lives * math.log(2))
    weight *= 0.5 ** (max(0.0, report.age_s) / HALF_LIFE_S)
    return usual + weight * (report.stretch - usual)


__all__ = ["StretchReport", "UsualStretch", "expected_stretch", "latest"]
