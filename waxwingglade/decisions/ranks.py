"""Distribution of an entry's turns over the ranks of their routes.

Engines admit more urgent turns first and preempt others for them.  A new turn therefore waits only
for turns at the engine that are at least as urgent.  This prevents the refusal of urgent programs
during bursts because of turns that they would overtake.
"""

DECAY = 0.98
"""Factor by which each new turn reduces the weight of the earlier ones; the last 50 turns have
about two thirds of the total weight."""


class RankShares:
    """Ranks of the turns that one entry has recently sent to a service."""

    def __init__(self) -> None:
        self.weights: dict[int, float] = {}

    def record(self, rank: int) -> None:
        """Record a sent turn; 0 is the highest rank."""
        for known in self.weights:
            self.weights[known] *= DECAY
        self.weights[rank] = self.weights.get(rank, 0.0) + 1

    def share_up_to(self, rank: int) -> float:
        """Return the share of turns with this or a higher rank; 1 if no turn was sent yet."""
        total = sum(self.weights.values())
        if total <= 0:
            return 1.0
        return sum(weight for known, weight in self.weights.items() if known <= rank) / total


__all__ = ["RankShares"]
