"""Whether a turn is refused at once, since engines have more waiting than they can run in time.

This answers bursts beyond what all engines together carry.  A turn that waits in an engine's queue
can't be taken back, and holds up what comes after it; one that is refused may come back when there
is room, or to another entry that knows of some.  A program that has not begun loses least by that,
so its first turn goes last: those that have begun end, and make room.

An urgent turn overtakes the others at an engine, so what they wait for is no reason to refuse it.
"""

from collections.abc import Iterable

import msgspec

from waxwingglade.decisions.engine_speed import EngineSpeed
from waxwingglade.decisions.placement import Engine, queue_wait_s

FIRST_TURN_WAIT = 0.25
"""Usual turns' times that a program's first turn may have to wait: the load of an engine is known
to about a quarter of its slots, so less would refuse where there is room."""

SHORTEST_RETRY_S = 0.2
LONGEST_RETRY_S = 1.5
"""Bounds of the time to come back, in seconds: the first event of a usual turn takes about as long
as the first, and a load is not known for longer ahead than the second."""


class AdmissionRequest(msgspec.Struct, frozen=True):
    """How long a turn may wait for an engine to begin it.

    Parameters
    ----------
    wait_limit_s : float
        Seconds without a first event after which its caller gives it up, or its time is over; what
        would begin later is run for nobody, and holds up the others.
    is_first : bool
        Whether its program begins with it.
    rank_share : float
        Share of the turns at engines that are at least as urgent; the others it overtakes.
    """

    wait_limit_s: float
    is_first: bool = False
    rank_share: float = 1.0


def retry_after_s(
    pace: EngineSpeed, engines: Iterable[Engine], waiting: AdmissionRequest
) -> float | None:
    """Return after how many seconds a turn should come back, or None if it is to be sent.

    Parameters
    ----------
    pace : EngineSpeed
        Pace of the service's engines.
    engines : iterable of Engine
        Those that could take the turn.
    waiting : AdmissionRequest
        How long the turn may wait.
    """
    ahead = (_ahead(engine, waiting.rank_share) for engine in engines)
    wait_s = min((queue_wait_s(pace, engine) for engine in ahead), default=0.0)
    longest_s = waiting.wait_limit_s
    if waiting.is_first:
        longest_s = min(longest_s, FIRST_TURN_WAIT * pace.generation_s(1.0))
    if wait_s <= longest_s:
        return None
    return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, wait_s))


def _ahead(engine: Engine, share: float) -> Engine:
    """Return an engine as a turn finds it that overtakes all but a share of what is there."""
    return Engine(share * engine.load, engine.slots, engine.slowness)


__all__ = ["AdmissionRequest", "retry_after_s"]
