"""Requests of operators over HTTP and their answers; the command line uses them, too."""

from typing import Any

import msgspec

from waxwingglade.base import (
    CallId,
    ClassName,
    ConfigVersion,
    OperatorId,
    ProgramId,
    ProgramName,
    TenantId,
)
from waxwingglade.program import Message
from waxwingglade.settings import Budget
from waxwingglade.version import Change, ConfigStatus, Proposal, ProposalId, VersionRecord
from waxwingglade.version.tree import Explanation


class NewTenantProgram(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/programs``: a program that an operator creates for a tenant."""

    tenant: TenantId
    program_class: ClassName
    request: CallId | None = None
    budget: Budget | None = None
    name: ProgramName | None = None


class CancelBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/programs/{program}/cancel``."""

    reason: str = "cancelled by an operator"


class History(msgspec.Struct):
    """The messages of a program."""

    program: ProgramId
    messages: list[Message]


class PeerStatus(msgspec.Struct):
    """The view that an entry has of a peer; `heard_s_ago` is None for the entry itself."""

    entry: str
    zone: str
    state: str
    alive: bool
    config_version: ConfigVersion
    heard_s_ago: float | None = None


class LogStatus(msgspec.Struct):
    """One log that the entry owns."""

    log: str
    epoch: int
    holders: list[str]
    open_programs: int
    ended_programs: int


class TargetStatus(msgspec.Struct):
    """The view that the entry has of one target."""

    target: str
    kind: str
    zone: str
    load: int
    slots: int
    leaving: bool


class EntryStatus(msgspec.Struct):
    """Answer to ``GET /v1/status``."""

    entry: str
    zone: str
    incarnation: str
    state: str
    version: str
    config_version: ConfigVersion
    requests: int
    peers: list[PeerStatus]
    logs: list[LogStatus]
    targets: list[TargetStatus]
    store_calls: dict[str, int]


class DesiredState(msgspec.Struct):
    """The state of a target that operators request; an empty role means no change."""

    models: list[str]
    adapters: list[str] = []
    role: str = ""


class SetTargetBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``PUT /v1/targets/{target}``.

    Without a base version, the change applies to the current one.
    """

    models: list[str]
    adapters: list[str] = []
    role: str = ""
    base_version: int | None = None


class DesiredView(msgspec.Struct):
    """A model engine and the state that operators request of it, or None if they request none.

    Version, proposer and time refer to the last change in the zone.
    """

    target: str
    zone: str
    desired: DesiredState | None
    version: int = 0
    proposer: str = ""
    changed_at: float = 0.0


class DesiredList(msgspec.Struct):
    """Answer to ``GET /v1/targets``."""

    targets: list[DesiredView]


class ReadBack(msgspec.Struct):
    """State read back from a target; it is unknown if `serving` is None."""

    target: str
    agrees: bool
    models: list[str]
    adapters: list[str]
    role: str
    serving: list[str] | None
    note: str


class OrdersStatus(msgspec.Struct):
    """Answer to ``GET /v1/orders``: which entry sends the orders of the zone, and the results."""

    zone: str
    holder: str | None
    targets: list[ReadBack]


class ConfigView(msgspec.Struct):
    """Answer to ``GET /v1/config``: the version in force and its tree in nested form."""

    version: ConfigVersion
    hash: str
    source: str
    confirmed: bool
    tree: dict[str, Any]


class ExplanationList(msgspec.Struct):
    """Answer to ``GET /v1/config/explain``."""

    version: ConfigVersion
    values: list[Explanation]


class ProposeBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/config/proposals``; without a base, the version in force is used."""

    changes: list[Change]
    id: ProposalId | None = None
    base_version: ConfigVersion | None = None


class ApproveBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``.../approve``: the digest of the text that the operator has read."""

    text_digest: str


class RejectBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``.../reject``."""

    reason: str = ""


class ProposalView(msgspec.Struct):
    """A proposal, the digest needed to approve it, and the conditions it still waits for."""

    proposal: Proposal
    text_digest: str
    waits_for: str = ""


class ProposalList(msgspec.Struct):
    """Answer to ``GET /v1/config/proposals``."""

    proposals: list[Proposal]


class VersionList(msgspec.Struct):
    """Answer to ``GET /v1/config/history``, newest first."""

    versions: list[VersionRecord]


class Accepted(msgspec.Struct):
    """Answer to a request that is carried out later."""

    accepted: bool = True


__all__ = [
    "Accepted",
    "ApproveBody",
    "CancelBody",
    "ConfigStatus",
    "ConfigView",
    "DesiredList",
    "DesiredState",
    "DesiredView",
    "EntryStatus",
    "ExplanationList",
    "History",
    "LogStatus",
    "NewTenantProgram",
    "OperatorId",
    "OrdersStatus",
    "PeerStatus",
    "ProposalList",
    "ProposalView",
    "ProposeBody",
    "ReadBack",
    "RejectBody",
    "SetTargetBody",
    "TargetStatus",
    "VersionList",
]
