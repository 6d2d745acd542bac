"""Keys of client accounts: accepted and refused calls, and the headers sent to a target."""

import asyncio
import time
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.base.credentials import bearer_token, digest_of
from waxwingglade.follow.model import ClientAccount, ClientAccountId
from waxwingglade.ingress.accounts import AccountTable, KeyAgeLimits, identify
from waxwingglade.ingress.refusal import TOO_MANY, UNAUTHORIZED, UNAVAILABLE, Refusal
from waxwingglade.ingress.tests.builders import NOTES, account, call
from waxwingglade.ingress.tests.entry_builders import (
    PLAIN,
    TURNS,
    Behaviour,
    EntryUnderTest,
    FakeTarget,
    until,
)
from waxwingglade.ledger.messages import QuotaSpent
from waxwingglade.ledger.tests.log_capture import logged_lines
from waxwingglade.platform.headers import ACCOUNT, AUTHORIZATION

KEY, OTHER_KEY = "k" * 20, "o" * 20
ACCOUNTS = (account("shop", KEY, rank=3), account("garage", OTHER_KEY))
RULES = KeyAgeLimits(max_accept_age_s=5.0, max_deny_age_s=2.0, not_ready_age_s=3.0)
BEARER = f"Bearer {KEY}"


class TokenTest(unittest.TestCase):
    def test_the_scheme_is_read_in_any_case_and_with_any_white_space(self) -> None:
        for value in (BEARER, f"bearer {KEY}", f"  BEARER \t {KEY}  "):
            self.assertEqual(KEY, bearer_token([value]), value)

    def test_credentials_without_exactly_one_key_give_none(self) -> None:
        for values in ([], [""], ["Bearer"], [KEY], [f"Basic {KEY}"], [f"{BEARER} {KEY}"]):
            self.assertIsNone(bearer_token(values), values)
        self.assertIsNone(bearer_token([BEARER, BEARER]))
        self.assertIsNone(bearer_token([f"{BEARER}, {BEARER}"]))

    @given(st.lists(st.text()))
    def test_a_token_is_one_word(self, values: list[str]) -> None:
        token = bearer_token(values)
        if token is not None:
            self.assertEqual([token], token.split())


class IdentifyTest(unittest.TestCase):
    def identify(self, credentials: list[str], age_s: float) -> ClientAccount:
        request = call()
        request.credentials = credentials
        return identify(AccountTable(ACCOUNTS), request, age_s, RULES)

    def refused(self, credentials: list[str], age_s: float) -> int:
        with self.assertRaises(Refusal) as refused:
            self.identify(credentials, age_s)
        self.assertNotIn(KEY, refused.exception.reason)
        return refused.exception.status

    def test_a_key_is_accepted_while_the_view_is_recent_enough(self) -> None:
        for age_s in (0.0, RULES.max_deny_age_s + 1, RULES.max_accept_age_s):
            self.assertEqual("shop", self.identify([BEARER], age_s).name)

    def test_a_key_that_may_have_been_revoked_is_refused_as_unavailable(self) -> None:
        self.assertEqual(UNAVAILABLE, self.refused([BEARER], RULES.max_accept_age_s + 0.01))
        self.assertEqual(UNAVAILABLE, self.refused([BEARER], float("inf")))

    def test_an_unknown_key_is_denied_only_if_it_cannot_have_been_added(self) -> None:
        for credentials in ([], ["Bearer x"], [BEARER, BEARER]):
            self.assertEqual(UNAUTHORIZED, self.refused(credentials, RULES.max_deny_age_s))
            self.assertEqual(UNAVAILABLE, self.refused(credentials, RULES.max_deny_age_s + 0.01))

    def test_a_key_of_two_accounts_belongs_to_the_first(self) -> None:
        request = call()
        request.credentials = [BEARER]
        table = AccountTable((ACCOUNTS[0], account("copy", KEY)))
        holder = table.holder(request)
        assert holder is not None
        self.assertEqual("shop", holder.name)

    def test_an_account_without_keys_serves_nobody(self) -> None:
        self.assertEqual({}, AccountTable((ClientAccount(ClientAccountId("none")),)).holders)


class EntryTest(unittest.IsolatedAsyncioTestCase):
    """An entry whose callers need keys, and the headers of the requests to its target."""

    async def serve(
        self,
        accounts: tuple[ClientAccount, ...] | None = ACCOUNTS,
        behaviour: Behaviour = Behaviour.ANSWER,
        **fields: Any,
    ) -> None:
        self.target = FakeTarget(behaviour)
        self.entry = EntryUnderTest(self.target, accounts=accounts, **fields)
        self.addAsyncCleanup(self.entry.stop)
        await self.entry.start()

    async def status(self, *headers: tuple[str, str], path: str = PLAIN) -> int:
        status, _ = await self.entry.call(path, "r1", *headers)
        return status

    async def test_a_target_gets_the_account_and_not_the_key(self) -> None:
        await self.serve()
        forged = ((ACCOUNT, "garage"), (ACCOUNT.lower(), "garage"), ("Connection", ACCOUNT))
        self.assertEqual(200, await self.status((AUTHORIZATION, BEARER), *forged))
        (head,) = self.target.heads
        self.assertNotIn(KEY.encode(), head)
        self.assertNotIn(b"garage", head)
        self.assertIn(f"{ACCOUNT}: shop\r\n".encode(), head)

    async def test_without_a_key_of_an_account_nothing_reaches_a_target(self) -> None:
        await self.serve()
        for headers in ((), ((AUTHORIZATION, "Bearer x"),), ((ACCOUNT, "shop"),)):
            for path in (PLAIN, TURNS):
                self.assertEqual(UNAUTHORIZED, await self.status(*headers, path=path))
        self.assertEqual([], self.target.heads)
        self.assertEqual([], self.entry.ledger.begun)

    async def test_a_public_route_needs_no_key_and_passes_none_on(self) -> None:
        await self.serve(public=True)
        forged = ((ACCOUNT, "garage"), (AUTHORIZATION, BEARER))
        self.assertEqual(200, await self.status(*forged))
        (head,) = self.target.heads
        self.assertNotIn(KEY.encode(), head)
        self.assertNotIn(ACCOUNT.encode(), head)

    async def test_without_accounts_the_header_is_passed_on(self) -> None:
        await self.serve(accounts=None)
        self.assertEqual(200, await self.status((AUTHORIZATION, BEARER), (ACCOUNT, "shop")))
        (head,) = self.target.heads
        self.assertIn(KEY.encode(), head)
        self.assertNotIn(ACCOUNT.encode(), head)

    async def test_the_rank_of_an_account_overrides_the_rank_of_its_route(self) -> None:
        await self.serve(rank=1)
        await self.status((AUTHORIZATION, BEARER))
        self.assertEqual({3: 1.0}, self.entry.ingress.balancer.ranks_of(NOTES.name).weights)

    async def test_a_key_is_refused_once_the_view_is_too_old_and_the_entry_is_not_ready(
        self,
    ) -> None:
        await self.serve(keys=RULES)
        cached_view = self.entry.ingress.cached_view
        self.assertTrue(self.entry.ingress.ready)
        cached_view.complete_until = time.monotonic() - RULES.not_ready_age_s
        self.assertFalse(self.entry.ingress.ready)
        self.assertEqual(200, await self.status((AUTHORIZATION, BEARER)))
        cached_view.complete_until = time.monotonic() - RULES.max_accept_age_s
        self.assertEqual(UNAVAILABLE, await self.status((AUTHORIZATION, BEARER)))
        self.assertEqual(1, len(self.target.heads))

    async def test_a_caller_waits_out_an_outage_of_the_store_that_all_entries_have(self) -> None:
        await self.serve(keys=RULES)
        ingress = self.entry.ingress
        ingress.cached_view.complete_until = time.monotonic() - RULES.max_accept_age_s
        headers = ((AUTHORIZATION, BEARER), ("X-Waxwingglade-Deadline-Ms", "3000"))

        async def retry_after() -> str | None:
            connection = await self.entry.send(PLAIN, "r1", *headers)
            self.addCleanup(connection.close)
            return (await connection.read_head(lambda _: True)).header("Retry-After")

        self.assertEqual("1.00", await retry_after())
        # An entry that is cut off says when the balancer will have removed it.
        ingress.follower.quorum_at = float("-inf")
        self.assertEqual(f"{ingress.rotation.until_removed_s:.2f}", await retry_after())

    async def test_a_call_is_granted_before_it_is_sent_and_a_turn_where_it_begins(self) -> None:
        limited = account("shop", KEY, rate_per_s=9.0)
        await self.serve((limited, ACCOUNTS[1]))
        await self.status((AUTHORIZATION, BEARER))
        self.assertEqual(["shop"], self.entry.ledger.taken)
        await self.status((AUTHORIZATION, f"Bearer {OTHER_KEY}"))
        self.assertEqual(1, len(self.entry.ledger.taken), "the other account has no limit")
        turn = await self.entry.send(TURNS, "t1", (AUTHORIZATION, BEARER))
        self.addCleanup(turn.close)
        self.assertTrue(await until(lambda: self.entry.ledger.begun, 1.0))
        begun = self.entry.ledger.begun[0]
        self.assertEqual(("shop", True, False), (begun.client, begun.is_first, begun.is_counted))

    async def test_the_line_of_a_request_names_its_grants(self) -> None:
        await self.serve((account("shop", KEY, rate_per_s=9.0),), Behaviour.EVENTS)
        for path in (PLAIN, TURNS):
            with logged_lines("request") as lines:
                await self.status((AUTHORIZATION, BEARER), path=path)
                self.assertTrue(await until(lambda seen=lines: bool(seen), 1.0))
            (grant,) = lines[0]["grants"]
            self.assertEqual(("vm-1", 2, 3), (grant["replica"], grant["epoch"], grant["share"]))

    async def test_over_the_limit_nothing_is_sent_and_the_caller_gets_retry_after(self) -> None:
        await self.serve((account("shop", KEY, rate_per_s=9.0),))
        self.entry.ledger.spent = QuotaSpent(0.75)
        for path in (PLAIN, TURNS):
            connection = await self.entry.send(path, "r1", (AUTHORIZATION, BEARER))
            self.addCleanup(connection.close)
            head = await connection.read_head(lambda _: True)
            self.assertEqual((TOO_MANY, "0.75"), (head.status, head.header("Retry-After")))
        self.assertEqual([], self.target.heads)
        self.assertEqual([], self.entry.ledger.settled)

    async def test_quota_that_is_free_soon_is_waited_for(self) -> None:
        await self.serve((account("shop", KEY, rate_per_s=9.0),), Behaviour.EVENTS)
        self.entry.ledger.spent = QuotaSpent(0.1)
        for path in (PLAIN, TURNS):
            call = asyncio.create_task(self.status((AUTHORIZATION, BEARER), path=path))
            await asyncio.sleep(0.15)
            self.entry.ledger.spent = None
            self.assertEqual(200, await call)
            self.entry.ledger.spent = QuotaSpent(0.1)

    async def test_a_program_beyond_the_limit_is_refused_before_it_begins(
        self,
    ) -> None:
        await self.serve((account("shop", KEY, rate_per_s=9.0),), Behaviour.EVENTS)
        self.entry.ledger.no_program = QuotaSpent(1.5)
        self.assertEqual(TOO_MANY, await self.status((AUTHORIZATION, BEARER), path=TURNS))
        self.assertEqual([], self.entry.ledger.begun)
        later = (("X-Waxwingglade-Previous-Turn", "t0"), (AUTHORIZATION, BEARER))
        self.assertEqual(200, await self.status(*later, path=TURNS))
        self.assertEqual([], self.entry.ledger.refused, "it was no running program")

    async def test_a_denial_names_the_authentication_scheme(self) -> None:
        await self.serve()
        connection = await self.entry.send(PLAIN)
        self.addCleanup(connection.close)
        head = await connection.read_head(lambda _: True)
        self.assertEqual((UNAUTHORIZED, "Bearer"), (head.status, head.header("WWW-Authenticate")))


class DigestTest(unittest.TestCase):
    def test_an_account_holds_digests_only(self) -> None:
        self.assertNotIn(KEY, repr(ACCOUNTS))
        self.assertEqual((digest_of(KEY),), ACCOUNTS[0].keys)


if __name__ == "__main__":
    unittest.main()
