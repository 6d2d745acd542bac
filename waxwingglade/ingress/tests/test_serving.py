"""Decoding of a call before it is sent."""

import unittest
from unittest import mock

from waxwingglade.ingress.refusal import NOT_FOUND, UNAVAILABLE, Refusal
from waxwingglade.ingress.routes import RouteTable
from waxwingglade.ingress.serving import Trace, read_call
from waxwingglade.ingress.tests.builders import call, configuration
from waxwingglade.ledger.messages import TurnId


class NoRouteTest(unittest.TestCase):
    def refusal(self, previous: str | None) -> tuple[Refusal, Trace]:
        """Read a call whose path has no route in the configuration in force."""
        made = call("request-2")
        made.previous_turn = TurnId(previous) if previous else None
        dialect, trace = mock.Mock(), Trace()
        dialect.read_call.return_value = made
        with self.assertRaises(Refusal) as caught:
            read_call(mock.Mock(body=b""), dialect, RouteTable(configuration()), trace)
        return caught.exception, trace

    def test_a_later_turn_without_a_route_is_refused_as_unavailable(self) -> None:
        """Guards against a 404 for a conversation whose previous turn was answered.

        This happens when another entry, with a newer configuration that adds the route, served the
        previous turn.  A 404 ends the conversation, and no entry may deny a turn that was answered
        completely, even if the entry is partitioned and has an older configuration.
        """
        refusal, _ = self.refusal("request-1")
        self.assertEqual(refusal.status, UNAVAILABLE)

    def test_any_other_call_without_a_route_gets_not_found(self) -> None:
        refusal, trace = self.refusal(None)
        self.assertEqual(refusal.status, NOT_FOUND)
        self.assertEqual(trace.call.request, "request-2", "the log line of the request names it")
