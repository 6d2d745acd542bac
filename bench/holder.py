"""A process that only holds copies of logs, and prints its endpoint.

python -m bench.holder INCARNATION
"""

import asyncio
import sys

import zmq.asyncio

from waxwingglade.base import Incarnation
from waxwingglade.connection.peer import PeerServer, Reply
from waxwingglade.connection.peer_messages import AppendRecords, Noted, PeerBody
from waxwingglade.process.copies import Copies


async def hold(incarnation: Incarnation) -> None:
    """Hold copies until the process is killed."""
    copies = Copies(lambda _: None, lambda message: None)

    async def answer(body: PeerBody, reply: Reply) -> None:
        await reply(copies.append(body) if isinstance(body, AppendRecords) else Noted(), True)

    server = PeerServer(zmq.asyncio.Context(), lambda name: name == incarnation, answer)
    print(server.start("127.0.0.1", 0), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(hold(Incarnation(sys.argv[1])))
