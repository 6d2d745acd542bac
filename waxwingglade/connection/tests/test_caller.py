"""Interface for callers: errors, limits, isolation, listing, interrupted streams and health."""

import asyncio
import unittest
from unittest import mock

import msgspec

from waxwingglade.base import Failure, Verdict
from waxwingglade.connection import caller
from waxwingglade.connection.api_client import ApiClient
from waxwingglade.connection.http_limits import check_nesting, exceeds_depth
from waxwingglade.connection.keys import KeyRing, find_key, new_key
from waxwingglade.connection.peer_messages import EntryState
from waxwingglade.connection.tests.caller_builders import (
    client,
    create,
    model_call,
    serving,
    system,
)
from waxwingglade.program import Delta
from waxwingglade.settings import CallerKey, LimitSettings

WAIT_LIMIT_S = 10.0

BAD_CALLS = {
    "bad JSON": b'{"type": "model",',
    "bad UTF-8": b'{"type": "tool", "call": "c", "tool": "\xff\xfe", "arguments": {}}',
    "half a surrogate pair": b'{"type": "tool", "call": "c", "tool": "\\ud800", "arguments": {}}',
    "wrong type": msgspec.json.encode(model_call("c", max_tokens="many")),
    "unknown kind": b'{"type": "dance", "call": "c"}',
    "no object": b"[]",
    "nothing": b"",
    "too deep": b'{"type":"tool","call":"c","tool":"lookup","arguments":{"a":'
    + b"[" * 200_000
    + b"]" * 200_000
    + b"}}",
    "line end in the call id": msgspec.json.encode(model_call("c\nX-Other: 1")),
    "negative tokens": msgspec.json.encode(model_call("c", max_tokens=-1)),
    "order zero": msgspec.json.encode(model_call("c", order=0)),
    "no messages": b'{"type": "model", "call": "c", "model": "base", "messages": []}',
    "integer of 70 bits": b'{"type":"tool","call":"c","tool":"lookup","arguments":{"n":'
    + str(2**70).encode()
    + b"}}",
}


class Errors(unittest.IsolatedAsyncioTestCase):
    async def test_invalid_bodies_are_rejected_as_not_run(self):
        async with system() as (running, http):
            caller = client(running, http)
            program = await create(caller)
            for what, body in BAD_CALLS.items():
                with self.subTest(what):
                    answer = await caller.send("POST", f"/v1/programs/{program}/calls", body)
                    self.assert_failure(answer, 400, "bad_request")
            view = await caller.json("GET", f"/v1/programs/{program}")
            self.assertEqual([], view["calls"])

    async def test_unknown_paths_methods_and_invalid_arguments(self):
        async with system() as (running, http):
            caller = client(running, http)
            cases = [
                ("GET", "/v1/nothing", 404, "not_found"),
                ("PUT", "/v1/programs", 405, "bad_request"),
                ("GET", "/v1/programs/unknown", 404, "not_found"),
                ("GET", "/v1/programs/a.b.c.1.d", 404, "not_found"),
                ("GET", "/v1/programs/%ff%fe", 400, "bad_request"),
                ("GET", "/v1/programs?limit=0", 400, "bad_request"),
                ("GET", "/v1/programs?state=odd", 400, "bad_request"),
                ("GET", "/v1/programs/a/calls/b/events?offset=-1", 400, "bad_request"),
            ]
            for method, path, status, code in cases:
                with self.subTest(path):
                    answer = await caller.send(method, path)
                    self.assert_failure(answer, status, code)

    async def test_a_long_body_and_long_headers_are_rejected(self):
        limits = LimitSettings(body_bytes=2048, header_bytes=1024)
        async with system(limits=limits) as (running, http):
            caller = client(running, http)
            for size in (2049, 8000, 100_000):
                answer = await caller.send("POST", "/v1/programs", b" " * size)
                self.assert_failure(answer, 413, "too_large")
            answer = await caller.send("GET", "/v1/programs", headers={"X-Long": "a" * 1500})
            self.assert_failure(answer, 413, "too_large")
            self.assertEqual(200, (await caller.send("GET", "/v1/programs")).status)

    async def test_a_rejection_by_a_draining_entry_says_when_to_retry(self):
        async with system() as (running, http):
            running.daemons[0].entry.members.state = EntryState.DRAINING
            caller = client(running, http)
            answer = await caller.send("POST", "/v1/programs", {"program_class": "appointment"})
            self.assert_failure(answer, 503, "draining")
            self.assertEqual("1", answer.headers["retry-after"])

    def assert_failure(self, answer, status, code):
        failure = msgspec.json.decode(answer.body, type=Failure)
        self.assertEqual((status, code), (answer.status, failure.code.value))
        self.assertIs(Verdict.NOT_RUN, failure.verdict)


class Keys(unittest.IsolatedAsyncioTestCase):
    def test_only_the_right_token_is_found(self):
        first, second = new_key(), new_key()
        keys = [
            CallerKey("a", first.salt, first.sha256),
            CallerKey("b", second.salt, second.sha256),
        ]
        self.assertEqual("b", find_key(keys, f"Bearer {second.token}").tenant)
        self.assertIsNone(find_key(keys, f"Bearer {second.token}x"))
        self.assertIsNone(find_key(keys, second.token))
        self.assertIsNone(find_key(keys, f"Bearer {second.sha256}"))
        self.assertNotIn(first.token, repr(keys))

    def test_a_token_seen_before_is_found_again_and_no_other(self):
        key = new_key()
        ring = KeyRing([CallerKey("a", key.salt, key.sha256)])
        for _ in range(2):
            self.assertEqual("a", ring.find(f"Bearer {key.token}").tenant)
            self.assertIsNone(ring.find(f"Bearer {key.token}x"))
            self.assertIsNone(ring.find(key.token))
        self.assertEqual(1, len(ring.found_keys))

    async def test_no_tenant_reaches_the_program_of_another(self):
        async with system() as (running, http):
            owner = client(running, http)
            other = client(running, http, tenant="kiprono")
            program = await create(owner)
            await owner.json("POST", f"/v1/programs/{program}/calls", model_call("m1"))
            requests = [
                ("GET", f"/v1/programs/{program}", None),
                ("DELETE", f"/v1/programs/{program}", None),
                ("POST", f"/v1/programs/{program}/calls", model_call("m2")),
                ("GET", f"/v1/programs/{program}/calls/m1/events", None),
            ]
            for method, path, body in requests:
                answer = await other.send(method, path, body)
                missing = await other.send(method, path.replace(program, program + "0"), body)
                self.assertEqual((404, 404), (answer.status, missing.status))
            self.assertEqual([], (await other.json("GET", "/v1/programs"))["programs"])
            view = await owner.json("GET", f"/v1/programs/{program}")
            self.assertEqual(("open", 1), (view["state"], len(view["calls"])))

    async def test_a_missing_or_wrong_token_is_rejected(self):
        async with system() as (running, http):
            for token in ("", "wrong", running.keys["kettu"].sha256):
                answer = await ApiClient(http, running.urls[0], token).send("GET", "/v1/programs")
                self.assertEqual(401, answer.status)


class Limits(unittest.TestCase):
    def test_brackets_in_strings_do_not_count(self):
        self.assertFalse(exceeds_depth(b'{"a": "[[[[[[\\"[[["}', 1))
        self.assertTrue(exceeds_depth(b"[[[]]]", 2))
        self.assertFalse(exceeds_depth(b"[[],[],[]]", 2))
        self.assertIsNone(check_nesting(b"[" * 4, LimitSettings(nesting=4)))
        self.assertIsNotNone(check_nesting(b"[" * 5, LimitSettings(nesting=4)))


class Listing(unittest.IsolatedAsyncioTestCase):
    async def test_programs_of_all_entries_are_listed_in_pages(self):
        async with system(zones=3) as (running, http):
            callers = [client(running, http, entry) for entry in range(3)]
            created = {await create(caller) for caller in callers for _ in range(2)}
            first = await callers[1].json("GET", "/v1/programs?limit=4")
            rest = await callers[2].json("GET", f"/v1/programs?after={first['next_after']}")
            listed = [each["program"] for each in first["programs"] + rest["programs"]]
            self.assertEqual(sorted(created), listed)
            self.assertEqual([], first["unanswered"] + rest["unanswered"])
            await callers[0].json("DELETE", f"/v1/programs/{listed[0]}")
            ended = await callers[1].json("GET", "/v1/programs?state=ended")
            self.assertEqual([listed[0]], [each["program"] for each in ended["programs"]])

    async def test_an_entry_that_does_not_answer_is_reported(self):
        async with system(zones=2) as (running, http):
            await create(client(running, http, 0))
            await running.daemons[1].peer_server.stop()
            listing = await client(running, http, 0).json("GET", "/v1/programs")
            self.assertEqual(["entry-2"], listing["unanswered"])
            self.assertEqual(1, len(listing["programs"]))


class Streams(unittest.IsolatedAsyncioTestCase):
    async def test_an_interrupted_stream_ends_with_a_failure(self):
        for error in (None, RuntimeError("planted")):
            with self.subTest(error=error):
                events = await self.events_of(interrupted_stream(error))
                self.assertEqual(["delta", "failure"], [event["type"] for event in events])
                self.assertEqual("may_have_run", events[-1]["verdict"])
                self.assertIsNotNone(events[-1]["retry_after_s"])

    async def test_a_disconnected_caller_ends_its_request(self):
        closed = asyncio.Event()

        async def endless(_request):
            try:
                yield Delta(0, "text")
                await asyncio.Event().wait()
            finally:
                closed.set()

        async with serving(endless) as caller:
            async for event in caller.stream("GET", "/v1/programs/p/calls/c/events"):
                self.assertEqual("text", event["text"])
                break
            await closed.wait()

    async def events_of(self, serve):
        async with serving(serve) as caller:
            path = "/v1/programs/p/calls/c/events"
            return [event async for event in caller.stream("GET", path)]


class Connections(unittest.IsolatedAsyncioTestCase):
    """A caller that does not complete its request does not keep its connection."""

    async def test_a_body_without_end_ends_its_connection(self):
        with mock.patch.object(caller, "BODY_TIMEOUT_S", 0.2):
            await self.expect_close(b"POST /v1/programs HTTP/1.1\r\n", b"1\r\n \r\n")

    async def test_a_head_without_end_ends_its_connection(self):
        with mock.patch.object(caller, "IDLE_TIMEOUT_S", 0.2):
            await self.expect_close(b"", b"X")

    async def expect_close(self, start, repeated):
        async with serving(interrupted_stream(None)) as api:
            host, _, port = api.url.removeprefix("http://").partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            token = f"Authorization: Bearer {api.token}\r\n".encode()
            encoding = b"Host: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(start and start + token + encoding)
            try:
                async with asyncio.timeout(WAIT_LIMIT_S):
                    while not reader.at_eof() and reader.exception() is None:
                        writer.write(repeated)
                        await asyncio.sleep(0.01)
            except ConnectionError:
                pass
            finally:
                writer.close()


class Health(unittest.IsolatedAsyncioTestCase):
    async def test_a_draining_entry_is_alive_but_not_ready(self):
        async with system() as (running, http):
            anyone = ApiClient(http, running.urls[0], "")
            self.assertEqual(200, (await anyone.send("GET", "/readyz")).status)
            running.daemons[0].entry.members.state = EntryState.DRAINING
            self.assertEqual(503, (await anyone.send("GET", "/readyz")).status)
            self.assertEqual(200, (await anyone.send("GET", "/healthz")).status)
            head = await anyone.send("HEAD", "/healthz")
            self.assertEqual((200, b""), (head.status, head.body))


def interrupted_stream(error):
    """Return a function whose answer ends without an outcome, with or without an exception."""

    async def serve(_request):
        yield Delta(0, "text")
        if error is not None:
            raise error

    return serve
