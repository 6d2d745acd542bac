"""Cost of a turn at an engine, in seconds summed over all turns that it affects.

This handles programs whose turns arrive faster than engines can prefill their prompts.  A turn that
moves to a less busy engine needs a prefill of its whole history there, and the prefill blocks all
other turns of that engine.  If the cost is only the turn's own time, most turns move: four fifths
of all prefill tokens are then histories that another engine has cached, the engines are busy with
prefill long after a burst has ended, and the mean worth of a day's programs is 0.47; see
docs/placement.md.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from waxwingglade.base import TargetId, ZoneId
from waxwingglade.base.rendezvous import weight
from waxwingglade.decisions.engine_speed import EngineSpeed


class Engine(msgspec.Struct, frozen=True):
    """State of an engine, as estimated by one entry for one decision.

    Parameters
    ----------
    load : float
        Estimated number of requests at the engine, running and waiting.
    slots : int
        Requests that it runs concurrently.
    slowness : float
        How many times slower than usual it is.
    """

    load: float
    slots: int
    slowness: float = 1.0


def turn_cost_s(speed: EngineSpeed, engine: Engine, prefill_tokens: float) -> float:
    """Return the seconds that a turn takes, plus the delay that it causes to other turns.

    Parameters
    ----------
    speed : EngineSpeed
        Estimated speed of the service's engines.
    engine : Engine
        The engine.
    prefill_tokens : float
        Prompt tokens that are not in the engine's cache.

    Notes
    -----
    An engine interleaves prefill with the generation of its running turns, so a prefill delays each
    of them by its whole duration.
    """
    running = min(engine.load, engine.slots)
    share = min(1.0, (engine.load + 1) / engine.slots)
    prefill_s = speed.prefill_s(prefill_tokens)
    own_s = queue_wait_s(speed, engine) + prefill_s + speed.generation_s(share)
    others_s = running * (prefill_s + speed.disturbance_s(engine.slots))
    return (own_s + others_s) * engine.slowness


def queue_wait_s(speed: EngineSpeed, engine: Engine) -> float:
    """Return the seconds that a turn waits in the queue of an engine."""
    if engine.load < engine.slots:
        return 0.0
    return speed.generation_s(1.0) * (engine.load - engine.slots + 1) / engine.slots


def uncached_tokens(
    parts: Sequence[tuple[str, int]], cached: Mapping[str, int], assumed_cached: str | None = None
) -> int:
    """Return the number of prompt tokens that are not cached.

    Parameters
    ----------
    parts : sequence of (str, int)
        Names and tokens of the prompt's parts, in order.
    cached : mapping
        Cached tokens of each part.
    assumed_cached : str or None
        A part that counts as completely cached.

    Notes
    -----
    All tokens after a part that is not completely cached count as not cached.
    """
    for index, (name, tokens) in enumerate(parts):
        missing = tokens - cached.get(name, 0)
        if missing > 0 and name != assumed_cached:
            return missing + sum(later for _, later in parts[index + 1 :])
    return 0


def home_targets(part: str, targets: Iterable[tuple[TargetId, ZoneId]]) -> set[TargetId]:
    """Return the targets that cache a shared part: half of the targets of each zone.

    All entries compute the same targets without communication, so that not every target caches the
    part.
    """
    zones: dict[ZoneId, list[TargetId]] = {}
    for target, zone in targets:
        zones.setdefault(zone, []).append(target)
    chosen: set[TargetId] = set()
    for names in zones.values():
        names.sort(key=lambda name: weight(part, name))
        chosen.update(names[: (len(names) + 1) // 2])
    return chosen


__all__ = ["Engine", "home_targets", "queue_wait_s", "turn_cost_s", "uncached_tokens"]
