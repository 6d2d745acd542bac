"""Counters and histograms of an entry, for Prometheus."""

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from waxwingglade.base import ClassName, Clock, Failure, TenantId, monotonic
from waxwingglade.program import Created

PREFIX = "waxwingglade_"
OTHER_CLASS = "other"
MAX_CLASSES = 50
"""Program classes of a tenant that get their own series.  Limited because callers choose the
names of classes."""

TOKEN_BUCKETS_S = (0.005, 0.01, 0.02, 0.028, 0.05, 0.1, 0.2, 0.41, 1.0, 2.0, 5.0, float("inf"))
CALL_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.41, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, float("inf"))
PROGRAM_BUCKETS_S = (
    0.1,
    0.5,
    1.0,
    3.0,
    10.0,
    30.0,
    60.0,
    120.0,
    300.0,
    900.0,
    3600.0,
    float("inf"),
)
"""Upper bounds in seconds.  They include the goals of 0.41 s to the first token and 28 ms between
tokens."""

Labels = dict[str, str]


class Metrics:
    """Counters and histograms of one entry.

    Parameters
    ----------
    clock : Clock
        Monotonic time in seconds.
    """

    def __init__(self, clock: Clock = monotonic) -> None:
        self.clock = clock
        self.registry = Registry()
        self.labels_by_class: dict[TenantId, dict[ClassName, Labels]] = {}
        self.first_token = self._histogram(
            "first_token_seconds", "From the arrival of a model call to its text.", TOKEN_BUCKETS_S
        )
        self.between_tokens = self._histogram(
            "between_tokens_seconds", "Between pieces of generated text.", TOKEN_BUCKETS_S
        )
        self.queue_wait = self._histogram(
            "queue_wait_seconds", "Wait of a call for a target.", CALL_BUCKETS_S
        )
        self.call = self._histogram(
            "call_seconds", "From the arrival of a call to its durable outcome.", CALL_BUCKETS_S
        )
        self.program = self._histogram(
            "program_seconds", "From the creation of a program to its end.", PROGRAM_BUCKETS_S
        )
        self.refusals = self._counter("refusals_total", "Failures answered, by code and verdict.")
        self.store_calls = self._counter("store_calls_total", "Calls to the store, by purpose.")
        self.takeovers = self._counter("takeovers_total", "Logs taken over from other entries.")
        self.peer_bytes = self._counter("peer_bytes_total", "Bytes to and from other entries.")
        self.programs = self._gauge("programs", "Programs in the logs owned here, by state.")
        self.config_version = self._gauge("config_version", "Configuration version in force.")
        self.peers = self._gauge("peers_alive", "Other entries that are alive.")

    # --- observing ----------------------------------------------------------------------------

    def observe_queue_wait(self, created: Created, seconds: float) -> None:
        """Record how long a call waited for a target."""
        self.queue_wait.observe(self.labels(created), seconds)

    def text_timer(self, created: Created) -> Callable[[], None]:
        """Return a function to call at each piece of text of a call that begins now."""
        labels = self.labels(created)
        last_at = self.clock()
        histogram = self.first_token

        def observe_text() -> None:
            nonlocal last_at, histogram
            now = self.clock()
            histogram.observe(labels, now - last_at)
            last_at = now
            histogram = self.between_tokens

        return observe_text

    def observe_call(self, created: Created, seconds: float) -> None:
        """Record the duration of a call."""
        self.call.observe(self.labels(created), seconds)

    def observe_program(self, created: Created, ended_at: float) -> None:
        """Record the duration of a program; `ended_at` is in seconds since 1970."""
        self.program.observe(self.labels(created), max(0.0, ended_at - created.created_at))

    def count_refusal(self, failure: Failure) -> None:
        """Count a failure that was sent as an answer."""
        self.refusals.inc({"code": failure.code.value, "verdict": failure.verdict.value})

    # --- reading ------------------------------------------------------------------------------

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the format that an Accept header requests, and the headers."""
        return render(self.registry, [accept])

    def labels(self, created: Created) -> Labels:
        """Return the labels of a program."""
        classes = self.labels_by_class.setdefault(created.tenant, {})
        name = created.program_class
        if name not in classes and len(classes) >= MAX_CLASSES:
            name = ClassName(OTHER_CLASS)
        return classes.setdefault(name, {"tenant": created.tenant, "class": name})

    def _histogram(self, name: str, text: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(PREFIX + name, text, registry=self.registry, buckets=buckets)

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(PREFIX + name, text, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(PREFIX + name, text, registry=self.registry)
