"""Which entries are alive, learned from heartbeats.

Each entry sends a heartbeat to the peers it knows and takes any answer or heartbeat as a sign of
life.  Nothing here decides who owns a program: a wrong guess costs time, never correctness.
"""

import asyncio
import math
from collections.abc import Callable

import msgspec
import xxhash

from waxwingglade.base import (
    Clock,
    ConfigVersion,
    EntryId,
    EntryRef,
    Incarnation,
    ZoneId,
    monotonic,
)
from waxwingglade.base.tasks import start_task
from waxwingglade.connection.peer import PeerLinks
from waxwingglade.connection.peer_messages import EntryState, Heartbeat, HeartbeatReply
from waxwingglade.process.watching import Watch, choose_watched
from waxwingglade.settings import DurabilitySettings
from waxwingglade.version import ConfigDigest

IDLE_LINK_S = 300.0
"""Seconds without use after which a connection is closed."""

MOST_PAUSE_S = 5.0
"""Longest pause between two heartbeats to a peer that does not answer, in seconds."""


RECENT = 0.8
"""Share of the heartbeat period within which a peer's own heartbeat makes one to it needless."""

MEMBERS_PER_REMOTE_ZONE = 3
"""Entries of another zone that an entry wants to know of."""


class Peer(msgspec.Struct):
    """What is known of one peer; `last_heard` is a monotonic time in seconds."""

    ref: EntryRef
    state: EntryState
    last_heard: float
    config_version: ConfigVersion = ConfigVersion(0)


class Members:
    """The entries that this process knows.

    Parameters
    ----------
    own : EntryRef
        This process.
    settings : DurabilitySettings
        Heartbeat period and time of silence after which a peer counts as gone.
    clock : Clock
        Monotonic time in seconds.
    """

    def __init__(
        self, own: EntryRef, settings: DurabilitySettings, clock: Clock = monotonic
    ) -> None:
        self.own = own
        self.settings = settings
        self.clock = clock
        self.state = EntryState.ALIVE
        self.peers: dict[EntryId, Peer] = {}
        self.started = clock()
        self.watched_since: dict[EntryId, float] = {}
        self.watches_everybody = True

    def record_contact(
        self, ref: EntryRef, state: EntryState, config_version: ConfigVersion
    ) -> None:
        """Note a direct sign of life."""
        if ref.entry == self.own.entry:
            return
        self.peers[ref.entry] = Peer(ref, state, self.clock(), config_version)

    def add_reported(self, refs: list[EntryRef]) -> None:
        """Note entries that a peer told of; they count as alive once they answer."""
        for ref in refs:
            if ref.entry == self.own.entry or ref.entry in self.peers:
                continue
            silent = self.clock() - self.settings.suspect_after_s
            self.peers[ref.entry] = Peer(ref, EntryState.ALIVE, silent)

    def alive(self, ref: EntryRef) -> bool:
        """Return whether this very incarnation was heard of lately."""
        if self.own.answers_to(ref.incarnation):
            return True
        peer = self.peers.get(ref.entry)
        if peer is None or not peer.ref.answers_to(ref.incarnation):
            return False
        return self.clock() - peer.last_heard < self.settings.suspect_after_s

    def is_active(self, ref: EntryRef) -> bool:
        """Return whether an incarnation is alive and not about to leave."""
        if not self.alive(ref):
            return False
        peer = self.peers.get(ref.entry)
        return peer is None or peer.state is EntryState.ALIVE

    def set_watched(self, watch: Watch) -> None:
        """Note with whom heartbeats are exchanged: of others, silence tells nothing."""
        now = self.clock()
        before = self.watched_since
        self.watched_since = {entry: before.get(entry, now) for entry in watch.entries}
        self.watches_everybody = watch.everybody

    def is_unreachable(self, ref: EntryRef) -> bool:
        """Return whether this incarnation has been silent for long enough to replace it."""
        if self.alive(ref):
            return False
        peer = self.peers.get(ref.entry)
        if peer is not None and not peer.ref.answers_to(ref.incarnation) and self.alive(peer.ref):
            # Another process runs in its place.
            return True
        since = self.started if self.watches_everybody else self.watched_since.get(ref.entry)
        return since is not None and self.clock() - since >= self.settings.suspect_after_s

    def usable(self) -> list[EntryRef]:
        """Return the peers that are alive and take new work."""
        return [
            peer.ref
            for peer in self.peers.values()
            if peer.state is EntryState.ALIVE and self.alive(peer.ref)
        ]

    def any_not_draining(self) -> bool:
        """Return whether a peer, alive or silent, has not said that it is about to leave."""
        return any(peer.state is EntryState.ALIVE for peer in self.peers.values())

    def find(self, entry: EntryId, incarnation: Incarnation) -> EntryRef | None:
        """Return where an incarnation is reached, if it is alive."""
        if incarnation == self.own.incarnation:
            return self.own
        peer = self.peers.get(entry)
        if peer is None or peer.ref.incarnation != incarnation or not self.alive(peer.ref):
            return None
        return peer.ref

    def known(self) -> list[EntryRef]:
        """Return this entry and the peers that were heard of lately."""
        return [self.own, *(p.ref for p in self.peers.values() if self.alive(p.ref))]

    def forget_unresponsive(self) -> None:
        """Forget peers that were silent for so long that they will hardly come back."""
        limit = self.clock() - self.settings.forget_after_s
        for entry in [name for name, peer in self.peers.items() if peer.last_heard < limit]:
            del self.peers[entry]

    def told(self) -> list[EntryRef]:
        """Return the entries that peers are told of: all, or this zone's in a large fleet."""
        if self.watches_everybody:
            return self.known()
        return [ref for ref in self.known() if ref.zone == self.own.zone]

    def misses(self, heartbeat: Heartbeat) -> list[EntryRef]:
        """Return the entries that the sender of a heartbeat should be told of."""
        if self.watches_everybody or heartbeat.sender.zone == self.own.zone:
            return [] if heartbeat.members_digest == self.digest() else self.told()
        return self.told()[:MEMBERS_PER_REMOTE_ZONE] if heartbeat.wants_members else []

    def knows_few_of(self, zone: ZoneId) -> bool:
        """Return whether this entry could use to hear of more entries of a zone."""
        return sum(peer.ref.zone == zone for peer in self.peers.values()) < MEMBERS_PER_REMOTE_ZONE

    def digest(self) -> int:
        """Return a hash of the entries known, equal on entries that know the same."""
        names = sorted(f"{ref.entry}@{ref.incarnation}" for ref in self.told())
        return xxhash.xxh64_intdigest("\n".join(names).encode())

    def zones_in_sight(self) -> set[ZoneId]:
        """Return the availability zones with at least one entry alive, the own one included."""
        return {ref.zone for ref in self.known()}


class Heartbeats:
    """Sends heartbeats: one task for each peer.

    Parameters
    ----------
    members : Members
        Where answers are noted.
    links : PeerLinks
        Connections of the process.
    seeds : list of str
        Endpoints to greet at the start.
    config : callable
        Returns the digest of the configuration in force.
    on_config : callable
        Called with a peer and the digest of its configuration whenever the peer tells it.
    partners : callable
        Returns the entries that own or hold a log which this entry holds or owns.
    """

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        seeds: list[str],
        config: Callable[[], ConfigDigest],
        on_config: Callable[[EntryRef, ConfigDigest], None],
        partners: Callable[[], list[EntryRef]] = list,
    ) -> None:
        self.members = members
        self.links = links
        self.seeds = seeds
        self.config = config
        self.on_config = on_config
        self.partners = partners
        self.tasks: dict[str, asyncio.Task] = {}
        self.supervisor = start_task(self._supervise())

    async def stop(self) -> None:
        """End all tasks."""
        tasks = [self.supervisor, *self.tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def message(self, zone: ZoneId | None = None) -> Heartbeat:
        """Return the heartbeat of this moment for an entry of a zone, None where unknown."""
        members, config = self.members, self.config()
        wants_members = zone is None or members.knows_few_of(zone)
        return Heartbeat(
            members.own,
            members.state,
            members.digest(),
            config.version,
            config.hash,
            config.confirmed,
            wants_members,
        )

    def answer(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Note a peer's heartbeat and return the reply to it."""
        self.members.record_contact(heartbeat.sender, heartbeat.state, heartbeat.config_version)
        self.on_config(heartbeat.sender, _config_of(heartbeat))
        known = self.members.misses(heartbeat)
        members, config = self.members, self.config()
        return HeartbeatReply(
            members.own, members.state, config.version, known, config.hash, config.confirmed
        )

    async def send_to_all(self) -> None:
        """Send a heartbeat to every peer at once, without waiting for answers for long."""
        message = self.message()
        period_s = self.members.settings.heartbeat_s
        links = [self.links.to(address) for address in self.tasks]
        await asyncio.gather(*(link.request(message, period_s) for link in links))

    async def _supervise(self) -> None:
        while True:
            addresses = self._addresses()
            for address in addresses - self.tasks.keys():
                self.tasks[address] = start_task(self._beat(address))
            for address in self.tasks.keys() - addresses:
                self.tasks.pop(address).cancel()
            await self.links.close_idle(IDLE_LINK_S)
            await asyncio.sleep(self.members.settings.heartbeat_s)

    def _addresses(self) -> set[str]:
        """Choose whom to watch, and return where they are reached, the seeds included."""
        members = self.members
        members.forget_unresponsive()
        partners = self.partners()
        members.add_reported(partners)
        known = [peer.ref for peer in members.peers.values()]
        watch = choose_watched(members.own, known, partners, members.settings)
        members.set_watched(watch)
        addresses = {ref.peer_address for ref in known if ref.entry in watch.entries}
        return (addresses | set(self.seeds)) - {members.own.peer_address}

    async def _beat(self, address: str) -> None:
        link = self.links.to(address)
        period_s = self.members.settings.heartbeat_s
        pause_s = period_s
        zone = None
        while True:
            quiet_s = self._quiet_s(address)
            if quiet_s < period_s * RECENT:
                # The peer's own heartbeat was exchange enough; it is this entry's turn next time.
                await asyncio.sleep(period_s - quiet_s)
                continue
            reply = await link.request(self.message(zone), timeout_s=period_s * 2)
            if reply.is_ok() and isinstance(reply.ok_value, HeartbeatReply):
                self._note(reply.ok_value)
                zone = reply.ok_value.sender.zone
                pause_s = period_s
            else:
                # A peer that comes back speaks up itself; this is for cuts that heal.
                pause_s = min(pause_s * 2, MOST_PAUSE_S)
            await asyncio.sleep(pause_s)

    def _quiet_s(self, address: str) -> float:
        """Return the seconds since a peer was heard of at an address, infinite if never."""
        for peer in self.members.peers.values():
            if peer.ref.peer_address == address:
                return self.members.clock() - peer.last_heard
        return math.inf

    def _note(self, reply: HeartbeatReply) -> None:
        self.members.add_reported(reply.members)
        self.members.record_contact(reply.sender, reply.state, reply.config_version)
        self.on_config(reply.sender, _config_of(reply))


def _config_of(message: Heartbeat | HeartbeatReply) -> ConfigDigest:
    return ConfigDigest(message.config_version, message.config_hash, message.config_confirmed)
