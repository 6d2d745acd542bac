"""Prometheus metrics of a ledger process."""

from typing import TYPE_CHECKING

from waxwingglade.base.buffered_metrics import (
    BufferedCounter,
    BufferedHistogram,
    render_page,
    state_gauge,
)
from waxwingglade.base.tasks import failures
from waxwingglade.follow.feed import LONGEST_AGE_S

if TYPE_CHECKING:
    from waxwingglade.ledger.node import LedgerNode

PREFIX = "waxwingglade_ledger_"
SECONDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, float("inf"))
"""Upper bounds of the histogram in seconds; a round between zones takes 3 to 8 ms."""


class LedgerMetrics:
    """Counters and histograms of one ledger process."""

    def __init__(self) -> None:
        self.answers = BufferedCounter(
            PREFIX + "answers_total",
            "Answers by request and kind.",
            ("request", "answer"),
        )
        self.seconds = BufferedHistogram(
            PREFIX + "seconds", "Time of an answer.", SECONDS, ("request",)
        )
        self.quota_answers = BufferedCounter(
            PREFIX + "quota_answers_total",
            "Requests of client accounts with a limit, by account and answer.",
            ("account", "answer"),
        )
        self.task_failures = BufferedCounter(
            PREFIX + "task_failures_total", "Failures of tasks that were tried again.", ("task",)
        )
        self.task_failures.counts = failures

    def record(self, request: str, answer: str, seconds: float) -> None:
        """Count one answer."""
        self.answers.add(request, answer)
        self.seconds.observe(seconds, request)

    def text(self, node: "LedgerNode") -> str:
        """Return all metrics in Prometheus's text format."""
        replica, journal = node.replica, node.replica.journal
        values = {
            "grants_quota": node.quotas.may_grant,
            "turns": len(replica.turns),
            "unexpired_turns": replica.index.count_unexpired(replica.wall_clock()),
            "turn_gaps": len(replica.index.gaps),
            "turns_repaired": node.turn_repair.repaired,
            "accounts": len(replica.slots),
            "unsettled_ends": len(replica.unresolved_ends),
            "failed_requests": len(replica.failures.records),
            "held_requests": sum(each.is_held for each in replica.failures.records.values()),
            "members": len(replica.replicas.members),
            "epoch": replica.replicas.epoch,
            "settled": replica.replicas.settled,
            "quorum": node.membership.quorum,
            "view_age_seconds": min(node.cached_view.age_s, LONGEST_AGE_S),
            "targets_revision": node.cached_view.view.targets.revision,
            "targets_checksum": node.cached_view.view.targets.checksum,
            "store_revision": node.watcher.revision,
            "store_gaps": node.watcher.gaps,
            "store_content_age_seconds": min(node.watcher.content_age_s, LONGEST_AGE_S),
            "configuration_version": node.cached_view.view.version,
            "load_reporting_entries": node.load_board.sums.entries,
            "load_reporting_members": node.load_board.reporting_members,
            "load_reports_to_members": node.load_board.told,
            "disk_bytes": sum(journal.segments.values()),
            "disk_flushes": journal.flushes,
            "disk_longest_flush_seconds": journal.longest_flush_s,
            "disk_failing": journal.failing,
            "journal_failed": journal.failure is not None,
            "loop_delay_seconds": node.loop_delay.longest_s,
        }
        for purpose, calls in node.store.calls.items():
            values[f"store_calls_{purpose}"] = calls
        self.quota_answers.counts = node.quotas.usage.answers
        facts = {name: float(value) for name, value in values.items()}
        state = state_gauge(PREFIX + "state", "What the process holds and believes.", facts)
        buffered = (self.answers, self.seconds, self.quota_answers, self.task_failures)
        return render_page((*buffered, state))


__all__ = ["LedgerMetrics"]
