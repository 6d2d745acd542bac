"""Peers that do no more than send and answer heartbeats, many in one process.

    python -m bench.crowd ADDRESS FIRST COUNT ZONES PERIOD

They beat to the entry at ADDRESS and tell it that all of them know the same entries.  The endpoints
are printed as JSON; then a line with the entry's reference is read, as JSON.
"""

import asyncio
import sys

import msgspec
import zmq.asyncio

from waxwingglade.base import ConfigVersion, EntryId, EntryRef, Incarnation, ZoneId
from waxwingglade.connection.member_messages import EntryState, Heartbeat, HeartbeatReply
from waxwingglade.connection.peer import PeerLinks, PeerServer, Reply
from waxwingglade.connection.peer_messages import Noted, PeerBody
from waxwingglade.process.members import Members
from waxwingglade.settings import DurabilitySettings

VERSION = ConfigVersion(0)


class Everyone(msgspec.Struct):
    """What the crowd is told once all have started."""

    refs: list[EntryRef]
    agree: bool


def ref_of(number: int, zones: int, address: str) -> EntryRef:
    """Return the reference of the peer with a number, with names of usual length."""
    zone = ZoneId(f"region-{number % zones // 3}-zone-{number % zones}")
    return EntryRef(
        EntryId(f"entry-{number:04d}"), Incarnation(f"{number:016x}"), zone, address, ""
    )


class CrowdPeer:
    """One peer."""

    def __init__(self, context: zmq.asyncio.Context, number: int, zones: int) -> None:
        self.server = PeerServer(context, lambda _: True, self.answer)
        self.ref = ref_of(number, zones, self.server.start("127.0.0.1", 0))
        self.digest = 0

    async def answer(self, body: PeerBody, reply: Reply) -> None:
        """Answer a heartbeat; nothing else is asked."""
        if isinstance(body, Heartbeat):
            await reply(HeartbeatReply(self.ref, EntryState.ALIVE, VERSION), True)
            return
        await reply(Noted(), True)

    async def beat(self, links: PeerLinks, address: str, period_s: float) -> None:
        """Send heartbeats to the entry."""
        link = links.to(address, "")
        while True:
            message = Heartbeat(self.ref, EntryState.ALIVE, self.digest, VERSION)
            await link.request(message, period_s * 2)
            await asyncio.sleep(period_s)


def digest_of(refs: list[EntryRef]) -> int:
    """Return the digest of an entry that knows all of `refs`."""
    members = Members(refs[0], DurabilitySettings())
    for ref in refs[1:]:
        members.record_contact(ref, EntryState.ALIVE, VERSION)
    return members.digest()


async def run(address: str, first: int, count: int, zones: int, period_s: float) -> None:
    """Play the peers until killed."""
    context = zmq.asyncio.Context()
    context.set(zmq.MAX_SOCKETS, 4096)
    peers = [CrowdPeer(context, number, zones) for number in range(first, first + count)]
    print(msgspec.json.encode([peer.ref for peer in peers]).decode(), flush=True)
    line = await asyncio.to_thread(sys.stdin.readline)
    everyone = msgspec.json.decode(line, type=Everyone)
    digest = digest_of(everyone.refs) if everyone.agree else 1
    tasks = []
    for peer in peers:
        peer.digest = digest
        tasks.append(asyncio.create_task(peer.beat(PeerLinks(context), address, period_s)))
        await asyncio.sleep(period_s / count)
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], *map(int, sys.argv[2:5]), float(sys.argv[5])))
