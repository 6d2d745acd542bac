"""Peers that only send and answer heartbeats, many of them in one process.

    python -m bench.crowd ADDRESS FIRST COUNT ZONES PERIOD

They send heartbeats to the entry at ADDRESS and report that all of them know the same entries.  The
process prints the peers' references as JSON and then reads the known entries as a line of JSON.
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


class KnownEntries(msgspec.Struct):
    """The entries that the simulated peers know; without `agree` their digest differs."""

    refs: list[EntryRef]
    agree: bool


def ref_of(number: int, zones: int, address: str) -> EntryRef:
    """Return the reference of the peer with a number, with names of typical length."""
    zone = ZoneId(f"region-{number % zones // 3}-zone-{number % zones}")
    return EntryRef(
        EntryId(f"entry-{number:04d}"), Incarnation(f"{number:016x}"), zone, address, ""
    )


class SimulatedPeer:
    """One peer."""

    def __init__(self, context: zmq.asyncio.Context, number: int, zones: int) -> None:
        self.server = PeerServer(context, lambda _: True, self.answer)
        self.ref = ref_of(number, zones, self.server.start("127.0.0.1", 0))
        self.digest = 0

    async def answer(self, body: PeerBody, reply: Reply) -> None:
        """Answer a heartbeat; any other message gets a plain acknowledgement."""
        if isinstance(body, Heartbeat):
            await reply(HeartbeatReply(self.ref, EntryState.ALIVE, VERSION), True)
            return
        await reply(Noted(), True)

    async def send_heartbeats(self, links: PeerLinks, address: str, period_s: float) -> None:
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
    """Run the peers until the process is killed."""
    context = zmq.asyncio.Context()
    context.set(zmq.MAX_SOCKETS, 4096)
    peers = [SimulatedPeer(context, number, zones) for number in range(first, first + count)]
    print(msgspec.json.encode([peer.ref for peer in peers]).decode(), flush=True)
    line = await asyncio.to_thread(sys.stdin.readline)
    known = msgspec.json.decode(line, type=KnownEntries)
    digest = digest_of(known.refs) if known.agree else 1
    tasks = []
    for peer in peers:
        peer.digest = digest
        tasks.append(
            asyncio.create_task(peer.send_heartbeats(PeerLinks(context), address, period_s))
        )
        await asyncio.sleep(period_s / count)
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], *map(int, sys.argv[2:5]), float(sys.argv[5])))
