"""Prefix cache of a simulated engine: blocks in order of last use, and the programs using them."""

import itertools
from collections import Counter, OrderedDict
from collections.abc import Sequence

from waxwingglade.base import Clock, ProgramId
from waxwingglade.decisions import BlockHash, CacheEvents

SHARED = ProgramId("")
"""Pseudo-program that uses the blocks shared by a class of programs; it never ends."""


class PrefixCache:
    """Cached blocks of one engine, with the block-seconds cached only for ended programs."""

    def __init__(self, capacity: int, clock: Clock) -> None:
        self.capacity = capacity
        self.clock = clock
        self.users: OrderedDict[BlockHash, set[ProgramId]] = OrderedDict()
        self.blocks_by_program: dict[ProgramId, set[BlockHash]] = {}
        self.pins: Counter[BlockHash] = Counter()
        self.ended: set[ProgramId] = set()
        self.ended_blocks = 0
        self.ended_block_s = 0.0
        self.accrued_at = 0.0
        self.changed: set[BlockHash] = set()
        self.sequence = 0

    def cached_prefix(self, blocks: Sequence[BlockHash]) -> int:
        """Return the number of leading blocks that are cached."""
        for count, block in enumerate(blocks):
            if block not in self.users:
                return count
        return len(blocks)

    def use(self, program: ProgramId, blocks: Sequence[BlockHash]) -> None:
        """Store `blocks` for `program`, or mark them as just used by it."""
        self.accrue()
        program_blocks = self.blocks_by_program.setdefault(program, set())
        for block in blocks:
            users = self.users.setdefault(block, set())
            self.users.move_to_end(block)
            if not users:
                self.changed.add(block)
            elif users <= self.ended:
                self.ended_blocks -= 1
            users.add(program)
            program_blocks.add(block)
            self.ended_blocks += users <= self.ended

    def pin(self, blocks: Sequence[BlockHash]) -> None:
        """Protect `blocks` from eviction until they are unpinned."""
        self.pins.update(blocks)

    def unpin(self, blocks: Sequence[BlockHash]) -> None:
        """Undo one `pin` of `blocks`."""
        for block in blocks:
            self.pins[block] -= 1
            if self.pins[block] <= 0:
                del self.pins[block]

    def shrink(self) -> None:
        """Evict the least recently used unpinned blocks until the cache fits its capacity."""
        excess = len(self.users) - self.capacity
        if excess <= 0:
            return
        unpinned = (block for block in self.users if block not in self.pins)
        for block in list(itertools.islice(unpinned, excess)):
            self.remove(block)

    def release(self, program: ProgramId) -> None:
        """Remove `program` as a user, and evict its unpinned blocks that have no other user."""
        self.accrue()
        for block in self.blocks_by_program.pop(program, ()):
            users = self.users[block]
            self.ended_blocks -= users <= self.ended
            users.discard(program)
            self.ended_blocks += users <= self.ended
            if not users and block not in self.pins:
                self.remove(block)

    def program_ended(self, program: ProgramId) -> None:
        """Start to count the blocks that only ended programs use as wasted."""
        self.accrue()
        self.ended.add(program)
        for block in self.blocks_by_program.get(program, ()):
            self.ended_blocks += self.users[block] <= self.ended

    def remove(self, block: BlockHash) -> None:
        """Evict a block."""
        self.accrue()
        users = self.users.pop(block)
        self.ended_blocks -= users <= self.ended
        self.changed.add(block)
        for program in users:
            self.blocks_by_program[program].discard(block)

    def clear(self) -> None:
        """Evict all blocks, as a restart does."""
        self.pins.clear()
        for block in list(self.users):
            self.remove(block)

    def next_events(self) -> CacheEvents:
        """Return the net changes since the preceding call."""
        self.sequence += 1
        changed, self.changed = self.changed, set()
        stored = [block for block in changed if block in self.users]
        removed = [block for block in changed if block not in self.users]
        return CacheEvents(self.sequence, stored, removed)

    def accrue(self) -> None:
        """Add the wasted block-seconds since the last update."""
        now = self.clock()
        self.ended_block_s += self.ended_blocks * (now - self.accrued_at)
        self.accrued_at = now
