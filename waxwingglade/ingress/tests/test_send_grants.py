"""Each sending of a call that a target may have run takes a grant of its client account."""

import unittest
from typing import Any

from waxwingglade.ingress.refusal import BAD_GATEWAY
from waxwingglade.ingress.tests.builders import account
from waxwingglade.ingress.tests.entry_builders import (
    ONCE,
    PLAIN,
    TURNS,
    Behaviour,
    EntryUnderTest,
    FakeTarget,
)
from waxwingglade.ledger.messages import QuotaSpent
from waxwingglade.platform.headers import AUTHORIZATION
from waxwingglade.transport import ConnectionBroken

KEY = "k" * 20


class SendGrantsTest(unittest.IsolatedAsyncioTestCase):
    async def serve(
        self, *behaviours: Behaviour, rate_per_s: float = 9.0, **fields: Any
    ) -> EntryUnderTest:
        """Start an entry with a target for each behaviour."""
        limited = account("shop", KEY, rate_per_s=rate_per_s)
        fakes = [FakeTarget(behaviour) for behaviour in behaviours]
        entry = EntryUnderTest(*fakes, accounts=(limited,), **fields)
        self.addAsyncCleanup(entry.stop)
        await entry.start()
        return entry

    async def status(self, entry: EntryUnderTest, path: str) -> int | None:
        """Send a call; return its status, None if its answer was broken off."""
        try:
            status, _ = await entry.call(path, "r1", (AUTHORIZATION, f"Bearer {KEY}"))
        except ConnectionBroken:
            return None
        return status

    def granted(self, entry: EntryUnderTest) -> int:
        """Return the number of grants that were taken."""
        return len(entry.ledger.taken) + len(entry.ledger.begun)

    def sent(self, entry: EntryUnderTest) -> int:
        """Return the number of requests that targets read."""
        return sum(len(fake.heads) for fake in entry.fakes)

    async def test_a_call_that_is_sent_again_takes_another_grant(self) -> None:
        for path, resumable in ((PLAIN, False), (TURNS, True)):
            with self.subTest(path):
                entry = await self.serve(
                    Behaviour.CUT, Behaviour.CUT, max_attempts=2, resumable=resumable
                )
                await self.status(entry, path)
                self.assertEqual((2, 2), (self.sent(entry), self.granted(entry)))

    async def test_a_call_that_may_have_run_and_gets_no_other_grant_is_answered_at_once(
        self,
    ) -> None:
        entry = await self.serve(Behaviour.CUT, Behaviour.CUT, max_attempts=2)
        ledger = entry.ledger
        take = ledger.take

        async def take_one(*arguments: Any) -> Any:
            granted = await take(*arguments)
            ledger.spent = QuotaSpent(0.1)
            return granted

        ledger.take = take_one
        status, seconds = await entry.call(PLAIN, "r1", (AUTHORIZATION, f"Bearer {KEY}"))
        self.assertEqual((BAD_GATEWAY, 1), (status, self.sent(entry)))
        self.assertLess(seconds, 0.1, "it does not wait for quota")

    async def test_the_grant_of_a_sending_that_was_not_run_covers_the_next_one(self) -> None:
        entry = await self.serve(Behaviour.REFUSE, Behaviour.REFUSE, max_attempts=2)
        for fake in entry.fakes:
            fake.proceed.set()
        await self.status(entry, PLAIN)
        self.assertEqual((2, 1), (self.sent(entry), self.granted(entry)))

    async def test_an_account_without_a_limit_takes_no_grants(self) -> None:
        entry = await self.serve(Behaviour.CUT, Behaviour.CUT, rate_per_s=0.0, max_attempts=2)
        await self.status(entry, PLAIN)
        self.assertEqual((2, []), (self.sent(entry), entry.ledger.taken))

    async def test_a_call_that_is_never_sent_again_takes_one_grant(self) -> None:
        entry = await self.serve(Behaviour.CUT, Behaviour.CUT, max_attempts=2)
        await self.status(entry, ONCE)
        self.assertEqual((1, 1), (self.sent(entry), self.granted(entry)))


if __name__ == "__main__":
    unittest.main()
