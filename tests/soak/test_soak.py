"""Short soak runs, and tests of the soak's checks on histories with violations."""

import asyncio
import random
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import ClassVar

import msgspec

from tests.platform_cluster import ORDER, ROUTE_S, STREAM
from tests.prove.relay import ADDRESS, Relays
from tests.soak.account_checks import OLD_LIMIT_S, check_accounts
from tests.soak.accounts import FIRST_LIMIT, FREE, LIMITED, REVOKE_S, Accounts, Key, Limit
from tests.soak.checks import UNDECIDED, answer_to_turn, check
from tests.soak.cluster import SLOW_DISK, SoakServer
from tests.soak.interrupted_turns import (
    EXCUSED_AFTER_S,
    Completion,
    check_completed_turns,
    check_ledger_refusals,
)
from tests.soak.kinds import (
    EARLIER_KINDS,
    EVERYWHERE,
    LEAVING_KINDS,
    LEDGER_KINDS,
    LIMIT_KINDS,
    FaultKind,
    FaultOccurrence,
)
from tests.soak.run import FAULT_FREE_SIZE, Size, soak
from tests.soak.workload import MAX_TURN_TOKENS, Attempt
from waxwingglade.standins.metadata_store import MetadataStore
from waxwingglade.standins.registered_server import Run, ServerFault, answer_to

ARTIFACTS = Path("runs/soak")
SHORT = Size(seconds=6.0, entries=2, programs=4, plain=2, kinds=EARLIER_KINDS, fatal=0)
SHORT_LEAVING = Size(seconds=8.0, entries=4, programs=6, plain=6, kinds=LEAVING_KINDS, fatal=0)
SHORT_LEDGER = Size(
    seconds=6.0,
    entries=3,
    programs=16,
    plain=2,
    kinds=LEDGER_KINDS,
    sub_agents=0,
    flush_s=0.0,
    heartbeat_s=0.0,
    fatal=0,
)
"""Without sub-agents and heartbeats, since its seed failed without them."""

SHORT_UNEVEN = Size(seconds=6.0, entries=4, programs=8, plain=4, fatal=0, uneven=True)
SEED = 7
UNEVEN_SEED = 11
LEAVING_SEED = 1
LEDGER_SEED = 1001
FAULT_FREE_SEED = 2
ACCOUNTS_SEED = 3
LIMITS_SEED = 1
ACCOUNT_KINDS = (
    FaultKind.REVOKE,
    FaultKind.STORE_LINK,
    FaultKind.STORE_SILENT,
    FaultKind.PAUSE_ENTRY,
    FaultKind.KILL_LEDGER,
    FaultKind.KILL_ALL,
)
SHORT_ACCOUNTS = Size(
    seconds=6.0,
    entries=3,
    programs=6,
    plain=4,
    kinds=ACCOUNT_KINDS,
    sub_agents=0,
    accounts=True,
    fatal=0,
)
SHORT_LIMITS = msgspec.structs.replace(
    SHORT_ACCOUNTS,
    seconds=15.0,
    kinds=LIMIT_KINDS,
    pressing=8,
    lost_share=0.3,
    faults_per_s=0.4,
)
LEDGERS = ("storage-0", "storage-1", "storage-2", "storage-3")
HISTORIES = 2000
SENT_AT, INTERRUPTED_AT = 100.0, 102.0
PROMPT = b"asks"
FLUSH_SCRIPT = """
import os, sys, time
with open(sys.argv[1] + "/file", "w") as file:
    began_at = time.monotonic()
    os.fdatasync(file.fileno())
    print(time.monotonic() - began_at)
"""


def turn(name: str, **changes: object) -> Attempt:
    """Return a turn with a complete answer."""
    complete = Attempt(
        name, STREAM, "front-0", 1.0, PROMPT, None, "p", 80, 200, True, answer_to_turn(PROMPT)
    )
    return msgspec.structs.replace(complete, **changes)


def random_program(rng: random.Random) -> tuple[list[Attempt], list[Run]]:
    """Return sequential turns of a program, and the runs of them at servers."""
    turns, runs = [], []
    budget = rng.choice((80, 120, 160))
    for number in range(rng.randint(1, 6)):
        status = rng.choice((200, 200, 0, 402, 429, 502, 503))
        complete = status == 200
        answer = answer_to_turn(PROMPT) if complete else b""
        times = {"sent_at": number + 1.0, "ended_at": number + 1.5}
        name = f"t{number}"
        turns.append(
            turn(name, status=status, whole=complete, answer=answer, budget=budget, **times)
        )
        if complete or (status in (0, 502) and rng.random() < 0.5):
            runs.append(run_of(name, began_at=number + 1.1))
    return turns, runs


def is_denied_within_budget(turns: list[Attempt], runs: list[Run]) -> bool:
    """Return whether a turn was denied although all turns together cannot exceed the budget.

    This stricter check of budgets is valid only if no turns are concurrent.
    """
    requests_run = {run.request for run in runs}
    max_used = sum(
        MAX_TURN_TOKENS
        for each in turns
        if each.request in requests_run or each.status in UNDECIDED
    )
    denied = any(each.status == 402 for each in turns)
    return denied and max_used + MAX_TURN_TOKENS <= turns[0].budget


def order(**changes: object) -> Attempt:
    """Return a call that may run only once, with a complete answer."""
    complete = Attempt("o", ORDER, "front-0", 1.0, PROMPT, status=200, whole=True)
    return msgspec.structs.replace(complete, **{"answer": answer_to(PROMPT), **changes})


def run_of(name: str, body: bytes = PROMPT, path: str = STREAM, began_at: float = 1.0) -> Run:
    """Return a run at a server."""
    return Run(name, "POST", path, {}, body, began_at)


class ShortSoak(unittest.IsolatedAsyncioTestCase):
    async def test_faults_violate_no_guarantee(self) -> None:
        await self.check(SEED, SHORT)

    async def test_no_guarantee_is_violated_while_entries_share_loads_of_uneven_servers(
        self,
    ) -> None:
        await self.check(UNEVEN_SEED, SHORT_UNEVEN)

    async def test_no_guarantee_is_violated_by_servers_that_leave(self) -> None:
        await self.check(LEAVING_SEED, SHORT_LEAVING)

    async def test_no_guarantee_is_violated_if_the_ledger_does_not_answer_in_time(self) -> None:
        await self.check(LEDGER_SEED, SHORT_LEDGER)

    async def test_no_guarantee_is_violated_with_revoked_keys_and_limited_accounts(
        self,
    ) -> None:
        await self.check(ACCOUNTS_SEED, SHORT_ACCOUNTS)

    async def test_no_account_exceeds_its_limit_while_it_changes_and_answers_are_lost(
        self,
    ) -> None:
        await self.check(LIMITS_SEED, SHORT_LIMITS)

    async def test_no_turn_is_interrupted_by_many_concurrent_sub_agents(self) -> None:
        outcome = await soak(FAULT_FREE_SEED, FAULT_FREE_SIZE, ARTIFACTS)
        self.assertEqual(outcome.violations, [])
        self.assertGreater(outcome.served, 0)
        self.assertEqual(outcome.faults, 0)

    async def check(self, seed: int, size: Size) -> None:
        """Run a seed, and check that there were answers, faults and no violations."""
        outcome = await soak(seed, size, ARTIFACTS)
        self.assertEqual(outcome.violations, [])
        self.assertGreater(outcome.served, 0)
        self.assertGreater(outcome.faults, 0)


class BlackholedLinks(unittest.IsolatedAsyncioTestCase):
    async def test_open_connections_are_blackholed_and_new_ones_work(self) -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                writer.write(data)

        server = await asyncio.start_server(echo, ADDRESS, 0)
        relays = Relays(dict)
        port = await relays.add(1, server.sockets[0].getsockname()[1], source=0)
        old_reader, old_writer = await asyncio.open_connection(ADDRESS, port)
        old_writer.write(b"before")
        self.assertEqual(await old_reader.readexactly(6), b"before")
        relays.blackhole(0, 1)
        old_writer.write(b"lost")
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.2):
                await old_reader.read(100)
        self.assertFalse(old_reader.at_eof())
        new_reader, new_writer = await asyncio.open_connection(ADDRESS, port)
        new_writer.write(b"after")
        self.assertEqual(await new_reader.readexactly(5), b"after")
        for writer in (old_writer, new_writer):
            writer.close()
        await relays.close()
        server.close()


class CompletedRequests(unittest.IsolatedAsyncioTestCase):
    async def test_a_server_records_completed_requests(self) -> None:
        server = SoakServer(MetadataStore(), "engines", events=2)
        await server.listen()
        for fault in (ServerFault.NONE, ServerFault.TRUNCATED, ServerFault.CUT):
            server.fault = fault
            reader, writer = await asyncio.open_connection(*server.address.split(":"))
            head = f"POST / HTTP/1.1\r\nX-Waxwingglade-Request-Id: {fault.name}\r\n\r\n"
            writer.write(head.encode())
            writer.write_eof()
            await reader.read()
            writer.close()
        self.assertEqual(list(server.completed_at), ["NONE"])
        assert server.server is not None
        server.server.close()


class SlowDisk(unittest.TestCase):
    def test_a_scripts_flushes_have_the_given_duration(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            script = Path(folder, "flush.py")
            script.write_text(FLUSH_SCRIPT)
            command = [sys.executable, "-S", str(SLOW_DISK), "0.05", str(script), folder]
            seconds = float(subprocess.check_output(command))
        self.assertGreaterEqual(seconds, 0.05)


class Checks(unittest.TestCase):
    def test_correct_histories_pass(self) -> None:
        first, second = turn("a"), turn("b")
        self.assertEqual(check([first, second], [run_of("a"), run_of("b")]), [])
        self.assertEqual(check([order()], [run_of("o", path=ORDER)]), [])

    def test_each_violation_is_found(self) -> None:
        run = run_of("o", path=ORDER)
        later = turn("b", previous="a", body=b"more", answer=answer_to_turn(b"more"))
        many = [turn(f"t{number}") for number in range(4)]
        cases = {
            "ran 2 times": ([order()], [run, run]),
            "refused as not run": ([order(status=503, whole=False)], [run]),
            "not that of its own": ([order(answer=b"another")], [run]),
            "another prompt": ([turn("a"), later], [run_of("a"), run_of("b", b"more")]),
            "404": ([turn("a"), turn("b", previous="a", status=404)], [run_of("a")]),
            "tokens of a budget": (many, [run_of(each.request) for each in many]),
            "402, though": ([turn("a", status=402, whole=False, answer=b"")], []),
            "nobody sent it": ([], [run]),
        }
        for text, (attempts, runs) in cases.items():
            with self.subTest(text):
                self.assertIn(text, "\n".join(check(attempts, runs)))

    def test_a_refused_turn_does_not_count_before_or_after(self) -> None:
        """A caller that retries earlier than requested is still within its budget."""
        for sent_at in (1.1, 2.01, 2.1, 3.1):
            with self.subTest(sent_at):
                self.assertIn("402, though", self.check_denied(sent_at)[0])

    def test_a_refused_turn_may_count_while_it_is_in_progress(self) -> None:
        self.assertEqual(self.check_denied(1.5), [])

    def test_without_sub_agents_the_stricter_check_of_budgets_holds(self) -> None:
        """Compares the two checks on random histories of sequential turns."""
        rng = random.Random(4)
        found = 0
        for _ in range(HISTORIES):
            turns, runs = random_program(rng)
            if is_denied_within_budget(turns, runs):
                found += 1
                self.assertIn("402, though", "\n".join(check(turns, runs)))
        self.assertGreater(found, HISTORIES / 20)

    def check_denied(self, sent_at: float) -> list[str]:
        """Check a denied turn after a completed turn and a turn that is refused from 1.2 to 2.0."""
        used = turn("a", ended_at=1.05)
        refused = turn("b", sent_at=1.2, ended_at=2.0, status=503, whole=False, answer=b"")
        spent = turn(
            "c", sent_at=sent_at, ended_at=sent_at + 0.01, status=402, whole=False, answer=b""
        )
        return check([used, refused, spent], [run_of("a")])


class InterruptedTurns(unittest.TestCase):
    def test_an_interrupted_turn_is_found(self) -> None:
        for status, answer in ((200, answer_to_turn(PROMPT)), (0, b""), (502, b"broke off")):
            with self.subTest(status):
                self.assertIn("broken off by front-0", self.check(status=status, answer=answer)[0])

    def test_turns_that_are_not_interrupted(self) -> None:
        late = SENT_AT + ROUTE_S
        for changes in ({"status": 200, "whole": True}, {"ended_at": late}, {"path": ORDER}):
            with self.subTest(**changes):
                self.assertEqual(self.check(**changes), [])
        self.assertEqual(check_completed_turns([self.attempt()], {}, [], LEDGERS), [])

    def test_a_fault_of_the_entry_the_server_or_a_ledger_majority_excuses(self) -> None:
        excuses = {
            "entry": [(FaultKind.PAUSE_ENTRY, "front-0")],
            "callers' link": [(FaultKind.CALLER_LINK, "front-0")],
            "store's link": [(FaultKind.STORE_LINK, "storage-1 front-0")],
            "server": [(FaultKind.SERVER_FAULT, "i-1")],
            "all": [(FaultKind.KILL_ALL, EVERYWHERE)],
            "two of three": [
                (FaultKind.PAUSE_LEDGER, "storage-1"),
                (FaultKind.SILENT_LINKS, "storage-2"),
            ],
        }
        for name, faults in excuses.items():
            with self.subTest(name):
                self.assertEqual(self.check(*(self.fault(*fault) for fault in faults)), [])

    def test_a_tolerated_fault_excuses_nothing(self) -> None:
        tolerated = {
            "paused": (FaultKind.PAUSE_LEDGER, "storage-0"),
            "killed": (FaultKind.KILL_LEDGER, "storage-0"),
            "wiped": (FaultKind.WIPE_LEDGER, "storage-0"),
            "another entry": (FaultKind.KILL_ENTRY, "front-1"),
            "another server": (FaultKind.SERVER_LINK, "i-2"),
            "signal": (FaultKind.HUP, "front-0"),
            "store": (FaultKind.STORE_BUSY, "store"),
            "configuration": (FaultKind.CONFIGURE, "store"),
        }
        for name, fault in tolerated.items():
            with self.subTest(name):
                self.assertEqual(len(self.check(self.fault(*fault))), 1)

    def test_two_sequential_faults_of_ledger_processes_excuse_nothing(self) -> None:
        first = self.fault(FaultKind.KILL_LEDGER, "storage-0", 99.0, 100.5)
        second = self.fault(FaultKind.KILL_LEDGER, "storage-1", 100.6, 102.0)
        self.assertEqual(len(self.check(first, second)), 1)

    def test_a_process_counts_as_failed_until_it_has_restarted(self) -> None:
        first = self.fault(FaultKind.KILL_LEDGER, "storage-0", 100.5, 100.5)
        second = self.fault(FaultKind.KILL_LEDGER, "storage-1", 100.6, 100.6)
        for started_at, expected_count in ((101.5, 0), (100.55, 1)):
            first.started_at, second.started_at = started_at, 101.6
            with self.subTest(started_at):
                self.assertEqual(len(self.check(first, second)), expected_count)

    def test_a_restarting_process_does_not_prolong_an_excuse(self) -> None:
        ended_at = SENT_AT - EXCUSED_AFTER_S - 0.1
        fault = self.fault(FaultKind.KILL_ENTRY, "front-0", 90.0, ended_at)
        fault.started_at = SENT_AT - 0.1
        self.assertEqual(len(self.check(fault)), 1)

    def test_an_excuse_ends_some_time_after_its_fault(self) -> None:
        for ended_at, expected_count in (
            (SENT_AT - EXCUSED_AFTER_S, 0),
            (SENT_AT - EXCUSED_AFTER_S - 0.1, 1),
        ):
            fault = self.fault(FaultKind.PAUSE_ENTRY, "front-0", 90.0, ended_at)
            with self.subTest(ended_at):
                self.assertEqual(len(self.check(fault)), expected_count)
        later = self.fault(
            FaultKind.PAUSE_ENTRY, "front-0", INTERRUPTED_AT + 0.1, INTERRUPTED_AT + 1.0
        )
        self.assertEqual(len(self.check(later)), 1)

    def test_a_refusal_due_to_the_ledger_is_found_in_a_run_without_faults(self) -> None:
        reason = b"not run: the ledger did not decide: no replica answered"
        refused = self.attempt(status=503, answer=reason)
        self.assertIn("did not decide", check_ledger_refusals([refused], [])[0])
        fault = self.fault(FaultKind.CONFIGURE, "store")
        self.assertEqual(check_ledger_refusals([refused], [fault]), [])
        full = self.attempt(status=503, answer=b"not run: the engines have all that they can do")
        self.assertEqual(check_ledger_refusals([full], []), [])

    def check(self, *faults: FaultOccurrence, **changes: object) -> list[str]:
        """Check a turn that its server has completed."""
        completions = {"a": Completion("i-1", SENT_AT + 0.5)}
        return check_completed_turns([self.attempt(**changes)], completions, faults, LEDGERS)

    @staticmethod
    def attempt(**changes: object) -> Attempt:
        """Return a turn that was interrupted."""
        interrupted = {"sent_at": SENT_AT, "ended_at": INTERRUPTED_AT, "whole": False}
        return turn("a", **{**interrupted, **changes})

    @staticmethod
    def fault(
        kind: FaultKind, where: str, began_at: float = 100.5, ended_at: float = 101.0
    ) -> FaultOccurrence:
        """Return a fault."""
        return FaultOccurrence(kind, where, began_at, ended_at)


class AccountChecksTest(unittest.TestCase):
    """Each check of client accounts finds a history that violates it."""

    KEYS: ClassVar[dict[str, Key]] = {
        "old": Key(LIMITED, "old", 0.0, 50.0),
        "new": Key(LIMITED, "new", 40.0),
    }

    def setUp(self) -> None:
        self.accounts = Accounts(random.Random(1))
        self.accounts.keys = self.KEYS

    def violations(self, attempt: Attempt, **headers: str) -> list[str]:
        all_headers = {"x-waxwingglade-tenant": LIMITED, **headers}
        run = Run(attempt.request, "POST", attempt.path, all_headers, PROMPT, attempt.sent_at)
        return check_accounts([attempt], [run], self.accounts)

    def test_a_correct_history_passes(self) -> None:
        attempt = order(key="old", account=LIMITED, sent_at=50.0 + REVOKE_S)
        self.assertEqual([], self.violations(attempt))

    def test_a_revoked_key_must_not_work_after_the_revocation_period(self) -> None:
        late = order(key="old", account=LIMITED, sent_at=50.1 + REVOKE_S)
        self.assertIn("taken away", self.violations(late)[0])

    def test_a_key_that_never_existed_must_not_work(self) -> None:
        self.assertIn("never was", self.violations(order(key="forged"))[0])

    def test_a_request_runs_for_the_account_of_its_key(self) -> None:
        attempt = order(key="new", account=LIMITED, sent_at=60.0)
        wrong = self.violations(attempt, **{"x-waxwingglade-tenant": FREE})
        self.assertIn("ran for free", wrong[0])

    def test_a_key_is_not_forwarded_to_servers(self) -> None:
        attempt = order(key="new", account=LIMITED, sent_at=60.0)
        self.assertIn("passed on", self.violations(attempt, authorization="Bearer new")[0])

    def test_a_valid_key_is_not_denied(self) -> None:
        denied = order(key="new", account=LIMITED, sent_at=60.0, ended_at=60.1, status=401)
        self.assertIn("401", check_accounts([denied], [], self.accounts)[0])
        early = msgspec.structs.replace(denied, sent_at=41.0)
        self.assertEqual([], check_accounts([early], [], self.accounts))

    def test_no_window_exceeds_the_limit_wherever_it_begins(self) -> None:
        allowed = int(FIRST_LIMIT.most)
        attempts = [
            order(request=f"r{number}", key="new", account=LIMITED, sent_at=60.0 + number * 1e-3)
            for number in range(allowed + 1)
        ]
        headers = {"x-waxwingglade-tenant": LIMITED}
        runs = [Run(each.request, "", "", headers, b"", each.sent_at) for each in attempts]
        self.assertEqual([], check_accounts(attempts, runs[:allowed], self.accounts))
        self.assertIn("allowed", check_accounts(attempts, runs, self.accounts)[0])

    def test_each_run_of_a_request_counts(self) -> None:
        attempt = order(key="new", account=LIMITED, sent_at=60.0)
        headers = {"x-waxwingglade-tenant": LIMITED}
        run = Run(attempt.request, "", "", headers, b"", 60.1)
        allowed = int(FIRST_LIMIT.most)
        self.assertEqual([], check_accounts([attempt], [run] * allowed, self.accounts))
        self.assertIn("allowed", check_accounts([attempt], [run] * (allowed + 1), self.accounts)[0])

    def test_the_highest_limit_that_may_be_in_force_is_allowed(self) -> None:
        higher, lower = Limit(12.0, 6.0, until_at=100.0), Limit(6.0, 3.0, from_at=99.0)
        self.accounts.limits[LIMITED] = [higher, lower]
        for sent_at, allowed in ((100.0, higher.most), (100.1 + OLD_LIMIT_S, lower.most)):
            attempt = order(key="new", account=LIMITED, sent_at=sent_at)
            headers = {"x-waxwingglade-tenant": LIMITED}
            runs = [Run(attempt.request, "", "", headers, b"", sent_at)] * (int(allowed) + 1)
            with self.subTest(sent_at):
                self.assertEqual([], check_accounts([attempt], runs[:-1], self.accounts))
                self.assertIn("allowed", check_accounts([attempt], runs, self.accounts)[0])


if __name__ == "__main__":
    unittest.main()
