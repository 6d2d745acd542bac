"""How long a sending may be silent, by what the sendings of its call before it met."""

import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

from waxwingglade.follow.model import CallKind
from waxwingglade.ingress.attempt import Attempts, MayHaveRun
from waxwingglade.transport import Broken, Patience, Silent


class Answers:
    """Connections of a pool on which each sending fails in its own way, or hangs on.

    Parameters
    ----------
    errors : list of Broken
        How sendings fail, in order.
    """

    def __init__(self, errors: list[Broken]) -> None:
        self.errors = errors
        self.wait_limits: list[Patience] = []

    async def take(self, _address: str) -> Any:
        """Return a connection whose request fails with the next error."""
        return mock.Mock(read_head=mock.AsyncMock(side_effect=self.errors.pop(0)))

    def watch(self, _connection: Any, patience: Patience) -> None:
        """Note how long a connection may be silent."""
        self.wait_limits.append(patience)

    def give_back(self, *_: Any) -> None:
        """Take a connection back."""


class PatienceTest(unittest.IsolatedAsyncioTestCase):
    async def ends(self, errors: list[Broken], most: int, idempotent: bool = True) -> list[bool]:
        """Send a call until it is given up; return of each sending whether its silence ends it."""
        route: Any = SimpleNamespace(
            idempotent=idempotent,
            max_attempts=most,
            kind=CallKind.STREAM,
            target_latency_s=0.2,
            rank=0,
        )
        balancer = mock.Mock(clock=lambda: 0.0)
        balancer.choose.return_value = mock.Mock(load=0.0, load_age_s=0.0, prefill_tokens=0)
        pool: Any = Answers(errors)
        attempts = Attempts(
            mock.Mock(), pool, balancer, mock.Mock(), mock.Mock(), route, lambda: 4.0
        )
        while errors:
            with self.assertRaises(MayHaveRun):
                await attempts.open(b"", None, None)
        return [patience.end_s is not None for patience in pool.wait_limits]

    async def test_the_last_sending_after_a_silence_is_waited_for(self) -> None:
        """Guards against a 502 from a slow target while its caller has time left."""
        errors = [Silent("silent", sent=True), Broken("ends the test", sent=True)]
        self.assertEqual([True, False], await self.ends(errors, 2))

    async def test_a_silence_ends_a_sending_that_is_the_only_one(self) -> None:
        self.assertEqual([True], await self.ends([Silent("silent", sent=True)], 1))

    async def test_a_silence_ends_the_last_sending_after_another_failure(self) -> None:
        errors = [Broken("reset", sent=True), Silent("silent", sent=True)]
        self.assertEqual([True, True], await self.ends(errors, 2))

    async def test_a_silence_ends_no_sending_that_may_not_run_twice(self) -> None:
        errors = [Broken("reset", sent=True)]
        self.assertEqual([False], await self.ends(errors, 1, idempotent=False))


if __name__ == "__main__":
    unittest.main()
