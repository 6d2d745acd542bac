"""Memory of an engine that its running turns need, in tokens, and the cost of a preemption.

This handles engines whose memory is smaller than their slots filled with long histories.  If memory
runs out, or a more urgent turn arrives at a full engine, the engine preempts a turn and later
prefills its prompt again.  The stream of its caller pauses for that long.
"""

from collections import OrderedDict
from collections.abc import Sequence

from waxwingglade.decisions.engine_speed import EngineSpeed
from waxwingglade.decisions.placement import Engine

MAX_SHARED_PROMPTS = 64
SHARED_PROMPT_AGE_S = 10.0
"""Seconds after its last use from which on a shared prompt is no longer counted."""

TOKENS_SMOOTHING = 0.05
"""Weight of one turn in the average memory of the turns of a service."""


class EngineMemory:
    """What an entry knows about the use of memory at the engines of a service.

    Attributes
    ----------
    shared_prompts : OrderedDict
        Tokens and time of the last use of recently used shared prompts, the latest last.
    mean_turn_tokens : float
        Average memory of a turn, without shared parts.
    """

    def __init__(self) -> None:
        self.shared_prompts: OrderedDict[str, tuple[int, float]] = OrderedDict()
        self.mean_turn_tokens = 0.0

    def record_sent(self, parts: Sequence[tuple[str, int]], turn_tokens: int, now: float) -> None:
        """Record the prompt parts of a turn, and the memory that it needs without shared ones."""
        if not self.mean_turn_tokens:
            self.mean_turn_tokens = float(turn_tokens)
        self.mean_turn_tokens += TOKENS_SMOOTHING * (turn_tokens - self.mean_turn_tokens)
        if len(parts) < 2:
            return
        last_shared = parts[-2][0]
        self.shared_prompts[last_shared] = (sum(tokens for _, tokens in parts[:-1]), now)
        self.shared_prompts.move_to_end(last_shared)
        while len(self.shared_prompts) > MAX_SHARED_PROMPTS:
            self.shared_prompts.popitem(last=False)

    def shared_tokens(self, turns: float, now: float) -> float:
        """Return the memory that shared prompts occupy beside a number of running turns.

        Each of these needs one, at worst all of them different ones.
        """
        while self.shared_prompts:
            oldest, (_, used_at) = next(iter(self.shared_prompts.items()))
            if now - used_at <= SHARED_PROMPT_AGE_S:
                break
            del self.shared_prompts[oldest]
        if not self.shared_prompts:
            return 0.0
        largest = max(tokens for tokens, _ in self.shared_prompts.values())
        return largest * min(turns, len(self.shared_prompts))


def own_tokens(parts: Sequence[tuple[str, int]], output_tokens: int) -> int:
    """Return the memory that a turn needs beside shared parts; only the last part is its own."""
    return (parts[-1][1] if parts else 0) + output_tokens


def has_room(capacity: int, held_tokens: float, turn_tokens: float) -> bool:
    """Return whether a turn fits into memory; a capacity of 0 is unknown."""
    return capacity <= 0 or held_tokens + turn_tokens <= capacity


def preemption_s(speed: EngineSpeed, engine: Engine, prompt_tokens: float) -> float:
    """Return the seconds that the preemption of a turn costs, summed over all turns.

    The preempted turn waits until another one ends, and generates its output again on average by
    half.  The prefill of its prompt delays all running turns.
    """
    running = min(engine.load, engine.slots)
    prefill_s = speed.prefill_s(prompt_tokens) * (1 + running)
    return (prefill_s + 1.5 * speed.generation_s(1.0)) * engine.slowness


def preemption_by_rank(load: float, slots: int, less_urgent: float) -> float:
    """Return the probability that a turn preempts a less urgent one to get a slot.

    Parameters
    ----------
    load : float
        Estimated number of requests at the engine.
    slots : int
        Requests that it runs concurrently.
    less_urgent : float
        Share of the turns at engines that are less urgent.
    """
    if load < slots:
        return 0.0
    return 1 - (1 - less_urgent) ** slots


__all__ = ["EngineMemory", "has_room", "own_tokens", "preemption_by_rank", "preemption_s"]
