"""Check that a leaving target gets no new work after a few seconds."""

from waxwingglade.base import TargetId
from waxwingglade.proof.history import (
    EffectSeen,
    GenerationSeen,
    History,
    TargetBack,
    TargetLeaving,
)
from waxwingglade.proof.violation import Point, Violation

PROPAGATION_LIMIT_S = 3.0
"""Seconds within which the entries must know that a target is leaving."""


def check_leaving(history: History) -> list[Violation]:
    """Return the work that reached a leaving target too late."""
    found = []
    states = history.of(TargetLeaving, TargetBack)
    for seen in history.of(EffectSeen, GenerationSeen):
        arrived = seen.arrived if isinstance(seen, EffectSeen) else seen.at
        late_s = arrived - _left_at(states, seen.target, arrived)
        if late_s > PROPAGATION_LIMIT_S:
            text = (
                f"call {seen.call} of {seen.program} arrived {late_s:.1f} s after it began to leave"
            )
            found.append(Violation(Point.LEAVING, seen.target, text, [seen]))
    return found


def _left_at(states: list[TargetLeaving | TargetBack], target: TargetId, at: float) -> float:
    """Return when a target that is leaving at a time began to leave; infinite if it is not."""
    since = float("inf")
    for each in states:
        if each.target == target and each.at <= at:
            since = each.at if isinstance(each, TargetLeaving) else float("inf")
    return since
