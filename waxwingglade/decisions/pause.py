"""Whether a program keeps its cache on a target while it waits for a tool.

How long a tool pauses a program is learned from the pauses that ended.  Cache is kept through any
pause up to the bound on idle cache, since targets evict what was used longest ago by themselves;
docs/decisions.md gives the measurement of a rule that let go sooner.  A tool that usually takes
longer than the bound has no use for the cache, which is then let go at once.
"""

import statistics
from collections import deque
from enum import Enum

import msgspec

from waxwingglade.base import Clock, ProgramId, ToolName
from waxwingglade.settings.decisions import DecisionSettings

MAX_SAMPLES = 64
MIN_PAUSES = 4


class PauseDecision(Enum):
    """What becomes of a paused program's cache.

    Kept cache still moves to another target, by import, when the program goes on there.
    """

    KEEP = "keep"
    RELEASE = "let_go"


class Pause(msgspec.Struct):
    """A pause under way."""

    tool: ToolName
    began_at: float


class PauseTracker:
    """Lengths of pauses by tool, in bounded memory, and the pauses under way."""

    def __init__(self, settings: DecisionSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.lengths: dict[ToolName, deque[float]] = {}
        self.under_way: dict[ProgramId, Pause] = {}

    def begin(self, program: ProgramId, tool: ToolName) -> PauseDecision:
        """Note that `program` waits for `tool`; return what becomes of its cache."""
        self.under_way[program] = Pause(tool, self.clock())
        expected_s = self.expected_s(tool)
        if expected_s is None or expected_s <= self.settings.hold_max_s:
            return PauseDecision.KEEP
        return PauseDecision.RELEASE

    def end(self, program: ProgramId) -> None:
        """Note that the program goes on, and learn the length of its pause."""
        pause = self.under_way.pop(program, None)
        if pause is None:
            return
        lengths = self.lengths.setdefault(pause.tool, deque(maxlen=MAX_SAMPLES))
        lengths.append(self.clock() - pause.began_at)

    def forget(self, program: ProgramId) -> None:
        """Drop the pause of a program that ended."""
        self.under_way.pop(program, None)

    def expected_s(self, tool: ToolName) -> float | None:
        """Return the median pause of `tool`, or None while too few are known."""
        lengths = self.lengths.get(tool)
        if lengths is None or len(lengths) < MIN_PAUSES:
            return None
        return statistics.median(lengths)
