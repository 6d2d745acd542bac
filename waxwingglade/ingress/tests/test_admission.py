"""Admission: a turn for overloaded engines is refused as not run, without a ledger request."""

import time
import unittest
from unittest import mock

from waxwingglade.base import ZoneId
from waxwingglade.follow.model import CallKind, IncarnationName
from waxwingglade.ingress.balance import Balancer
from waxwingglade.ingress.dialect import LoadStamp
from waxwingglade.ingress.quorum_monitor import QuorumMonitor, RotationEstimate
from waxwingglade.ingress.refusal import UNAVAILABLE, Refusal
from waxwingglade.ingress.serving import Serving, Trace
from waxwingglade.ingress.streaming import LedgerAccess, serve_stream
from waxwingglade.ingress.tests.builders import ENGINES, NOTES, call, route, target, targets
from waxwingglade.ledger.messages import EndTurn, TurnBegun

SENT = Refusal(UNAVAILABLE, "it was sent")


class AdmissionCase(unittest.IsolatedAsyncioTestCase):
    """Three engines and the loads that they report."""

    def setUp(self) -> None:
        self.balancer = Balancer(ZoneId("zone-a"), lambda: 100.0)
        self.engines = [target(f"e{n}", "engines", slots=8) for n in range(3)]
        self.balancer.update(targets(*self.engines))

    async def serve(
        self, previous: str | None = None, service=ENGINES, left_s: float = float("inf"), **fields
    ) -> tuple[Refusal, bool]:
        """Serve a turn; return its refusal, and whether the ledger received a request."""
        ledger = mock.Mock()
        ledger.begin = mock.AsyncMock(side_effect=Refusal(UNAVAILABLE, "the ledger was asked"))
        refusal = await self.refused(ledger, previous, service, left_s, **fields)
        return refusal, ledger.begin.called

    async def refused(
        self, ledger, previous=None, service=ENGINES, left_s: float = float("inf"), **fields
    ) -> Refusal:
        """Serve a turn with a ledger; return its refusal."""
        made = call("r", "p", ("shared", "own"))
        made.previous_turn, made.token_budget = previous, 100
        turns = route("/turns/", kind=CallKind.STREAM, **{"keeps_turns": True, **fields})
        end_at = time.monotonic() + left_s
        serving = Serving(mock.Mock(), made, turns, service, Trace(), end_at)
        attempts = mock.Mock(balancer=self.balancer, history=None, failed_at=None)
        with self.assertRaises(Refusal) as caught:
            quorum_monitor = QuorumMonitor(lambda: True)
            quorum_monitor.check()
            ledger_access = LedgerAccess(ledger, quorum_monitor, RotationEstimate())
            await serve_stream(serving, attempts, ledger_access, mock.Mock())
        return caught.exception

    def overload(self, *waiting: int) -> None:
        """Let the engines report a full batch and some numbers of waiting requests."""
        for engine, number in zip(self.engines, waiting, strict=True):
            self.balancer.record_load(engine, LoadStamp(8, number, 8))


class Admission(AdmissionCase):
    async def test_a_first_turn_is_refused_with_a_retry_time(self) -> None:
        self.overload(9, 9, 9)
        refusal, requested = await self.serve()
        self.assertEqual((refusal.status, requested), (UNAVAILABLE, False))
        self.assertGreater(refusal.retry_after_s, 0.1)

    async def test_a_later_turn_is_accepted(self) -> None:
        self.overload(9, 9, 9)
        self.assertTrue((await self.serve("r0"))[1])

    async def test_a_turn_that_could_not_begin_in_time_is_refused(self) -> None:
        self.overload(9, 9, 9)
        refusal, requested = await self.serve("r0", left_s=0.2)
        self.assertEqual((refusal.status, requested), (UNAVAILABLE, False))

    async def test_a_turn_is_refused_if_its_wait_would_exceed_the_limit(self) -> None:
        self.overload(90, 90, 90)
        for patience_s, requested in ((2.0, False), (8.0, True)):
            with self.subTest(patience_s=patience_s):
                self.assertEqual(requested, (await self.serve("r0", patience_s=patience_s))[1])

    async def test_one_engine_with_free_slots_is_enough(self) -> None:
        self.overload(9, 0, 9)
        self.balancer.record_load(self.engines[1], LoadStamp(5, 0, 8))
        self.assertTrue((await self.serve())[1])

    async def test_calls_of_other_services_are_not_refused(self) -> None:
        self.overload(9, 9, 9)
        self.assertTrue((await self.serve(service=NOTES))[1])


class WithoutStoredTurns(AdmissionCase):
    """Where turns are not stored, the ledger account identifies the first turn of a program."""

    async def with_account(self, begun: TurnBegun) -> tuple[str, list[EndTurn]]:
        """Serve a turn with a budget; return its refusal reason and the resolved reservations."""
        ledger = mock.Mock()
        ledger.begin = mock.AsyncMock(return_value=begun)
        ledger.resolve_first = mock.AsyncMock()
        with mock.patch("waxwingglade.ingress.streaming.open_answer", side_effect=SENT):
            refusal = await self.refused(ledger, keeps_turns=False)
        made = [*ledger.resolve_first.call_args_list, *ledger.resolve_later.call_args_list]
        return refusal.reason, [call.args[0] for call in made]

    async def test_a_program_without_an_ended_turn_is_refused(self) -> None:
        self.overload(9, 9, 9)
        reason, settled = await self.with_account(TurnBegun(()))
        self.assertIn("all that they can do", reason)
        self.assertEqual([(0, None)], [(end.used_tokens, end.kept) for end in settled])

    async def test_a_later_turn_is_sent(self) -> None:
        self.overload(9, 9, 9)
        reason, _ = await self.with_account(TurnBegun((), IncarnationName("e1")))
        self.assertEqual(SENT.reason, reason)

    async def test_a_first_turn_is_sent_if_slots_are_free(self) -> None:
        reason, _ = await self.with_account(TurnBegun(()))
        self.assertEqual(SENT.reason, reason)
