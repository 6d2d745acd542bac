"""The log line of an entry for each request, with its outcome and the data behind it."""

from typing import Any

import msgspec
from loguru import logger

from waxwingglade.base import monotonic
from waxwingglade.base.logs import Sampler
from waxwingglade.base.loop_delay import STALL_S, LoopDelay
from waxwingglade.follow.feed import LONGEST_AGE_S, CachedView
from waxwingglade.ingress.attempt import AttemptRecord
from waxwingglade.ingress.exchange import Exchange
from waxwingglade.ingress.fingerprint import fingerprint_of
from waxwingglade.ingress.quorum_monitor import QuorumMonitor
from waxwingglade.ingress.serving import Trace, TracedGrant

SUCCESSES_LOGGED_PER_S = 20.0
"""Maximum lines per second for successful requests; failures have a separate limit."""

FAILURES_LOGGED_PER_S = 50.0


class RequestLog:
    """Writes one line for each request, up to a rate limit.

    Parameters
    ----------
    cached_view : CachedView
        The cached view of the platform's state.
    quorum_monitor : QuorumMonitor
        Whether a majority of the ledger is reachable.
    loop_delay : LoopDelay
        Delay of the event loop.
    """

    def __init__(
        self, cached_view: CachedView, quorum_monitor: QuorumMonitor, loop_delay: LoopDelay
    ) -> None:
        self.cached_view = cached_view
        self.quorum_monitor = quorum_monitor
        self.loop_delay = loop_delay
        self.successes = Sampler(SUCCESSES_LOGGED_PER_S)
        self.failures = Sampler(FAILURES_LOGGED_PER_S)

    def record(self, exchange: Exchange, trace: Trace, seconds: float) -> None:
        """Log a request that ended after some seconds.

        Empty fields are omitted, so that a log of limited size covers a longer time.
        """
        good = 200 <= exchange.status < 300 and not trace.reason
        sampler = self.successes if good else self.failures
        if not sampler.allows():
            return
        call = trace.call
        records = trace.attempts.records if trace.attempts else []
        failed = not good or any(record.ending for record in records)
        fields = {
            "request": call.request if call else "",
            "program": call.program if call else None,
            "previous": call.previous_turn if call else None,
            "fingerprint": fingerprint_of(call) if call and failed else None,
            "route": trace.route,
            "account": trace.account,
            "version": trace.version,
            "view_age_s": round(min(self.cached_view.age_s, LONGEST_AGE_S), 2),
            "incomplete_s": round(min(self.cached_view.incomplete_s, LONGEST_AGE_S), 2),
            "epoch": self.cached_view.view.replicas.epoch,
            "status": exchange.status,
            "reason": trace.reason,
            "seconds": round(seconds, 4),
            "first_event_s": trace.first_event_s,
            "reserved_s": trace.reserved_s,
            "confirmed_s": trace.confirmed_s,
            "kept_s": trace.kept_s,
            "events": trace.events,
            "grants": [_grant(each) for each in trace.grants],
            "attempts": [_attempt(record) for record in records],
            **(self._surroundings(trace, seconds) if failed else {}),
            "left_out": sampler.take_left_out(),
        }
        logger.bind(**_without_empty(fields)).info("request")

    def _surroundings(self, trace: Trace, seconds: float) -> dict[str, Any]:
        """Return what changed in this process while a request was served."""
        monitor, delay_s = self.quorum_monitor, self.loop_delay.longest_s
        lost_s = monotonic() - monitor.lost_at
        was_lost = not monitor.has_quorum or lost_s < seconds
        in_force = self.cached_view.view.version
        return {
            "later_version": in_force if in_force != trace.version else None,
            "quorum": None if monitor.has_quorum else "lost",
            "quorum_lost_s": max(0.001, round(lost_s, 3)) if was_lost else None,
            "loop_delay_s": round(delay_s, 2) if delay_s >= STALL_S else None,
        }


def _grant(traced: TracedGrant) -> dict[str, Any]:
    return {"after_s": traced.after_s, **msgspec.structs.asdict(traced.grant)}


def _attempt(record: AttemptRecord) -> dict[str, Any]:
    return _without_empty(
        {
            "target": record.target,
            "load": record.load,
            "load_age_s": record.load_age_s,
            "targets_revision": record.targets_revision,
            "read_tokens": record.prefill_tokens,
            "connect_s": record.connect_s,
            "verdict": record.verdict.value if record.verdict else None,
            "status": record.status,
            "reason": record.reason,
            "seconds": record.seconds,
            "ending": record.ending.value if record.ending else None,
            "siblings_lost": record.siblings.lost if record.siblings else 0,
            "siblings_open": record.siblings.open if record.siblings else 0,
            "silent_s": round(record.inactivity.seconds, 2) if record.inactivity else 0,
            "others_heard": record.inactivity.others if record.inactivity else 0,
            "probe": record.finding.value if record.finding else None,
            "failed_before": record.failed_before,
            "pending_before": record.pending_before,
            "effect": record.effect.value if record.effect else None,
        }
    )


def _without_empty(fields: dict[str, Any]) -> dict[str, Any]:
    """Return the fields that are neither empty nor zero."""
    return {name: value for name, value in fields.items() if value}


__all__ = ["RequestLog"]
