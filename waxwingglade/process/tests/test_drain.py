"""What a draining entry waits for: calls that run, and peers that depend on its copies."""

import asyncio
import random
import unittest
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock, patch

from waxwingglade.base import (
    CallId,
    ConfigVersion,
    EntryId,
    EntryRef,
    Epoch,
    ErrorCode,
    Incarnation,
    LogId,
    Ok,
    Outcome,
    ToolName,
    Verdict,
    ZoneId,
    not_run,
)
from waxwingglade.connection.peer_messages import (
    EntryState,
    LogTaken,
    PeerBody,
    SubmitCall,
    TakeLog,
)
from waxwingglade.process.calls import start_call
from waxwingglade.process.directory import Directory
from waxwingglade.process.drain import POLL_S, _hand_over, _wait_for_copies
from waxwingglade.process.log_copy import LogCopy
from waxwingglade.process.members import Members
from waxwingglade.process.reconfigure import change_copies
from waxwingglade.process.tests.fakes import LOG, FakeStore, Network, Node, new_record
from waxwingglade.process.tests.one_entry import TENANT, WAIT_LIMIT_S, one_entry
from waxwingglade.program import Done, ToolCall
from waxwingglade.request import CallEvents
from waxwingglade.settings import DurabilitySettings
from waxwingglade.standins import ToolFaults

SUSPECT_S = 0.05


def entry_ref(name: str) -> EntryRef:
    """Return an entry of the first zone."""
    return EntryRef(EntryId(name), Incarnation(f"i-{name}"), ZoneId("zone-1"), f"tcp://{name}:1")


OWN, OWNER = entry_ref("own"), entry_ref("owner")


class WaitForCopies(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.members = Members(OWN, DurabilitySettings(suspect_after_s=SUSPECT_S))
        copy = LogCopy(Epoch(1), Epoch(1), OWNER, [OWN, OWNER])
        self.entry: Any = SimpleNamespace(
            own=OWN, members=self.members, copies=SimpleNamespace(logs={LogId("log"): copy})
        )

    def receive_heartbeat(self, state: EntryState) -> None:
        """Receive a heartbeat of the owner."""
        self.members.record_contact(OWNER, state, ConfigVersion(1))

    async def is_waiting(self) -> bool:
        """Return whether the entry still waits once its peers count as unresponsive."""
        waiting = asyncio.create_task(_wait_for_copies(self.entry))
        await asyncio.sleep(SUSPECT_S + 2 * POLL_S)
        ended = waiting.done()
        waiting.cancel()
        return not ended

    async def test_it_waits_for_an_owner_that_is_unresponsive(self) -> None:
        """Guards against stopping with a copy that is still needed, which happens when all peers
        are stalled for a moment.
        """
        self.receive_heartbeat(EntryState.ALIVE)
        self.assertTrue(await self.is_waiting())

    async def test_it_waits_for_the_owner_of_a_log_that_it_has_just_come_to_hold(self) -> None:
        """Guards against stopping as a holder that the store names: if the owner is killed at the
        same moment, one of three copies is left, which is too few for a takeover.
        """
        self.entry.copies.logs = (await self.changed_holders()).copies.logs
        self.receive_heartbeat(EntryState.ALIVE)
        self.assertTrue(await self.is_waiting())

    async def changed_holders(self) -> Node:
        """Return a node that has replaced a holder of a log to which nothing was added since."""
        rng = random.Random(1)
        network, store = Network(rng), FakeStore(rng)
        owner, lost, other, new = (Node(n, f"z{n}", network, store) for n in range(4))
        log = owner.build_log(LOG, Epoch(1), [], [owner.ref, lost.ref, other.ref])
        owner.owned = log
        self.addAsyncCleanup(log.stop)
        await log.append(*new_record())
        await owner.register()
        lost.alive = False
        changed = await change_copies(log, [owner.ref, other.ref, new.ref], Directory(store))
        self.assertTrue(changed.is_ok(), changed)
        self.assertIn(new.ref, log.copies)
        return new

    async def test_it_does_not_wait_for_peers_that_drain_as_well(self) -> None:
        self.receive_heartbeat(EntryState.DRAINING)
        self.assertFalse(await self.is_waiting())

    async def test_it_does_not_wait_where_there_never_was_a_peer(self) -> None:
        self.assertFalse(await self.is_waiting())


class WaitingCalls(unittest.IsolatedAsyncioTestCase):
    """Guards against a drain that waits for a call whose predecessor waits for the drain.

    The predecessor arrives after the drain has begun, so it waits for the log's next owner.
    """

    async def asyncSetUp(self) -> None:
        self.running = await self.enterAsyncContext(one_entry())
        self.entry = self.running.entry
        self.program = await self.running.create()
        self.owned = self.entry.log_for(self.program)
        self.state = self.owned.programs[self.program]

    def submit(self, call: ToolCall) -> CallEvents:
        """Start a call."""
        request = SubmitCall(TENANT, self.program, call)
        running = self.entry.running_program(self.state)
        return start_call(self.entry, self.owned, self.state, running, request)

    async def hand_over(self) -> asyncio.Task:
        """Begin to hand the log over to a peer that takes it at once."""

        async def take(body: PeerBody, timeout_s: float) -> Outcome[PeerBody]:
            if not isinstance(body, TakeLog):
                return not_run(ErrorCode.UNAVAILABLE, "this peer only takes logs over")
            self.owned.fence(Epoch(self.owned.epoch + 1))
            self.entry.demote(self.owned)
            return Ok(LogTaken())

        self.enterContext(patch.object(self.entry.members, "usable", lambda: [OWNER]))
        self.enterContext(patch.object(self.entry.links, "to", lambda *_: Mock(request=take)))
        task = asyncio.create_task(_hand_over(self.entry, self.owned))
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        self.addCleanup(task.cancel)
        await asyncio.sleep(4 * POLL_S)
        return task

    async def test_a_call_whose_predecessor_is_missing_moves_to_the_new_owner(self) -> None:
        waiting = self.submit(ToolCall(CallId("c2"), ToolName("order"), {}, order=2))
        task = await self.hand_over()
        self.assertTrue(task.done())
        async with asyncio.timeout(WAIT_LIMIT_S):
            outcome = await waiting.wait()
        self.assertEqual((ErrorCode.FENCED, Verdict.NOT_RUN), (outcome.code, outcome.verdict))
        self.assertEqual([], self.running.tool.effects)

    async def test_a_running_call_and_its_successors_end_first(self) -> None:
        self.running.tool.faults = ToolFaults(delay_s=6 * POLL_S)
        calls = [
            self.submit(ToolCall(CallId(f"c{order}"), ToolName("order"), {}, order=order))
            for order in (1, 2)
        ]
        task = await self.hand_over()
        self.assertFalse(task.done())
        async with asyncio.timeout(WAIT_LIMIT_S):
            outcomes = [await events.wait() for events in calls]
            await task
        self.assertEqual([Done, Done], [type(outcome) for outcome in outcomes])

    async def test_a_call_without_a_number_ends_first(self) -> None:
        self.running.tool.faults = ToolFaults(delay_s=6 * POLL_S)
        call = self.submit(ToolCall(CallId("c1"), ToolName("order"), {}))
        task = await self.hand_over()
        self.assertFalse(task.done())
        async with asyncio.timeout(WAIT_LIMIT_S):
            self.assertIsInstance(await call.wait(), Done)
            await task


if __name__ == "__main__":
    unittest.main()
