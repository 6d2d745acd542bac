"""The interfaces for callers and operators with arbitrary requests."""

import asyncio

import hypothesis.strategies as st
import msgspec
from hypothesis import given, settings
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from tests.client import model_call
from tests.fuzz.builders import FIXED, LoopCase, damaged, json_values
from tests.processes import TOKEN, caller_key
from tests.prove.operators import APPROVER, TREE, operator_keys, token
from waxwingglade.base import ErrorCode, Failure, Verdict
from waxwingglade.connection.peer_messages import CallerEvent, ProgramView
from waxwingglade.process.tests.one_entry import OneEntry
from waxwingglade.settings import ProgramPolicy

FEWER = settings(FIXED, max_examples=120)
INTERNAL = 500
FIRST_ERROR = 400
LIMITS = {"body_bytes": 4096, "nesting": 8}
CALL = msgspec.json.encode(model_call("c1", "hello", max_tokens=3, order=1))
PROPOSAL = msgspec.json.encode(
    {"changes": [{"level": "firm", "setting": "queue_limit", "value": 7}], "base_version": 1}
)

bodies = (
    st.binary(max_size=60)
    | json_values.map(msgspec.json.encode)
    | damaged(CALL)
    | st.dictionaries(
        st.sampled_from(["type", "call", "model", "messages", "tool", "arguments", "order"]),
        json_values | st.sampled_from(["model", "tool", "sub_program", "base", "booking"]),
    ).map(msgspec.json.encode)
    | st.integers(1, 3000).map(lambda depth: b"[" * depth)
    | st.just(b'"' + b"x" * 5000 + b'"')
)
segments = st.text(
    st.characters(codec="ascii", categories=["L", "N"]), max_size=8
) | st.sampled_from(
    ["programs", "calls", "events", "c1", "%2e%2e", "%00", "zone-1.entry-0.x.home0.y"]
)
caller_paths = st.sampled_from(
    ["/v1/programs", "/v1/programs/{program}/calls", "/v1/chat/completions"]
) | st.lists(segments, max_size=5).map(lambda parts: "/v1/" + "/".join(parts))
operator_paths = st.sampled_from(
    ["/v1/config/proposals", "/v1/config/proposals/p/approve", "/v1/config/proposals/p/reject"]
) | st.lists(segments, max_size=4).map(lambda parts: "/v1/config/" + "/".join(parts))
methods = st.sampled_from(["POST", "GET", "DELETE", "PUT"])


class Apis(LoopCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        overrides = {
            "caller_keys": [caller_key()],
            "operator_keys": operator_keys(),
            "config": TREE,
            "limits": LIMITS,
        }
        cls.entry = OneEntry(ProgramPolicy(), overrides)
        cls.runner.run(cls.entry.start())
        cls.addClassCleanup(lambda: cls.runner.run(cls.entry.stop()))
        cls.client = cls.runner.run(cls.open_client())
        cls.addClassCleanup(cls.client.close)
        answer = cls.runner.run(
            cls.send("POST", "/v1/programs", b'{"program_class": "appointment"}')
        )
        cls.program = msgspec.json.decode(answer.body)["program"]

    @classmethod
    async def open_client(cls):
        """Return a client that uses the event loop of the class."""
        return SimpleAsyncHTTPClient(force_instance=True)

    @classmethod
    async def send(cls, method, path, body=None, operator=False):
        """Send a request and return the answer."""
        daemon = cls.entry.daemon
        url = daemon.operator_url if operator else daemon.url
        key = token(APPROVER) if operator else TOKEN
        return await cls.client.fetch(
            url + path,
            method=method,
            body=body if method in ("POST", "PUT") else None,
            headers={"Authorization": f"Bearer {key}"},
            allow_nonstandard_methods=True,
            raise_error=False,
        )

    def check(self, answer):
        """Check that an answer is a success, or a typed failure of a request that did not run."""
        self.assertNotEqual(INTERNAL, answer.code, answer.body)
        if answer.code < FIRST_ERROR:
            return
        failure = msgspec.json.decode(answer.body, type=CallerEvent)
        self.assertIsInstance(failure, Failure)
        self.assertIsNot(ErrorCode.INTERNAL, failure.code)
        self.assertIs(Verdict.NOT_RUN, failure.verdict)

    @FEWER
    @given(methods, caller_paths, bodies)
    def test_callers_get_an_answer_or_a_typed_failure(self, method, path, body):
        path = path.replace("{program}", self.program)
        self.check(self.run_async(self.send(method, path, body)))

    @FEWER
    @given(methods, operator_paths, bodies | damaged(PROPOSAL))
    def test_operators_get_an_answer_or_a_typed_failure(self, method, path, body):
        self.check(self.run_async(self.send(method, path, body, operator=True)))

    @FEWER
    @given(st.binary(max_size=80) | damaged(b"POST /v1/programs HTTP/1.1\r\nHost: x\r\n\r\n"))
    def test_nothing_is_lost_by_what_is_no_http(self, content):
        async def exchange():
            host, port = self.entry.daemon.url.removeprefix("http://").split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(content)
            await writer.drain()
            writer.close()
            return await self.send("GET", f"/v1/programs/{self.program}")

        view = msgspec.json.decode(self.run_async(exchange()).body, type=CallerEvent)
        self.assertIsInstance(view, ProgramView)
        self.assertEqual(self.program, view.program)
