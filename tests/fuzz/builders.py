"""Strategies for arbitrary and nearly valid input."""

import asyncio
import unittest

import hypothesis.strategies as st
import msgspec
from hypothesis import settings

FIXED = settings(derandomize=True, deadline=None, max_examples=150)
"""The same examples in every run, without a time limit for one example.

Hypothesis derives them from the source text of a test method, including its name and decorators, so
a change of that text changes the examples.
"""


def values(integers: st.SearchStrategy[int]) -> st.SearchStrategy:
    """Return a strategy for plain data of any shape."""
    return st.recursive(
        st.none() | st.booleans() | integers | st.floats() | st.text(max_size=20),
        lambda children: (
            st.lists(children, max_size=4)
            | st.dictionaries(st.text(max_size=12), children, max_size=4)
        ),
        max_leaves=12,
    )


json_values = values(st.integers())
packed_values = values(st.integers(-(2**63), 2**64 - 1)).map(msgspec.msgpack.encode)
"""Plain data that is encoded as messages between entries."""


@st.composite
def damaged(draw, content: bytes) -> bytes:
    """Draw `content` with a part of it removed, replaced or duplicated."""
    start = draw(st.integers(0, len(content)))
    end = draw(st.integers(start, min(len(content), start + 40)))
    replacement = draw(st.sampled_from([b"", content[start:end] * 2]) | st.binary(max_size=20))
    return content[:start] + replacement + content[end:]


class LoopCase(unittest.TestCase):
    """Base class that runs the coroutines of all examples of a class in one event loop."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)

    def run_async(self, coroutine):
        """Run a coroutine in the event loop of the class."""
        return self.runner.run(coroutine)
