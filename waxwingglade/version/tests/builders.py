"""Builders of configuration trees, records and services for tests."""

import asyncio
from collections.abc import Awaitable
from typing import Any, TypeVar

from waxwingglade.base import ConfigVersion, EntryId, EntryRef, Incarnation, OperatorId, ZoneId
from waxwingglade.version import (
    ActiveConfig,
    Change,
    ConfigService,
    ConfigSnapshot,
    LevelPath,
    PolicyPath,
    Proposal,
    ProposalId,
    SettingName,
    Tree,
    VersionRecord,
    apply_changes,
    digest_of,
    parse_tree,
    seed_store,
)
from waxwingglade.version.tests.fake_store import FakeStore

AINO, EERO, HELMI, PEKKA = (OperatorId(name) for name in ("aino", "eero", "helmi", "pekka"))
T = TypeVar("T")
TEST_TIMEOUT_S = 20.0
HEAD_KEY = "config/head"
NOON_S = 12 * 3600.0
PATH = PolicyPath("helsinki-1", "job-centres", "booking", "appointment-chat")

NESTED_TREE = {
    "format": 1,
    "operators": {"aino": "admin", "eero": "approver", "helmi": "approver", "pekka": "proposer"},
    "approval": {
        "rules": [
            {"name": "governing", "levels": ["approval", "operators"], "approvals": 2},
            {"name": "budgets", "settings": ["budget.*"], "approvals": 2},
        ]
    },
    "firm": {"urgency": "normal", "budget": {"tokens": 100_000}},
    "zones": {"helsinki-1": {"queue_limit": 500, "classes": {"booking": {"weight": 3.0}}}},
    "tenants": {
        "job-centres": {
            "queue_limit": 800,
            "weight": 2.0,
            "classes": {
                "booking": {
                    "urgency": "urgent",
                    "programs": {"appointment-chat": {"budget": {"turns": 40}}},
                }
            },
        }
    },
}


def make_tree() -> Tree:
    """Return a tree with four operators and two approval rules."""
    return parse_tree(NESTED_TREE, "test")


def make_ref(name: str = "entry-1") -> EntryRef:
    """Return an entry's reference."""
    return EntryRef(EntryId(name), Incarnation("i1"), ZoneId("helsinki-1"), "tcp://127.0.0.1:1")


def set_value(value: Any, setting: str = "queue_limit", level: str = "firm") -> Change:
    """Return a change; None removes the override."""
    return Change(LevelPath(level), SettingName(setting), value)


def next_record(snapshot: ConfigSnapshot, *changes: Change) -> VersionRecord:
    """Return the record of a version that follows a snapshot."""
    after = apply_changes(snapshot.tree, list(changes))
    version = ConfigVersion(snapshot.version + 1)
    new = ConfigSnapshot(version, after)
    proposal = ProposalId(f"p{version}")
    return VersionRecord(
        version, snapshot.hash, new.hash, list(changes), proposal, AINO, [], AINO, "entry-1", 0.0
    )


def make_service(
    store: FakeStore, name: str = "entry-1", now_s: float = NOON_S, tree: Tree | None = None
) -> ConfigService:
    """Return the service of an entry that has just started."""
    active = ActiveConfig(ConfigSnapshot(ConfigVersion(0), tree or make_tree()))
    return ConfigService(store, make_ref(name), active, clock=lambda: now_s)


async def seeded_service(store: FakeStore) -> ConfigService:
    """Return a service whose tree is version 1 in the store."""
    service = make_service(store)
    seeded = await seed_store(service.config_store, service.active, service.entry_ref)
    assert seeded.ok_value
    return service


async def with_timeout(waiting: Awaitable[T]) -> T:
    """Await `waiting` with a timeout, so that a fault makes the test fail instead of hang."""
    return await asyncio.wait_for(waiting, TEST_TIMEOUT_S)


async def propose(
    service: ConfigService, name: str, *changes: Change, base: int = 1, by: OperatorId = PEKKA
) -> Proposal:
    """Propose changes, which must succeed."""
    outcome = await service.propose(ProposalId(name), by, ConfigVersion(base), list(changes))
    return outcome.unwrap()


async def propose_and_approve(
    service: ConfigService, name: str, *changes: Change, base: int = 1, by: tuple = (EERO, HELMI)
) -> Proposal:
    """Propose changes and have them approved by the operators `by`."""
    proposal = await propose(service, name, *changes, base=base)
    for operator in by:
        proposal = (await service.approve(proposal.id, operator, digest_of(proposal.text))).unwrap()
    return proposal
