"""Random samples of a changing set, in time that does not grow with the set."""

import random
from typing import Generic, TypeVar

T = TypeVar("T")


class SampledSet(Generic[T]):
    """A set of hashable members with `add`, `discard` and random choice in constant time."""

    def __init__(self) -> None:
        self.members: list[T] = []
        self.places: dict[T, int] = {}

    def __len__(self) -> int:
        return len(self.members)

    def __contains__(self, member: T) -> bool:
        return member in self.places

    def add(self, member: T) -> None:
        """Add `member` unless the set contains it."""
        if member in self.places:
            return
        self.places[member] = len(self.members)
        self.members.append(member)

    def discard(self, member: T) -> None:
        """Remove `member` if the set contains it."""
        place = self.places.pop(member, None)
        if place is None:
            return
        last = self.members.pop()
        if last is not member:
            self.members[place] = last
            self.places[last] = place

    def sample(self, rng: random.Random, size: int) -> list[T]:
        """Return up to `size` different members."""
        count = len(self.members)
        if count <= size:
            return list(self.members)
        picked: list[int] = []
        while len(picked) < size:
            place = int(rng.random() * count)
            if place not in picked:
                picked.append(place)
        return [self.members[place] for place in picked]
