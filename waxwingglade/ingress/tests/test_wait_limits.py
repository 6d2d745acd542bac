"""Wait limits of an attempt, which depend on the outcomes of earlier attempts of its call."""

import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

from waxwingglade.follow.model import CallKind
from waxwingglade.ingress.attempt import Attempts, MayHaveRun
from waxwingglade.ingress.send_grants import SendGrants
from waxwingglade.ingress.tests.builders import call, quarantine, target
from waxwingglade.transport import ConnectionBroken, Inactivity, Siblings, Unresponsive, WaitLimits


class FailingPool:
    """A connection pool on which each attempt fails with a given error.

    Parameters
    ----------
    errors : list of ConnectionBroken
        Errors of the attempts, in order.
    """

    def __init__(self, errors: list[ConnectionBroken]) -> None:
        self.errors = errors
        self.wait_limits: list[WaitLimits] = []

    async def acquire(self, _address: str) -> Any:
        """Return a connection whose request fails with the next error."""
        return mock.Mock(read_head=mock.AsyncMock(side_effect=self.errors.pop(0)))

    def watch(self, _connection: Any, limits: WaitLimits) -> None:
        """Record how long a connection may be unresponsive."""
        self.wait_limits.append(limits)

    def finding_of(self, _connection: Any) -> None:
        """Return that no probe was sent."""

    def release(self, *_: Any) -> None:
        """Accept a returned connection."""

    def siblings_of(self, _connection: Any) -> Siblings:
        """Return that there are no other connections."""
        return Siblings(0, 0)

    def inactivity_of(self, _connection: Any) -> Inactivity:
        """Return that nothing arrived on any connection."""
        return Inactivity(0.0, 0)

    def is_silent(self, _connection: Any, _at_least_s: float) -> bool:
        """Return that nothing was heard."""
        return True


class WaitLimitTest(unittest.IsolatedAsyncioTestCase):
    async def ends(
        self, errors: list[ConnectionBroken], most: int, idempotent: bool = True
    ) -> list[bool]:
        """Send a call until all errors are used; return whether each attempt has a time limit."""
        route: Any = SimpleNamespace(
            idempotent=idempotent,
            max_attempts=most,
            kind=CallKind.STREAM,
            target_latency_s=0.2,
            name="route",
            rank=0,
        )
        balancer = mock.Mock(clock=lambda: 0.0)
        balancer.choose.return_value = mock.Mock(
            target=target("i-1"), load=0.0, load_age_s=0.0, prefill_tokens=0
        )
        pool: Any = FailingPool(errors)
        attempts = Attempts(
            mock.Mock(),
            pool,
            balancer,
            call(),
            mock.Mock(),
            route,
            lambda: 4.0,
            quarantine(),
            SendGrants(None),
        )
        while errors:
            with self.assertRaises(MayHaveRun):
                await attempts.open(b"", None, None)
        return [limits.end_s is not None for limits in pool.wait_limits]

    async def test_the_last_attempt_after_an_unresponsive_one_has_no_limit(self) -> None:
        """Guards against a 502 for a slow target while the caller has time left."""
        errors = [Unresponsive("silent", sent=True), ConnectionBroken("ends the test", sent=True)]
        self.assertEqual([True, False], await self.ends(errors, 2))

    async def test_an_only_attempt_has_a_limit(self) -> None:
        self.assertEqual([True], await self.ends([Unresponsive("silent", sent=True)], 1))

    async def test_the_last_attempt_after_another_failure_has_a_limit(self) -> None:
        errors = [ConnectionBroken("reset", sent=True), Unresponsive("silent", sent=True)]
        self.assertEqual([True, True], await self.ends(errors, 2))

    async def test_an_attempt_that_may_not_run_twice_has_no_limit(self) -> None:
        errors = [ConnectionBroken("reset", sent=True)]
        self.assertEqual([False], await self.ends(errors, 1, idempotent=False))


if __name__ == "__main__":
    unittest.main()
