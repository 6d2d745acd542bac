"""A request is retried after the log of its program was handed over."""

import unittest
from types import SimpleNamespace
from unittest.mock import patch

from waxwingglade.base import CallId, ErrorCode, Failure, ProgramId, TenantId, ToolName, Verdict
from waxwingglade.connection.peer_messages import SubmitCall
from waxwingglade.process import serving
from waxwingglade.program import Done, ToolCall
from waxwingglade.settings import DurabilitySettings

REQUEST = SubmitCall(
    TenantId("kettu"), ProgramId("z.e.i.0.n"), ToolCall(CallId("c1"), ToolName("lookup"), {})
)
UNSURE = Failure(Verdict.MAY_HAVE_RUN, ErrorCode.OWNER_UNAVAILABLE, "no answer from the owner")
REFUSED = Failure(Verdict.NOT_RUN, ErrorCode.OVERLOADED, "the engine refused", 2.0)


async def outcome(*answers) -> object:
    """Return what a caller gets if each attempt to serve the request gets the next answer."""
    remaining = iter(answers)

    async def serve_once(_entry, _request, _refresh):
        yield next(remaining)

    entry = SimpleNamespace(
        own=SimpleNamespace(entry="e"),
        settings=SimpleNamespace(durability=DurabilitySettings()),
        clock=lambda: 0.0,
        log_for=lambda program: None,
    )
    with (
        patch.object(serving, "_serve_once", serve_once),
        patch.object(serving, "RETRY_PAUSE_S", 0.0),
    ):
        return [event async for event in serving.serve(entry, REQUEST)][-1]


class RetriedRequest(unittest.IsolatedAsyncioTestCase):
    async def test_a_refusal_does_not_hide_an_earlier_attempt_that_may_have_run(self):
        answer = await outcome(UNSURE, REFUSED)
        self.assertIs(Verdict.MAY_HAVE_RUN, answer.verdict)
        self.assertIs(ErrorCode.OVERLOADED, answer.code)
        self.assertEqual(2.0, answer.retry_after_s)

    async def test_a_refusal_after_refusals_did_not_run(self):
        moved = Failure(Verdict.NOT_RUN, ErrorCode.NOT_OWNER, "not here")
        self.assertEqual(REFUSED, await outcome(moved, REFUSED))

    async def test_an_answer_after_an_unsure_attempt_is_final(self):
        self.assertEqual(Done("text"), await outcome(UNSURE, Done("text")))
