"""Keeps the configuration of an entry current, from the store, from peers and from its data folder.

Two entries in each zone watch the store.  The others learn of a new version from heartbeats and
fetch it from the peer that has it, so versions also spread while the store is unavailable.
"""

import asyncio
import contextlib
from pathlib import Path

from loguru import logger

from waxwingglade.base import ConfigVersion, EntryRef, LogId
from waxwingglade.base.tasks import run_forever
from waxwingglade.connection.peer_messages import ConfigSnapshot, FetchConfig
from waxwingglade.process.config_store import ConfigStoreClient
from waxwingglade.process.entry import Entry
from waxwingglade.process.placement import rank
from waxwingglade.version import (
    ConfigDigest,
    ConfigService,
    Source,
    VersionReports,
    catch_up,
    delete_old_records,
    follow_store,
    maintain_copy,
    save_copy,
    seed_store,
)

WATCHERS_PER_ZONE = 2
WATCH_DUTY = LogId("watch-configuration")
CLEANUP_DUTY = LogId("tidy-configuration")
"""Keys by which entries are ranked for a duty."""

CLEANUP_PERIOD_S = 600.0
FETCH_TIMEOUT_S = 2.0
MAX_FETCHES = 2
"""Peers asked for a version at the same time; more than one, since the first may not answer."""

STORE_READ_LIMIT_S = 4.0
"""Seconds for which a starting entry retries to read the store while peers are missing.  Together
with the duration of the last read, this is less than the six seconds within which a new version
must be in force."""

RETRY_S = 0.2
POLL_S = 0.02
NO_VERSION = ConfigVersion(-1)
"""Lower than every version; a request for the versions after it gets a full snapshot."""


class Configuration:
    """Keeps the configuration of an entry current.

    Parameters
    ----------
    entry : Entry
        The process; its `config` holds the version in force.
    """

    def __init__(self, entry: Entry) -> None:
        self.entry = entry
        self.active = entry.config
        store = ConfigStoreClient(entry.store)
        self.service = ConfigService(store, entry.own, entry.config, clock=entry.wall_clock)
        self.reports = VersionReports(entry.clock)
        self.fetching: set[EntryRef] = set()
        self.store_read_attempted = False

    def start(self) -> None:
        """Start the tasks that follow the store, delete its old records and save a copy on disk."""
        self.entry.keep_running(self._do_duties)
        self.entry.keep_running(self._clean_up)
        folder = self.entry.settings.data_folder
        if folder is not None:
            Path(folder).mkdir(parents=True, exist_ok=True)
            self.entry.keep_running(maintain_copy, self.active, Path(folder))

    def stop(self) -> None:
        """Save the version in force, which may be newer than the last copy on disk."""
        folder = self.entry.settings.data_folder
        if folder is not None and self.active.current.version > 0:
            save_copy(Path(folder), self.active.current)

    async def wait_until_current(self) -> None:
        """Wait, before callers are served, for the version that the store or a live peer has.

        Otherwise a restarted process would serve under an older version than before its restart.
        The wait for peers that are ahead ends after `suspect_after_s`.
        """
        while not (self.store_read_attempted or self.active.confirmed):
            await asyncio.sleep(POLL_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.entry.settings.durability.suspect_after_s):
                while self._is_peer_ahead():
                    await asyncio.sleep(POLL_S)
        if not self.active.confirmed:
            logger.warning("neither the store nor a peer has confirmed the configuration")

    def _is_peer_ahead(self) -> bool:
        members = self.entry.members
        alive = [each for each in members.peers.values() if members.alive(each.ref)]
        return any(each.config_version > self.active.current.version for each in alive)

    # --- peers --------------------------------------------------------------------------------

    def on_peer_digest(self, peer: EntryRef, digest: ConfigDigest) -> None:
        """Record which version a peer has in force, and fetch it if it is newer."""
        self.reports.report(peer.entry, digest)
        if self.active.is_behind(digest):
            self.fetch_soon(peer, digest.version)

    def fetch_soon(self, peer: EntryRef, version: ConfigVersion) -> None:
        """Start to fetch a peer's version, unless `MAX_FETCHES` peers are already being asked."""
        if peer in self.fetching or len(self.fetching) >= MAX_FETCHES:
            return
        self.fetching.add(peer)
        self.entry.spawn(self._fetch(peer, version))

    async def _fetch(self, peer: EntryRef, version: ConfigVersion) -> None:
        try:
            done = await self._fetch_since(peer, self.active.current.version)
            if not done and self.active.current.version < version:
                # The newer records do not follow from the version here: fetch a full snapshot.
                await self._fetch_since(peer, NO_VERSION)
        finally:
            self.fetching.discard(peer)

    async def _fetch_since(self, peer: EntryRef, known: ConfigVersion) -> bool:
        """Fetch the versions after `known`; return whether there is no need for a full snapshot."""
        link = self.entry.links.to(peer.peer_address, peer.incarnation)
        reply = await link.request(FetchConfig(known), FETCH_TIMEOUT_S)
        if reply.is_err() or not isinstance(reply.ok_value, ConfigSnapshot):
            return True
        data = reply.ok_value.data
        if not data:
            return True
        accepted = self.active.offer_bytes(data, Source.PEER)
        return accepted.is_ok() and accepted.ok_value

    def answer(self, request: FetchConfig) -> ConfigSnapshot:
        """Return the versions that a peer lacks."""
        if request.known >= self.active.current.version:
            return ConfigSnapshot()
        recent = self.active.records_bytes(request.known)
        return ConfigSnapshot(recent or self.active.snapshot_bytes())

    # --- store --------------------------------------------------------------------------------

    def is_watcher(self) -> bool:
        """Return whether this entry is one of those in its zone that watch the store."""
        own = self.entry.own
        zone = [ref for ref in self.entry.members.usable() if ref.zone == own.zone]
        first = rank(WATCH_DUTY, [own, *zone])[:WATCHERS_PER_ZONE]
        return own in first

    async def _do_duties(self) -> None:
        """Read the store once, then watch it while that is this entry's duty."""
        try:
            await self._read_store()
        finally:
            self.store_read_attempted = True
        watching: asyncio.Task | None = None
        try:
            while True:
                if self.is_watcher() and watching is None:
                    watching = run_forever(self._watch)
                elif not self.is_watcher() and watching is not None:
                    await _cancel(watching)
                    watching = None
                self._forget_unresponsive_peers()
                await asyncio.sleep(self.entry.settings.durability.heartbeat_s)
        finally:
            if watching is not None:
                await _cancel(watching)

    async def _read_store(self) -> None:
        """Read the store; retry failures while a peer that may have a newer version is missing."""
        clock = self.entry.clock
        end_at = clock() + STORE_READ_LIMIT_S
        while (found := await catch_up(self.service.config_store, self.active)).is_err():
            logger.info("the configuration was not read: {}", found.err_value.message)
            if self.active.confirmed or self._reaches_all_peers() or clock() >= end_at:
                return
            await asyncio.sleep(RETRY_S)

    def _reaches_all_peers(self) -> bool:
        return len(self.entry.members.usable()) >= len(self.entry.settings.peers)

    def _forget_unresponsive_peers(self) -> None:
        """Discard the reports of entries that are no longer alive."""
        alive = {ref.entry for ref in self.entry.members.alive_refs()}
        for entry in self.reports.reports.keys() - alive:
            self.reports.forget(entry)

    async def _watch(self) -> None:
        """Follow the store, after seeding it if it holds no configuration."""
        pause_s = self.entry.settings.durability.suspect_after_s
        while True:
            found = await catch_up(self.service.config_store, self.active)
            if found.is_ok() and not found.ok_value:
                seeded = await seed_store(
                    self.service.config_store, self.active, self.entry.own, self.entry.wall_clock
                )
                logger.debug("seeding the store: {}", seeded.is_ok() and seeded.ok_value)
            if found.is_ok():
                break
            await asyncio.sleep(pause_s)
        await follow_store(self.service.config_store, self.active)

    async def _clean_up(self) -> None:
        """Periodically remove old records from the store if this entry ranks first of all."""
        while True:
            await asyncio.sleep(CLEANUP_PERIOD_S)
            own = self.entry.own
            if rank(CLEANUP_DUTY, [own, *self.entry.members.usable()])[0] == own:
                await delete_old_records(self.service.config_store, self.entry.wall_clock())


async def _cancel(task: asyncio.Task) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
