"""Counters and histograms that are cheap to update and are converted when metrics are scraped.

A collector of the metrics library serializes its labels to JSON for each update.  A request updates
about ten collectors, while metrics are scraped only every few seconds, so the conversion is done at
the scrape.
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

OTHER = "other"
MAX_LABEL_VALUES = 50
"""Maximum number of values of a label that have their own series, such as routes or client
accounts.  A configuration may have hundreds; the others share the series `OTHER`."""


class BufferedCounter:
    """A counter with labels.

    Parameters
    ----------
    registry : Registry
        Registry in which the metric is registered.
    name, text : str
        Name and help text of the metric.
    labels : tuple of str
        Names of the labels.
    """

    def __init__(self, registry: Registry, name: str, text: str, labels: Labels) -> None:
        self.collector = CounterCollector(name, text, registry=registry)
        self.labels = labels
        self.counts: Counter[Labels] = Counter()

    def add(self, *values: str, count: int = 1) -> None:
        """Increase the counter for these label values."""
        self.counts[values] += count

    def publish(self) -> None:
        """Copy the current values to the collector of the metrics library."""
        for values, count in self.counts.items():
            self.collector.set(dict(zip(self.labels, values, strict=True)), count)


class LabelValues:
    """The values of a label that have their own series; all others share the series `OTHER`."""

    def __init__(self) -> None:
        self.known: set[str] = set()

    def label(self, name: str) -> str:
        """Return the label value of a name: the name itself for the first ones, else `OTHER`."""
        if name in self.known:
            return name
        if len(self.known) >= MAX_LABEL_VALUES:
            return OTHER
        self.known.add(name)
        return name


class BucketCounts(msgspec.Struct):
    """Observations with the same labels: the count of each bucket, not cumulative, and the sum."""

    counts: list[int]
    total: float = 0.0


class BufferedHistogram:
    """A histogram with labels.

    Parameters
    ----------
    registry : Registry
        Registry in which the metric is registered.
    name, text : str
        Name and help text of the metric.
    bounds : tuple of float
        Upper bounds of the buckets; the last one is infinite.
    labels : tuple of str
        Names of the labels.
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
        """Record one value for these label values."""
        observed = self.observed[values]
        observed.counts[bisect_left(self.bounds, value)] += 1
        observed.total += value

    def publish(self) -> None:
        """Copy the current values to the collector of the metrics library."""
        for values, observed in self.observed.items():
            histogram = Histogram(*self.bounds)
            histogram.buckets = dict(zip(self.bounds, accumulate(observed.counts), strict=True))
            histogram.observations = sum(observed.counts)
            histogram.sum = observed.total
            self.collector.set_value(dict(zip(self.labels, values, strict=True)), histogram)


__all__ = [
    "MAX_LABEL_VALUES",
    "OTHER",
    "BufferedCounter",
    "BufferedHistogram",
    "LabelValues",
]
