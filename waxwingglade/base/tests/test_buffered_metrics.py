"""What is counted here is shown as the metrics library itself would show it."""

import unittest

from aioprometheus import Counter, Histogram, Registry
from aioprometheus.renderer import render
from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.base.buffered_metrics import BufferedCounter, BufferedHistogram

BOUNDS = (0.01, 0.1, 1.0, float("inf"))
LABELS = st.tuples(st.sampled_from(("a", "b")), st.sampled_from(("200", "503", 'quoted"')))


def page(registry: Registry) -> set[str]:
    """Return the lines of a registry's page."""
    content, _ = render(registry, ["text/plain"])
    return set(content.decode().splitlines())


class BufferedMetricsTest(unittest.TestCase):
    @given(st.lists(LABELS, min_size=1))
    def test_counts(self, added: list[tuple[str, str]]) -> None:
        ours, theirs = Registry(), Registry()
        counts = BufferedCounter(ours, "answers", "Answers.", ("route", "status"))
        counter = Counter("answers", "Answers.", registry=theirs)
        for route, status in added:
            counts.add(route, status)
            counter.inc({"route": route, "status": status})
            counts.publish()
        self.assertEqual(page(ours), page(theirs))

    @given(st.lists(st.tuples(st.sampled_from((0.0, 0.01, 0.05, 0.1, 7.5)), LABELS), min_size=1))
    def test_times(self, observed: list[tuple[float, tuple[str, str]]]) -> None:
        ours, theirs = Registry(), Registry()
        times = BufferedHistogram(ours, "seconds", "Seconds.", BOUNDS, ("route", "status"))
        histogram = Histogram("seconds", "Seconds.", registry=theirs, buckets=BOUNDS)
        for value, (route, status) in observed:
            times.observe(value, route, status)
            histogram.observe({"route": route, "status": status}, value)
            times.publish()
        self.assertEqual(page(ours), page(theirs))

    def test_without_labels(self) -> None:
        registry = Registry()
        times = BufferedHistogram(registry, "seconds", "Seconds.", BOUNDS)
        times.observe(0.5)
        times.publish()
        self.assertIn("seconds_count 1.0", page(registry))


if __name__ == "__main__":
    unittest.main()
