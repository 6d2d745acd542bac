"""Prefix cache of the engine stand-in, with an account of memory held by ended programs."""

from collections import Counter, OrderedDict

import msgspec

from waxwingglade.base import Clock, ProgramId
from waxwingglade.standins.engine_text import BLOCK_TOKENS


class CacheChange(msgspec.Struct, frozen=True):
    """Hashes of the blocks that one operation stored and removed."""

    stored: list[str] = []
    removed: list[str] = []


class PrefixCache:
    """Cached blocks in order of their last use, with the programs that hold each block.

    Parameters
    ----------
    capacity : int
        Capacity in blocks.
    clock : Clock
        Time source for the accounting of memory held by ended programs.
    """

    def __init__(self, capacity: int, clock: Clock) -> None:
        self.capacity = capacity
        self.clock = clock
        self.holders: OrderedDict[str, set[ProgramId]] = OrderedDict()
        self.held: dict[ProgramId, set[str]] = {}
        self.pins: Counter[str] = Counter()
        self.ended: set[ProgramId] = set()
        self.wasted: set[str] = set()
        self.ended_token_seconds = 0.0
        self.accounted_at = clock()

    def match(self, hashes: list[str]) -> int:
        """Return the number of leading blocks that are cached."""
        for number, block in enumerate(hashes):
            if block not in self.holders:
                return number
        return len(hashes)

    def used_fraction(self) -> float:
        """Return the fraction of the memory in use, from 0 to 1."""
        return len(self.holders) / self.capacity

    def pin(self, hashes: list[str]) -> None:
        """Protect blocks from eviction while a request uses them."""
        self.pins.update(hashes)

    def unpin(self, hashes: list[str]) -> None:
        """Revert one `pin`."""
        for block in hashes:
            self.pins[block] -= 1
            if not self.pins[block]:
                del self.pins[block]

    def store(self, program: ProgramId, hashes: list[str]) -> CacheChange:
        """Cache a prefix for `program` as far as it fits, and mark it as most recently used."""
        self._accumulate()
        self._touch(hashes)
        needed = set(hashes)
        stored: list[str] = []
        removed: list[str] = []
        for block in hashes:
            if block not in self.holders:
                if not self._free_block(removed, needed):
                    break
                self.holders[block] = set()
                stored.append(block)
            self.holders[block].add(program)
            self.held.setdefault(program, set()).add(block)
            self._update_wasted(block)
        self._touch(hashes)
        return CacheChange(stored, removed)

    def release(self, program: ProgramId) -> CacheChange:
        """Release a program's blocks; remove those that no program holds and no request uses."""
        self._accumulate()
        removed = []
        for block in self.held.pop(program, set()):
            self.holders[block].discard(program)
            if not self.holders[block] and not self.pins[block]:
                del self.holders[block]
                removed.append(block)
            self._update_wasted(block)
        return CacheChange(removed=removed)

    def mark_ended(self, program: ProgramId) -> None:
        """Count the memory that `program` holds as wasted from now on."""
        self._accumulate()
        self.ended.add(program)
        for block in self.held.get(program, ()):
            self._update_wasted(block)

    def wasted_token_seconds(self) -> float:
        """Return the token-seconds held by ended programs until now."""
        self._accumulate()
        return self.ended_token_seconds

    def _accumulate(self) -> None:
        now = self.clock()
        self.ended_token_seconds += len(self.wasted) * BLOCK_TOKENS * (now - self.accounted_at)
        self.accounted_at = now

    def _update_wasted(self, block: str) -> None:
        """Update whether a block is wasted: held by ended programs only."""
        holders = self.holders.get(block)
        if holders and holders <= self.ended:
            self.wasted.add(block)
        else:
            self.wasted.discard(block)

    def _touch(self, hashes: list[str]) -> None:
        # The start of a prefix is marked last, so that its end is evicted first.
        for block in reversed(hashes):
            if block in self.holders:
                self.holders.move_to_end(block)

    def _free_block(self, removed: list[str], needed: set[str]) -> bool:
        """Evict the least recently used block if necessary; return whether a block is free."""
        if len(self.holders) < self.capacity:
            return True
        victim = next((block for block in self.holders if not self.pins[block]), None)
        if victim is None or victim in needed:
            return False
        for program in self.holders.pop(victim):
            self._remove_holder(program, victim)
        self._update_wasted(victim)
        removed.append(victim)
        return True

    def _remove_holder(self, program: ProgramId, block: str) -> None:
        blocks = self.held[program]
        blocks.discard(block)
        if not blocks:
            del self.held[program]


__all__ = ["CacheChange", "PrefixCache"]
