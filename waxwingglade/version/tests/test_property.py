"""Property test with operators at several entries, lost and delayed answers, and stale copies.

In all cases, versions never decrease, each accepted version was approved under the rules of the
previous version, and the answers to operators are correct.
"""

import asyncio
import os
import unittest
from unittest import mock

from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from waxwingglade.base import Ok, Verdict
from waxwingglade.version import (
    ActiveConfig,
    ConfigService,
    ConfigSnapshot,
    ProposalId,
    Tree,
    VersionRecord,
    apply_changes,
    catch_up,
    digest_of,
)
from waxwingglade.version.tests.builders import (
    NOON_S,
    make_service,
    make_tree,
    seeded_service,
    set_value,
)
from waxwingglade.version.tests.fake_store import FakeStore, Fault

OPERATORS = ["aino", "eero", "helmi", "pekka"]
PROPOSALS = [f"p{number}" for number in range(8)]
ENTRIES = 3
EXAMPLES = int(os.environ.get("CONFIG_EXAMPLES", "400"))
PAUSE_ITERATIONS = 3

TWO_APPROVALS = [{"name": "two", "settings": ["queue_limit", "rules"], "approvals": 2}]
CHANGES = [
    set_value(1),
    set_value(2),
    set_value(5.0, "weight"),
    set_value(TWO_APPROVALS, "rules", "approval"),
    set_value([], "rules", "approval"),
    set_value("approver", "pekka", "operators"),
    set_value(None, "helmi", "operators"),
]

entry = st.integers(0, ENTRIES - 1)
operator = st.sampled_from(OPERATORS)
proposal = st.sampled_from(PROPOSALS)
approvers = st.lists(st.sampled_from(OPERATORS), min_size=1, max_size=4)
a_change = st.sampled_from(CHANGES)
operation = st.one_of(
    st.tuples(
        st.just("propose to accept"), entry, proposal, operator, st.tuples(a_change, approvers)
    ),
    st.tuples(
        st.just("propose to accept"), entry, proposal, operator, st.tuples(a_change, approvers)
    ),
    st.tuples(
        st.just("propose to accept"), entry, proposal, operator, st.tuples(a_change, approvers)
    ),
    st.tuples(st.just("propose"), entry, proposal, operator, a_change),
    st.tuples(st.just("approve"), entry, proposal, operator),
    st.tuples(st.just("accept"), entry, proposal, operator),
    st.tuples(st.just("accept"), entry, proposal, operator),
    st.tuples(st.just("close"), entry, proposal, operator),
    st.tuples(st.just("catch up"), entry),
    st.tuples(st.just("stale peer"), entry, entry),
    st.tuples(st.just("restart"), entry),
    st.tuples(st.just("delayed writes")),
    st.tuples(st.just("outage"), st.integers(1, 150)),
)
fault = st.sampled_from([Fault.NONE] * 12 + list(Fault))


class Simulation:
    """Entries on one store, the versions that they had in force, and the answers to operators."""

    def __init__(self, store: FakeStore, services: list[ConfigService]) -> None:
        self.store = store
        self.services = services
        self.seen: dict[ActiveConfig, int] = {}
        self.accepted: list[VersionRecord] = []
        self.closed: set[str] = set()
        self.not_run: set[float] = set()
        self.now_s = NOON_S
        self.copies = [each.active.snapshot_bytes() for each in services]

    async def run(self, step: tuple) -> None:
        """Execute one operation and record the versions in force."""
        kind, *arguments = step
        if kind == "delayed writes":
            self.store.apply_delayed()
            return
        if kind == "outage":
            await self.outage(arguments[0])
            return
        service = self.services[arguments[0]]
        await getattr(self, "do_" + kind.replace(" ", "_"))(service, *arguments)
        self.observe()

    def observe(self) -> None:
        """Check that the version in force has not decreased at any entry."""
        for service in self.services:
            active = service.active
            assert active.current.version >= self.seen.get(active, 0)
            self.seen[active] = active.current.version

    async def outage(self, iterations: int) -> None:
        """Take the store down for some iterations of the event loop."""
        await asyncio.sleep(0)
        self.store.down = True
        for _ in range(iterations):
            await asyncio.sleep(0)
        self.store.down = False

    async def do_propose_to_accept(self, service, index, name, by, change_and_approvers):
        """Propose a change, have it approved, and accept it."""
        change, approvers = change_and_approvers
        await catch_up(service.config_store, service.active)
        await self.do_propose(service, index, name, by, change)
        for each in approvers:
            await self.do_approve(service, index, name, each)
        await self.do_accept(service, index, name, by)

    async def do_propose(self, service, _, name, by, change):
        base = service.active.current.version
        await service.propose(ProposalId(name), by, base, [change])

    async def do_approve(self, service, _, name, by):
        found = await service.proposal(ProposalId(name))
        if isinstance(found, Ok):
            await service.approve(ProposalId(name), by, digest_of(found.ok_value.text))

    async def do_accept(self, service, _, name, by):
        self.now_s += 1.0
        at_s = self.now_s  # identifies this request in the record of a version
        service.clock = lambda: at_s
        outcome = await service.accept(ProposalId(name), by)
        if isinstance(outcome, Ok):
            self.accepted.append(outcome.ok_value)
        elif outcome.err_value.verdict is Verdict.NOT_RUN:
            self.not_run.add(at_s)

    async def do_close(self, service, _, name, by):
        withdrawn = await service.withdraw(ProposalId(name), by)
        rejected = await service.reject(ProposalId(name), by)
        if isinstance(withdrawn, Ok) or isinstance(rejected, Ok):
            self.closed.add(name)

    async def do_catch_up(self, service, index):
        await catch_up(service.config_store, service.active)
        self.copies[index] = service.active.snapshot_bytes()

    async def do_stale_peer(self, service, _, other):
        service.active.offer_bytes(self.copies[other])

    async def do_restart(self, service, index):
        service.active = ActiveConfig(ConfigSnapshot(0, make_tree()))
        service.active.offer_bytes(self.copies[index])


async def pause(attempt: int) -> None:
    """Let the other tasks run for some iterations of the event loop."""
    for _ in range(PAUSE_ITERATIONS * attempt):
        await asyncio.sleep(0)


def approved_under(tree: Tree, record: VersionRecord) -> bool:
    """Return whether a version had the approvals that the previous tree requires.

    This is an independent implementation of the rules, which does not use the code under test.
    """
    rules = tree.levels["approval"].get("rules", []) if "approval" in tree.levels else []
    roles = tree.levels["operators"]
    approvers = {
        each.operator
        for each in record.approvals
        if roles.get(each.operator) in ("approver", "admin") and each.operator != record.proposer
    }
    for change in record.changes:
        covering = [rule for rule in rules if covers(rule, change)]
        needed = covering[0]["approvals"] if covering else 1
        if change.level in ("approval", "operators"):
            needed = max(1, needed)
        if len(approvers) < needed:
            return False
    return True


def covers(rule: dict, change) -> bool:
    """Return whether a rule covers a change; supports only the rules used in this test."""
    levels_match = "*" in rule["levels"] or change.level in rule["levels"]
    budget = "budget.*" in rule["settings"] and change.setting.startswith("budget.")
    return levels_match and (
        "*" in rule["settings"] or change.setting in rule["settings"] or budget
    )


async def run_simulation(rounds: list[list[tuple]], faults: list[Fault]) -> None:
    """Run rounds of concurrent operations and check the resulting history."""
    store = FakeStore()
    services = [await seeded_service(store)]
    services += [make_service(store, f"entry-{number}") for number in range(1, ENTRIES)]
    for service in services:
        (await catch_up(service.config_store, service.active)).unwrap()
    simulation = Simulation(store, services)
    store.faults.extend(faults)
    for steps in rounds:
        await asyncio.gather(*(simulation.run(step) for step in steps))
    store.faults.clear()
    store.apply_delayed()
    history = list(reversed((await services[0].history(10_000)).unwrap()))
    check_history(simulation, history)


def check_history(simulation: Simulation, history: list[VersionRecord]) -> None:
    """Check accepted versions against the rules and against the answers to operators."""
    assert [each.version for each in history] == list(range(1, len(history) + 1))
    tree = make_tree()
    for record in history[1:]:
        assert approved_under(tree, record), record
        tree = apply_changes(tree, record.changes)
    names = [each.proposal for each in history]
    assert len(names) == len(set(names))
    assert not simulation.closed & set(names)
    assert not simulation.not_run & {each.accepted_at_s for each in history[1:]}
    for record in simulation.accepted:
        assert record in history
    for service in simulation.services:
        assert service.active.current.version <= len(history)


class TestProperty(unittest.TestCase):
    @seed(20)
    @settings(max_examples=EXAMPLES, deadline=None, suppress_health_check=list(HealthCheck))
    @given(
        rounds=st.lists(st.lists(operation, min_size=1, max_size=3), min_size=4, max_size=20),
        faults=st.lists(fault, max_size=200),
    )
    def test_versions_increase_and_were_approved(self, rounds, faults):
        # Pauses are a fixed number of iterations of the event loop, so that examples reproduce.
        with mock.patch("waxwingglade.version.acceptance._pause", pause):
            asyncio.run(run_simulation(rounds, faults))


if __name__ == "__main__":
    unittest.main()
