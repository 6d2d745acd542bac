"""How an entry's turns divide among the ranks of their routes.

Engines admit the more urgent first and preempt others for them, so of what lies at an engine only
the turns that are at least as urgent stand before one that comes.  This answers bursts in which
urgent programs would be refused for what they overtake.
"""

FORGETTING = 0.98
"""Weight that a turn keeps with each later one; the last 50 make up two thirds of a share."""


class RankShares:
    """The ranks of the turns that one entry has sent to a service lately."""

    def __init__(self) -> None:
        self.weights: dict[int, float] = {}

    def record(self, rank: int) -> None:
        """Take in a turn that was sent; 0 is the highest rank."""
        for known in self.weights:
            self.weights[known] *= FORGETTING
        self.weights[rank] = self.weights.get(rank, 0.0) + 1

    def share_up_to(self, rank: int) -> float:
        """Return the share of turns of a rank and of higher ones, 1 if none was sent yet."""
        total = sum(self.weights.values())
        if total <= 0:
            return 1.0
        return sum(weight for known, weight in self.weights.items() if known <= rank) / total


__all__ = ["RankShares"]
