"""Requests under which targets end or break off, at entries that share the ledger's records."""

import asyncio
import unittest
from typing import Any

from loguru import logger

from waxwingglade.ingress.quarantine import HeldBack
from waxwingglade.ingress.tests.builders import FakeFailureClient, call, quarantine, target
from waxwingglade.ingress.tests.entry_builders import (
    ONCE,
    PLAIN,
    TURNS,
    Behaviour,
    EntryUnderTest,
    FakeTarget,
    until,
)
from waxwingglade.ingress.undecided import SILENT_SETTLE_S
from waxwingglade.transport import HttpResponse

ANSWERED, FAILED, BROKEN, HELD, TIMED_OUT = 200, 500, 502, 503, 504


class EntriesTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, behaviours: list[Behaviour], entries: int = 2, **fields: Any) -> None:
        """Start entries with targets that behave so on each request."""
        self.targets = [FakeTarget(behaviour) for behaviour in behaviours]
        self.client = FakeFailureClient()
        self.entries = [EntryUnderTest(*self.targets, **fields) for _ in range(entries)]
        for entry in self.entries:
            entry.ingress.quarantine.client = self.client
            await entry.start()
            self.addAsyncCleanup(entry.stop)

    async def repeat(self, path: str, times: int, *headers: tuple[str, str]) -> list[int]:
        """Send a request through each entry in turn; return the statuses."""
        statuses = []
        for number in range(times):
            entry = self.entries[number % len(self.entries)]
            statuses.append((await entry.call(path, f"r{number}", *headers))[0])
            for each in self.entries:
                # What a member sends to the entries that follow it.
                each.ingress.cached_view.update_suspects(self.client.table.suspects())
        return statuses

    async def send(self, entry: EntryUnderTest, path: str) -> HttpResponse:
        """Send a request and return its whole answer."""
        connection = await entry.send(path, "last")
        self.addCleanup(connection.close)
        head = await connection.read_head(lambda _: True)
        head.body = await connection.read_body(1_000)
        return head

    async def clears_suspicion(self) -> bool:
        """Return whether the first entry clears a suspicion once it may."""

        def is_cleared() -> bool:
            self.entries[0].ingress.quarantine.clear_suspicions()
            return not any(record.pending for record in self.client.table.records.values())

        return await until(is_cleared, SILENT_SETTLE_S + 0.5)

    @property
    def ended(self) -> int:
        """Number of targets that ended under a request."""
        return sum(each.ended_at is not None for each in self.targets)

    @property
    def arrived(self) -> int:
        """Number of requests that arrived at all targets."""
        return sum(len(each.arrived) for each in self.targets)


class EndedTargets(EntriesTest):
    async def test_no_kind_of_call_is_sent_on_after_three_targets_ended(self) -> None:
        for path, attempts, resumable in (
            (TURNS, 1, False),
            (TURNS, 2, True),
            (TURNS, 5, True),
            (PLAIN, 2, False),
            (PLAIN, 5, False),
            (ONCE, 5, False),
        ):
            with self.subTest(path=path, attempts=attempts):
                fields = {"max_attempts": attempts, "resumable": resumable}
                await self.start([Behaviour.END] * 9, **fields)
                statuses = await self.repeat(path, 6)
                self.assertEqual(self.arrived, 3)
                self.assertEqual(statuses[-1], HELD)
                self.assertEqual(set(statuses), {BROKEN, HELD})

    async def test_targets_that_send_bytes_that_are_no_answer_count(self) -> None:
        await self.start([Behaviour.GARBLE] * 4, entries=1, max_attempts=5)
        self.assertEqual(await self.repeat(PLAIN, 2), [BROKEN, HELD])
        (record,) = self.client.table.records.values()
        self.assertEqual((self.arrived, record.failed_targets), (3, 3))

    async def test_a_target_that_breaks_off_while_it_leaves_counts(self) -> None:
        await self.start([Behaviour.HOLD], entries=1, max_attempts=1, timeout_s=5.0)
        (only,) = self.targets
        pending = asyncio.create_task(self.entries[0].call(ONCE, "r1"))
        await until(lambda: bool(only.arrived), 2.0)
        self.entries[0].ingress.balancer._usable("notes", set())[0].target = target(
            only.address, leaving=True
        )
        for each in only.writers:
            each.transport.abort()
        status, _ = await pending
        (record,) = self.client.table.records.values()
        self.assertEqual((status, record.failed_targets), (BROKEN, 1))

    async def test_of_copies_at_once_only_as_many_are_sent_as_targets_may_still_end(self) -> None:
        await self.start([Behaviour.END] * 12, entries=3, max_attempts=1)
        self.assertEqual(await self.repeat(PLAIN, 2), [BROKEN] * 2)
        for each in self.targets:
            each.delay_s = 0.1
        calls = (self.entries[n % 3].call(PLAIN, f"copy{n}") for n in range(9))
        statuses = {status for status, _ in await asyncio.gather(*calls)}
        self.assertEqual((self.ended, statuses), (3, {BROKEN, HELD}))

    async def test_a_held_request_is_told_so_at_once_with_the_time_of_its_release(self) -> None:
        await self.start([Behaviour.END] * 4, max_attempts=1)
        await self.repeat(TURNS, 3)
        answer = await self.send(self.entries[0], TURNS)
        self.assertEqual(answer.status, HELD)
        self.assertRegex(
            answer.body, b"^not run: held back: 3 targets ended or broke off under this request"
        )
        self.assertGreater(float(answer.header("Retry-After") or 0), 500)
        self.assertEqual(len(self.entries[0].ledger.begun), 2)

    async def test_an_entry_that_reaches_no_member_still_holds_back_by_itself(self) -> None:
        await self.start([Behaviour.END] * 6, entries=1, max_attempts=1)
        self.client.reachable = False
        self.assertEqual(await self.repeat(PLAIN, 5), [BROKEN] * 3 + [HELD] * 2)

    async def test_a_target_that_vanishes_before_its_answer_has_ended(self) -> None:
        await self.start([Behaviour.HOLD] * 2, entries=1, max_attempts=1, timeout_s=0.1)
        (entry,) = self.entries
        while not all(each.arrived for each in self.targets):
            self.assertEqual((await entry.call(ONCE, f"r{self.arrived}"))[0], 504)
        vanished = target(self.targets[0].address)
        left = target(self.targets[1].address, leaving=True)
        entry.ingress.quarantine.record_removed([vanished, left])
        await until(lambda: len(self.client.table.records) == 1, 2.0)
        (record,) = self.client.table.records.values()
        self.assertEqual({trial.target for trial in record.failed}, {vanished.target})


class SilentTargets(EntriesTest):
    async def test_no_call_is_sent_on_after_three_targets_fell_silent_under_it(self) -> None:
        await self.start([Behaviour.HOLD] * 5, max_attempts=1, timeout_s=0.6)
        statuses = await self.repeat(ONCE, 9, ("X-Waxwingglade-Session-Id", "s"))
        tried = sum(bool(each.arrived) for each in self.targets)
        self.assertEqual((tried, statuses[-1]), (3, HELD))

    async def test_a_target_that_is_heard_again_has_not_ended(self) -> None:
        await self.start([Behaviour.HOLD], entries=1, max_attempts=1, timeout_s=0.6)
        (only,), (entry,) = self.targets, self.entries
        self.assertEqual((await entry.call(ONCE, "r1"))[0], TIMED_OUT)
        (record,) = self.client.table.records.values()
        self.assertEqual(len(record.pending), 1)
        only.behaviour = Behaviour.ANSWER
        await asyncio.sleep(SILENT_SETTLE_S)
        self.assertEqual((await entry.call(PLAIN, "r2"))[0], ANSWERED)
        self.assertTrue(await self.clears_suspicion())

    async def test_a_target_that_is_heard_for_a_moment_and_then_removed_has_ended(self) -> None:
        for leaving in (False, True):
            with self.subTest(leaving=leaving):
                await self.start([Behaviour.HOLD], entries=1, max_attempts=1, timeout_s=0.6)
                (only,), (entry,) = self.targets, self.entries
                self.assertEqual((await entry.call(ONCE, "r1"))[0], TIMED_OUT)
                only.behaviour = Behaviour.ANSWER
                self.assertEqual((await entry.call(PLAIN, "r2"))[0], ANSWERED)
                self.assertFalse(await self.clears_suspicion())
                entry.ingress.quarantine.record_removed([target(only.address, leaving=leaving)])
                await asyncio.sleep(0)
                (record,) = self.client.table.records.values()
                self.assertEqual(record.failed_targets, 1)

    async def test_a_copy_that_still_waits_at_a_silent_target_counts(self) -> None:
        await self.start([Behaviour.HOLD], entries=1, max_attempts=1, timeout_s=2.5)
        (entry,) = self.entries
        waiting = asyncio.create_task(entry.call(ONCE, "r1"))

        def is_suspected() -> bool:
            entry.ingress.quarantine.suspect_silent()
            return any(record.pending for record in self.client.table.records.values())

        self.assertFalse(await until(is_suspected, 0.9))
        self.assertTrue(await until(is_suspected, 0.4))
        self.assertFalse(waiting.done())
        await waiting

    async def test_an_answer_after_a_long_silence_clears_the_suspicion(self) -> None:
        await self.start([Behaviour.ANSWER], entries=1, max_attempts=1, timeout_s=2.5)
        (only,), (entry,) = self.targets, self.entries
        only.delay_s = 1.4
        waiting = asyncio.create_task(entry.call(ONCE, "r1"))
        await asyncio.sleep(1.2)
        entry.ingress.quarantine.suspect_silent()
        (record,) = self.client.table.records.values()
        self.assertEqual(len(record.pending), 1)
        self.assertEqual((await waiting)[0], ANSWERED)
        entry.ingress.quarantine.record_removed([target(only.address)])
        await asyncio.sleep(0)
        (record,) = self.client.table.records.values()
        self.assertEqual(record.tried_targets, 0)

    async def test_a_target_that_is_heard_meanwhile_is_not_suspected(self) -> None:
        await self.start([Behaviour.HOLD], entries=1, max_attempts=1, timeout_s=0.6)
        (only,), (entry,) = self.targets, self.entries
        slow = asyncio.create_task(entry.call(ONCE, "r1"))
        await until(lambda: bool(only.arrived), 2.0)
        await asyncio.sleep(0.05)  # The target reads its behaviour after the request has arrived.
        only.behaviour = Behaviour.ANSWER
        for number in range(5):
            await asyncio.sleep(0.1)
            await entry.call(PLAIN, f"other{number}")
        self.assertEqual((await slow)[0], TIMED_OUT)
        self.assertEqual(self.client.table.records, {})


class DoubtfulAnswers(EntriesTest):
    async def test_no_call_is_sent_on_after_three_targets_ended_with_an_error(self) -> None:
        await self.start([Behaviour.ERROR_AND_END] * 5, max_attempts=1)
        statuses = await self.repeat(ONCE, 5, ("X-Waxwingglade-Session-Id", "s"))
        self.assertEqual((self.arrived, statuses), (3, [FAILED] * 3 + [HELD] * 2))

    async def test_a_target_that_is_still_connected_after_an_error_has_not_ended(self) -> None:
        await self.start([Behaviour.ERROR], entries=1, max_attempts=1)
        self.assertEqual(await self.repeat(ONCE, 1), [FAILED])
        (record,) = self.client.table.records.values()
        self.assertEqual(len(record.pending), 1)
        self.assertTrue(await self.clears_suspicion())

    async def test_an_error_clears_no_earlier_failure(self) -> None:
        await self.start([Behaviour.CUT] * 2, entries=1, max_attempts=1)
        self.assertEqual(await self.repeat(ONCE, 1), [BROKEN])
        for each in self.targets:
            each.behaviour = Behaviour.ERROR
        self.assertEqual((await self.entries[0].call(ONCE, "last"))[0], FAILED)
        (record,) = self.client.table.records.values()
        self.assertEqual(record.failed_targets, 1)


class ServedRequests(EntriesTest):
    async def test_an_answered_request_does_not_count_against_a_target_that_vanishes(self) -> None:
        for path, behaviour in (
            (PLAIN, Behaviour.ANSWER),
            (ONCE, Behaviour.ANSWER),
            (TURNS, Behaviour.EVENTS),
        ):
            with self.subTest(path):
                await self.start([behaviour], entries=1, max_attempts=1)
                self.assertEqual(await self.repeat(path, 2), [ANSWERED] * 2)
                vanished = target(self.targets[0].address)
                self.entries[0].ingress.quarantine.record_removed([vanished])
                await asyncio.sleep(0)
                self.assertEqual(self.client.table.records, {})

    async def test_work_that_meets_one_or_two_ends_or_broken_connections_is_served(self) -> None:
        for behaviours in (
            [Behaviour.END, Behaviour.END, Behaviour.ANSWER],
            [Behaviour.CUT, Behaviour.CUT, Behaviour.ANSWER],
            [Behaviour.END, Behaviour.CUT, Behaviour.ANSWER],
        ):
            with self.subTest(behaviours=behaviours):
                await self.start(behaviours, max_attempts=1)
                statuses = []
                while ANSWERED not in statuses and len(statuses) < 6:
                    statuses += await self.repeat(PLAIN, 1)
                    if self.targets[0].behaviour is Behaviour.CUT and len(statuses) == 2:
                        for each in self.targets:
                            each.behaviour = Behaviour.ANSWER
                self.assertEqual(statuses[-1], ANSWERED)

    async def test_an_answer_ends_the_suspicion(self) -> None:
        await self.start([Behaviour.CUT], entries=1, max_attempts=1)
        (only,) = self.targets
        for _ in range(2):
            only.behaviour = Behaviour.CUT
            self.assertEqual(await self.repeat(PLAIN, 1), [BROKEN])
            only.behaviour = Behaviour.ANSWER
            self.assertEqual(await self.repeat(PLAIN, 1), [ANSWERED])
            (record,) = self.client.table.records.values()
            self.assertEqual(record.tried_targets, 0)

    async def test_other_sessions_and_paths_are_not_held_back(self) -> None:
        await self.start([Behaviour.CUT] * 4, max_attempts=3)
        self.assertEqual((await self.repeat(PLAIN, 2))[-1], HELD)
        for each in self.targets:
            each.behaviour = Behaviour.ANSWER
        self.assertEqual(await self.repeat(PLAIN, 1), [HELD])
        other = ("X-Waxwingglade-Session-Id", "other")
        self.assertEqual(await self.repeat(PLAIN, 1, other), [ANSWERED])
        self.assertEqual(await self.repeat(ONCE, 1), [ANSWERED])

    async def test_requests_without_failures_ask_nobody_and_compute_nothing(self) -> None:
        await self.start([Behaviour.ANSWER], max_attempts=2)
        self.assertEqual(await self.repeat(PLAIN, 4), [ANSWERED] * 4)
        self.assertEqual(self.client.reads, 0)
        self.assertIsNone(self.entries[0].ingress.quarantine.fingerprint_if_suspect(call()))


class Effects(EntriesTest):
    async def attempts_of(self, path: str) -> list[dict[str, Any]]:
        """Send a request, and return the attempts of its log line."""
        lines: list[dict[str, Any]] = []
        sink = logger.add(lambda message: lines.append(message.record["extra"]))
        self.addCleanup(logger.remove, sink)
        await self.entries[0].call(path, "last")
        (line,) = (line for line in lines if "attempts" in line)
        return line["attempts"]

    async def test_a_line_says_what_was_known_before_a_send_and_what_it_changed(self) -> None:
        await self.start([Behaviour.CUT] * 3, max_attempts=3)
        first, second, third = await self.attempts_of(PLAIN)
        self.assertNotIn("failed_before", first)
        self.assertEqual((second["failed_before"], third["failed_before"]), (1, 2))
        self.assertEqual([each["effect"] for each in (first, second, third)], ["failed"] * 3)

    async def test_a_line_says_that_an_answer_cleared_earlier_failures(self) -> None:
        await self.start([Behaviour.CUT] * 2, entries=1, max_attempts=1)
        await self.repeat(PLAIN, 1)
        for each in self.targets:
            each.behaviour = Behaviour.ANSWER
        (attempt,) = await self.attempts_of(PLAIN)
        self.assertEqual(attempt["effect"], "cleared")


class Trials(unittest.IsolatedAsyncioTestCase):
    async def test_a_copy_waits_while_the_last_target_that_may_end_still_runs_another(self) -> None:
        client = FakeFailureClient()
        first, second = quarantine(client), quarantine(client)
        copies = [call(f"r{number}", program="p") for number in range(4)]
        for copy, name in zip(copies, ("a", "b"), strict=False):
            await first.record_break(copy, target(name), "route")
        second.suspects.replace(client.table.suspects())
        trial = await first.begin_trial(copies[2], target("c"), "route")
        assert trial is not None
        with self.assertRaises(HeldBack):
            await second.begin_trial(copies[3], target("d"), "route")
        refusal = second.refusal(copies[3])
        self.assertRegex(
            refusal.reason, "^not run: held back: 2 targets .* and others still run it"
        )
        self.assertIsNone(refusal.retry_after_s)
        first.withdraw(copies[2], trial)
        self.assertIsNotNone(await second.begin_trial(copies[3], target("d"), "route"))

    async def test_a_trial_of_a_killed_entry_counts_as_a_failure(self) -> None:
        client = FakeFailureClient()
        killed, other = quarantine(client), quarantine(client)
        copies = [call(f"r{number}", program="p") for number in range(4)]
        await killed.record_break(copies[0], target("a"), "route")
        await killed.begin_trial(copies[1], target("b"), "route")
        other.suspects.replace(client.table.suspects())
        await other.begin_trial(copies[2], target("c"), "route")
        await other.record_break(copies[2], target("c"), "route")
        with self.assertRaises(HeldBack):
            await other.begin_trial(copies[3], target("d"), "route")


class Expiry(unittest.TestCase):
    def test_unanswered_requests_are_bounded_in_number_and_time(self) -> None:
        now = [0.0]
        held = quarantine(clock=lambda: now[0])
        for number in range(5_000):
            held.record_undecided(call(f"r{number}", program="p"), target("a"), "route")
        self.assertEqual(len(held.undecided.sends), 2_000)
        now[0] = 11.0
        held.clear_suspicions()
        self.assertEqual(len(held.undecided.sends), 0)


if __name__ == "__main__":
    unittest.main()
