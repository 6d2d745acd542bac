"""Decides whether a program retains its cache on a target while it waits for a tool.

The expected duration of a tool's pauses is estimated from its past pauses.  Cache is retained for
any pause up to the bound on idle cache, since targets themselves evict the least recently used
blocks; docs/decisions.md gives the measurement of a rule that released cache sooner.  If a tool
usually takes longer than the bound, its pauses outlast the cache, which is released at once.
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
    """Whether the cache of a paused program is retained.

    Another target can still import retained cache if the program continues there.
    """

    KEEP = "keep"
    RELEASE = "let_go"


class Pause(msgspec.Struct):
    """A pause that has not ended."""

    tool: ToolName
    began_at: float


class PauseTracker:
    """Recent pause lengths of each tool, in bounded memory, and the current pauses."""

    def __init__(self, settings: DecisionSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.lengths: dict[ToolName, deque[float]] = {}
        self.current: dict[ProgramId, Pause] = {}

    def begin(self, program: ProgramId, tool: ToolName) -> PauseDecision:
        """Record that `program` waits for `tool`; return whether its cache is retained."""
        self.current[program] = Pause(tool, self.clock())
        expected_s = self.expected_s(tool)
        if expected_s is None or expected_s <= self.settings.hold_max_s:
            return PauseDecision.KEEP
        return PauseDecision.RELEASE

    def end(self, program: ProgramId) -> None:
        """Record that the program continues, and the length of its pause."""
        pause = self.current.pop(program, None)
        if pause is None:
            return
        lengths = self.lengths.setdefault(pause.tool, deque(maxlen=MAX_SAMPLES))
        lengths.append(self.clock() - pause.began_at)

    def forget(self, program: ProgramId) -> None:
        """Delete the current pause of a program that has ended."""
        self.current.pop(program, None)

    def expected_s(self, tool: ToolName) -> float | None:
        """Return the median pause of `tool` in seconds, or None if there are too few samples."""
        lengths = self.lengths.get(tool)
        if lengths is None or len(lengths) < MIN_PAUSES:
            return None
        return statistics.median(lengths)
