"""Telling the zone's entries what their targets have loaded.

The entry that gives the orders sends what changed, and everything to an entry that is new to it.
An entry keeps what it was told last, also while nobody gives orders.
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

TELL_TIMEOUT_S = 1.0


def apply_reports(entry: Entry, reports: list[TargetReport]) -> None:
    """Take in reports that are newer than those known, and route by them."""
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
    """Return whether a report came after another: messages can overtake each other."""
    if known is None:
        return True
    return (report.fencing, report.number) > (known.fencing, known.number)


class Reporter:
    """Reports of one holder of the duty.

    Parameters
    ----------
    fencing : int
        Fencing number of the holder.
    members, links : Members, PeerLinks
        The entries, and the connections to them.
    take : callable
        Takes reports in at this entry.
    """

    def __init__(
        self,
        fencing: int,
        members: Members,
        links: PeerLinks,
        take: Callable[[list[TargetReport]], None],
    ) -> None:
        self.fencing = fencing
        self.members = members
        self.links = links
        self.take = take
        self.number = 0
        self.reports: dict[TargetId, TargetReport] = {}
        self.told: dict[Incarnation, int] = {}

    async def report(self, report: TargetReport) -> None:
        """Tell this entry and the others of the zone, if the report says anything new."""
        known = self.reports.get(report.target)
        if known is not None and known == msgspec.structs.replace(report, number=known.number):
            return
        self.number += 1
        numbered = msgspec.structs.replace(report, number=self.number)
        self.reports[report.target] = numbered
        self.take([numbered])
        await self.send_to_all()

    async def send_to_all(self) -> None:
        """Send every entry of the zone what it lacks."""
        own = self.members.own
        peers = [each for each in self.members.known() if each.zone == own.zone and each != own]
        behind = [each for each in peers if self.told.get(each.incarnation, 0) < self.number]
        await asyncio.gather(*(self._tell(each) for each in behind))

    async def _tell(self, peer: EntryRef) -> None:
        told, number = self.told.get(peer.incarnation, 0), self.number
        lacking = [each for each in self.reports.values() if each.number > told]
        link = self.links.to(peer.peer_address, peer.incarnation)
        answer = await link.request(TargetReports(lacking), TELL_TIMEOUT_S)
        if answer.is_ok() and isinstance(answer.ok_value, Noted):
            self.told[peer.incarnation] = max(number, self.told.get(peer.incarnation, 0))
