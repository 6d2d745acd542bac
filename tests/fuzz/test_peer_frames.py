"""Frames between entries: damaged, foreign, late, duplicated and out of order."""

import asyncio

import hypothesis.strategies as st
import msgspec
import zmq
import zmq.asyncio
from hypothesis import given

from tests.fuzz.builders import FIXED, LoopCase, damaged, packed_values
from waxwingglade.base import EntryId, EntryRef, Epoch, FormatError, Incarnation, LogId, ZoneId
from waxwingglade.connection.peer import PeerLink, PeerServer
from waxwingglade.connection.peer_messages import (
    PROTOCOL_VERSION,
    AppendRecords,
    Envelope,
    FindLog,
    LogFound,
    decode_envelope,
    encode_envelope,
)
from waxwingglade.program import decode_record, encode_record
from waxwingglade.program.records import ProgramEnded

OWNER = EntryRef(EntryId("e"), Incarnation("i"), ZoneId("z"), "tcp://127.0.0.1:1")
LOG = LogId("z.e.i.home0")
APPEND = AppendRecords(
    log=LOG, epoch=Epoch(1), owner=OWNER, copies=[OWNER], first=0, records=[b"x"], registered=True
)
FRAME = encode_envelope(Envelope(PROTOCOL_VERSION, 1, "i", APPEND))
RECORD = encode_record(Epoch(1), "z.e.i.home0.n", ProgramEnded("done", 1.0))
PATIENCE_S = 20.0

frames = st.binary(max_size=200) | damaged(FRAME) | packed_values
records = st.binary(max_size=200) | damaged(RECORD) | packed_values


def is_unreadable(frame: bytes) -> bool:
    """Return whether a frame cannot be decoded as a message."""
    try:
        decode_envelope(frame)
    except FormatError:
        return True
    return False


class Decoding(LoopCase):
    @FIXED
    @given(frames)
    def test_a_frame_is_read_or_refused(self, frame):
        try:
            self.assertIsInstance(decode_envelope(frame), Envelope)
        except FormatError:
            return

    @FIXED
    @given(records)
    def test_a_record_is_read_or_refused(self, data):
        try:
            decode_record(data)
        except FormatError:
            return

    @FIXED
    @given(st.integers(PROTOCOL_VERSION + 1, 2**40), packed_values)
    def test_a_newer_protocol_is_refused(self, version, content):
        body = msgspec.Raw(content)
        frame = msgspec.msgpack.encode({"protocol": version, "number": 1, "body": body})
        with self.assertRaises(FormatError):
            decode_envelope(frame)


class Sockets(LoopCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.runner.run(cls.open())
        cls.addClassCleanup(lambda: cls.runner.run(cls.close()))

    @classmethod
    async def open(cls):
        """Start a server that finds every log, a link to it, and a socket for invalid frames."""
        cls.context = zmq.asyncio.Context()

        async def answer(body, reply):
            await reply(LogFound(OWNER, Epoch(len(body.log))), True)

        cls.server = PeerServer(cls.context, lambda name: name == "i", answer)
        cls.address = cls.server.start("127.0.0.1", 0)
        cls.link = PeerLink(cls.context, cls.address, Incarnation("i"))
        cls.stranger = cls.context.socket(zmq.DEALER)
        cls.stranger.connect(cls.address)

    @classmethod
    async def close(cls):
        """Close all sockets."""
        cls.stranger.close(linger=0)
        await cls.link.close()
        await cls.server.stop()
        cls.context.term()

    @FIXED
    @given(st.lists(frames, min_size=1, max_size=4))
    def test_a_server_answers_others_after_what_it_cannot_read(self, parts):
        async def exchange():
            await self.stranger.send_multipart(parts)
            return await self.link.request(FindLog(LOG), PATIENCE_S)

        answer = self.run_async(exchange())
        self.assertEqual(LogFound(OWNER, Epoch(len(LOG))), answer.ok_value)

    @FIXED
    @given(st.data())
    def test_answers_meet_their_requests_though_late_doubled_and_mixed_with_garbage(self, data):
        count = data.draw(st.integers(1, 6))
        order = data.draw(st.permutations(list(range(count)) * 2))
        garbage = data.draw(frames.filter(is_unreadable))
        answers = self.run_async(shuffled(count, order, garbage))
        self.assertEqual([LogFound(OWNER, Epoch(n)) for n in range(count)], answers)


async def shuffled(count, order, garbage):
    """Send requests to a server that answers in a given order; return their answers."""
    context = zmq.asyncio.Context()
    server = context.socket(zmq.ROUTER)
    port = server.bind_to_random_port("tcp://127.0.0.1")
    link = PeerLink(context, f"tcp://127.0.0.1:{port}", Incarnation("i"))
    try:
        requests_sent = [
            asyncio.create_task(link.request(FindLog(LogId(f"{n}")), PATIENCE_S))
            for n in range(count)
        ]
        received = [await server.recv_multipart() for _ in range(count)]
        requests = {}
        for sender, frame in received:
            envelope = decode_envelope(frame)
            requests[int(envelope.body.log)] = (sender, envelope.number)
        for n in order:
            sender, number = requests[n]
            reply = Envelope(PROTOCOL_VERSION, number, "", LogFound(OWNER, Epoch(n)))
            await server.send_multipart([sender, garbage])
            await server.send_multipart([sender, encode_envelope(reply)])
        return [(await each).ok_value for each in requests_sent]
    finally:
        await link.close()
        server.close(linger=0)
        context.term()
