"""Membership: which entries are alive, learned from heartbeats.

Each entry sends heartbeats to the peers it knows.  A heartbeat or a reply from a peer shows that
the peer is alive.  Nothing here decides who owns a program: a wrong estimate costs time, never
correctness.
"""

import asyncio
import math
from collections.abc import Callable
from functools import partial

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
from waxwingglade.base.tasks import run_forever
from waxwingglade.connection.peer import PeerLinks
from waxwingglade.connection.peer_messages import EntryState, Heartbeat, HeartbeatReply
from waxwingglade.process.watching import WatchedPeers, choose_watched
from waxwingglade.settings import DurabilitySettings
from waxwingglade.version import ConfigDigest

IDLE_LINK_S = 300.0
"""Seconds without use after which a connection is closed."""

MAX_PAUSE_S = 5.0
"""Longest pause between two heartbeats to a peer that does not answer, in seconds."""


RECENT_FRACTION = 0.8
"""Fraction of the heartbeat period.  An entry skips its heartbeat to a peer that it last saw within
this fraction."""

MEMBERS_PER_REMOTE_ZONE = 3
"""Number of entries of each other zone that an entry tries to know in a large fleet."""


class Peer(msgspec.Struct):
    """The last known state of a peer.

    `last_heard` is the monotonic time, in seconds, of the last heartbeat or reply from it.  A peer
    that was only reported has a time so long ago that it does not count as alive.
    """

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
        Heartbeat period, and the time without contact after which a peer counts as unreachable.
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
        self.started_at = clock()
        self.watched_since: dict[EntryId, float] = {}
        self.watches_all = True

    def record_contact(
        self, ref: EntryRef, state: EntryState, config_version: ConfigVersion
    ) -> None:
        """Record a heartbeat or a reply that came from a peer itself."""
        if ref.entry == self.own.entry:
            return
        self.peers[ref.entry] = Peer(ref, state, self.clock(), config_version)

    def add_reported(self, refs: list[EntryRef]) -> None:
        """Add entries that a peer reported; they count as alive once they answer."""
        for ref in refs:
            if ref.entry == self.own.entry or ref.entry in self.peers:
                continue
            last_seen = self.clock() - self.settings.suspect_after_s
            self.peers[ref.entry] = Peer(ref, EntryState.ALIVE, last_seen)

    def alive(self, ref: EntryRef) -> bool:
        """Return whether this incarnation was in contact within `suspect_after_s`."""
        if self.own.answers_to(ref.incarnation):
            return True
        peer = self.peers.get(ref.entry)
        if peer is None or not peer.ref.answers_to(ref.incarnation):
            return False
        return self.clock() - peer.last_heard < self.settings.suspect_after_s

    def is_active(self, ref: EntryRef) -> bool:
        """Return whether an incarnation is alive and not draining."""
        if not self.alive(ref):
            return False
        peer = self.peers.get(ref.entry)
        return peer is None or peer.state is EntryState.ALIVE

    def set_watched(self, watched: WatchedPeers) -> None:
        """Record the peers to exchange heartbeats with.

        Lack of contact with any other peer does not show that it is unreachable.
        """
        now = self.clock()
        before = self.watched_since
        self.watched_since = {entry: before.get(entry, now) for entry in watched.entries}
        self.watches_all = watched.all_peers

    def is_unreachable(self, ref: EntryRef) -> bool:
        """Return whether this incarnation was without contact for long enough to replace it."""
        if self.alive(ref):
            return False
        peer = self.peers.get(ref.entry)
        if peer is not None and not peer.ref.answers_to(ref.incarnation) and self.alive(peer.ref):
            # A later incarnation of the entry is running.
            return True
        since = self.started_at if self.watches_all else self.watched_since.get(ref.entry)
        return since is not None and self.clock() - since >= self.settings.suspect_after_s

    def usable(self) -> list[EntryRef]:
        """Return the peers that are alive and accept new work."""
        return [
            peer.ref
            for peer in self.peers.values()
            if peer.state is EntryState.ALIVE and self.alive(peer.ref)
        ]

    def any_not_draining(self) -> bool:
        """Return whether any peer, reachable or not, has not reported that it is draining."""
        return any(peer.state is EntryState.ALIVE for peer in self.peers.values())

    def find(self, entry: EntryId, incarnation: Incarnation) -> EntryRef | None:
        """Return the reference with the addresses of an incarnation, None if it is not alive."""
        if incarnation == self.own.incarnation:
            return self.own
        peer = self.peers.get(entry)
        if peer is None or peer.ref.incarnation != incarnation or not self.alive(peer.ref):
            return None
        return peer.ref

    def alive_refs(self) -> list[EntryRef]:
        """Return this entry and the peers that are alive."""
        return [self.own, *(peer.ref for peer in self.peers.values() if self.alive(peer.ref))]

    def forget_unresponsive(self) -> None:
        """Forget peers without contact for `forget_after_s`; they are unlikely to return."""
        oldest = self.clock() - self.settings.forget_after_s
        for entry in [name for name, peer in self.peers.items() if peer.last_heard < oldest]:
            del self.peers[entry]

    def refs_to_share(self) -> list[EntryRef]:
        """Return the live entries to report to peers, in a large fleet those of this zone only."""
        if self.watches_all:
            return self.alive_refs()
        return [ref for ref in self.alive_refs() if ref.zone == self.own.zone]

    def refs_missing_at(self, heartbeat: Heartbeat) -> list[EntryRef]:
        """Return the entries to report to the sender of a heartbeat."""
        if self.watches_all or heartbeat.sender.zone == self.own.zone:
            return [] if heartbeat.members_digest == self.digest() else self.refs_to_share()
        return self.refs_to_share()[:MEMBERS_PER_REMOTE_ZONE] if heartbeat.wants_members else []

    def needs_members_of(self, zone: ZoneId) -> bool:
        """Return whether fewer than `MEMBERS_PER_REMOTE_ZONE` entries of a zone are known."""
        return sum(peer.ref.zone == zone for peer in self.peers.values()) < MEMBERS_PER_REMOTE_ZONE

    def digest(self) -> int:
        """Return a hash of the known entries, equal on entries that know the same ones."""
        names = sorted(f"{ref.entry}@{ref.incarnation}" for ref in self.refs_to_share())
        return xxhash.xxh64_intdigest("\n".join(names).encode())

    def reachable_zones(self) -> set[ZoneId]:
        """Return the availability zones with at least one live entry, the own zone included."""
        return {ref.zone for ref in self.alive_refs()}


class Heartbeats:
    """Sends heartbeats, with one task for each peer.

    Parameters
    ----------
    members : Members
        Records the answers.
    links : PeerLinks
        Connections of the process.
    seeds : list of str
        Endpoints to contact at the start.
    config_digest : callable
        Returns the digest of the configuration in force.
    on_config_digest : callable
        Called with a peer and the digest of its configuration whenever the peer reports it.
    partners : callable
        Returns the entries that own or hold a log which this entry holds or owns.
    """

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        seeds: list[str],
        config_digest: Callable[[], ConfigDigest],
        on_config_digest: Callable[[EntryRef, ConfigDigest], None],
        partners: Callable[[], list[EntryRef]] = list,
    ) -> None:
        self.members = members
        self.links = links
        self.seeds = seeds
        self.config_digest = config_digest
        self.on_config_digest = on_config_digest
        self.partners = partners
        self.tasks: dict[str, asyncio.Task] = {}
        self.supervisor = run_forever(self._supervise)

    async def stop(self) -> None:
        """Cancel all tasks."""
        tasks = [self.supervisor, *self.tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def message(self, zone: ZoneId | None = None) -> Heartbeat:
        """Return the current heartbeat for an entry of `zone`; None if its zone is not known."""
        members, config = self.members, self.config_digest()
        wants_members = zone is None or members.needs_members_of(zone)
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
        """Record a peer's heartbeat and return the reply to it."""
        self.members.record_contact(heartbeat.sender, heartbeat.state, heartbeat.config_version)
        self.on_config_digest(heartbeat.sender, _config_digest_of(heartbeat))
        missing = self.members.refs_missing_at(heartbeat)
        members, config = self.members, self.config_digest()
        return HeartbeatReply(
            members.own, members.state, config.version, missing, config.hash, config.confirmed
        )

    async def send_to_all(self) -> None:
        """Send a heartbeat to every peer at once; wait one period at most for the answers."""
        message = self.message()
        period_s = self.members.settings.heartbeat_s
        links = [self.links.to(address) for address in self.tasks]
        await asyncio.gather(*(link.request(message, period_s) for link in links))

    async def _supervise(self) -> None:
        while True:
            addresses = self._addresses()
            for address in addresses - self.tasks.keys():
                self.tasks[address] = run_forever(partial(self._send_heartbeats, address))
            for address in self.tasks.keys() - addresses:
                self.tasks.pop(address).cancel()
            await self.links.close_idle(IDLE_LINK_S)
            await asyncio.sleep(self.members.settings.heartbeat_s)

    def _addresses(self) -> set[str]:
        """Choose the peers to watch; return their addresses and those of the seeds."""
        members = self.members
        members.forget_unresponsive()
        partners = self.partners()
        members.add_reported(partners)
        known = [peer.ref for peer in members.peers.values()]
        watched = choose_watched(members.own, known, partners, members.settings)
        members.set_watched(watched)
        addresses = {ref.peer_address for ref in known if ref.entry in watched.entries}
        return (addresses | set(self.seeds)) - {members.own.peer_address}

    async def _send_heartbeats(self, address: str) -> None:
        link = self.links.to(address)
        period_s = self.members.settings.heartbeat_s
        pause_s = period_s
        zone = None
        while True:
            idle_s = self._idle_s(address)
            if idle_s < period_s * RECENT_FRACTION:
                # The heartbeat of the peer served as the exchange of this period.
                await asyncio.sleep(period_s - idle_s)
                continue
            reply = await link.request(self.message(zone), timeout_s=period_s * 2)
            if reply.is_ok() and isinstance(reply.ok_value, HeartbeatReply):
                self._record_reply(reply.ok_value)
                zone = reply.ok_value.sender.zone
                pause_s = period_s
            else:
                # A restarted peer sends heartbeats itself.  These retries find the end of a
                # network partition.
                pause_s = min(pause_s * 2, MAX_PAUSE_S)
            await asyncio.sleep(pause_s)

    def _idle_s(self, address: str) -> float:
        """Return the seconds since the last contact with an address, infinity if none."""
        for peer in self.members.peers.values():
            if peer.ref.peer_address == address:
                return self.members.clock() - peer.last_heard
        return math.inf

    def _record_reply(self, reply: HeartbeatReply) -> None:
        self.members.add_reported(reply.members)
        self.members.record_contact(reply.sender, reply.state, reply.config_version)
        self.on_config_digest(reply.sender, _config_digest_of(reply))


def _config_digest_of(message: Heartbeat | HeartbeatReply) -> ConfigDigest:
    return ConfigDigest(message.config_version, message.config_hash, message.config_confirmed)
