"""What the log of a request tells of an attempt that broke off."""

import asyncio
import unittest
from typing import Any

from loguru import logger

from waxwingglade.ingress.fingerprint import fingerprint_of
from waxwingglade.ingress.tests.builders import call, target
from waxwingglade.ingress.tests.entry_builders import PLAIN, Behaviour, EntryUnderTest, FakeTarget
from waxwingglade.ledger.target_failures import SHARED_PREFIX


class BrokenAttempts(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.lines: list[dict[str, Any]] = []
        sink = logger.add(lambda message: self.lines.append(message.record["extra"]))
        self.addCleanup(logger.remove, sink)
        self.target = FakeTarget()
        self.entry = EntryUnderTest(self.target, max_attempts=1)
        await self.entry.start()
        self.addAsyncCleanup(self.entry.stop)

    async def break_off(self, behaviour: Behaviour) -> dict[str, Any]:
        """Break off a request beside an idle connection to its target; return its attempt."""
        self.target.delay_s = 0.05
        await asyncio.gather(*(self.entry.call(PLAIN, request) for request in ("a", "b")))
        self.target.delay_s = 0.0
        self.target.behaviour = behaviour
        status, _ = await self.entry.call(PLAIN, "r1")
        self.assertEqual(status, 502)
        (attempt,) = next(line for line in self.lines if line.get("request") == "r1")["attempts"]
        return attempt

    async def test_a_broken_connection_leaves_the_others_open(self) -> None:
        attempt = await self.break_off(Behaviour.CUT)
        self.assertEqual((attempt["ending"], attempt.get("siblings_lost")), ("lost", None))
        self.assertEqual(attempt["siblings_open"], 1)

    async def test_a_target_that_ends_loses_all_connections_at_once(self) -> None:
        attempt = await self.break_off(Behaviour.END)
        self.assertEqual((attempt["ending"], attempt["siblings_lost"]), ("lost", 1))
        self.assertNotIn("siblings_open", attempt)

    async def test_a_target_that_failed_very_often_still_gets_its_callers_an_answer(self) -> None:
        for _ in range(2_000):
            self.entry.ingress.balancer.record_failure(target(self.target.address))
        attempt = await self.break_off(Behaviour.CUT)
        self.assertEqual(attempt["ending"], "lost")

    async def test_repeats_under_other_ids_share_a_fingerprint(self) -> None:
        self.target.behaviour = Behaviour.CUT
        for request in ("r1", "r2"):
            await self.entry.call(PLAIN, request)
        await self.entry.call(PLAIN, "r3", ("X-Waxwingglade-Session-Id", "other"))
        first, second, other = (
            next(line for line in self.lines if line.get("request") == request)["fingerprint"]
            for request in ("r1", "r2", "r3")
        )
        self.assertEqual(first, second)
        self.assertNotEqual(first, other)


class Fingerprints(unittest.TestCase):
    def test_what_a_caller_asks_for_determines_it(self) -> None:
        first = call("r1", program="p1")
        second = call("r2", program="p1")
        first.deadline_s, second.last_event = 1.0, 3
        self.assertEqual(fingerprint_of(first), fingerprint_of(second))
        for field in ("session", "affinity", "previous_turn", "path", "method", "host", "account"):
            with self.subTest(field=field):
                changed = call("r1", program="p1")
                setattr(changed, field, "other")
                self.assertNotEqual(fingerprint_of(first), fingerprint_of(changed))
        changed = call("r1", program="p1")
        changed.body = b"other"
        self.assertNotEqual(fingerprint_of(first), fingerprint_of(changed))

    def test_a_request_that_only_its_body_identifies_is_marked_as_shared(self) -> None:
        shared, own = call("r1"), call("r1")
        shared.body = own.body = b"body"
        own.affinity = "object"
        self.assertTrue(str(fingerprint_of(shared)).startswith(SHARED_PREFIX))
        self.assertFalse(str(fingerprint_of(own)).startswith(SHARED_PREFIX))

    def test_a_request_that_many_callers_may_send_has_none(self) -> None:
        anonymous = call("r1")
        anonymous.account = "account"
        self.assertIsNone(fingerprint_of(anonymous))


if __name__ == "__main__":
    unittest.main()
