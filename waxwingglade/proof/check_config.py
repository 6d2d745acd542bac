"""Check that an accepted configuration is in force everywhere within seconds and never reverts."""

from waxwingglade.base import ConfigVersion, EntryId
from waxwingglade.proof.history import (
    ConfigAccepted,
    ConfigInForce,
    EntryDown,
    EntryUp,
    History,
)
from waxwingglade.proof.violation import Point, Violation

PROPAGATION_LIMIT_S = 6.0
"""Seconds from the acceptance of a version until all entries serve under it."""


def check_config(history: History) -> list[Violation]:
    """Return the entries that reverted, were late or had other contents under the same version."""
    return [*_reverted(history), *_late(history), *_differing(history)]


def _by_entry(history: History) -> dict[EntryId, list[ConfigInForce]]:
    reports: dict[EntryId, list[ConfigInForce]] = {}
    for each in history.of(ConfigInForce):
        reports.setdefault(each.entry, []).append(each)
    return reports


def _reverted(history: History) -> list[Violation]:
    found = []
    for entry, reports in _by_entry(history).items():
        highest = reports[0]
        for each in reports[1:]:
            if each.version < highest.version:
                text = f"version {each.version} came into force after {highest.version}"
                found.append(Violation(Point.CONFIG, entry, text, [highest, each]))
            highest = max(highest, each, key=lambda report: report.version)
    return found


def _late(history: History) -> list[Violation]:
    """Return the entries that were reachable all the time and still served an older version.

    A report later than the allowed time after an acceptance must name that version or a newer one,
    unless the entry was down, partitioned or reachable again for less than that time.
    """
    found = []
    accepted = history.of(ConfigAccepted)
    for entry, reports in _by_entry(history).items():
        states = [each for each in history.of(EntryUp, EntryDown) if each.entry == entry]
        for report in reports:
            reached_since = _reached_since(states, report.at)
            found += _missing(report, accepted, reached_since)
    return found


def _missing(
    report: ConfigInForce, accepted: list[ConfigAccepted], reached_since: float
) -> list[Violation]:
    """Return the violation if a report names a version that was outdated for too long."""
    due = [
        each for each in accepted if max(each.at, reached_since) + PROPAGATION_LIMIT_S < report.at
    ]
    newest = max(due, key=lambda each: each.version, default=None)
    if newest is None or report.version >= newest.version:
        return []
    text = (
        f"version {report.version} in force {report.at - newest.at:.1f} s "
        f"after version {newest.version} was accepted"
    )
    return [Violation(Point.CONFIG, report.entry, text, [newest, report])]


def _reached_since(states: list[EntryUp | EntryDown], at: float) -> float:
    """Return since when an entry had been reachable without interruption at a time."""
    since = 0.0
    for each in states:
        if each.at <= at:
            since = each.at if isinstance(each, EntryUp) else float("inf")
    return since


def _differing(history: History) -> list[Violation]:
    digests: dict[ConfigVersion, str] = {}
    found = []
    for each in history.of(ConfigAccepted, ConfigInForce):
        if not each.digest:
            continue
        known = digests.setdefault(each.version, each.digest)
        if known != each.digest:
            subject = f"version {each.version}"
            found.append(Violation(Point.CONFIG, subject, "it has two different contents", [each]))
    return found
