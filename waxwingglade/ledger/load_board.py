"""The loads that entries report to a member of the ledger, which tells them what others have.

All of it is kept in memory only: entries report again within a fraction of a second.
"""

import asyncio
from collections.abc import Callable, Iterable

from waxwingglade.base import Clock, monotonic
from waxwingglade.decisions.load_hubs import hubs_of
from waxwingglade.decisions.load_sums import MEMBER_INTERVAL_S, LoadSums
from waxwingglade.follow.model import Replica as Member
from waxwingglade.ledger.messages import MergeLoads, ReportLoad, SharedLoads

TELL_DELAY_S = 0.025
"""Seconds after a change until the other members are told, which collects the changes of this
time.  A fifth of a short turn: at a few hundred turns a second, a few are placed meanwhile."""

HEARD_S = 2.0
"""Seconds since the last report of another member up to which it is told of every change."""

UNHEARD_INTERVAL_S = 5.0
"""Seconds between two reports to a member that has sent none itself.  It may be of an older
version, to which they are errors, or no entry may report to it, and then it needs none."""


class LoadBoard:
    """The loads that are known to one member.

    Parameters
    ----------
    own : Member
        The replica of this process.
    members : callable
        Returns the members of the ledger.
    tell : callable
        Sends a message to a member, without an answer.
    clock : Clock
        Monotonic seconds.

    Attributes
    ----------
    heard_at, told_at : dict
        When each other member has last reported, and when it was last told, by its disk.
    told : int
        Number of reports to other members.
    """

    def __init__(
        self,
        own: Member,
        members: Callable[[], Iterable[Member]],
        tell: Callable[[Member, MergeLoads], None],
        clock: Clock = monotonic,
    ) -> None:
        self.own = own
        self.members = members
        self.tell = tell
        self.clock = clock
        self.sums = LoadSums(clock)
        self.heard_at: dict[str, float] = {}
        self.told_at: dict[str, float] = {}
        self.all_told_at = float("-inf")
        self.told = 0
        self.timer: asyncio.TimerHandle | None = None

    async def report(self, message: ReportLoad) -> SharedLoads | None:
        """Record the report of an entry, and return what others have if it asks."""
        self.sums.record(message.entry, message.loads, is_entry=True)
        if self.sums.changed:
            self._tell_soon()
        if not message.asks:
            return None
        if self.sums.is_learning:
            return SharedLoads()
        return SharedLoads(self.sums.loads_for(message.entry))

    async def merge(self, message: MergeLoads) -> None:
        """Record the report of another member."""
        self.heard_at[message.member] = self.clock()
        self.sums.record(message.member, message.loads, is_entry=False)

    def update(self) -> None:
        """Drop expired reports, and report to other members as often as they need it."""
        self.sums.expire()
        is_due = self.sums.entries and self.clock() - self.all_told_at >= MEMBER_INTERVAL_S
        if self.sums.changed or is_due:
            self._tell_members()

    def stop(self) -> None:
        """Report no more."""
        if self.timer is not None:
            self.timer.cancel()

    @property
    def reporting_members(self) -> int:
        """Number of other members whose reports count at present."""
        return len(self.sums.reports) - self.sums.entries

    def _tell_soon(self) -> None:
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(TELL_DELAY_S, self._tell_members)

    def _tell_members(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        now = self.all_told_at = self.clock()
        message = MergeLoads(self.own.disk, self.sums.take_entries_loads())
        for member in self._receivers():
            self.told_at[member.disk] = now
            self.told += 1
            self.tell(member, message)

    def _receivers(self) -> list[Member]:
        """Return the members to tell: those that report themselves, and at times all hubs."""
        now = self.clock()
        members = tuple(self.members())
        hubs = {hub.disk for hub in hubs_of(members)}
        receivers = []
        for member in members:
            if member.disk == self.own.disk:
                continue
            unheard_s = now - self.told_at.get(member.disk, float("-inf"))
            is_due = member.disk in hubs and unheard_s >= UNHEARD_INTERVAL_S
            if is_due or self._is_heard(member.disk):
                receivers.append(member)
        return receivers

    def _is_heard(self, disk: str) -> bool:
        return self.clock() - self.heard_at.get(disk, float("-inf")) < HEARD_S


__all__ = ["LoadBoard"]
