"""Check that engines hold no memory for programs that have ended."""

from waxwingglade.base import TargetId
from waxwingglade.proof.history import CacheReported, History
from waxwingglade.proof.index import ended_at, quiesced_at
from waxwingglade.proof.violation import Point, Violation


def check_release(history: History) -> list[Violation]:
    """Return the ended programs for which an engine still held memory in its last report."""
    last: dict[TargetId, CacheReported] = {}
    for report in history.of(CacheReported):
        if report.at >= quiesced_at(history):
            last[report.target] = report
    ended = ended_at(history)
    return [
        Violation(Point.RELEASE, program, f"{report.target} still holds memory for it", [report])
        for report in last.values()
        for program in report.programs
        if ended.get(program, report.at) < report.at
    ]
