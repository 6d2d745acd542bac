"""Check the recorded history of a test run: one check for each guarantee that must always hold."""

from collections.abc import Callable

from waxwingglade.proof.check_answers import check_answers
from waxwingglade.proof.check_budget import check_budget
from waxwingglade.proof.check_config import check_config
from waxwingglade.proof.check_drain import check_drain
from waxwingglade.proof.check_effects import check_effects
from waxwingglade.proof.check_history import check_history
from waxwingglade.proof.check_leaving import check_leaving
from waxwingglade.proof.check_not_run import check_not_run
from waxwingglade.proof.check_order import check_order
from waxwingglade.proof.check_release import check_release
from waxwingglade.proof.history import History, load_history
from waxwingglade.proof.violation import Point, Violation

Check = Callable[[History], list[Violation]]

CHECKS: dict[Point, Check] = {
    Point.ORDER: check_order,
    Point.HISTORY: check_history,
    Point.BUDGET: check_budget,
    Point.RELEASE: check_release,
    Point.ANSWERS: check_answers,
    Point.NOT_RUN: check_not_run,
    Point.AT_MOST_ONCE: check_effects,
    Point.LEAVING: check_leaving,
    Point.DRAIN: check_drain,
    Point.CONFIG: check_config,
}
"""The check of each guarantee."""


def check_all(history: History) -> list[Violation]:
    """Return the violations that all checks find in a history."""
    return [violation for check in CHECKS.values() for violation in check(history)]


__all__ = [
    "CHECKS",
    "Check",
    "History",
    "Point",
    "Violation",
    "check_all",
    "check_answers",
    "check_budget",
    "check_config",
    "check_drain",
    "check_effects",
    "check_history",
    "check_leaving",
    "check_not_run",
    "check_order",
    "check_release",
    "load_history",
]
