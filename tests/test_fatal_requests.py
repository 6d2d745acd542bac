"""Requests that end each server that runs them, through real entries and the real ledger."""

import asyncio
import time
import unittest

from tests.fatal_requests import EAGER, MARK, MAX_ENDED, OK, RESUMED, FatalRequests, program
from tests.platform_cluster import CALL, STREAM
from tests.prove.relay import LinkFault
from tests.relayed_cluster import ANY_CLIENT, RelayedCluster
from waxwingglade.base import Fingerprint
from waxwingglade.cli.exits import ExitStatus
from waxwingglade.cli.tests.cli_builders import CommandResult, run_process
from waxwingglade.follow.model import IncarnationName
from waxwingglade.ingress.refusal import Refusal
from waxwingglade.ingress.tests.builders import call, target
from waxwingglade.ledger.messages import MergeFailures
from waxwingglade.ledger.target_failures import TargetFailures, Trial
from waxwingglade.standins.registered_server import Crash, RegisteredServer

HELD = 503
PATIENCE_S = 1.5
"""Seconds after which a caller gives up; servers are silent for longer before they are removed."""

SETTLE_S = 0.5
"""Seconds after which an entry has asked a second member."""


class SentAfterThreeEnds(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = FatalRequests()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()

    async def test_no_server_gets_a_request_under_which_three_have_ended(self) -> None:
        cases = {
            "turn": (STREAM, 6, program("p1")),
            "resumed turn": (RESUMED, 6, program("p2")),
            "tool call": (CALL, 4, {"program_id": "p3", "session_id": "s3"}),
            "plain call": (EAGER, 4, {"affinity_key": "object"}),
        }
        for name, (path, times, headers) in cases.items():
            with self.subTest(name):
                await self.cluster.until(lambda: self.cluster.recovered)
                body = MARK + name.encode()
                answers = await self.cluster.repeat(path, body, times, **headers)
                sent = self.cluster.fatal_runs(body)
                self.assertLessEqual(len(sent), MAX_ENDED, [each.status for each in answers])

    async def test_restarts_between_the_attempts_forget_no_end(self) -> None:
        def kill(number: int) -> None:
            nodes = [*self.cluster.entries, *(self.cluster.ledgers if number == 2 else [])]
            for node in nodes:
                node.kill()
            for node in nodes:
                node.start()

        for path in (STREAM, EAGER):
            with self.subTest(path):
                await self.cluster.until(lambda: self.cluster.recovered)
                body = MARK + path.encode()
                headers = program(f"p{path}") if path == STREAM else {"affinity_key": "object"}
                answers = []
                for number in range(6):
                    if number in (1, 2, 4):
                        kill(number)
                        for entry in self.cluster.entries:
                            await self.cluster.until_ready(entry)
                    answers += await self.cluster.repeat(path, body, 1, **headers)
                sent = self.cluster.fatal_runs(body)
                statuses = [each.status for each in answers]
                self.assertLessEqual(len(sent), MAX_ENDED, statuses)
                self.assertEqual(statuses[-1], HELD)

    async def test_of_copies_at_once_only_one_is_sent_after_two_ends(self) -> None:
        body, headers = MARK + b"copies", {"affinity_key": "copies"}
        answers = await self.cluster.repeat(CALL, body, 1, **headers)
        for server in self.cluster.notes:
            server.fatal_after_s = 0.3
        copies = []
        for entry in self.cluster.entries * 4:
            copies.append(asyncio.create_task(self.cluster.attempt(entry, CALL, body, **headers)))
            await asyncio.sleep(0.02)
        answers += await asyncio.gather(*copies)
        ended = [server for server in self.cluster.ended if _ran(server, body)]
        self.assertEqual(len(ended), MAX_ENDED, [each.status for each in answers])

    async def test_an_operator_sees_and_releases_a_held_request(self) -> None:
        body, headers = MARK, {"affinity_key": "object"}
        answers = await self.cluster.repeat(EAGER, body, 4, **headers)
        self.assertEqual(answers[-1].status, HELD)
        first, *others = (f"{node.ip}:{node.first_port}" for node in self.cluster.ledgers)
        (listed,) = (await self.command("list", first, "--json")).json()
        self.assertEqual((listed["route"], listed["held"]), ("eager", True))
        self.assertEqual(len(listed["failed"]), MAX_ENDED)
        self.assertIn(listed["fingerprint"], answers[-1].text)
        done = await self.command("release", first, listed["fingerprint"])
        self.assertEqual(ExitStatus.OK, done.status, done.errors)
        for address in others:
            async with asyncio.timeout(5.0):
                while (await self.command("list", address, "--json")).json():
                    await asyncio.sleep(0.2)
        await self.cluster.until(lambda: self.cluster.recovered)
        for server in self.cluster.notes:
            server.fatal = b""
        (answer,) = await self.cluster.repeat(EAGER, body, 1, **headers)
        self.assertEqual(answer.status, OK)
        again = await self.command("release", first, listed["fingerprint"])
        self.assertEqual(ExitStatus.NOT_FOUND, again.status)

    async def command(self, *arguments: str) -> CommandResult:
        """Run ``waxwingglade held``."""
        return await asyncio.to_thread(run_process, "held", *arguments)


class SentAfterOtherEnds(unittest.IsolatedAsyncioTestCase):
    async def test_no_server_gets_a_request_however_the_three_before_have_ended(self) -> None:
        cluster = FatalRequests()
        self.addAsyncCleanup(cluster.stop)
        await cluster.start()
        for kind in Crash:
            for name, path, times in (("turn", STREAM, 6), ("tool call", CALL, 4)):
                with self.subTest(f"{name}: {kind.value}"):
                    await cluster.until(lambda: cluster.recovered)
                    cluster.end_by(kind)
                    body = MARK + f"{name} {kind.name}".encode()
                    headers = program(f"{name[0]}-{kind.name}")
                    answers = await cluster.repeat(
                        path, body, times, PATIENCE_S, trusts_answers=False, **headers
                    )
                    sent = cluster.fatal_runs(body)
                    self.assertLessEqual(len(sent), MAX_ENDED, [each.status for each in answers])


class StalledMember(unittest.IsolatedAsyncioTestCase):
    async def test_an_entry_learns_of_suspect_requests_while_the_member_it_follows_is_stalled(
        self,
    ) -> None:
        cluster = RelayedCluster()
        self.addAsyncCleanup(cluster.stop)
        await cluster.start()
        followed = cluster.entry.follower.source
        number = next(n for n, node in enumerate(cluster.nodes) if node.own.address == followed)
        await asyncio.sleep(SETTLE_S)
        cluster.relays.disrupt(ANY_CLIENT, number, LinkFault.STALL)
        cluster.relays.disrupt(number, ANY_CLIENT, LinkFault.STALL)
        trials = tuple(Trial(IncarnationName(name), "r") for name in ("a", "b"))
        report = MergeFailures(Fingerprint("f"), TargetFailures(trials))
        for node in cluster.nodes[:number] + cluster.nodes[number + 1 :]:
            await node.replica.merge_failures(report)
        suspects = cluster.entry.cached_view.suspects
        waited_s = await cluster.until(lambda: bool(suspects.failed))
        self.assertEqual(suspects.failed, {"f": 2})
        # The entry turns to another member only after 0.8 s.
        self.assertLess(waited_s, 0.3)


class CutOffEntry(unittest.IsolatedAsyncioTestCase):
    async def test_an_entry_in_a_minority_holds_back_and_the_others_learn_of_it_later(self) -> None:
        cluster = RelayedCluster()
        self.addAsyncCleanup(cluster.stop)
        await cluster.start()
        for number in (1, 2):
            cluster.relays.disrupt(ANY_CLIENT, number, LinkFault.STALL)
            cluster.relays.disrupt(number, ANY_CLIENT, LinkFault.STALL)
        quarantine = cluster.entry.quarantine
        for number in range(MAX_ENDED):
            copy = call(f"r{number}", program="p")
            await quarantine.check(copy)
            began_at = time.monotonic()
            await quarantine.record_break(copy, target(f"i-{number}"), "route")
            self.assertLess(time.monotonic() - began_at, 0.3)
        with self.assertRaises(Refusal):
            await quarantine.check(call("last", program="p"))
        for number in (1, 2):
            cluster.relays.heal(number)
        waited_s = await cluster.until(
            lambda: all(any(node.cached_view.suspects.failed.values()) for node in cluster.nodes)
        )
        self.assertLess(waited_s, 5.0)


class ChanceVictims(unittest.IsolatedAsyncioTestCase):
    async def test_work_that_meets_two_ends_by_chance_is_served(self) -> None:
        cluster = FatalRequests()
        self.addAsyncCleanup(cluster.stop)
        await cluster.start()
        for path, headers in (
            (STREAM, program("p1")),
            (RESUMED, program("p2")),
            (CALL, program("p3")),
            (EAGER, {"affinity_key": "object"}),
        ):
            with self.subTest(path):
                await cluster.until(lambda: cluster.recovered)
                body = MARK + path.encode()
                cluster.end_at_most(2)
                answers = await cluster.repeat(path, body, 6, **headers)
                self.assertEqual(answers[-1].status, OK, answers)
                self.assertEqual(len(cluster.fatal_runs(body)), MAX_ENDED)


def _ran(server: RegisteredServer, body: bytes) -> bool:
    return any(body in run.body for run in server.runs)


if __name__ == "__main__":
    unittest.main()
