"""Tests of a request to a peer that is cancelled at the moment when its answer arrives."""

import asyncio
import unittest

import zmq.asyncio

from waxwingglade.base import ConfigVersion
from waxwingglade.connection.peer import PeerLink
from waxwingglade.connection.peer_messages import (
    PROTOCOL_VERSION,
    ConfigSnapshot,
    Envelope,
    FetchConfig,
)


class PeerRequestCancellation(unittest.IsolatedAsyncioTestCase):
    async def test_a_cancellation_that_coincides_with_the_answer_is_not_lost(self):
        context = zmq.asyncio.Context()
        link = PeerLink(context, "tcp://127.0.0.1:9", "")

        async def send_requests():
            while True:
                await link.request(FetchConfig(ConfigVersion(0)), timeout_s=60.0)

        task = asyncio.create_task(send_requests())
        while not link.pending:
            await asyncio.sleep(0)
        (number,) = link.pending
        link.pending[number].put_nowait(Envelope(PROTOCOL_VERSION, number, "", ConfigSnapshot()))
        task.cancel()
        await asyncio.wait([task], timeout=5.0)
        self.assertTrue(task.cancelled())
        await link.close()
        context.term()
