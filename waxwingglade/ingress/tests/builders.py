"""Builders of routes, targets and calls for tests of the ingress."""

from typing import Any, cast

from waxwingglade.base import ConfigVersion, Fingerprint, ProgramId, TargetId, ZoneId
from waxwingglade.base.credentials import digest_of
from waxwingglade.follow.model import (
    CallKind,
    ClientAccount,
    ClientAccountId,
    Configuration,
    EngineTraits,
    Revision,
    Route,
    RouteName,
    Service,
    ServiceName,
    Share,
    Target,
    TargetList,
)
from waxwingglade.follow.suspects import Suspects
from waxwingglade.ingress.dialect import Call, PromptPart, RequestId
from waxwingglade.ingress.quarantine import Quarantine
from waxwingglade.ledger.failure_client import FailureClient
from waxwingglade.ledger.target_failures import NO_FAILURES, FailureTable, TargetFailures

ENGINES = Service(ServiceName("engines"), 100, EngineTraits(16, 500_000, 30), "/health")
NOTES = Service(ServiceName("notes"), 100, health_path="/health")


def route(prefix: str, host: str = "shop", **fields: Any) -> Route:
    """Return a route."""
    shares = fields.pop("shares", (Share(ServiceName("notes"), 1.0),))
    kind = fields.pop("kind", CallKind.IDEMPOTENT)
    timeout_s = fields.pop("timeout_s", 1.0)
    return Route(RouteName(prefix), host, prefix, kind, shares, timeout_s, **fields)


def configuration(*routes: Route, **fields: Any) -> Configuration:
    """Return a configuration with some routes."""
    return Configuration(ConfigVersion(1), routes, (ENGINES, NOTES), **fields)


def account(name: str, *keys: str, **fields: Any) -> ClientAccount:
    """Return a client account with some keys."""
    return ClientAccount(ClientAccountId(name), tuple(digest_of(key) for key in keys), **fields)


class FakeFailureClient:
    """Records of failed targets at members that always answer, shared by the entries of a test.

    Attributes
    ----------
    reads : int
        Number of reads and reports.
    reachable : bool
        Whether the members answer.
    """

    def __init__(self) -> None:
        self.table = FailureTable()
        self.reads = 0
        self.reachable = True

    async def read(self, fingerprint: Fingerprint) -> TargetFailures:
        """Return the record of a request."""
        return await self.report(fingerprint, NO_FAILURES)

    async def report(self, fingerprint: Fingerprint, failures: TargetFailures) -> TargetFailures:
        """Merge a record."""
        self.reads += 1
        if not self.reachable:
            return failures
        self.table.merge(fingerprint, failures)
        return self.table.get(fingerprint)

    def report_later(self, fingerprint: Fingerprint, failures: TargetFailures) -> None:
        """Merge a record without an answer."""
        self.table.merge(fingerprint, failures)


def quarantine(client: FakeFailureClient | None = None, **fields: Any) -> Quarantine:
    """Return the quarantine of an entry that is not told of suspect requests."""
    made = cast(FailureClient, client or FakeFailureClient())
    return Quarantine(made, Suspects(), **fields)


def target(name: str, service: str = "notes", zone: str = "zone-a", **fields: Any) -> Target:
    """Return a registered target."""
    slots = fields.pop("slots", 8)
    return Target(TargetId(name), ServiceName(service), name, ZoneId(zone), slots, **fields)


def targets(*registered: Target, revision: int = 1) -> TargetList:
    """Return a list of targets."""
    return TargetList(Revision(revision), registered)


def call(name: str = "request", program: str = "", parts: tuple[str, ...] = ()) -> Call:
    """Return a call, with prompt parts of 10,000 tokens each."""
    made = Call(RequestId(name), "POST", "/", "shop", [])
    made.prompt_parts = tuple(PromptPart(part, 10_000) for part in parts)
    if program:
        made.program = ProgramId(program)
    return made
