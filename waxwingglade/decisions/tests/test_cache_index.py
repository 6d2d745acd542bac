"""The cache index, compared with a simple model."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingglade.decisions.cache_index import CacheIndex, numbers
from waxwingglade.decisions.tests.rule_builders import BLOCKS
from waxwingglade.decisions.work import BlockHash

HOLDERS = range(4)
PROMPTS = [tuple(BlockHash(10 * prompt + place) for place in range(6)) for prompt in range(3)]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["add", "shorten", "replace", "drop"]),
        st.sampled_from(HOLDERS),
        st.sampled_from(PROMPTS),
        st.integers(0, 6),
    ),
    max_size=30,
)


def play(index, held, step):
    """Apply a step to the index and the model; the held blocks stay a prefix of each prompt."""
    action, holder, prompt, depth = step
    if action == "add":
        index.add(holder, prompt[:depth])
        held[holder] |= set(prompt[:depth])
    elif action == "shorten":
        index.remove(holder, prompt[depth:])
        held[holder] -= set(prompt[depth:])
    elif action == "replace":
        index.replace(holder, prompt[:depth])
        held[holder] = set(prompt[:depth])
    else:
        index.drop(holder)
        held[holder] = set()


def count_leading(held, prompt):
    """Count the leading blocks that are held."""
    return next((place for place, block in enumerate(prompt) if block not in held), len(prompt))


class CacheIndexTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(STEPS)
    def test_depths_and_holders_match_the_model(self, steps):
        index, held = CacheIndex(1000), {holder: set() for holder in HOLDERS}
        for step in steps:
            play(index, held, step)
        for prompt in PROMPTS:
            depths = {holder: count_leading(held[holder], prompt) for holder in HOLDERS}
            found = {holder: index.depth(holder, prompt) for holder in HOLDERS}
            self.assertEqual(depths, found)
            most = max(depths.values())
            best = [holder for holder in HOLDERS if most and depths[holder] == most]
            depth, bits = index.deepest(prompt)
            self.assertEqual((most, best), (depth, list(numbers(bits))))

    @settings(derandomize=True, deadline=None)
    @given(STEPS, st.integers(1, 8))
    def test_a_bounded_index_has_no_wrong_blocks(self, steps, bound):
        index, held = CacheIndex(bound), {holder: set() for holder in HOLDERS}
        for step in steps:
            play(index, held, step)
            self.assertLessEqual(len(index.holders), bound)
        for holder, blocks in index.held.items():
            self.assertLessEqual(blocks, held[holder])
            indexed = {block for block, bits in index.holders.items() if bits >> holder & 1}
            self.assertEqual(indexed, blocks)

    def test_the_least_recently_used_blocks_are_evicted_first(self):
        index = CacheIndex(3)
        index.add(0, BLOCKS[:3])
        index.add(1, BLOCKS[:1])
        index.add(0, BLOCKS[3:])
        self.assertEqual({BLOCKS[0], BLOCKS[2], BLOCKS[3]}, set(index.holders))
