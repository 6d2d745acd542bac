"""A simulated clock that advances from one event to the next."""

import heapq
import itertools
from collections.abc import Callable


class Timeline:
    """Scheduled events in order of time; `now` is in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()

    def call_later(self, seconds: float, event: Callable[[], None]) -> None:
        """Schedule an event after a delay."""
        heapq.heappush(self.events, (self.now + seconds, next(self.sequence), event))

    def run(self, until: float) -> None:
        """Run all events up to a given time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, event = heapq.heappop(self.events)
            event()


__all__ = ["Timeline"]
