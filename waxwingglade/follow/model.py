"""The platform's state as entries see it: routes, services, limits, targets and ledger members.

All types are immutable and are sent between processes in this form.
"""

import zlib
from collections.abc import Set
from enum import Enum
from functools import cached_property
from typing import Annotated, NewType

import msgspec

from waxwingglade.base import ConfigVersion, TargetId, ZoneId
from waxwingglade.base.credentials import KeyDigest

LAST_REVISION = 2**63 - 1
"""Greatest revision and epoch, which all messages between processes can carry."""

RouteName = NewType("RouteName", str)
ServiceName = NewType("ServiceName", str)
Revision = NewType("Revision", int)
IncarnationName = NewType("IncarnationName", str)
ClientAccountId = NewType("ClientAccountId", str)


class CallKind(Enum):
    """How often a request of a route may run.

    `IDEMPOTENT` requests may be repeated.  `ONCE` requests run at most once.  `STREAM` requests are
    answered by events, and run at most once unless their route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Share(msgspec.Struct, frozen=True, array_like=True):
    """A service that gets a share of a route's requests, and its weight in the split."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, omit_defaults=True):
    """Services and limits for the requests of one host and path prefix.

    Parameters
    ----------
    name : RouteName
        Name of the route.
    host, prefix : str
        Host header and beginning of the path; the longest prefix wins.
    kind : CallKind
        How often a request may run.
    shares : tuple of Share
        Services that serve the requests.
    timeout_s : float
        Longest time that a caller waits for its answer.
    target_latency_s : float
        Time within which an answer earns its full credit; for a stream, to its first event.
    patience_s : float
        Time without an event after which callers abandon a stream.
    rank : int
        Urgency, 0 the highest.
    max_attempts : int
        Greatest number of targets to which one request may be sent.
    keeps_turns : bool
        Whether the requests are turns, which the ledger stores so that prompts can be rebuilt.
    retention_s : float
        How long a turn is stored.
    resumable : bool
        Whether a stream may continue at another target.
    uses_cache : bool
        Whether a target that recently handled the same object is faster.
    public : bool
        Whether callers need no key.
    """

    name: RouteName
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[Share, ...]
    timeout_s: float
    target_latency_s: float = 0.0
    patience_s: float = 2.0
    rank: int = 0
    max_attempts: int = 1
    keeps_turns: bool = False
    retention_s: float = 0.0
    resumable: bool = False
    uses_cache: bool = False
    public: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is CallKind.IDEMPOTENT or (self.kind is CallKind.STREAM and self.resumable)


class EngineTraits(msgspec.Struct, frozen=True, omit_defaults=True):
    """Properties of the model engines of a service.

    Parameters
    ----------
    slots : int
        Requests that one engine runs at once.
    cache_tokens : int
        Capacity of its KV cache, in tokens.
    tokens_per_event : int
        Generated tokens that one event of a stream stands for.
    pin_s : float
        Longest time for which a prompt can be pinned in the cache after a run.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int = 1
    pin_s: float = 0.0


class Service(msgspec.Struct, frozen=True, omit_defaults=True):
    """A set of interchangeable targets.

    Parameters
    ----------
    name : ServiceName
        Name of the service.
    max_connections : int
        Greatest number of connections to one target, from all callers together.
    engine : EngineTraits or None
        Set where the targets are model engines.
    health_path : str
        Path that each target answers without running a request; empty if there is none.
    """

    name: ServiceName
    max_connections: int = 0
    engine: EngineTraits | None = None
    health_path: str = ""


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits on the size (bytes) and duration (seconds) of client requests."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ClientAccount(msgspec.Struct, frozen=True, omit_defaults=True):
    """A customer whose callers present keys, and the limits on their requests together.

    Parameters
    ----------
    name : ClientAccountId
        Name of the account, as sent to targets.
    keys : tuple of KeyDigest
        Digests of its keys.
    rank : int or None
        Urgency of its requests, 0 the highest; None for that of their routes.
    rate_per_s : float
        Requests a second over all entries; 0 for no limit.
    burst : float
        Requests on top of the rate in any window.
    """

    name: ClientAccountId
    keys: tuple[KeyDigest, ...] = ()
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class Configuration(msgspec.Struct, frozen=True):
    """One complete version of the operators' configuration.

    Parameters
    ----------
    version : ConfigVersion
        Number of the version.
    accounts : tuple of ClientAccount or None
        Accounts that may send requests to routes that are not public; None if no keys are needed.
    revision : Revision
        Revision of the store that wrote it; it orders different contents of one version.
    """

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: ClientLimits = ClientLimits()
    accounts: tuple[ClientAccount, ...] | None = None
    revision: Revision = Revision(0)

    def supersedes(self, other: "Configuration | None") -> bool:
        """Return whether this is a newer configuration than another."""
        if other is None:
            return True
        return (self.version, self.revision) > (other.version, other.revision)


class Target(msgspec.Struct, frozen=True, omit_defaults=True):
    """One start (incarnation) of a target, as registered by the target.

    Parameters
    ----------
    target : TargetId
        Name that it registered under.
    service : ServiceName
        Service that it belongs to.
    address : str
        ``IP:PORT``.
    zone : ZoneId
        Its availability zone.
    slots : int
        Requests that it runs at once.
    leaving : bool
        Whether it accepts no new work.
    cold_s : float
        Seconds for which it remains slow after its start.
    started_ms : int or None
        Wall-clock time of its start, in milliseconds; None if it reports none.  After a restart
        under the same name, a target has lost its earlier runs and cache.
    """

    target: TargetId
    service: ServiceName
    address: str
    zone: ZoneId
    slots: int = 1
    leaving: bool = False
    cold_s: float = 0.0
    started_ms: int | None = None

    @property
    def incarnation(self) -> IncarnationName:
        """Name of this start of the target; a restart under the same name has a different one."""
        if self.started_ms is None:
            return IncarnationName(self.target)
        return IncarnationName(f"{self.target}@{self.started_ms}")


class Replica(msgspec.Struct, frozen=True, array_like=True):
    """A member of the ledger: a disk and the process that serves it.

    Parameters
    ----------
    disk : str
        Random name of the content of the disk; a wiped disk gets a new one.
    vm : str
        Name of the VM.
    address : str
        ZeroMQ endpoint.
    zone : ZoneId
        Availability zone.
    """

    disk: str
    vm: str
    address: str
    zone: ZoneId


class ReplicaSet(msgspec.Struct, frozen=True):
    """The members of the ledger, as recorded in the store.

    Parameters
    ----------
    epoch : int
        Number of the set; each change raises it.
    members : tuple of Replica
        Members that vote.
    settled : bool
        Whether a majority of the members has stored everything that earlier sets acknowledged.
        Only then may the set change again.
    joining : str
        Disk of the member that the last change added; empty if it removed one.
    """

    epoch: Annotated[int, msgspec.Meta(ge=0, le=LAST_REVISION)] = 0
    members: tuple[Replica, ...] = ()
    settled: bool = False
    joining: str = ""

    @property
    def majority(self) -> int:
        """Number of members that must store a change before it is acknowledged."""
        return len(self.members) // 2 + 1

    @property
    def blocking_size(self) -> int:
        """Number of members such that every majority contains at least one of them."""
        return blocking_size_of(len(self.members))

    def follows(self, before: "ReplicaSet") -> bool:
        """Return whether this set may replace another: as its successor, or as its settled form."""
        if self.epoch == before.epoch:
            return self.members == before.members and self.settled and not before.settled
        return self.epoch == before.epoch + 1 and (before.settled or not before.epoch)

    def intersects_earlier_majorities(self, disks: Set[str]) -> bool:
        """Return whether `disks` intersects every majority by which earlier sets decided.

        In a settled set, each majority has stored all decisions of earlier sets.  Before that, the
        majorities of the preceding set count.  The joining member was not in that set, and the
        removed member may have been in its majority.  Using the size of the new set would deny
        turns that are stored: in a set of four, the joining member and one member that missed a
        turn would pass as a proof that the turn was not stored.
        """
        if self.settled:
            return len(disks) >= self.blocking_size
        size_before = len(self.members) + (-1 if self.joining else 1)
        return len(disks - {self.joining}) >= blocking_size_of(size_before)

    def intersects_all_majorities(self, disks: Set[str]) -> bool:
        """Return whether `disks` intersects every majority of this, earlier and the next set.

        The process that asks may not have received the next set yet.  A majority of members that
        still use this set shows that no majority of the next set has decided anything.  A blocking
        set is not enough for that: in a set of even size it is half of the members, and the other
        half and a joining member form a majority of the next set.
        """
        return len(disks) >= self.majority and self.intersects_earlier_majorities(disks)


def blocking_size_of(members: int) -> int:
    """Return the size of a blocking set, which intersects every majority of a number of members."""
    return members - members // 2


class TargetList(msgspec.Struct, frozen=True, dict=True):
    """All registered targets, as of a revision of the store."""

    revision: Revision = Revision(0)
    targets: tuple[Target, ...] = ()

    @cached_property
    def checksum(self) -> int:
        """Checksum of the targets, the same in all processes that have the same ones."""
        targets = sorted(self.targets, key=lambda target: target.target)
        return zlib.crc32(msgspec.msgpack.encode(targets))

    def replaces(self, other: "TargetList") -> bool:
        """Return whether this list is newer, or differs from another one of the same revision.

        Of two such lists one lacks a change, so the one that was read later is used.
        """
        if self.revision != other.revision or self is other:
            return self.revision > other.revision
        return self.checksum != other.checksum


class View(msgspec.Struct, frozen=True):
    """A process's view of the platform's state; no part is replaced by an older one.

    Parameters
    ----------
    configuration : Configuration or None
        The newest accepted configuration; None before the first one is received.
    targets : TargetList
        All registered targets.
    replicas : ReplicaSet
        The members of the ledger.
    """

    configuration: Configuration | None = None
    targets: TargetList = TargetList()
    replicas: ReplicaSet = ReplicaSet()

    @property
    def version(self) -> ConfigVersion:
        """Version of the configuration, 0 while there is none."""
        return self.configuration.version if self.configuration else ConfigVersion(0)

    def merged(self, other: "View") -> "View":
        """Return a view with the newer of each part; this view itself if no part is replaced."""
        configuration = self.configuration
        if other.configuration is not None and other.configuration.supersedes(configuration):
            configuration = other.configuration
        targets = self.targets
        if other.targets.replaces(targets):
            targets = other.targets
        replicas = self.replicas
        newer = (other.replicas.epoch, other.replicas.settled)
        if newer > (replicas.epoch, replicas.settled):
            replicas = other.replicas
        if (configuration, targets, replicas) == (self.configuration, self.targets, self.replicas):
            return self
        return View(configuration, targets, replicas)

    @property
    def configuration_revision(self) -> Revision:
        """Revision of the store that wrote the configuration, 0 while there is none."""
        return self.configuration.revision if self.configuration else Revision(0)


EMPTY_VIEW = View()

__all__ = [
    "EMPTY_VIEW",
    "LAST_REVISION",
    "CallKind",
    "ClientAccount",
    "ClientAccountId",
    "ClientLimits",
    "Configuration",
    "EngineTraits",
    "IncarnationName",
    "Replica",
    "ReplicaSet",
    "Revision",
    "Route",
    "RouteName",
    "Service",
    "ServiceName",
    "Share",
    "Target",
    "TargetList",
    "View",
    "blocking_size_of",
]
