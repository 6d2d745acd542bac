"""Prometheus metrics of an entry on a platform."""

from typing import TYPE_CHECKING

from waxwingglade.base.buffered_metrics import (
    BufferedCounter,
    BufferedHistogram,
    GaugeValues,
    Labels,
    LabelValues,
    render_page,
    state_gauge,
)
from waxwingglade.base.tasks import failures
from waxwingglade.follow.feed import LONGEST_AGE_S
from waxwingglade.transport import Finding

if TYPE_CHECKING:
    from waxwingglade.ingress.balance import Balancer
    from waxwingglade.ingress.entry import Ingress
    from waxwingglade.ingress.exchange import Exchange
    from waxwingglade.ingress.serving import Trace

PREFIX = "waxwingglade_ingress_"
SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.41, 1.0, 2.0, 3.0, 5.0, float("inf"))
"""Upper bounds of buckets in seconds, with the objectives for the first event, 0.2 and 0.41 s."""


class IngressMetrics:
    """Counters and histograms of one entry."""

    def __init__(self) -> None:
        self.routes = LabelValues()
        self.accounts = LabelValues()
        self.requests = self._count(
            "requests_total", "Answers by route and status.", "route", "status"
        )
        self.by_account = self._count(
            "account_requests_total", "Answers by client account and status.", "account", "status"
        )
        self.grants = self._count(
            "account_grants_total", "Grants within the limits of client accounts.", "account"
        )
        self.sends = self._count(
            "account_sends_total",
            "Sendings of requests that targets may have run, by client account.",
            "account",
        )
        self.refusals = self._count(
            "refusals_total", "Answers of this system by reason.", "route", "status"
        )
        self.attempts = self._count("attempts_total", "Sendings to targets by verdict.", "verdict")
        self.breaks = self._count(
            "broken_attempts_total", "Attempts with an incomplete answer by ending.", "ending"
        )
        self.aborted = self._count(
            "aborted_answers_total",
            "Connections closed instead of a complete answer, by the ending of the last attempt.",
            "route",
            "ending",
        )
        self.seconds = self._time(
            "request_seconds", "From a request's head to its answer's end.", "route"
        )
        self.first_event = self._time(
            "first_event_seconds", "To the first event of a stream.", "route"
        )
        self.reserve = self._time("reserve_seconds", "Waiting for the ledger to begin a turn.")
        self.keep = self._time("keep_seconds", "Waiting for the ledger to keep a turn.")
        self.task_failures = self._count(
            "task_failures_total", "Failures of tasks that were tried again.", "task"
        )
        self.task_failures.counts = failures
        self.buffered_metrics = (
            self.requests,
            self.by_account,
            self.grants,
            self.sends,
            self.refusals,
            self.attempts,
            self.breaks,
            self.aborted,
            self.seconds,
            self.first_event,
            self.reserve,
            self.keep,
            self.task_failures,
        )

    def _count(self, name: str, text: str, *labels: str) -> BufferedCounter:
        return BufferedCounter(PREFIX + name, text, labels)

    def _time(self, name: str, text: str, *labels: str) -> BufferedHistogram:
        return BufferedHistogram(PREFIX + name, text, SECONDS, labels)

    def record(self, exchange: "Exchange", trace: "Trace", seconds: float) -> None:
        """Record one request."""
        route = self.routes.label(trace.route)
        status = str(exchange.status)
        self.requests.add(route, status)
        self.seconds.observe(seconds, route)
        if trace.account:
            account = self.accounts.label(trace.account)
            self.by_account.add(account, status)
            self.grants.add(account, count=len(trace.grants))
            if trace.attempts is not None:
                self.sends.add(account, count=trace.attempts.possible_runs)
        if trace.first_event_s is not None:
            self.first_event.observe(trace.first_event_s, route)
        if trace.reserved_s is not None:
            self.reserve.observe(trace.reserved_s)
        if trace.kept_s is not None:
            self.keep.observe(trace.kept_s)
        if trace.reason:
            self.refusals.add(route, status)
        records = trace.attempts.records if trace.attempts else []
        if exchange.aborted:
            ending = records[-1].ending if records else None
            self.aborted.add(route, ending.value if ending else "none")
        for record in records:
            self.attempts.add(record.verdict.value if record.verdict else "open")
            if record.ending is not None:
                self.breaks.add(record.ending.value)

    def text(self, ingress: "Ingress") -> str:
        """Return all metrics in Prometheus's text format."""
        exchange = ingress.load_exchange
        facts = {
            "configuration_version": float(ingress.cached_view.view.version),
            "view_age_seconds": min(ingress.cached_view.age_s, LONGEST_AGE_S),
            "view_incomplete_seconds": min(ingress.cached_view.incomplete_s, LONGEST_AGE_S),
            "targets_revision": float(ingress.cached_view.view.targets.revision),
            "targets_checksum": float(ingress.cached_view.view.targets.checksum),
            "ledger_epoch": float(ingress.cached_view.view.replicas.epoch),
            "ledger_reached": float(ingress.reaches_ledger),
            "ready": float(ingress.ready),
            "running_requests": float(len(ingress.running)),
            "caller_connections": float(len(ingress.open_exchanges)),
            "target_connections_opened": float(ingress.pool.opened),
            "targets": float(len(ingress.balancer.states)),
            "suspect_requests": float(len(ingress.cached_view.suspects.failed)),
            "held_back": float(ingress.quarantine.held),
            "load_exchanges": float(exchange.outcomes[True]),
            "load_exchanges_failed": float(exchange.outcomes[False]),
            "load_exchange_lost": float(exchange.is_lost),
            "shared_loads_age_seconds": min(exchange.age_s, LONGEST_AGE_S),
            "loop_delay_seconds": ingress.loop_delay.longest_s,
        }
        for finding in Finding:
            facts[f"target_probes_{finding.name.lower()}"] = float(ingress.pool.findings[finding])
        state = state_gauge(PREFIX + "state", "What the entry believes, and its resources.", facts)
        return render_page([*self.buffered_metrics, state, target_gauge(ingress.balancer)])


def target_gauge(balancer: "Balancer") -> GaugeValues:
    """Return the gauge of the present targets that report their stretch."""
    now = balancer.clock()
    values: dict[Labels, float] = {}
    for target, state in balancer.states.items():
        if state.target.service not in balancer.uneven:
            continue
        report = state.stretch_report(now)
        facts = {
            "slowness": state.relative_slowness(now)[0],
            "slow_seconds": state.speed.slow_s(now),
            "stretch": report.stretch if report else 1.0,
            "own_tokens": float(state.tokens),
            "load": state.load(now),
        }
        values |= {(name, target): value for name, value in facts.items()}
    text = "Slowness, stretch, load and memory in tokens of targets that report their stretch."
    return GaugeValues(PREFIX + "target", text, ("name", "target"), values)


__all__ = ["IngressMetrics", "target_gauge"]
