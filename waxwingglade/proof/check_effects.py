"""Check that a non-idempotent call runs at most once."""

from waxwingglade.proof.history import EffectSeen, History
from waxwingglade.proof.index import CallKey
from waxwingglade.proof.violation import Point, Violation


def check_effects(history: History) -> list[Violation]:
    """Return the non-idempotent calls that had more than one effect."""
    effects: dict[CallKey, list[EffectSeen]] = {}
    for seen in history.of(EffectSeen):
        if not seen.idempotent:
            effects.setdefault(CallKey(seen.program, seen.call), []).append(seen)
    return [
        Violation(
            Point.AT_MOST_ONCE,
            key.program,
            f"call {key.call} of {each[0].tool} had {len(each)} effects",
            list(each),
        )
        for key, each in effects.items()
        if len(each) > 1
    ]
