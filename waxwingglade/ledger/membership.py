"""The set of members of the ledger, agreed on through the platform's store.

The store holds the set of members under one key.  A set changes by one member at a time, by
compare-and-swap, and only once it is settled.  A set is settled when a majority of its members has
read the data of the others.  From then on these members refuse requests under older sets, so every
majority of a set includes a member that has all data that earlier sets acknowledged.

A wiped disk gets a new name and counts as a new member.  It reads the data of the others and joins;
then the member with its old name is removed.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
from loguru import logger

from waxwingglade.base import Clock, WaxwinggladeError, monotonic
from waxwingglade.base.tasks import run_detached, run_forever
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.follow.store import Store
from waxwingglade.follow.watcher import Watcher
from waxwingglade.ledger.candidacy import Candidacy
from waxwingglade.ledger.catch_up import catch_up
from waxwingglade.ledger.messages import (
    Failures,
    ListFailures,
    Ping,
    Pong,
)
from waxwingglade.ledger.replica import Replica
from waxwingglade.ledger.retirement import RetirementReports, RetirementState
from waxwingglade.ledger.rounds import Ask, outcome_of

CHECK_INTERVAL_S = 0.25
"""Mean seconds between checks whether the set must change."""

REPLACE_FROM_OTHER_ZONE_S = 8.0
"""Seconds after which an unresponsive member may also be replaced from another zone.  Longer than
partitions of a zone last, which end by themselves."""

BALANCE_WAIT_S = 1.0
"""Seconds after its start for which a replica does not join if its zone has its share of members,
so that replicas in other zones come first."""

JOIN_BESIDE_S = 1.5
"""Seconds after which a replica joins beside an unresponsive member of its zone.  Which of the two
stays is decided later, when both or only one of them answers.  Members whose links failed answer
again sooner, and work in the meantime.  A replacement must be complete within four seconds, and the
later changes of the set take 1.5 s."""

STANDBY_JOIN_WAIT_S = 2.0
"""Seconds for which a retiring VM waits for a standby replica to join before it is removed."""

PING_INTERVAL_S = 0.15
STANDBY_PING_INTERVAL_S = 0.5
"""`PING_INTERVAL_S` of a standby replica, which reports no majority to anyone.  A member misses
three pings before such a replica joins for it."""

PING_TIMEOUT_S = 0.25
QUORUM_S = 0.35
"""Seconds after which an unresponsive member no longer counts towards the majority that is reported
to entries: two missed pings.  Callers in a partitioned zone wait until all entries there have
reported twice, a second apart, that they are not ready, so each tenth of a second counts."""

REMOVE_AFTER_S = 2.0
"""Seconds after which an unresponsive member is removed from a set that has more members than
wanted.  Longer than a restart of a process, and shorter than the five seconds within which a
replacement must be complete."""

STORE_UNREACHABLE_S = 2.0
"""Seconds without an answer of the store after which a member leaves changes of the set to the next
member; the store answers a watch every second."""

FAILURES_READ_INTERVAL_S = 1.0
"""Least seconds between two reads of a member's records of failed targets.  Records that are just
being reported to all members differ for some milliseconds."""

STALL_S = 0.1
"""Shortest delay of the event loop in seconds that counts as a stall of this process; after shorter
delays answers are still read in time."""


class Membership:
    """Changes the set of members as machines join, fail and retire.

    Parameters
    ----------
    own : Member
        This process's replica.
    replica : Replica
        Stores the set of members and the data of this process.
    watcher : Watcher
        Provides the sets of members and the retiring VMs in the store.
    store : Store
        Where changes are written.
    ask : callable
        Sends a request to a member.
    wanted : int
        Members that are enough to tolerate the expected faults.  An unresponsive member is removed
        only while the set has more.
    zones : int
        Availability zones over which the members are spread.
    replicas_key, status_prefix : str
        Key of the set of members, and prefix of the keys for the states of retiring VMs.
    candidacy : Candidacy
        Decides whether this replica is the one of its zone that may join.
    clock : Clock
        Monotonic seconds.
    overdue_s : callable
        Returns the seconds of a stall of this process that `discount_stall` will subtract.
    """

    def __init__(
        self,
        own: Member,
        replica: Replica,
        watcher: Watcher,
        store: Store,
        ask: Ask,
        wanted: int,
        zones: int,
        replicas_key: str,
        status_prefix: str,
        candidacy: Candidacy,
        clock: Clock = monotonic,
        overdue_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.own = own
        self.replica = replica
        self.watcher = watcher
        self.store = store
        self.ask = ask
        self.wanted = wanted
        self.zones = zones
        self.replicas_key = replicas_key
        self.reports = RetirementReports(store, status_prefix, clock)
        self.candidacy = candidacy
        self.clock = clock
        self.overdue_s = overdue_s
        self.last_seen_at: dict[str, float] = {}
        self.failures_read_at: dict[str, float] = {}
        self.recorded_replicas: ReplicaSet | None = None
        self.previous_disks: frozenset[str] = frozenset()
        self.synced: dict[str, int] = {}
        self.without_store: set[str] = set()
        self.synced_epoch = 0
        self.retire_seen_at: dict[str, float] = {}
        self.last_reason = ""
        self.started_at = clock()
        self.observe_replicas: Callable[[ReplicaSet], None] = lambda _: None

    @property
    def replicas(self) -> ReplicaSet:
        """The newest set of members that this replica knows."""
        return self.replica.replicas

    def answer_ping(self, message: Ping) -> Pong:
        """Answer a ping of another replica."""
        self.last_seen_at[message.disk] = self.clock()
        newer = self.replicas if self.replicas.epoch > message.epoch else None
        return Pong(
            self.own.disk,
            self.synced_epoch,
            newer,
            self.reaches_store,
            self.replica.failures.checksum,
        )

    @property
    def stands_by(self) -> bool:
        """Whether a set exists without this replica, so that no entry follows this process."""
        members = self.replicas.members
        return bool(members) and all(member.disk != self.own.disk for member in members)

    @property
    def reaches_store(self) -> bool:
        """Whether the store has answered this process recently."""
        return self.clock() - self.watcher.store_confirmed_at < STORE_UNREACHABLE_S

    # Pings

    async def ping_forever(self) -> None:
        """Ping the other members periodically, unless the journal has failed."""
        loop = asyncio.get_running_loop()
        while self.replica.journal.failure is None:
            for member in self.replicas.members:
                if member.disk != self.own.disk:
                    # A ping that fails at once must not keep the next ones from being sent.
                    loop.call_soon(self._ping, member)
            await asyncio.sleep(STANDBY_PING_INTERVAL_S if self.stands_by else PING_INTERVAL_S)

    def _ping(self, member: Member) -> None:
        """Ping a member without waiting for its answer, as an unresponsive one gives none."""
        message = Ping(self.replicas.epoch, self.own.disk)
        # A callback costs less than a task, of which there would be one for each ping.
        asked = asyncio.ensure_future(self.ask(member, message, PING_TIMEOUT_S))
        asked.add_done_callback(partial(self._record_answer, member))

    def _record_answer(self, member: Member, asked: asyncio.Future[Any]) -> None:
        """Record the answer to a ping."""
        answer = outcome_of(asked)
        if not isinstance(answer, Pong):
            return
        if answer.disk == member.disk:
            self.last_seen_at[member.disk] = self.clock()
            self.synced[member.disk] = answer.synced_epoch
            change = self.without_store.discard if answer.reaches_store else self.without_store.add
            change(member.disk)
            if self._has_other_failures(answer.failures):
                run_detached(self._read_failures(member))
        if answer.replicas is not None:
            self.observe_replicas(answer.replicas)

    def _has_other_failures(self, checksum: int | None) -> bool:
        """Return whether a member's records of failed targets differ from those here."""
        return not self.stands_by and checksum not in (None, self.replica.failures.checksum)

    async def _read_failures(self, member: Member) -> None:
        """Read a member's records of failed targets, which differ from those here.

        Entries report failures to all members, but reach only some of them in a partition.
        """
        now = self.clock()
        if now - self.failures_read_at.get(member.disk, float("-inf")) < FAILURES_READ_INTERVAL_S:
            return
        self.failures_read_at[member.disk] = now
        try:
            answer = await self.ask(member, ListFailures(), PING_TIMEOUT_S)
        except WaxwinggladeError:
            return
        if isinstance(answer, Failures):
            await self.replica.store_failures(answer.records)

    @property
    def quorum(self) -> bool:
        """Whether a majority of the members has answered recently, and the journal works."""
        if self.replica.journal.failure is not None:
            return False
        members = self.replicas.members
        seen = [member for member in members if self.unresponsive_s(member) < QUORUM_S]
        return bool(members) and len(seen) >= self.replicas.majority

    def unresponsive_s(self, member: Member) -> float:
        """Return the seconds since a member was last seen, without a stall of this process."""
        if member.disk == self.own.disk:
            return 0.0
        self._record_joined()
        seen_at = max(self.last_seen_at.get(member.disk, 0.0), self.started_at)
        return max(0.0, self.clock() - seen_at - self.overdue_s())

    def _record_joined(self) -> None:
        """Count a member as seen when it joins, since it was not pinged before."""
        if self.replicas is self.recorded_replicas:
            return
        self.recorded_replicas = self.replicas
        disks = frozenset(member.disk for member in self.replicas.members)
        for disk in disks - self.previous_disks:
            self.last_seen_at[disk] = self.clock()
        self.previous_disks = disks

    def discount_stall(self, late_s: float) -> None:
        """Subtract a stall of this process from the time since members were last seen."""
        if late_s < STALL_S:
            return
        now = self.clock()
        self.last_seen_at = {disk: min(now, at + late_s) for disk, at in self.last_seen_at.items()}

    def _responsive(self) -> list[Member]:
        return [
            member
            for member in self.replicas.members
            if self.unresponsive_s(member) < REMOVE_AFTER_S / 2
        ]

    # Changes

    async def run(self) -> None:
        """Check periodically whether the set must change, unless the journal has failed."""
        while self.replica.journal.failure is None:
            try:
                await self._check()
                self.last_reason = ""
            except WaxwinggladeError as error:
                self._log_failure(str(error))
            await asyncio.sleep(CHECK_INTERVAL_S * (0.5 + random.random()))

    def _log_failure(self, reason: str) -> None:
        """Log why the set was not changed; repeated reasons are logged once."""
        if reason != self.last_reason:
            logger.bind(reason=reason).info("members not changed")
        self.last_reason = reason

    async def _check(self) -> None:
        replicas = self.replicas
        if not replicas.epoch:
            if self.watcher.replicas_known.is_set() and not self.watcher.view.replicas.epoch:
                await self._change(ReplicaSet(1, (self.own,), True), "first member")
            return
        if self.stands_by:
            await self._join(replicas)
        elif not replicas.settled:
            await self._settle(replicas)
        else:
            await self._prune(replicas)
            await self._report_retiring(replicas)

    async def _join(self, replicas: ReplicaSet) -> None:
        if not replicas.settled or self.own.vm in self.watcher.retiring:
            return
        if not self._is_needed(replicas):
            return
        if not replicas.intersects_earlier_majorities(
            {member.disk for member in self._responsive()}
        ):
            raise WaxwinggladeError("too few members are responsive to read from")
        if not await self.candidacy.claim(replicas):
            return
        await self._read_from_members(replicas)
        members = (*replicas.members, self.own)
        joined = ReplicaSet(replicas.epoch + 1, members, False, self.own.disk)
        await self._change(joined, "joining")

    async def _read_from_members(self, replicas: ReplicaSet) -> None:
        """Read the data of the members while a claim keeps other replicas from doing so."""
        renewing = run_forever(self.candidacy.renew_forever)
        try:
            await catch_up(self.replica, replicas, self.ask, self.observe_replicas)
        except Exception:
            self.candidacy.record_failure()
            raise
        finally:
            renewing.cancel()
        self.candidacy.record_success()

    def _is_needed(self, replicas: ReplicaSet) -> bool:
        """Return whether this replica should join the set.

        A set of more members than wanted needs larger majorities, and with two members in one zone
        both sides of a partition may lack a majority.
        """
        members = replicas.members
        if any(member.vm == self.own.vm for member in members):
            return True
        in_zone = [member for member in members if member.zone == self.own.zone]
        if len(members) < self.wanted:
            has_waited = self.clock() - self.started_at > BALANCE_WAIT_S
            return has_waited or len(in_zone) < self._fair_share()
        # The members beyond the wanted number joined last, to succeed members that will be removed.
        successors = members[self.wanted :]
        retiring = [member for member in members if member.vm in self.watcher.retiring]
        unresponsive = [
            member for member in members if self.unresponsive_s(member) > REPLACE_FROM_OTHER_ZONE_S
        ]
        if max(len(retiring), len(unresponsive)) > len(successors):
            return True
        unresponsive_in_zone = [
            member for member in in_zone if self.unresponsive_s(member) > JOIN_BESIDE_S
        ]
        if len(unresponsive_in_zone) > len([each for each in successors if each in in_zone]):
            return True
        return not in_zone and _surplus(members) is not None

    def _fair_share(self) -> int:
        """Return how many members a zone has if they are spread evenly."""
        return -(-self.wanted // max(1, self.zones))

    async def _settle(self, replicas: ReplicaSet) -> None:
        if self.synced_epoch < replicas.epoch:
            await catch_up(self.replica, replicas, self.ask, self.observe_replicas)
            self.synced_epoch = replicas.epoch
        synced = [
            member
            for member in replicas.members
            if member.disk == self.own.disk or self.synced.get(member.disk, 0) >= replicas.epoch
        ]
        if len(synced) >= replicas.majority and self._leads():
            settled = msgspec.structs.replace(replicas, settled=True)
            await self._change(settled, "settled")

    async def _prune(self, replicas: ReplicaSet) -> None:
        """Remove a member whose disk was wiped, whose VM retires, or that the set can spare."""
        responsive = self._responsive()
        if len(responsive) < replicas.majority:
            return
        for member in replicas.members:
            reason = self._why_remove(member, replicas)
            if reason is None:
                continue
            rest = tuple(other for other in replicas.members if other is not member)
            if (
                not rest
                or len([other for other in responsive if other is not member]) < len(rest) // 2 + 1
            ):
                continue
            await self._change(ReplicaSet(replicas.epoch + 1, rest, False), reason)
            return

    def _why_remove(self, member: Member, replicas: ReplicaSet) -> str | None:
        if member.disk != self.own.disk and member.vm == self.own.vm:
            return "its disk was wiped"
        if not self._leads(without=member):
            return None
        if member.vm in self.watcher.retiring and self._may_remove_retiring(member, replicas):
            return "to be emptied"
        if len(replicas.members) <= self.wanted:
            return None
        return self._why_dispensable(member, replicas)

    def _why_dispensable(self, member: Member, replicas: ReplicaSet) -> str | None:
        """Return why a member of a set with more than wanted can be removed, None if it can't."""
        if self.unresponsive_s(member) > REMOVE_AFTER_S:
            return "unresponsive"
        if any(self.unresponsive_s(other) >= REMOVE_AFTER_S / 2 for other in replicas.members):
            return None
        return "to spread the members" if member is _surplus(replicas.members) else None

    def _may_remove_retiring(self, member: Member, replicas: ReplicaSet) -> bool:
        """Return whether a member may be removed: a successor has joined, or none did in time."""
        asked_at = self.retire_seen_at.setdefault(member.vm, self.clock())
        return len(replicas.members) > self.wanted or self.clock() - asked_at > STANDBY_JOIN_WAIT_S

    def _leads(self, without: Member | None = None) -> bool:
        """Return whether this is the first responsive member, so that not all call the store.

        A member that does not reach the store is skipped, as no set would be settled otherwise.
        """
        for member in self.replicas.members:
            if member is without or self.unresponsive_s(member) > REMOVE_AFTER_S / 2:
                continue
            if member.disk in self.without_store and member.disk != self.own.disk:
                continue
            return member.disk == self.own.disk
        return False

    async def _report_retiring(self, replicas: ReplicaSet) -> None:
        """Report the retiring VMs that still hold a member, and those that no longer do."""
        if not self._leads():
            return
        holders = {member.vm for member in replicas.members}
        await self.reports.report(
            {
                vm: RetirementState.RUNNING if vm in holders else RetirementState.COMPLETED
                for vm in self.watcher.retiring
            }
        )

    async def _change(self, replicas: ReplicaSet, reason: str) -> None:
        """Write a set that follows the one known here, unless another change came first."""
        revision = self.watcher.replicas_revision
        if self.watcher.view.replicas.epoch != self.replicas.epoch:
            # Another replica reported a newer set than the watch of the store; read its revision.
            await self._read_again()
            return
        if self.watcher.view.replicas.settled != self.replicas.settled:
            await self._read_again()
            return
        if not replicas.follows(self.watcher.view.replicas):
            # Another change came while this one was prepared.  Overwriting it at its revision would
            # give one epoch two sets, whose majorities need not intersect.
            logger.bind(epoch=replicas.epoch, reason=reason).info("change of members abandoned")
            return
        held = await self.store.compare_and_swap(
            self.replicas_key, revision, msgspec.json.encode(replicas)
        )
        outcome = "done" if held is None else "overtaken"
        logger.bind(
            epoch=replicas.epoch,
            members=[member.vm for member in replicas.members],
            settled=replicas.settled,
            reason=reason,
            outcome=outcome,
        ).info("change of members")
        await self._read_again()

    async def _read_again(self) -> None:
        item = await self.store.read(self.replicas_key)
        if item is not None:
            self.watcher.apply_replicas(item)
            await self.replica.adopt_members(self.watcher.view.replicas)


def _surplus(members: tuple[Member, ...]) -> Member | None:
    """Return the last member of the zone with the most members, if that has two or more."""
    counts = Counter(member.zone for member in members)
    zone, most = counts.most_common(1)[0]
    if most < 2:
        return None
    return [member for member in members if member.zone == zone][-1]


__all__ = ["Membership"]
