"""Estimate of which targets have cached which prompt blocks.

The sources are cache events, which are delayed and may have gaps, and the calls of this entry.  The
index is bounded and evicts the least recently used blocks first.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator

from waxwingglade.decisions.work import BlockHash


class CacheIndex:
    """Holders of cached blocks.  A holder is a small number; a set of holders is a bit mask.

    Parameters
    ----------
    max_blocks : int
        Greatest number of blocks in the index.
    """

    def __init__(self, max_blocks: int) -> None:
        self.max_blocks = max_blocks
        self.holders: OrderedDict[BlockHash, int] = OrderedDict()
        self.held: dict[int, set[BlockHash]] = {}

    def add(self, holder: int, blocks: Iterable[BlockHash]) -> None:
        """Record that `holder` has `blocks`."""
        held = self.held.setdefault(holder, set())
        bit = 1 << holder
        for block in blocks:
            self.holders[block] = self.holders.get(block, 0) | bit
            self.holders.move_to_end(block)
            held.add(block)
        while len(self.holders) > self.max_blocks:
            self._forget_oldest()

    def remove(self, holder: int, blocks: Iterable[BlockHash]) -> None:
        """Record that `holder` no longer has `blocks`."""
        held = self.held.get(holder)
        if not held:
            return
        for block in blocks:
            if block in held:
                held.discard(block)
                self._clear(holder, block)

    def replace(self, holder: int, blocks: Iterable[BlockHash]) -> None:
        """Record that `holder` has exactly `blocks`."""
        wanted = set(blocks)
        self.remove(holder, [block for block in self.held.get(holder, ()) if block not in wanted])
        self.add(holder, wanted)

    def drop(self, holder: int) -> None:
        """Delete all blocks of `holder`."""
        self.replace(holder, ())
        self.held.pop(holder, None)

    def deepest(self, blocks: tuple[BlockHash, ...]) -> tuple[int, int]:
        """Return the longest cached prefix's length in blocks, and the bit mask of its holders.

        Cached prefixes have no gaps except due to delayed events, so bisection finds the length.
        """
        low, high = 0, len(blocks)
        while low < high:
            middle = (low + high + 1) // 2
            if blocks[middle - 1] in self.holders:
                low = middle
            else:
                high = middle - 1
        return (low, self.holders[blocks[low - 1]]) if low else (0, 0)

    def depth(self, holder: int, blocks: tuple[BlockHash, ...]) -> int:
        """Return how many leading blocks `holder` has."""
        held = self.held.get(holder)
        if not held:
            return 0
        low, high = 0, len(blocks)
        while low < high:
            middle = (low + high + 1) // 2
            if blocks[middle - 1] in held:
                low = middle
            else:
                high = middle - 1
        return low

    def _clear(self, holder: int, block: BlockHash) -> None:
        left = self.holders[block] & ~(1 << holder)
        if left:
            self.holders[block] = left
            return
        del self.holders[block]

    def _forget_oldest(self) -> None:
        block, bits = self.holders.popitem(last=False)
        for holder in numbers(bits):
            self.held[holder].discard(block)


def numbers(bits: int) -> Iterator[int]:
    """Return the positions of the bits that are set, in ascending order."""
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest
