"""Admission control: refuse a turn at once if no engine can begin it in time.

This handles bursts beyond the capacity of all engines together.  A turn in an engine's queue can't
be withdrawn and delays all later turns.  A refused turn can be sent again when there are free
slots, or to another entry that has information on them.  The first turn of a program is refused
first, since a program that has not begun loses least; running programs end and free their slots.

An urgent turn overtakes less urgent turns at an engine, so these do not count against it.
"""

from collections.abc import Iterable

import msgspec

from waxwingglade.decisions.engine_speed import EngineSpeed
from waxwingglade.decisions.placement import Engine, queue_wait_s

FIRST_TURN_WAIT_FACTOR = 0.25
"""Wait limit of a program's first turn, as a multiple of an average turn's generation time.  An
engine's load is known to about a quarter of its slots; a lower limit would refuse turns although
slots are free."""

MIN_RETRY_S = 0.2
MAX_RETRY_S = 1.5
"""Bounds of the retry delay, in seconds.  The lower bound is about the time to the first event of
an average turn; the load can't be predicted for longer than the upper bound."""


class AdmissionRequest(msgspec.Struct, frozen=True):
    """A turn for which admission is requested, and how long it may wait for an engine.

    Parameters
    ----------
    wait_limit_s : float
        Seconds without a first event after which its caller abandons it, or its deadline passes.  A
        turn that begins later delays other turns, and no caller receives its answer.
    is_first : bool
        Whether it is the first turn of its program.
    rank_share : float
        Share of the turns at engines that are at least as urgent; it overtakes the others.
    """

    wait_limit_s: float
    is_first: bool = False
    rank_share: float = 1.0


def retry_after_s(
    speed: EngineSpeed, engines: Iterable[Engine], request: AdmissionRequest
) -> float | None:
    """Return the retry delay of a turn that is refused, in seconds, or None if it is admitted.

    Parameters
    ----------
    speed : EngineSpeed
        Estimated speed of the service's engines.
    engines : iterable of Engine
        Engines that could run the turn.
    request : AdmissionRequest
        The turn, and how long it may wait.
    """
    longest_s = request.wait_limit_s
    if request.is_first:
        longest_s = min(longest_s, FIRST_TURN_WAIT_FACTOR * speed.generation_s(1.0))
    shortest_s: float | None = None
    for engine in engines:
        wait_s = queue_wait_s(speed, _without_overtaken(engine, request.rank_share))
        if wait_s <= longest_s:
            # The states of further engines, which may be computed one by one, are not needed.
            return None
        shortest_s = wait_s if shortest_s is None else min(shortest_s, wait_s)
    shortest_s = shortest_s or 0.0
    if shortest_s <= longest_s:
        return None
    return min(MAX_RETRY_S, max(MIN_RETRY_S, shortest_s))


def _without_overtaken(engine: Engine, share: float) -> Engine:
    """Return an engine with only the share of its load that the turn can't overtake."""
    return Engine(share * engine.load, engine.slots, engine.slowness)


__all__ = ["AdmissionRequest", "retry_after_s"]
