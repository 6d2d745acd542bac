"""Settings of one process, as read from its YAML file.

They describe the location of the process and its connections.  Settings that operators can change
while the process runs are in the configuration tree (`waxwingglade.version`) instead.
"""

from enum import Enum
from typing import Annotated, Any

import msgspec

from waxwingglade.settings.decisions import DecisionSettings
from waxwingglade.settings.strict import Name, Port, Positive, Strict


class ListenSettings(Strict):
    """Addresses on which the process listens; port 0 selects a free port.

    `advertised_peer_address` is the endpoint that is announced to peers, such as
    ``tcp://10.0.0.5:7001``, if it differs from the one that the process binds.
    """

    address: str = "127.0.0.1"
    caller_port: Port = 0
    operator_port: Port = 0
    peer_port: Port = 0
    advertised_peer_address: str = ""


class StoreSettings(Strict):
    """Connection to the platform's key-value service.

    `calls_per_second` limits the calls of this process, including open watches.
    """

    urls: list[str] = msgspec.field(default_factory=list)
    prefix: str = "/waxwingglade"
    timeout_s: Positive = 2.0
    calls_per_second: Positive = 20.0
    lease_ttl_s: Positive = 10.0


class PlatformSettings(Strict):
    """URL of the platform's list of live and leaving VMs; empty if there is none."""

    vms_url: str = ""
    poll_s: Positive = 1.0


class PeerSettings(Strict):
    """A peer to contact at start; further peers are learned from heartbeats."""

    entry: Name
    zone: Name
    peer_address: str


class DurabilitySettings(Strict):
    """Replication of program logs between entries.

    Parameters
    ----------
    copies : int
        Number of copies of each log, including the owner's; must be odd, so that a majority is
        unambiguous.
    heartbeat_s, suspect_after_s : float
        Seconds between heartbeats, and seconds without one after which a peer is considered
        unreachable.
    watch_all_up_to : int
        Maximum number of peers at which an entry exchanges heartbeats with all of them.
    remote_watched : int
        In a larger fleet, the number of entries in other zones, one per zone, that an entry watches
        besides those with which it shares a log.
    forget_after_s : float
        Seconds without a heartbeat after which a peer is no longer contacted; must be longer than
        any partition between zones or regions that has to heal without intervention.
    append_timeout_s : float
        Seconds that an append waits for a majority before it is reported as not durable; longer
        than `suspect_after_s`, so that an unreachable holder does not fail a call.
    takeover_period_s : float
        Seconds between checks for logs whose owner is unreachable.
    logs_per_entry : int
        Number of logs that an entry creates.  Its programs, and thereby the work of taking them
        over, are distributed among the logs.
    programs_per_log : int
        Number of programs after which a log accepts no new ones; the log is removed when all have
        ended.
    ended_kept_s : float
        Seconds for which the answers of an ended program remain readable.
    """

    copies: Annotated[int, msgspec.Meta(ge=1, le=7)] = 3
    heartbeat_s: Positive = 0.5
    suspect_after_s: Positive = 2.5
    watch_all_up_to: Annotated[int, msgspec.Meta(ge=1)] = 40
    remote_watched: Annotated[int, msgspec.Meta(ge=1)] = 8
    forget_after_s: Positive = 7200.0
    append_timeout_s: Positive = 5.0
    takeover_period_s: Positive = 0.5
    logs_per_entry: Annotated[int, msgspec.Meta(ge=1, le=64)] = 4
    programs_per_log: Annotated[int, msgspec.Meta(ge=1)] = 500
    ended_kept_s: Positive = 600.0


class SamplingSettings(Strict):
    """Intervals at which targets are polled; each target is polled by one entry of its zone.

    Parameters
    ----------
    period_s : float
        Seconds between polls of a target's load.
    sweep_period_s : float
        Seconds between checks for cache that targets hold for programs that have ended.
    """

    period_s: Positive = 1.0
    sweep_period_s: Positive = 30.0


class TargetOrderSettings(Strict):
    """Timing of the orders that bring a zone's model engines to the desired state.

    One entry of the zone sends the orders.  It holds a lease of `store.lease_ttl_s` for this.

    Parameters
    ----------
    follow_s : float
        Seconds between checks for a change of the desired state and for a free lease.
    check_s : float
        Seconds between comparisons of a target with its desired state while no order is due.
    read_back_s : float
        Seconds between polls of a target that has received an order.
    order_timeout_s : float
        Seconds after which an unanswered order times out.
    effect_timeout_s : float
        Seconds after which an accepted order without a visible effect is repeated; longer than any
        load of a model takes.
    margin_s : float
        Seconds before its lease ends at which the holder stops sending orders.
    """

    follow_s: Positive = 2.0
    check_s: Positive = 10.0
    read_back_s: Positive = 1.0
    order_timeout_s: Positive = 5.0
    effect_timeout_s: Positive = 300.0
    margin_s: Positive = 2.0


class WeightStoreSettings(Strict):
    """Limits of the zone's use of the rate-limited weight store.

    Parameters
    ----------
    loads_at_once : int
        Maximum number of targets that load at the same time; also the maximum burst of loads.
    loads_per_minute : float
        Maximum number of load orders per minute, in the long run.
    """

    loads_at_once: Annotated[int, msgspec.Meta(ge=1)] = 2
    loads_per_minute: Positive = 6.0


class TargetKind(Enum):
    """Kind of a target: a model engine or a service with tools."""

    MODEL = "model"
    SERVICE = "service"


class ToolSettings(Strict):
    """One tool of a service target.

    Parameters
    ----------
    tool : str
        Name of the tool in calls.
    path : str
        HTTP path on the target.
    idempotent : bool
        Whether a call that may have run may be repeated.
    answers_by_key : bool
        Whether ``GET path/outcome/{key}`` returns the outcome of a call.
    price_microcents : int
        Price of one call, in millionths of a cent.
    """

    tool: Name
    path: str
    idempotent: bool = False
    answers_by_key: bool = False
    price_microcents: int = 0


class TargetSettings(Strict):
    """A target VM: a model engine or a plain service.

    `honours_fencing` is True if the target rejects orders and calls with an old fencing number.
    """

    target: Name
    kind: TargetKind
    zone: Name
    url: str
    models: list[str] = msgspec.field(default_factory=list)
    tools: list[ToolSettings] = msgspec.field(default_factory=list)
    honours_fencing: bool = False
    slots: Annotated[int, msgspec.Meta(ge=1)] = 8


class CallerKey(Strict):
    """A caller's bearer token, stored as a salted hash (`waxwingglade key`)."""

    tenant: Name
    salt: str
    sha256: str


class Role(Enum):
    """Permissions of an operator; each role includes the previous ones."""

    VIEWER = "viewer"
    PROPOSER = "proposer"
    APPROVER = "approver"
    ADMIN = "admin"


class OperatorKey(Strict):
    """An operator's bearer token, stored as a salted hash, and the operator's role."""

    operator: Name
    role: Role
    salt: str
    sha256: str


class LimitSettings(Strict):
    """Limits of the size and nesting of a caller's requests."""

    body_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 2_000_000
    header_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 16_384
    nesting: Annotated[int, msgspec.Meta(ge=4)] = 32


class ProcessSettings(Strict):
    """All settings of one entry process."""

    entry: Name
    zone: Name
    listen: ListenSettings = ListenSettings()
    store: StoreSettings = StoreSettings()
    platform: PlatformSettings = PlatformSettings()
    durability: DurabilitySettings = DurabilitySettings()
    sampling: SamplingSettings = SamplingSettings()
    decisions: DecisionSettings = DecisionSettings()
    target_orders: TargetOrderSettings = TargetOrderSettings()
    weight_store: WeightStoreSettings = WeightStoreSettings()
    limits: LimitSettings = LimitSettings()
    peers: list[PeerSettings] = msgspec.field(default_factory=list)
    targets: list[TargetSettings] = msgspec.field(default_factory=list)
    caller_keys: list[CallerKey] = msgspec.field(default_factory=list)
    operator_keys: list[OperatorKey] = msgspec.field(default_factory=list)
    data_folder: str | None = None
    log_level: str = "INFO"
    drain_timeout_s: Positive = 30.0
    config: dict[str, Any] = msgspec.field(default_factory=dict)


__all__ = [
    "CallerKey",
    "DurabilitySettings",
    "LimitSettings",
    "ListenSettings",
    "OperatorKey",
    "PeerSettings",
    "PlatformSettings",
    "ProcessSettings",
    "Role",
    "StoreSettings",
    "Strict",
    "TargetKind",
    "TargetOrderSettings",
    "TargetSettings",
    "ToolSettings",
    "WeightStoreSettings",
]
