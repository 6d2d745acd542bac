"""Frames between the processes of a platform: damaged, foreign, and nested too deeply."""

import asyncio

import hypothesis.strategies as st
import zmq
from hypothesis import given

from tests.fuzz.builders import FIXED, LoopCase, damaged, packed_values
from waxwingglade.base import ConfigVersion, FormatError, TargetId, ZoneId
from waxwingglade.follow.messages import Follow, Followed
from waxwingglade.follow.model import (
    Configuration,
    Replica,
    ReplicaSet,
    Revision,
    ServiceName,
    Target,
    TargetList,
    View,
)
from waxwingglade.ledger.messages import LedgerMessage
from waxwingglade.transport.links import Codec, Links, LinkServer

CODEC = Codec(LedgerMessage)
TARGET = Target(TargetId("i"), ServiceName("s"), "10.0.0.1:1", ZoneId("z"), 8, started_ms=1)
MEMBERS = ReplicaSet(1, (Replica("d", "vm", "tcp://10.0.0.1:1", ZoneId("z")),), True)
VIEW = View(Configuration(ConfigVersion(1), (), ()), TargetList(Revision(1), (TARGET,)), MEMBERS)
FOLLOW = Follow(ConfigVersion(1), Revision(1), 1, 0.0)
ANSWER = Followed(VIEW, 0.1)
TIMEOUT_S = 20.0

deep_frames = st.builds(
    lambda start, opening, depth: start + opening * depth,
    st.sampled_from([b"", b"\x92\x01", b"\x92\x01\x82\xa4type\xa6Follow\xa7version"]),
    st.sampled_from([b"\x91", b"\x81\xa1a", b"\x81"]),
    st.integers(1, 5000),
)
frames = (
    st.binary(max_size=200)
    | damaged(CODEC.encode(1, ANSWER))
    | damaged(CODEC.encode(1, FOLLOW))
    | packed_values
    | deep_frames
)


def is_unreadable(frame: bytes) -> bool:
    """Return whether a frame can't be decoded as a message."""
    try:
        CODEC.decode(frame)
    except FormatError:
        return True
    return False


class LinkFrames(LoopCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.runner.run(cls.open())
        cls.addClassCleanup(lambda: cls.runner.run(cls.close()))

    @classmethod
    async def open(cls):
        """Start a server, a link to it, and a socket for invalid frames."""
        cls.context = zmq.Context()

        async def answer(message):
            return ANSWER if message == FOLLOW else None

        cls.server = LinkServer(cls.context, CODEC, answer)
        cls.address = cls.server.start("tcp://127.0.0.1:*")
        cls.links = Links(cls.context, CODEC)
        cls.stranger = cls.context.socket(zmq.DEALER)
        cls.stranger.connect(cls.address)

    @classmethod
    async def close(cls):
        """Close all sockets."""
        cls.stranger.close(linger=0)
        cls.links.close()
        await cls.server.stop()
        cls.context.term()

    @FIXED
    @given(frames)
    def test_a_frame_that_is_read_can_be_sent_again(self, frame):
        try:
            number, body = CODEC.decode(frame)
        except FormatError as error:
            self.assertLess(len(str(error)), 300)
        else:
            self.assertEqual((number, body), CODEC.decode(CODEC.encode(number, body)))

    @FIXED
    @given(st.lists(frames, min_size=1, max_size=4))
    def test_a_server_answers_others_after_what_it_cannot_read(self, parts):
        async def exchange():
            self.stranger.send_multipart(parts)
            return await self.links.to(self.address).request(FOLLOW, TIMEOUT_S)

        self.assertEqual(ANSWER, self.run_async(exchange()))

    @FIXED
    @given(frames.filter(is_unreadable))
    def test_an_answer_arrives_after_one_that_cannot_be_read(self, garbage):
        async def exchange():
            link = self.links.to(self.address)
            asked = link.post(FOLLOW, TIMEOUT_S)
            link._received([garbage, CODEC.encode(max(link.pending), ANSWER)])
            return await asyncio.wait_for(asked, TIMEOUT_S)

        self.assertEqual(ANSWER, self.run_async(exchange()))
