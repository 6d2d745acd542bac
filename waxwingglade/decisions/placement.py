"""What a turn costs at an engine, in seconds of everybody's time.

This answers the load of programs whose turns come faster than engines read prompts.  A turn that
moves to a less busy engine has its whole history read again there, and an engine that reads stands
still for every other turn that it runs.  Weighed by the turn's own time alone, most turns moved:
four fifths of all prompt tokens read were histories read again, the engines were busy with that
long after a burst had ended, and a day's worth was 0.47; see docs/placement.md.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from waxwingglade.base import TargetId, ZoneId
from waxwingglade.base.rendezvous import weight
from waxwingglade.decisions.engine_speed import EngineSpeed


class Engine(msgspec.Struct, frozen=True):
    """An engine as one entry sees it at the moment of a decision.

    Parameters
    ----------
    load : float
        Requests believed to be there, running and waiting.
    slots : int
        Requests that it runs at once.
    slowness : float
        How many times slower than usual it is.
    """

    load: float
    slots: int
    slowness: float = 1.0


def turn_cost_s(pace: EngineSpeed, engine: Engine, read_tokens: float) -> float:
    """Return the seconds that a turn takes at an engine, and takes from the others there.

    Parameters
    ----------
    pace : EngineSpeed
        Pace of the service's engines.
    engine : Engine
        The engine.
    read_tokens : float
        Prompt tokens that it would have to read.

    Notes
    -----
    Prompts are read between the tokens of those that run, so each of them waits for as long as the
    reading takes.
    """
    running = min(engine.load, engine.slots)
    share = min(1.0, (engine.load + 1) / engine.slots)
    read_s = pace.prefill_s(read_tokens)
    own_s = queue_wait_s(pace, engine) + read_s + pace.generation_s(share)
    others_s = running * (read_s + pace.disturbance_s(engine.slots))
    return (own_s + others_s) * engine.slowness


def queue_wait_s(pace: EngineSpeed, engine: Engine) -> float:
    """Return the seconds that a turn waits at an engine before it is run."""
    if engine.load < engine.slots:
        return 0.0
    return pace.generation_s(1.0) * (engine.load - engine.slots + 1) / engine.slots


def uncached_tokens(
    parts: Sequence[tuple[str, int]], held: Mapping[str, int], assumed: str | None = None
) -> int:
    """Return the tokens of a prompt that are not held.

    Parameters
    ----------
    parts : sequence of (str, int)
        Names and tokens of the prompt's parts, in order.
    held : mapping
        Tokens held of each part.
    assumed : str or None
        A part that counts as held whole.

    Notes
    -----
    What follows a part that is not held whole has to be read, be it held or not.
    """
    for index, (name, tokens) in enumerate(parts):
        missing = tokens - held.get(name, 0)
        if missing > 0 and name != assumed:
            return missing + sum(later for _, later in parts[index + 1 :])
    return 0


def home_targets(part: str, targets: Iterable[tuple[TargetId, ZoneId]]) -> set[TargetId]:
    """Return the targets where a shared part is read: half of those of each zone.

    Entries agree on them without talking, so that a part is not read at every target.
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
