"""What is decided of a call before it is sent."""

import unittest
from unittest import mock

from waxwingglade.ingress.refusal import NOT_FOUND, UNAVAILABLE, Refusal
from waxwingglade.ingress.routes import RouteTable
from waxwingglade.ingress.serving import Trace, read_call
from waxwingglade.ingress.tests.builders import call, configuration
from waxwingglade.ledger.messages import TurnId


class NoRoute(unittest.TestCase):
    def refusal(self, previous: str | None) -> tuple[Refusal, Trace]:
        """Read a call for a path that the version in force has no route for."""
        made = call("request-2")
        made.previous_turn = TurnId(previous) if previous else None
        dialect, trace = mock.Mock(), Trace()
        dialect.read_call.return_value = made
        with self.assertRaises(Refusal) as caught:
            read_call(mock.Mock(body=b""), dialect, RouteTable(configuration()), trace)
        return caught.exception, trace

    def test_a_turn_that_goes_on_is_not_denied_by_a_version_without_its_route(self) -> None:
        """Another entry, with the version that added the route, may have answered the turn before.

        A conversation ends with a 404, and by the users' rules no turn that was answered whole may
        be denied by any machine, also one that is cut off and goes by an older version.
        """
        refusal, _ = self.refusal("request-1")
        self.assertEqual(refusal.status, UNAVAILABLE)

    def test_any_other_call_is_told_that_there_is_no_route(self) -> None:
        refusal, trace = self.refusal(None)
        self.assertEqual(refusal.status, NOT_FOUND)
        self.assertEqual(trace.call.request, "request-2", "the line of the request names it")
