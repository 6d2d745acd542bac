"""Reports to the zone's entries which models and adapters their targets have loaded.

The entry that gives the orders sends changed reports, and all reports to an entry that is new to
it.  An entry retains the last reports that it received, even while no entry gives orders.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from waxwingglade.base import EntryRef, Incarnation, TargetId
from waxwingglade.connection.peer import PeerLinks
from waxwingglade.connection.peer_messages import Noted, TargetReport, TargetReports
from waxwingglade.process.members import Members

if TYPE_CHECKING:
    from waxwingglade.process.entry import Entry

SEND_TIMEOUT_S = 1.0


def apply_reports(entry: Entry, reports: list[TargetReport]) -> None:
    """Store reports that are newer than the known ones, and use them for routing."""
    for report in reports:
        known = entry.target_reports.get(report.target)
        if report.target not in entry.targets or not _is_newer(report, known):
            continue
        entry.target_reports[report.target] = report
        models = report.serving
        if models is None:
            models = entry.targets[report.target].models
        entry.dispatcher.set_models(report.target, models)


def _is_newer(report: TargetReport, known: TargetReport | None) -> bool:
    """Return whether a report is newer than another, since messages can arrive out of order."""
    if known is None:
        return True
    return (report.fencing, report.number) > (known.fencing, known.number)


class Reporter:
    """Distributes the reports of one holder of the duty.

    Parameters
    ----------
    fencing : int
        Fencing number of the holder.
    members, links : Members, PeerLinks
        The entries, and the connections to them.
    apply : callable
        Applies reports at this entry.
    """

    def __init__(
        self,
        fencing: int,
        members: Members,
        links: PeerLinks,
        apply: Callable[[list[TargetReport]], None],
    ) -> None:
        self.fencing = fencing
        self.members = members
        self.links = links
        self.apply = apply
        self.number = 0
        self.reports: dict[TargetId, TargetReport] = {}
        self.acknowledged: dict[Incarnation, int] = {}

    async def report(self, report: TargetReport) -> None:
        """Send a report to this entry and the others of the zone, if its content is new."""
        known = self.reports.get(report.target)
        if known is not None and known == msgspec.structs.replace(report, number=known.number):
            return
        self.number += 1
        numbered = msgspec.structs.replace(report, number=self.number)
        self.reports[report.target] = numbered
        self.apply([numbered])
        await self.send_to_all()

    async def send_to_all(self) -> None:
        """Send each entry of the zone the reports that it lacks."""
        own = self.members.own
        peers = [
            each for each in self.members.alive_refs() if each.zone == own.zone and each != own
        ]
        behind = [
            each for each in peers if self.acknowledged.get(each.incarnation, 0) < self.number
        ]
        await asyncio.gather(*(self._send(each) for each in behind))

    async def _send(self, peer: EntryRef) -> None:
        acknowledged, number = self.acknowledged.get(peer.incarnation, 0), self.number
        missing = [each for each in self.reports.values() if each.number > acknowledged]
        link = self.links.to(peer.peer_address, peer.incarnation)
        answer = await link.request(TargetReports(missing), SEND_TIMEOUT_S)
        if answer.is_ok() and isinstance(answer.ok_value, Noted):
            self.acknowledged[peer.incarnation] = max(
                number, self.acknowledged.get(peer.incarnation, 0)
            )
