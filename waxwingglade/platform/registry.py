"""Decode the entries that operators and targets write to the store."""

import ipaddress
import re
from enum import Enum
from typing import Annotated, TypeVar

import msgspec

from waxwingglade.base import ConfigVersion, FormatError, TargetId, ZoneId, shortened
from waxwingglade.base.credentials import digest_of
from waxwingglade.follow.model import (
    CallKind,
    ClientAccount,
    ClientAccountId,
    ClientLimits,
    Configuration,
    EngineTraits,
    Route,
    RouteName,
    Service,
    ServiceName,
    Share,
    Target,
)
from waxwingglade.platform.store import MAX_KEY_BYTES

CONFIGURATION_KEY = "op/config"
RETIRE_PREFIX = "op/retire/"
OPERATORS_PREFIX = "op/"
TARGETS_PREFIX = "servers/"
RETIRE_STATUS_PREFIX = "status/retire/"
OWN_PREFIX = "waxwingglade/"
REPLICAS_KEY = OWN_PREFIX + "replicas"
CANDIDATES_PREFIX = OWN_PREFIX + "candidates/"

_KINDS = {
    "safe": CallKind.IDEMPOTENT,
    "unsafe": CallKind.ONCE,
    "streaming": CallKind.STREAM,
}
LAST_PORT = 65_535
DEFAULT_TIMEOUT_MS = 30_000.0
"""Timeout of routes that set none; well above that of any known route."""

MIN_WAIT_LIMIT_S = 2.0
WAIT_LIMIT_OBJECTIVES, WAIT_LIMIT_GAPS = 4.0, 8.0
"""Callers abandon a stream after this many times its latency objective, or this many times its
target gap between events, whichever is longer, but not before the minimum."""

LARGEST = 2**63 - 1
"""Greatest number in an entry that messages between processes carry."""

MOST_SLOTS = 2**31 - 1
"""Greatest number of slots of one target, so that messages carry the sum over all targets."""

NAME_CHARACTERS = MAX_KEY_BYTES
"""Length of the longest name: no key of the store is longer."""

LINE = r"\A[^\x00-\x1f\x7f-\x9f\u2028\u2029]*\Z"
"""Pattern of a text without line breaks and other control characters."""

HEADER_VALUE = r"\A[!-~\xa1-\xff]([ -~\xa0-\xff]*[!-~\xa1-\xff])?\Z"
"""Pattern of a text that the value of a header carries unchanged."""

Wire = TypeVar("Wire")
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=NAME_CHARACTERS, pattern=LINE)]
_HeaderName = Annotated[str, msgspec.Meta(max_length=NAME_CHARACTERS, pattern=HEADER_VALUE)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=MOST_SLOTS)]
_Integer = Annotated[int, msgspec.Meta(ge=-LARGEST, le=LARGEST)]
_Number = Annotated[float, msgspec.Meta(ge=-LARGEST, le=LARGEST)]
_NotNegative = Annotated[float, msgspec.Meta(ge=0, le=LARGEST)]


class _Split(msgspec.Struct):
    service: str
    weight: _Number = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _Number = DEFAULT_TIMEOUT_MS
    target_latency_ms: _Number = 0.0
    target_gap_ms: _Number = 0.0
    priority: _Integer = 0
    service: str | None = None
    traffic_split: list[_Split] = []
    max_attempts: _Integer = 1
    retain: bool = False
    retention_s: _Number = 0.0
    sticky: bool = False
    resumable: bool = False
    public: bool = False


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    slots: _Integer = 1
    kv_capacity: _Integer = 0
    stride: _Integer = 1
    pin_ms: _Number = 0.0


class _Service(msgspec.Struct):
    name: str
    max_conns: _Integer = 0
    engine: _Engine | None = None
    health_path: str | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: _Integer = 16 * 1024
    max_body_bytes: _Integer = 4 * 1024 * 1024
    header_timeout_ms: _Number = 3_000.0
    idle_timeout_ms: _Number = 15_000.0


class _Tenant(msgspec.Struct):
    """A client account; a key that is not a string or a limit that is not a number is rejected."""

    name: _HeaderName
    api_keys: list[str] | None = None
    priority: _Integer | None = None
    rate_per_s: _Number | None = None
    burst: _Number | None = None


class _Configuration(msgspec.Struct):
    version: _Integer
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


class _State(Enum):
    READY = "ready"
    DRAINING = "draining"


class _TargetEntry(msgspec.Struct):
    """The entry of a server, with all fields of the platform's documentation.

    `seq` is only a heartbeat.  An entry that lacks a field, or has a field of another type or
    value, comes from another writer.  `born` was added later, and not every deployment sets it.
    """

    service: _Name
    address: str
    zone: _Name
    version: str
    slots: _Slots
    state: _State
    cold_left_ms: _NotNegative
    seq: int
    born: _Integer | None = None


class _RetireOrder(msgspec.Struct):
    deadline_s: float = 0.0


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_target_decoder = msgspec.json.Decoder(_TargetEntry)


def _decoded(decoder: msgspec.json.Decoder[Wire], what: str, value: bytes) -> Wire:
    """Decode a value of the store; raise `FormatError` whatever is wrong with it."""
    try:
        return decoder.decode(value)
    except RecursionError as error:
        raise FormatError(f"{what}: {len(value)} bytes are nested too deeply") from error
    except ValueError as error:
        raise FormatError(f"{what}: {shortened(str(error))}") from error


def decode_configuration(value: bytes) -> Configuration:
    """Decode the operators' configuration; raise `FormatError` if it is invalid."""
    wire = _decoded(_configuration_decoder, "configuration", value)
    return Configuration(
        ConfigVersion(wire.version),
        tuple(_route(route) for route in wire.routes),
        tuple(_service(service) for service in wire.services),
        ClientLimits(
            wire.limits.max_header_bytes,
            wire.limits.max_body_bytes,
            wire.limits.header_timeout_ms / 1000,
            wire.limits.idle_timeout_ms / 1000,
        ),
        None if wire.tenants is None else tuple(_account(tenant) for tenant in wire.tenants),
    )


def _account(wire: _Tenant) -> ClientAccount:
    for name, value in (("rate_per_s", wire.rate_per_s), ("burst", wire.burst)):
        if value is not None and value < 0:
            raise FormatError(f"tenant {wire.name!r}: {name} {value} is negative")
    return ClientAccount(
        ClientAccountId(wire.name),
        tuple(digest_of(key) for key in wire.api_keys or ()),
        wire.priority,
        wire.rate_per_s or 0.0,
        wire.burst or 0.0,
    )


def _route(wire: _Route) -> Route:
    kind = _KINDS.get(wire.kind, CallKind.ONCE)
    if wire.traffic_split:
        shares = tuple(Share(ServiceName(part.service), part.weight) for part in wire.traffic_split)
    else:
        shares = (Share(ServiceName(wire.service or ""), 1.0),)
    return Route(
        name=RouteName(wire.name),
        host=wire.host,
        prefix=wire.path_prefix,
        kind=kind,
        shares=shares,
        timeout_s=wire.timeout_ms / 1000,
        target_latency_s=wire.target_latency_ms / 1000,
        patience_s=_wait_limit_s(wire),
        rank=wire.priority,
        max_attempts=max(1, wire.max_attempts),
        keeps_turns=wire.retain,
        retention_s=wire.retention_s,
        resumable=wire.resumable,
        uses_cache=wire.sticky,
        public=wire.public,
    )


def _wait_limit_s(wire: _Route) -> float:
    """Return the seconds without an event after which callers abandon a stream, as documented."""
    objective_s, gap_s = wire.target_latency_ms / 1000, wire.target_gap_ms / 1000
    return max(MIN_WAIT_LIMIT_S, WAIT_LIMIT_OBJECTIVES * objective_s, WAIT_LIMIT_GAPS * gap_s)


def _service(wire: _Service) -> Service:
    engine = None
    if wire.engine is not None:
        engine = EngineTraits(
            wire.engine.slots,
            wire.engine.kv_capacity,
            max(1, wire.engine.stride),
            wire.engine.pin_ms / 1000,
        )
    path = wire.health_path or ""
    is_path = path.startswith("/") and path.isprintable() and " " not in path
    return Service(ServiceName(wire.name), wire.max_conns, engine, path if is_path else "")


def decode_target(key: str, value: bytes) -> Target:
    """Decode a target's entry; raise `FormatError` if it is invalid."""
    target = key.removeprefix(TARGETS_PREFIX)
    if len(target) > NAME_CHARACTERS or re.search(HEADER_VALUE, target) is None:
        raise FormatError(f"{shortened(key)!r} has a name that no header can carry")
    wire = _decoded(_target_decoder, shortened(key), value)
    if not _is_address(wire.address):
        raise FormatError(f"{shortened(key)}: {shortened(wire.address)!r} is not IP:PORT")
    return Target(
        TargetId(target),
        ServiceName(wire.service),
        wire.address,
        ZoneId(wire.zone),
        wire.slots,
        wire.state is _State.DRAINING,
        wire.cold_left_ms / 1000,
        wire.born,
    )


def _is_address(text: str) -> bool:
    """Return whether a text is ``IP:PORT`` with a valid IPv4 address and port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(LAST_PORT))
    return is_number and 0 < int(port) <= LAST_PORT


__all__ = [
    "CANDIDATES_PREFIX",
    "CONFIGURATION_KEY",
    "OPERATORS_PREFIX",
    "OWN_PREFIX",
    "REPLICAS_KEY",
    "RETIRE_PREFIX",
    "RETIRE_STATUS_PREFIX",
    "TARGETS_PREFIX",
    "decode_configuration",
    "decode_target",
]
