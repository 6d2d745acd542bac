"""Cost of the remaining turns of a program at an engine.

This handles services whose engines differ in speed.  The turns of a program stay at the engine that
has cached their history, so the engine of the first turn decides on the time of all of them.  The
cost of a single turn alone would keep a program at a slow engine, where each turn loses less than
the prefill of the history elsewhere costs, and all of them together lose more.
"""

import msgspec

from waxwingglade.decisions.engine_speed import EngineSpeed
from waxwingglade.decisions.placement import Engine, turn_cost_s
from waxwingglade.decisions.program_starts import ProgramLength

DEFAULT_TURNS = 4.0
"""Prior for the number of turns of a program."""

MOVE_MARGIN = 0.6
"""Gain that must be expected of a move to another engine, for each remaining turn, as a multiple of
an average turn.  Equal engines seem to differ by less than this by chance.  Without a margin,
programs would move between them, and the prefill of their histories would delay other turns."""


class UnevenEngine(msgspec.Struct, frozen=True):
    """An engine as it is now, and as the later turns of a program will find it.

    Parameters
    ----------
    now : Engine
        Its current load; its slowness includes the current stretch of its VM.
    later : Engine
        Its expected load; its slowness includes the usual stretch.
    round_trip_s : float
        Seconds that each turn takes for the way to the engine and back.
    """

    now: Engine
    later: Engine
    round_trip_s: float = 0.0


def remaining_turns(length: ProgramLength, turns_before: int | None) -> float:
    """Return the expected number of turns that a program still sends, with the current one.

    Parameters
    ----------
    length : ProgramLength
        Turns of the programs of a route.
    turns_before : int or None
        Turns that the program has sent; None if that is unknown.
    """
    usual = length.mean_requests
    remaining = (usual + 1) / 2 if turns_before is None else usual - turns_before
    return max(1.0, remaining)


def program_cost_s(
    speed: EngineSpeed, engine: UnevenEngine, prefill_tokens: float, turns: float
) -> float:
    """Return the seconds of the remaining turns of a program, plus their delay to other turns.

    Parameters
    ----------
    speed : EngineSpeed
        Estimated speed of the service's engines.
    engine : UnevenEngine
        The engine.
    prefill_tokens : float
        Prompt tokens that are not in the engine's cache.
    turns : float
        Number of remaining turns, with the current one.
    """
    current_s = turn_cost_s(speed, engine.now, prefill_tokens)
    later_s = (turns - 1) * turn_cost_s(speed, engine.later, 0)
    return current_s + later_s + turns * engine.round_trip_s


def move_margin_s(speed: EngineSpeed, turns: float) -> float:
    """Return by how many seconds another engine must be better to move the remaining turns."""
    return MOVE_MARGIN * turns * speed.generation_s(1.0)


__all__ = ["DEFAULT_TURNS", "UnevenEngine", "move_margin_s", "program_cost_s", "remaining_turns"]
