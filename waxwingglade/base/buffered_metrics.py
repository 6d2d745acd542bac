"""Counters and histograms that are cheap to update and are converted when metrics are scraped.

A collector of the metrics library serializes its labels to JSON for each update.  A request updates
about ten collectors, while metrics are scraped only every few seconds, if at all, so the conversion
is done at the scrape.  The library is loaded with the first one, as it would lengthen each start.
"""

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterable
from itertools import accumulate
from typing import TYPE_CHECKING, NamedTuple

import msgspec

if TYPE_CHECKING:
    from aioprometheus import Registry

Labels = tuple[str, ...]

OTHER = "other"
MAX_LABEL_VALUES = 50
"""Maximum number of values of a label that have their own series, such as routes or client
accounts.  A configuration may have hundreds; the others share the series `OTHER`."""


class BufferedCounter:
    """A counter with labels.

    Parameters
    ----------
    name, text : str
        Name and help text of the metric.
    labels : tuple of str
        Names of the labels.
    """

    def __init__(self, name: str, text: str, labels: Labels) -> None:
        self.name = name
        self.text = text
        self.labels = labels
        self.counts: Counter[Labels] = Counter()

    def add(self, *values: str, count: int = 1) -> None:
        """Increase the counter for these label values."""
        self.counts[values] += count

    def publish(self, registry: "Registry") -> None:
        """Copy the current values to a new collector in a registry of the metrics library."""
        from aioprometheus import Counter as CounterCollector  # noqa: PLC0415

        collector = CounterCollector(self.name, self.text, registry=registry)
        for values, count in self.counts.items():
            collector.set(dict(zip(self.labels, values, strict=True)), count)


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
    name, text : str
        Name and help text of the metric.
    bounds : tuple of float
        Upper bounds of the buckets; the last one is infinite.
    labels : tuple of str
        Names of the labels.
    """

    def __init__(
        self,
        name: str,
        text: str,
        bounds: tuple[float, ...],
        labels: Labels = (),
    ) -> None:
        self.name = name
        self.text = text
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

    def publish(self, registry: "Registry") -> None:
        """Copy the current values to a new collector in a registry of the metrics library."""
        from aioprometheus import Histogram as HistogramCollector  # noqa: PLC0415
        from aioprometheus.histogram import Histogram  # noqa: PLC0415

        collector = HistogramCollector(self.name, self.text, registry=registry, buckets=self.bounds)
        for values, observed in self.observed.items():
            histogram = Histogram(*self.bounds)
            histogram.buckets = dict(zip(self.bounds, accumulate(observed.counts), strict=True))
            histogram.observations = sum(observed.counts)
            histogram.sum = observed.total
            collector.set_value(dict(zip(self.labels, values, strict=True)), histogram)


class GaugeValues(NamedTuple):
    """Current values of a gauge with labels."""

    name: str
    text: str
    labels: Labels
    values: dict[Labels, float]

    def publish(self, registry: "Registry") -> None:
        """Set the values in a new collector in a registry of the metrics library."""
        from aioprometheus import Gauge  # noqa: PLC0415

        gauge = Gauge(self.name, self.text, registry=registry)
        for labels, value in self.values.items():
            gauge.set(dict(zip(self.labels, labels, strict=True)), value)


def state_gauge(name: str, text: str, facts: dict[str, float]) -> GaugeValues:
    """Return a gauge of facts about a process, with the label ``name``."""
    return GaugeValues(name, text, ("name",), {(fact,): value for fact, value in facts.items()})


def render_page(metrics: Iterable[BufferedCounter | BufferedHistogram | GaugeValues]) -> str:
    """Return a page with metrics in Prometheus's text format."""
    from aioprometheus import Registry  # noqa: PLC0415
    from aioprometheus.renderer import render  # noqa: PLC0415

    registry = Registry()
    for metric in metrics:
        metric.publish(registry)
    content, _ = render(registry, ["text/plain"])
    return content.decode()


__all__ = [
    "MAX_LABEL_VALUES",
    "OTHER",
    "BufferedCounter",
    "BufferedHistogram",
    "GaugeValues",
    "LabelValues",
    "render_page",
    "state_gauge",
]
