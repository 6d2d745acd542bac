"""Tests that buffered metrics are rendered like the collectors of the metrics library."""

import unittest

from aioprometheus import Counter, Histogram, Registry
from aioprometheus.renderer import render
from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.base.buffered_metrics import BufferedCounter, BufferedHistogram

BOUNDS = (0.01, 0.1, 1.0, float("inf"))
LABELS = st.tuples(st.sampled_from(("a", "b")), st.sampled_from(("200", "503", 'quoted"')))


def rendered_lines(registry: Registry) -> set[str]:
    """Return the rendered lines of a registry."""
    content, _ = render(registry, ["text/plain"])
    return set(content.decode().splitlines())


class BufferedMetricsTest(unittest.TestCase):
    @given(st.lists(LABELS, min_size=1))
    def test_counts(self, added: list[tuple[str, str]]) -> None:
        direct = Registry()
        counts = BufferedCounter("answers", "Answers.", ("route", "status"))
        counter = Counter("answers", "Answers.", registry=direct)
        for route, status in added:
            counts.add(route, status)
            counter.inc({"route": route, "status": status})
            buffered = Registry()
            counts.publish(buffered)
            self.assertEqual(rendered_lines(buffered), rendered_lines(direct))

    @given(st.lists(st.tuples(st.sampled_from((0.0, 0.01, 0.05, 0.1, 7.5)), LABELS), min_size=1))
    def test_times(self, observed: list[tuple[float, tuple[str, str]]]) -> None:
        direct = Registry()
        times = BufferedHistogram("seconds", "Seconds.", BOUNDS, ("route", "status"))
        histogram = Histogram("seconds", "Seconds.", registry=direct, buckets=BOUNDS)
        for value, (route, status) in observed:
            times.observe(value, route, status)
            histogram.observe({"route": route, "status": status}, value)
            buffered = Registry()
            times.publish(buffered)
            self.assertEqual(rendered_lines(buffered), rendered_lines(direct))

    def test_without_labels(self) -> None:
        registry = Registry()
        times = BufferedHistogram("seconds", "Seconds.", BOUNDS)
        times.observe(0.5)
        times.publish(registry)
        self.assertIn("seconds_count 1.0", rendered_lines(registry))


if __name__ == "__main__":
    unittest.main()
