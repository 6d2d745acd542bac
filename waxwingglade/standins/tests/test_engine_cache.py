"""Test the invariants of the engine stand-in's prefix cache."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.base import ProgramId
from waxwingglade.connection.tests.target_builders import FIXED
from waxwingglade.standins.engine_cache import PrefixCache
from waxwingglade.standins.engine_text import BLOCK_TOKENS, block_hashes
from waxwingglade.standins.tests.engine_builders import SimulatedTime

A, B = ProgramId("a"), ProgramId("b")
CAPACITY = 4
PREFIXES = {"x": list("123"), "y": list("124"), "z": list("56789"), "w": ["1"]}
STEP = st.tuples(
    st.sampled_from(["store", "release", "end"]),
    st.sampled_from([A, B]),
    st.sampled_from(sorted(PREFIXES)),
)


class PrefixCacheTest(unittest.TestCase):
    def setUp(self) -> None:
        self.time = SimulatedTime()
        self.cache = PrefixCache(CAPACITY, self.time.clock)

    @FIXED
    @given(st.lists(STEP, max_size=30))
    def test_invariants(self, steps: list[tuple[str, ProgramId, str]]) -> None:
        cache = PrefixCache(CAPACITY, self.time.clock)
        published: set[str] = set()
        cache.pin(PREFIXES["w"])
        for kind, program, name in steps:
            if kind == "end":
                cache.mark_ended(program)
                continue
            storing = kind == "store"
            change = cache.store(program, PREFIXES[name]) if storing else cache.release(program)
            published = (published | set(change.stored)) - set(change.removed)
            self.assertNotIn("1", change.removed)
            self.assertEqual(published, set(cache.holders))
            self.assertLessEqual(len(cache.holders), CAPACITY)
            held = {each: {b for b, by in cache.holders.items() if each in by} for each in (A, B)}
            self.assertEqual({k: v for k, v in held.items() if v}, cache.held)

    def test_shared_prefix_stays_until_its_last_holder_releases_it(self) -> None:
        self.cache.store(A, ["1", "2"])
        self.cache.store(B, ["1", "3"])
        self.assertEqual(["2"], self.cache.release(A).removed)
        self.assertEqual(1, self.cache.match(["1", "2"]))
        self.cache.release(B)
        self.assertEqual(0, self.cache.match(["1"]))

    def test_the_end_of_the_least_recently_used_prefix_is_evicted_first(self) -> None:
        self.cache.store(A, ["1", "2"])
        self.cache.store(B, ["3", "4"])
        self.assertEqual(["2"], self.cache.store(B, ["3", "4", "5"]).removed)
        self.assertEqual(1, self.cache.match(["1", "2"]))

    def test_memory_of_ended_programs_is_counted(self) -> None:
        self.cache.store(A, ["1", "2"])
        self.cache.store(B, ["1"])
        self.time.now = 10.0
        self.cache.mark_ended(A)
        self.time.now = 13.0
        # B still uses block 1; block 2 was held by an ended program for 3 s.
        self.assertEqual(3.0 * BLOCK_TOKENS, self.cache.wasted_token_seconds())
        self.cache.release(A)
        self.time.now = 20.0
        self.assertEqual(3.0 * BLOCK_TOKENS, self.cache.wasted_token_seconds())

    @FIXED
    @given(st.text(min_size=200, max_size=400), st.integers(0, 150))
    def test_hash_of_a_block_depends_on_all_before_it(self, text: str, position: int) -> None:
        changed = text[:position] + ("b" if text[position] == "a" else "a") + text[position + 1 :]
        first, second = block_hashes(text), block_hashes(changed)
        same = position // 64
        self.assertEqual(first[:same], second[:same])
        self.assertFalse(set(first[same:]) & set(second[same:]))


if __name__ == "__main__":
    unittest.main()
