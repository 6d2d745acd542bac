"""Counts and times that are cheap to take, and turned into metrics when a page of them is read.

A collector of the metrics library looks its labels up as JSON text each time.  A request adds to
some ten of them, and the page is read every few seconds, so the work is done there.
"""

from bisect import bisect_left
from collections import Counter, defaultdict
from itertools import accumulate

import msgspec
from aioprometheus import Counter as CounterCollector
from aioprometheus import Histogram as HistogramCollector
from aioprometheus import Registry
from aioprometheus.histogram import Histogram

Labels = tuple[str, ...]


class BufferedCounter:
    """A counter by labels.

    Parameters
    ----------
    registry : Registry
        Where it is shown.
    name, text : str
        Its name and what it counts.
    labels : tuple of str
        Names of its labels.
    """

    def __init__(self, registry: Registry, name: str, text: str, labels: Labels) -> None:
        self.collector = CounterCollector(name, text, registry=registry)
        self.labels = labels
        self.counts: Counter[Labels] = Counter()

    def add(self, *values: str) -> None:
        """Count one more with these values of the labels."""
        self.counts[values] += 1

    def publish(self) -> None:
        """Bring the collector up to date."""
        for values, count in self.counts.items():
            self.collector.set(dict(zip(self.labels, values, strict=True)), count)


class BucketCounts(msgspec.Struct):
    """Values with the same labels: how many lie in each bucket alone, and their sum."""

    counts: list[int]
    total: float = 0.0


class BufferedHistogram:
    """A histogram by labels.

    Parameters
    ----------
    registry : Registry
        Where it is shown.
    name, text : str
        Its name and what it holds.
    bounds : tuple of float
        Upper bounds of the buckets, the last one infinite.
    labels : tuple of str
        Names of its labels.
    """

    def __init__(
        self,
        registry: Registry,
        name: str,
        text: str,
        bounds: tuple[float, ...],
        labels: Labels = (),
    ) -> None:
        self.collector = HistogramCollector(name, text, registry=registry, buckets=bounds)
        self.bounds = bounds
        self.labels = labels
        self.observed: defaultdict[Labels, BucketCounts] = defaultdict(
            lambda: BucketCounts([0] * len(bounds))
        )

    def observe(self, value: float, *values: str) -> None:
        """Take in one value with these values of the labels."""
        observed = self.observed[values]
        observed.counts[bisect_left(self.bounds, value)] += 1
        observed.total += value

    def publish(self) -> None:
        """Bring the collector up to date."""
        for values, observed in self.observed.items():
            histogram = Histogram(*self.bounds)
            histogram.buckets = dict(zip(self.bounds, accumulate(observed.counts), strict=True))
            histogram.observations = sum(observed.counts)
            histogram.sum = observed.total
            self.collector.set_value(dict(zip(self.labels, values, strict=True)), histogram)


__all__ = ["BufferedCounter", "BufferedHistogram"]
