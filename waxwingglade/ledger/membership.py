"""Who the members of the ledger are, agreed on through the platform's store.

The store holds one key with the set of members.  A set changes by one member at a time, by
compare-and-swap, and only once it is settled: a majority of its members has read what the others
hold, since when all refuse requests under older sets.  So every majority of a set meets everything
that earlier sets acknowledged.

A disk that was wiped has another name and is another member.  It joins with what it has read from
the others; then the one before it is removed.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable

import msgspec
from loguru import logger

from waxwingglade.base import Clock, WaxwinggladeError, monotonic
from waxwingglade.base.tasks import run_detached, start_task
from waxwingglade.follow.model import Replica as Member
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.follow.store import Store
from waxwingglade.follow.watcher import Watcher
from waxwingglade.ledger.candidacy import Candidacy
from waxwingglade.ledger.catch_up import catch_up
from waxwingglade.ledger.messages import (
    Ping,
    Pong,
)
from waxwingglade.ledger.replica import Replica
from waxwingglade.ledger.rounds import Ask

LOOK_S = 0.25
"""Seconds between looks whether the set has to change."""

ELSEWHERE_S = 8.0
"""Seconds of silence after which a member is replaced from another zone, too: longer than the cuts
of a zone, which end by themselves."""

BALANCE_S = 1.0
"""Seconds after its start in which a replica leaves a place to one in a zone with fewer."""

SUCCEED_S = 1.5
"""Seconds of silence after which a replica joins beside a member of its zone; which of the two
stays is decided later, when both or only one is heard.  Members whose links fell silent are heard
again sooner, and are sound meanwhile.  A replacement must count within
four seconds, and further steps of the set take 1.5 s after this one."""

STANDBY_S = 2.0
"""Seconds for a replica on standby to join before a VM that is to be emptied leaves without."""

PING_S = 0.15
STANDBY_PING_S = 0.5
"""The same for a replica on standby, which tells nobody of a majority: three signs of life that are
missed before it joins for a member."""

PING_ANSWER_S = 0.25
QUORUM_S = 0.35
"""Seconds of silence after which a member no longer counts as reached, for telling entries: two
signs of life that were missed.  Callers in a zone that is cut off wait until all entries there have
said twice, a second apart, that they are not ready, so each tenth counts."""

SILENT_S = 2.0
"""Seconds of silence after which a member that the set can spare is removed; longer than a restart
of a process, and short of the five seconds within which a replacement must count."""

STORE_S = 2.0
"""Seconds without an answer of the store after which a member leaves changes to the next one; its
watch is answered every second."""

STOOD_STILL_S = 0.1
"""Seconds by which this process runs late that count as a standstill; after a shorter one answers
are still read in time."""

RETIRING, RETIRED = "running", "completed"


class Membership:
    """Brings the set of members to what the machines are.

    Parameters
    ----------
    own : Member
        This process's replica.
    replica : Replica
        Its state.
    watcher : Watcher
        What the store says.
    store : Store
        For changes.
    ask : callable
        Sends a request to a member.
    wanted : int
        Members that are enough for the faults to be borne: a silent one is removed only while
        more are left.
    zones : int
        Availability zones over which the members are spread.
    replicas_key, status_prefix : str
        Keys of the members, and of the state of orders to empty a VM.
    candidacy : Candidacy
        Whether this replica is the one of its zone that may join.
    clock : Clock
        Monotonic seconds.
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
    ) -> None:
        self.own = own
        self.replica = replica
        self.watcher = watcher
        self.store = store
        self.ask = ask
        self.wanted = wanted
        self.zones = zones
        self.replicas_key = replicas_key
        self.status_prefix = status_prefix
        self.candidacy = candidacy
        self.clock = clock
        self.heard_at: dict[str, float] = {}
        self.known_members: frozenset[str] = frozenset()
        self.synced: dict[str, int] = {}
        self.turned_away: set[str] = set()
        self.synced_epoch = 0
        self.reported: dict[str, str] = {}
        self.retire_seen: dict[str, float] = {}
        self.last_reason = ""
        self.started_at = clock()
        self.observe_replicas: Callable[[ReplicaSet], None] = lambda _: None

    @property
    def replicas(self) -> ReplicaSet:
        """The set of members that this replica goes by."""
        return self.replica.replicas

    def answer_ping(self, message: Ping) -> Pong:
        """Answer another replica."""
        self.heard_at[message.disk] = self.clock()
        newer = self.replicas if self.replicas.epoch > message.epoch else None
        return Pong(self.own.disk, self.synced_epoch, newer, self.reaches_store)

    @property
    def stands_by(self) -> bool:
        """Whether there are members and this replica is none of them, so that nobody follows it."""
        members = self.replicas.members
        return bool(members) and all(member.disk != self.own.disk for member in members)

    @property
    def reaches_store(self) -> bool:
        """Whether the store has answered this process lately."""
        return self.clock() - self.watcher.store_confirmed_at < STORE_S

    # Signs of life

    async def ping_forever(self) -> None:
        """Ask the other members for a sign of life, again and again."""
        while True:
            # None waits for another, or one silent member would keep all others from being asked in
            # time.
            for member in self.replicas.members:
                if member.disk != self.own.disk:
                    run_detached(self._ping(member))
            await asyncio.sleep(STANDBY_PING_S if self.stands_by else PING_S)

    async def _ping(self, member: Member) -> None:
        try:
            answer = await self.ask(member, Ping(self.replicas.epoch, self.own.disk), PING_ANSWER_S)
        except WaxwinggladeError:
            return
        if not isinstance(answer, Pong):
            return
        if answer.disk == member.disk:
            self.heard_at[member.disk] = self.clock()
            self.synced[member.disk] = answer.synced_epoch
            change = self.turned_away.discard if answer.reaches_store else self.turned_away.add
            change(member.disk)
        if answer.replicas is not None:
            self.observe_replicas(answer.replicas)

    @property
    def quorum(self) -> bool:
        """Whether a majority of the members was heard lately."""
        members = self.replicas.members
        heard = [member for member in members if self.silent_s(member) < QUORUM_S]
        return bool(members) and len(heard) >= self.replicas.majority

    def silent_s(self, member: Member) -> float:
        """Return the seconds for which a member has given no sign of life."""
        if member.disk == self.own.disk:
            return 0.0
        self._note_joined()
        return self.clock() - max(self.heard_at.get(member.disk, 0.0), self.started_at)

    def _note_joined(self) -> None:
        """Count it as a sign of life that a member has joined; nobody has asked it for one yet."""
        disks = frozenset(member.disk for member in self.replicas.members)
        for disk in disks - self.known_members:
            self.heard_at[disk] = self.clock()
        self.known_members = disks

    def leave_out(self, late_s: float) -> None:
        """Leave a standstill of this process out of the silence of others, who were not heard."""
        if late_s < STOOD_STILL_S:
            return
        now = self.clock()
        self.heard_at = {disk: min(now, at + late_s) for disk, at in self.heard_at.items()}

    def _alive(self) -> list[Member]:
        return [member for member in self.replicas.members if self.silent_s(member) < SILENT_S / 2]

    # Changes

    async def run(self) -> None:
        """Look again and again whether the set has to change."""
        while True:
            try:
                await self._look()
                self.last_reason = ""
            except WaxwinggladeError as error:
                self._note_failure(str(error))
            await asyncio.sleep(LOOK_S * (0.5 + random.random()))

    def _note_failure(self, reason: str) -> None:
        """Log why the set was not changed, once for each reason."""
        if reason != self.last_reason:
            logger.bind(reason=reason).info("members not changed")
        self.last_reason = reason

    async def _look(self) -> None:
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
            await self._report_retired(replicas)

    async def _join(self, replicas: ReplicaSet) -> None:
        if not replicas.settled or self.own.vm in self.watcher.retiring:
            return
        if not self._is_needed(replicas):
            return
        if not replicas.intersects_earlier_majorities({member.disk for member in self._alive()}):
            raise WaxwinggladeError("too few members are heard to read from")
        if not await self.candidacy.claim(replicas):
            return
        await self._read_all(replicas)
        members = (*replicas.members, self.own)
        joined = ReplicaSet(replicas.epoch + 1, members, False, self.own.disk)
        await self._change(joined, "joining")

    async def _read_all(self, replicas: ReplicaSet) -> None:
        """Read what the members hold, while others leave that to this replica."""
        renewing = start_task(self.candidacy.renew_forever())
        try:
            await catch_up(self.replica, replicas, self.ask, self.observe_replicas)
        except WaxwinggladeError:
            self.candidacy.note_failure()
            raise
        finally:
            renewing.cancel()
        self.candidacy.note_read()

    def _is_needed(self, replicas: ReplicaSet) -> bool:
        """Return whether the set is better with this replica.

        A set of more members than wanted needs larger majorities, and two members in one zone may
        leave both sides of a cut without one.
        """
        members = replicas.members
        if any(member.vm == self.own.vm for member in members):
            return True
        at_home = [member for member in members if member.zone == self.own.zone]
        if len(members) < self.wanted:
            patient = self.clock() - self.started_at > BALANCE_S
            return patient or len(at_home) < self._fair_share()
        # Members beyond those wanted have joined last, for others that are about to go.
        successors = members[self.wanted :]
        retiring = [member for member in members if member.vm in self.watcher.retiring]
        silent = [member for member in members if self.silent_s(member) > ELSEWHERE_S]
        if max(len(retiring), len(silent)) > len(successors):
            return True
        silent_at_home = [member for member in at_home if self.silent_s(member) > SUCCEED_S]
        if len(silent_at_home) > len([each for each in successors if each in at_home]):
            return True
        return not at_home and _surplus(members) is not None

    def _fair_share(self) -> int:
        """Return how many members a zone has where they are spread evenly."""
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
        """Remove a member that is gone for good, is to be emptied, or can be spared."""
        alive = self._alive()
        if len(alive) < replicas.majority:
            return
        for member in replicas.members:
            reason = self._why_remove(member, replicas)
            if reason is None:
                continue
            rest = tuple(other for other in replicas.members if other is not member)
            if (
                not rest
                or len([other for other in alive if other is not member]) < len(rest) // 2 + 1
            ):
                continue
            await self._change(ReplicaSet(replicas.epoch + 1, rest, False), reason)
            return

    def _why_remove(self, member: Member, replicas: ReplicaSet) -> str | None:
        if member.disk != self.own.disk and member.vm == self.own.vm:
            return "its disk was wiped"
        if not self._leads(without=member):
            return None
        if member.vm in self.watcher.retiring and self._may_empty(member, replicas):
            return "to be emptied"
        if len(replicas.members) <= self.wanted:
            return None
        return self._why_spare(member, replicas)

    def _why_spare(self, member: Member, replicas: ReplicaSet) -> str | None:
        """Return why a set with more members than wanted can do without one of them."""
        if self.silent_s(member) > SILENT_S:
            return "silent"
        if any(self.silent_s(other) >= SILENT_S / 2 for other in replicas.members):
            return None
        return "to spread the members" if member is _surplus(replicas.members) else None

    def _may_empty(self, member: Member, replicas: ReplicaSet) -> bool:
        """Return whether a member may go now: another has joined for it, or none has come."""
        asked_at = self.retire_seen.setdefault(member.vm, self.clock())
        return len(replicas.members) > self.wanted or self.clock() - asked_at > STANDBY_S

    def _leads(self, without: Member | None = None) -> bool:
        """Return whether this is the first live member, so that not all of them call the store.

        One that the store turns away is passed over, or nothing would be settled while it is.
        """
        for member in self.replicas.members:
            if member is without or self.silent_s(member) > SILENT_S / 2:
                continue
            if member.disk in self.turned_away and member.disk != self.own.disk:
                continue
            return member.disk == self.own.disk
        return False

    async def _report_retired(self, replicas: ReplicaSet) -> None:
        if not self._leads():
            return
        for vm in list(self.watcher.retiring):
            present = any(member.vm == vm for member in replicas.members)
            await self._report(vm, RETIRING if present else RETIRED)

    async def _report(self, vm: str, state: str) -> None:
        if self.reported.get(vm) == state:
            return
        key = self.status_prefix + vm
        value = msgspec.json.encode({"state": state})
        held = await self.store.read(key)
        if held is None or held.value != value:
            revision = held.revision if held is not None else 0
            if await self.store.compare_and_swap(key, revision, value) is not None:
                return
        self.reported[vm] = state
        logger.bind(vm=vm, state=state).info("emptying a VM")

    async def _change(self, replicas: ReplicaSet, reason: str) -> None:
        """Write a set that follows the one known here."""
        revision = self.watcher.replicas_revision
        if self.watcher.view.replicas.epoch != self.replicas.epoch:
            # Peers told of a newer set than the store's watch did; its revision is needed.
            await self._read_again()
            return
        if self.watcher.view.replicas.settled != self.replicas.settled:
            await self._read_again()
            return
        if not replicas.follows(self.watcher.view.replicas):
            # Another change came while this one was prepared.  Written over it, at its revision,
            # one epoch would have two sets, whose majorities need not meet.
            logger.bind(epoch=replicas.epoch, reason=reason).info("change of members given up")
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
    """Return the last member of a zone that has more than another, if there is one."""
    counts = Counter(member.zone for member in members)
    zone, most = counts.most_common(1)[0]
    if most < 2:
        return None
    return [member for member in members if member.zone == zone][-1]


__all__ = ["Membership"]
