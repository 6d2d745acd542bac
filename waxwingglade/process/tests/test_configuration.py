"""An entry catches up with the configuration of its peers and of the store."""

import asyncio
import unittest
from unittest import mock

from waxwingglade.base import (
    ConfigVersion,
    EntryId,
    EntryRef,
    ErrorCode,
    Incarnation,
    Ok,
    Outcome,
    ZoneId,
    not_run,
)
from waxwingglade.connection.peer_messages import ConfigSnapshot, EntryState, FetchConfig
from waxwingglade.process.configuration import (
    MAX_FETCHES,
    NO_VERSION,
    RETRY_S,
    Configuration,
)
from waxwingglade.process.entry import Entry
from waxwingglade.settings import DurabilitySettings, ProcessSettings
from waxwingglade.settings.process import PeerSettings
from waxwingglade.version import ActiveConfig, ConfigDigest, Source
from waxwingglade.version import ConfigSnapshot as VersionSnapshot
from waxwingglade.version.snapshot import replay
from waxwingglade.version.tests.builders import make_tree, next_record, set_value, with_timeout

PEERS = [
    EntryRef(EntryId(f"peer-{number}"), Incarnation(f"i{number}"), ZoneId("zone-1"), f"tcp://{n}:1")
    for number, n in enumerate("abc")
]
NOT_READ = not_run(ErrorCode.STORE_UNAVAILABLE, "no answer in time")
CATCH_UP = "waxwingglade.process.configuration.catch_up"
SHORT_S = 0.05
LONG_S = 600.0


class NewerPeers:
    """Peers with a newer configuration version; they answer once `may_answer` is set."""

    def __init__(self, start: VersionSnapshot) -> None:
        self.active = ActiveConfig(start)
        self.active.offer_records([next_record(start, set_value(7))], Source.STORE)
        self.active.confirmed = True
        self.asked: list[ConfigVersion] = []
        self.may_answer = asyncio.Event()

    async def request(self, body: FetchConfig, timeout_s: float):
        self.asked.append(body.known)
        await self.may_answer.wait()
        records = self.active.records_bytes(body.known)
        return Ok(ConfigSnapshot(records or self.active.snapshot_bytes()))


class CatchingUp(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        durability = DurabilitySettings(suspect_after_s=LONG_S)
        self.entry = Entry(ProcessSettings(entry="own", zone="zone-1", durability=durability))
        self.addAsyncCleanup(self.entry.store.close)
        self.addAsyncCleanup(self.entry.http.close)
        self.entry.config = ActiveConfig(VersionSnapshot(ConfigVersion(4), make_tree()))
        self.configuration = Configuration(self.entry)
        self.newer_peers = NewerPeers(self.entry.config.current)
        self.entry.links = mock.Mock(to=lambda *_: self.newer_peers)

    def receive_heartbeat(self, peer: EntryRef) -> None:
        digest = self.newer_peers.active.digest()
        self.entry.members.record_contact(peer, EntryState.ALIVE, digest.version)
        self.configuration.on_peer_digest(peer, digest)

    async def wait_for_tasks(self) -> None:
        while self.entry.tasks:
            await asyncio.sleep(0)

    async def test_it_does_not_serve_before_it_has_the_version_of_a_peer(self):
        self.configuration.store_read_attempted = True
        self.receive_heartbeat(PEERS[0])
        waiting = asyncio.create_task(self.configuration.wait_until_current())
        await asyncio.sleep(0.1)
        self.assertFalse(waiting.done())
        self.newer_peers.may_answer.set()
        await with_timeout(waiting)
        self.assertEqual(5, self.entry.config.current.version)

    async def test_it_waits_for_the_store_unless_a_peer_has_confirmed_the_version(self):
        waiting = asyncio.create_task(self.configuration.wait_until_current())
        await asyncio.sleep(0.1)
        self.assertFalse(waiting.done())
        own = self.entry.config.digest()
        self.configuration.on_peer_digest(
            PEERS[0], ConfigDigest(own.version, own.hash, confirmed=True)
        )
        await with_timeout(waiting)
        self.assertTrue(self.entry.config.confirmed)

    async def start_with_missing_peer(self, *outcomes: Outcome[bool]) -> asyncio.Task:
        """Start an entry with a missing peer; return the task that waits until it may serve."""
        durability = DurabilitySettings(suspect_after_s=SHORT_S)
        missing = PeerSettings(entry="peer", zone="zone-2", peer_address="tcp://peer:1")
        self.entry.settings = ProcessSettings(
            entry="own", zone="zone-1", durability=durability, peers=[missing]
        )
        patch = mock.patch(CATCH_UP, mock.AsyncMock(side_effect=outcomes))
        self.reads = self.enterContext(patch)
        read_task = asyncio.create_task(self.configuration._do_duties())
        self.addCleanup(read_task.cancel)
        return asyncio.create_task(self.configuration.wait_until_current())

    async def test_it_does_not_serve_after_a_failed_read_of_the_store(self):
        """Guards against an entry that returns to the version in its settings after a restart,
        which happens if it serves after a failed read of the store.
        """
        with mock.patch.object(self.configuration, "is_watcher", return_value=False):
            waiting = await self.start_with_missing_peer(NOT_READ, NOT_READ, Ok(True))
            await asyncio.sleep(RETRY_S + SHORT_S)
            self.assertFalse(waiting.done())
            await with_timeout(waiting)
        self.assertEqual(3, self.reads.await_count)

    async def test_it_serves_after_the_wait_limit_though_no_read_succeeds(self):
        with (
            mock.patch.object(self.configuration, "is_watcher", return_value=False),
            mock.patch("waxwingglade.process.configuration.STORE_READ_LIMIT_S", SHORT_S),
        ):
            waiting = await self.start_with_missing_peer(NOT_READ, NOT_READ)
            await with_timeout(waiting)
        self.assertFalse(self.entry.config.confirmed)

    async def test_a_version_of_several_peers_is_fetched_as_a_change(self):
        for peer in PEERS:
            self.receive_heartbeat(peer)
        await asyncio.sleep(0.01)
        self.newer_peers.may_answer.set()
        await with_timeout(self.wait_for_tasks())
        self.assertEqual(5, self.entry.config.current.version)
        self.assertEqual([4] * MAX_FETCHES, self.newer_peers.asked)

    async def test_a_version_that_does_not_follow_from_the_own_one_is_fetched_in_full(self):
        other = replay(
            VersionSnapshot(4, make_tree()),
            [next_record(VersionSnapshot(4, make_tree()), set_value(9))],
        )
        self.newer_peers = NewerPeers(VersionSnapshot(ConfigVersion(4), other.tree))
        self.newer_peers.may_answer.set()
        self.receive_heartbeat(PEERS[0])
        await with_timeout(self.wait_for_tasks())
        self.assertEqual([4, NO_VERSION], self.newer_peers.asked)
        self.assertEqual(self.newer_peers.active.digest().hash, self.entry.config.digest().hash)
