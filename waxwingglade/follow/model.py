"""What an entry knows of its surroundings: routes, services, limits and targets.

All types are immutable and go between processes as they are.
"""

from collections.abc import Set
from enum import Enum
from typing import NewType

import msgspec

from waxwingglade.base import ConfigVersion, TargetId, ZoneId
from waxwingglade.base.credentials import KeyDigest

RouteName = NewType("RouteName", str)
ServiceName = NewType("ServiceName", str)
Revision = NewType("Revision", int)
IncarnationName = NewType("IncarnationName", str)
ClientAccountId = NewType("ClientAccountId", str)


class CallKind(Enum):
    """How often a request of a route may run.

    `IDEMPOTENT` requests may be repeated; `ONCE` requests run at most once; a `STREAM` is answered
    by events, and runs at most once unless its route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Share(msgspec.Struct, frozen=True, array_like=True):
    """A service that takes a part of a route's requests, and its weight in the split."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, omit_defaults=True):
    """Where the requests of a host and path prefix go, and what they may cost.

    Parameters
    ----------
    name : RouteName
        Name of the route.
    host, prefix : str
        Host header and beginning of the path; the longest prefix wins.
    kind : CallKind
        What may be repeated.
    shares : tuple of Share
        Services that take the requests.
    timeout_s : float
        Longest time that a caller is kept waiting.
    target_latency_s : float
        Time within which an answer earns its full credit; for a stream, to its first event.
    patience_s : float
        Time without an event after which callers give a stream up.
    rank : int
        Urgency, 0 the highest.
    max_attempts : int
        Targets to which one request may be sent.
    keeps_turns : bool
        Whether the requests are turns whose prompts this system rebuilds.
    retention_s : float
        How long a turn is kept.
    resumable : bool
        Whether a stream may go on at another target.
    uses_cache : bool
        Whether a target that saw the same object lately is faster.
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
    """What is known of the model engines of a service.

    Parameters
    ----------
    slots : int
        Requests that one engine runs at once.
    cache_tokens : int
        Tokens of its memory.
    tokens_per_event : int
        Generated tokens that one event of a stream stands for.
    pin_s : float
        Longest time for which a prompt can be kept in memory after a run.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int = 1
    pin_s: float = 0.0


class Service(msgspec.Struct, frozen=True, omit_defaults=True):
    """Targets that are interchangeable.

    Parameters
    ----------
    name : ServiceName
        Name of the service.
    max_connections : int
        Connections that one target takes, from all callers together.
    engine : EngineTraits or None
        Set where the targets are model engines.
    """

    name: ServiceName
    max_connections: int = 0
    engine: EngineTraits | None = None


class ClientLimits(msgspec.Struct, frozen=True):
    """What a client may send, and how long it may take: bytes and seconds."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ClientAccount(msgspec.Struct, frozen=True, omit_defaults=True):
    """A customer whose callers present keys, and what they may ask for together.

    Parameters
    ----------
    name : ClientAccountId
        Name of the account, as targets are told.
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
    """A version of the operators' configuration, whole.

    Parameters
    ----------
    version : ConfigVersion
        Number of the version.
    accounts : tuple of ClientAccount or None
        Who may send requests to routes that are not public; None where nobody needs a key.
    revision : Revision
        Revision of the store that wrote it, which orders two contents of one version.
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
    """One incarnation of a target, as it registered itself.

    Parameters
    ----------
    target : TargetId
        Name that it registered under.
    service : ServiceName
        Service it belongs to.
    address : str
        ``IP:PORT``.
    zone : ZoneId
        Its availability zone.
    slots : int
        Requests it runs at once.
    leaving : bool
        Whether it takes no new work.
    cold_s : float
        Seconds for which it is still slow after its start.
    started_ms : int or None
        Calendar time of its start, in milliseconds, if it tells; under a name that it had before,
        it holds and knows nothing of then.
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
        """Name of this start of the target; a later one under the same name has another."""
        if self.started_ms is None:
            return IncarnationName(self.target)
        return IncarnationName(f"{self.target}@{self.started_ms}")


class Replica(msgspec.Struct, frozen=True, array_like=True):
    """A member of the ledger: a disk, and the process that serves it.

    Parameters
    ----------
    disk : str
        Random name of the disk's content; a disk that was wiped has another one.
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
    """The members of the ledger, as the store has them.

    Parameters
    ----------
    epoch : int
        Number of the set; each change raises it.
    members : tuple of Replica
        Who votes.
    settled : bool
        Whether a majority of the members holds everything that earlier sets acknowledged, so that
        the set may change again.
    joining : str
        Disk of the member that was added by the last change; empty if one was removed.
    """

    epoch: int = 0
    members: tuple[Replica, ...] = ()
    settled: bool = False
    joining: str = ""

    @property
    def majority(self) -> int:
        """Members that have to hold what is acknowledged."""
        return len(self.members) // 2 + 1

    @property
    def blocking_size(self) -> int:
        """Members of which every majority contains one."""
        return blocking_size_of(len(self.members))

    def follows(self, before: "ReplicaSet") -> bool:
        """Return whether this set may be written over another: as the next, or as it, settled."""
        if self.epoch == before.epoch:
            return self.members == before.members and self.settled and not before.settled
        return self.epoch == before.epoch + 1 and (before.settled or not before.epoch)

    def intersects_earlier_majorities(self, disks: Set[str]) -> bool:
        """Return whether members include one of every majority that earlier sets decided with.

        Once the set is settled, its own majorities hold all of that.  Before, what counts are those
        of the set that it follows: the member that has joined was none of that one, and the member
        that was removed may have been one of the majority.  To judge by the new set's size denied
        turns that were kept: in a set of four, the new member and one that had missed a turn passed
        for a proof.
        """
        if self.settled:
            return len(disks) >= self.blocking_size
        size_before = len(self.members) + (-1 if self.joining else 1)
        return len(disks - {self.joining}) >= blocking_size_of(size_before)

    def intersects_all_majorities(self, disks: Set[str]) -> bool:
        """Return whether members include one of every majority, of this set and of those beside it.

        They are those of earlier sets and of the next one, which whoever asks may not have heard
        of.  A majority that still goes by this set shows that none of the next has decided anything
        yet.  The witnesses do not: of a set of even size they are half, and the other half with a
        member that has joined is a majority of the next.
        """
        return len(disks) >= self.majority and self.intersects_earlier_majorities(disks)


def blocking_size_of(members: int) -> int:
    """Return how many of a number of members every majority of them meets."""
    return members - members // 2


class TargetList(msgspec.Struct, frozen=True):
    """Every registered target, as of a revision of the store."""

    revision: Revision = Revision(0)
    targets: tuple[Target, ...] = ()


class View(msgspec.Struct, frozen=True):
    """What a process believes of its surroundings; each part only ever moves forward.

    Parameters
    ----------
    configuration : Configuration or None
        The newest accepted configuration; None while none is known.
    targets : TargetList
        Every registered target.
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
        """Return the newer of each part, and this view itself if nothing is newer."""
        configuration = self.configuration
        if other.configuration is not None and other.configuration.supersedes(configuration):
            configuration = other.configuration
        targets = self.targets
        if other.targets.revision > targets.revision:
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
