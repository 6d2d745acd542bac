"""Speed of a single target, relative to the average target of its service.

This handles services whose targets differ in speed by a factor of two or more.  A program that may
take little longer than on idle targets is late after one turn on a slow one, and each entry sees
only few turns of each target.
"""

import msgspec

PRIOR_TURNS = 1.0
"""Weight of the assumption that a target is as fast as the average, in turns.  A single turn must
count: the next turn at a slow target would already make its program late."""

TURN_DECAY = 0.8
"""Factor by which each new turn reduces the weight of the earlier ones."""

HALF_LIFE_S = 20.0
"""Half-life in seconds of the weight of all turns.  A target that is avoided is not observed, so
that it is used again some time after it was slow."""

MAX_RATIO = 5.0
"""Limit of the ratio of one turn.  Longer turns were interrupted rather than slow."""

MIN_SLOWNESS, MAX_SLOWNESS = 0.4, 10.0

SLOW_FROM, SLOW_UNTIL = 1.5, 1.25
"""Slowness from which on a target is reported to operators as slow, and below which as usual again.
Programs may take from 1.2 times their time on idle targets on."""

MIN_REPORTED_TURNS = 3.0
"""Weight in turns below which no target is reported as slow."""


class Slowness(msgspec.Struct):
    """Average slowness of recent turns at a target; 1 is the average of the service.

    Parameters
    ----------
    sum, turns : float
        Weighted sum of the slowness of the turns, and the sum of their weights.
    observed_at : float
        Monotonic time of the latest turn, in seconds.
    slow_since : float or None
        When the target was found to be slow; None while it is not.
    """

    sum: float = 0.0
    turns: float = 0.0
    observed_at: float = 0.0
    slow_since: float | None = None

    def observe(self, ratio: float, now: float) -> None:
        """Record how many times longer than usual a turn took."""
        fade = TURN_DECAY * self._fade(now)
        self.sum = fade * self.sum + ratio
        self.turns = fade * self.turns + 1
        self.observed_at = now

    def estimate(
        self, now: float, shared: float | None = None, shared_turns: float = 0.0
    ) -> tuple[float, float]:
        """Return the slowness of the target and the weight of the turns behind it.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        shared : float or None
            Average slowness observed by all entries, this one included; it replaces the own turns.
        shared_turns : float
            Weight of that average, in turns.
        """
        if shared is None:
            fade = self._fade(now)
            total, turns = fade * self.sum, fade * self.turns
        else:
            total, turns = shared * shared_turns, shared_turns
        slowness = (PRIOR_TURNS + total) / (PRIOR_TURNS + turns)
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness)), turns

    def check_slow(self, slowness: float, turns: float, now: float) -> bool:
        """Update `slow_since` with an estimate; return whether the target became slow or usual."""
        if self.slow_since is None:
            if slowness < SLOW_FROM or turns < MIN_REPORTED_TURNS:
                return False
            self.slow_since = now
            return True
        if slowness > SLOW_UNTIL:
            return False
        self.slow_since = None
        return True

    def slow_s(self, now: float) -> float:
        """Return for how many seconds the target has been slow, 0 if it is not."""
        return now - self.slow_since if self.slow_since is not None else 0.0

    def _fade(self, now: float) -> float:
        return faded(now - self.observed_at)


def faded(age_s: float) -> float:
    """Return the weight that is left of turns that ended some seconds ago."""
    return 0.5 ** (max(0.0, age_s) / HALF_LIFE_S)


def bounded_ratio(ratio: float) -> float:
    """Return the ratio of a turn to a usual one within the bounds of single turns."""
    return min(MAX_RATIO, max(1 / MAX_RATIO, ratio))


__all__ = ["Slowness", "bounded_ratio", "faded"]
