"""A target that leaves while a connection to it is being opened."""

import unittest
from typing import Any
from unittest import mock

from waxwingglade.base import Verdict, ZoneId
from waxwingglade.ingress.attempt import Attempts, NoTarget, NotRun
from waxwingglade.ingress.balance import Balancer
from waxwingglade.ingress.send_grants import SendGrants
from waxwingglade.ingress.tests.builders import NOTES, call, quarantine, route, target, targets
from waxwingglade.transport import ConnectionBroken


class SlowPool:
    """A connection pool that runs a function while it opens a connection."""

    def __init__(self, meanwhile: Any) -> None:
        self.meanwhile = meanwhile
        broken = ConnectionBroken("ends the test", sent=True)
        self.connection = mock.Mock(read_head=mock.AsyncMock(side_effect=broken))
        self.released: list[str] = []

    async def acquire(self, _address: str) -> Any:
        """Return the connection, after the function was run."""
        self.meanwhile()
        return self.connection

    def watch(self, *_: Any) -> None:
        """Accept the limits of a connection."""

    def release(self, address: str, _connection: Any) -> None:
        """Record a returned connection."""
        self.released.append(address)


class LeavingTargetTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_request_is_sent_to_a_target_that_left_while_its_connection_was_opened(
        self,
    ) -> None:
        for reported in (True, False):
            with self.subTest(reported=reported):
                balancer = Balancer(ZoneId("zone-a"))
                balancer.update(targets(target("a")))
                later = targets(*([target("a", leaving=True)] if reported else []), revision=2)
                pool: Any = SlowPool(lambda b=balancer, t=later: b.update(t))
                attempts = Attempts(
                    mock.Mock(),
                    pool,
                    balancer,
                    call(),
                    NOTES,
                    route("/"),
                    lambda: 1.0,
                    quarantine(),
                    SendGrants(None),
                )
                with self.assertRaises(NotRun):
                    await attempts.open(b"", None, None)
                pool.connection.send.assert_not_called()
                self.assertEqual(pool.released, ["a"])
                self.assertEqual(attempts.records[0].verdict, Verdict.NOT_RUN)
                with self.assertRaises(NoTarget):
                    await attempts.open(b"", None, None)


if __name__ == "__main__":
    unittest.main()
