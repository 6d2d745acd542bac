"""The common chat-completions format, as used by the client library of OpenAI."""

import asyncio
import contextlib
import unittest

import openai

from waxwingglade.base import ConfigVersion, ErrorCode, Failure, Verdict
from waxwingglade.connection.peer_messages import (
    CreateProgram,
    EndProgram,
    FollowCall,
    ProgramView,
    SubmitCall,
)
from waxwingglade.connection.tests.caller_builders import client, create, serving, system
from waxwingglade.demo.embedded import MODEL, wait_until
from waxwingglade.process.serving import serve
from waxwingglade.program import Delta, Done, Message, MessageRole, ModelCall, Reset
from waxwingglade.settings import Budget

VIEW = ProgramView(
    "p", "kettu", "chat", "open", 0.0, ConfigVersion(0), 0, 0, 0, 0, 0, Budget(), [], []
)


def user(text):
    return {"role": "user", "content": text}


def assistant(text):
    return {"role": "assistant", "content": text}


@contextlib.asynccontextmanager
async def openai_client(running, entry=0, tenant="kettu"):
    """Run a client of the library against one entry."""
    url, token = running.urls[entry], running.tokens[tenant]
    async with openai.AsyncOpenAI(base_url=f"{url}/v1", api_key=token, max_retries=0) as found:
        yield found


class OneCall(unittest.IsolatedAsyncioTestCase):
    async def test_a_program_is_created_for_the_call_and_ended_after_it(self):
        async with system() as (running, _), openai_client(running) as chat:
            answer = await chat.chat.completions.create(
                model=MODEL, messages=[user("hello")], max_tokens=20, temperature=0.3
            )
            self.assertTrue(answer.choices[0].message.content)
            self.assertEqual("stop", answer.choices[0].finish_reason)
            self.assertGreater(answer.usage.completion_tokens, 0)
            programs = running.daemons[0].entry.owned.values()
            states = [state for owned in programs for state in owned.programs.values()]
            await wait_until(lambda: states[0].ended is not None)
            self.assertEqual(1, len(states))

    async def test_a_stream_has_the_same_text(self):
        async with system(zones=2) as (running, _), openai_client(running) as chat:
            messages = [user("hello")]
            complete = await chat.chat.completions.create(model=MODEL, messages=messages)
            stream = await chat.chat.completions.create(
                model=MODEL,
                messages=messages,
                stream=True,
                stream_options={"include_usage": True},
            )
            chunks = [chunk async for chunk in stream]
            text = "".join(
                chunk.choices[0].delta.content or "" for chunk in chunks if chunk.choices
            )
            self.assertEqual(complete.choices[0].message.content, text)
            self.assertEqual("stop", chunks[-2].choices[0].finish_reason)
            self.assertEqual(complete.usage, chunks[-1].usage)

    async def test_a_retry_with_the_same_call_id_gets_the_recorded_answer(self):
        async with system() as (running, _), openai_client(running) as chat:
            headers = {"X-Call-Id": "call-1"}
            answers = [
                await chat.chat.completions.create(
                    model=MODEL, messages=[user("hello")], extra_headers=headers
                )
                for _ in range(2)
            ]
            self.assertEqual(*(answer.choices[0].message for answer in answers))
            self.assertEqual(1, sum(len(engine.records) for engine in running.engines))

    async def test_unsupported_requests_are_rejected(self):
        async with system() as (running, _), openai_client(running) as chat:
            cases = [
                {"n": 2},
                {"tools": [{"type": "function", "function": {"name": "f"}}]},
                {"max_tokens": -1},
                {"messages": [{"role": "user", "content": [{"type": "image_url"}]}]},
                {"extra_headers": {"X-Call-Id": "not valid"}},
            ]
            for case in cases:
                arguments = {"model": MODEL, "messages": [user("hello")], **case}
                with self.subTest(case), self.assertRaises(openai.BadRequestError) as caught:
                    await chat.chat.completions.create(**arguments)
                self.assertEqual("not_run", caught.exception.body["verdict"])
            async with openai_client(running) as stranger:
                stranger.api_key = "wrong"
                with self.assertRaises(openai.AuthenticationError):
                    await stranger.chat.completions.create(model=MODEL, messages=[user("hello")])
            self.assertEqual(
                [], [record for engine in running.engines for record in engine.records]
            )


class WithProgram(unittest.IsolatedAsyncioTestCase):
    async def test_the_messages_extend_the_history(self):
        async with system(zones=2) as (running, http), openai_client(running, 1) as chat:
            caller = client(running, http, 0)
            program = await create(caller)
            headers = {"X-Program-Id": program}
            messages = [{"role": "system", "content": "Be brief."}, user("hello")]
            for text in ("on Monday?", "at nine"):
                answer = await chat.chat.completions.with_raw_response.create(
                    model=MODEL, messages=messages, extra_headers=headers
                )
                self.assertEqual(program, answer.headers["x-program-id"])
                content = answer.parse().choices[0].message.content
                messages += [assistant(content), user(text)]
            view = await caller.json("GET", f"/v1/programs/{program}")
            self.assertEqual(messages[:-1], view["history"])
            self.assertEqual("open", view["state"])

    async def test_other_messages_than_the_history_are_a_conflict(self):
        async with system() as (running, http), openai_client(running) as chat:
            program = await create(client(running, http))
            headers = {"X-Program-Id": program, "X-Call-Id": "m1"}
            sent = {"model": MODEL, "messages": [user("hello")], "extra_headers": headers}
            first = await chat.chat.completions.create(**sent)
            # The same call is a retry, and gets the recorded answer.
            again = await chat.chat.completions.create(**sent)
            self.assertEqual(first.choices[0].message, again.choices[0].message)
            headers["X-Call-Id"] = "m2"
            others = [[user("hello")], [user("other"), user("more")], [user("hello"), user("x")]]
            for messages in others:
                with self.subTest(messages), self.assertRaises(openai.ConflictError) as caught:
                    await chat.chat.completions.create(**{**sent, "messages": messages})
                self.assertEqual("not_run", caught.exception.body["verdict"])

    async def test_a_concurrent_change_of_the_history_is_a_conflict(self):
        async with system() as (running, http):
            caller = client(running, http)
            program = await create(caller)
            call = {"type": "model", "call": "m1", "model": MODEL, "messages": [user("hello")]}
            await caller.json("POST", f"/v1/programs/{program}/calls", call)
            outdated = ModelCall("m2", MODEL, [Message(MessageRole.USER, "late")])
            request = SubmitCall("kettu", program, outdated, history_length=0)
            outcome = [event async for event in serve(running.daemons[0].entry, request)][-1]
            self.assertEqual(ErrorCode.CONFLICT, outcome.code)

    async def test_the_program_of_another_tenant_is_not_found(self):
        async with system() as (running, http), openai_client(running, tenant="kiprono") as chat:
            program = await create(client(running, http, tenant="kettu"))
            with self.assertRaises(openai.NotFoundError):
                await chat.chat.completions.create(
                    model=MODEL, messages=[user("x")], extra_headers={"X-Program-Id": program}
                )


class DisconnectedCaller(unittest.IsolatedAsyncioTestCase):
    async def test_the_program_of_a_single_call_ends_if_its_caller_disconnects_early(self):
        requested, disconnected, ended = asyncio.Event(), asyncio.Event(), asyncio.Event()

        async def serve_slowly(request):
            if isinstance(request, CreateProgram):
                requested.set()
                await disconnected.wait()
            if isinstance(request, EndProgram):
                ended.set()
            yield VIEW

        async with serving(serve_slowly) as caller:
            body = {"model": MODEL, "messages": [user("hello")]}
            asking = asyncio.create_task(caller.send("POST", "/v1/chat/completions", body))
            await requested.wait()
            asking.cancel()
            # Let the entry detect the closed connection before the program is created.
            await asyncio.gather(asking, return_exceptions=True)
            await caller.send("GET", "/healthz")
            disconnected.set()
            await asyncio.wait_for(ended.wait(), timeout=10.0)


class BrokenStream(unittest.IsolatedAsyncioTestCase):
    async def test_a_stream_that_is_interrupted_or_starts_over_is_an_error(self):
        failure = Failure(Verdict.MAY_HAVE_RUN, ErrorCode.TARGET_FAILED, "planted")
        endings = [[failure], [Reset("b"), Delta(0, "other", "b"), Done("other")], []]
        for ending in endings:
            with self.subTest(ending):
                events = [Delta(0, "some", "a"), *ending]
                async with serving(_program_that_answers(events)) as caller:
                    chat = openai.AsyncOpenAI(
                        base_url=f"{caller.url}/v1", api_key=caller.token, max_retries=0
                    )
                    stream = await chat.chat.completions.create(
                        model=MODEL, messages=[user("hello")], stream=True
                    )
                    with self.assertRaises(openai.APIError) as caught:
                        [chunk async for chunk in stream]
                    self.assertEqual("may_have_run", caught.exception.body["verdict"])
                    await chat.close()


def _program_that_answers(events):
    """Return a function that answers each call with the given events."""

    async def serve(request):
        if not isinstance(request, SubmitCall | FollowCall):
            yield VIEW
            return
        for event in events:
            yield event

    return serve
