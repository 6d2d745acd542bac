"""Messages of the etcd v3 JSON gateway, the protocol of the platform's key-value service.

Keys and values are encoded as base64 and 64-bit integers as strings.  As in the published
protocol, fields that have their default value are left out.
"""

from enum import Enum
from typing import Any, TypeVar

import msgspec

M = TypeVar("M")


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """Base class of all messages of the gateway."""


class Header(Message):
    """Store revision at the time of an answer."""

    revision: int = 0


class WireKeyValue(Message):
    """A key with its value and revisions, as stored."""

    key: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    value: bytes = b""
    lease: int = 0


class RangeRequest(Message):
    """Read one key, or every key from `key` up to `range_end`, which is excluded."""

    key: bytes
    range_end: bytes = b""
    limit: int = 0
    revision: int = 0


class RangeResponse(Message):
    """Keys in order; `count` includes those beyond the `limit` of the request."""

    header: Header = Header()
    kvs: list[WireKeyValue] = []
    more: bool = False
    count: int = 0


class PutRequest(Message):
    """Write one key."""

    key: bytes
    value: bytes = b""
    lease: int = 0


class PutResponse(Message):
    """Answer to a write."""

    header: Header = Header()


class DeleteRangeRequest(Message):
    """Delete one key, or every key from `key` up to `range_end`, which is excluded."""

    key: bytes
    range_end: bytes = b""


class DeleteRangeResponse(Message):
    """Answer to a deletion."""

    header: Header = Header()
    deleted: int = 0


class CompareResult(Enum):
    """Relation that a comparison requires."""

    EQUAL = "EQUAL"
    GREATER = "GREATER"
    LESS = "LESS"
    NOT_EQUAL = "NOT_EQUAL"


class CompareTarget(Enum):
    """Attribute of a key that a comparison tests."""

    VERSION = "VERSION"
    CREATE = "CREATE"
    MOD = "MOD"
    VALUE = "VALUE"
    LEASE = "LEASE"


class Compare(Message):
    """Condition on one key; the revisions and the version of an absent key are 0."""

    key: bytes
    target: CompareTarget = CompareTarget.VERSION
    result: CompareResult = CompareResult.EQUAL
    version: int = 0
    create_revision: int = 0
    mod_revision: int = 0
    value: bytes = b""
    lease: int = 0


class RequestOp(Message):
    """One operation of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None


class ResponseOp(Message):
    """Answer to one operation of a transaction."""

    response_range: RangeResponse | None = None
    response_put: PutResponse | None = None
    response_delete_range: DeleteRangeResponse | None = None


class TxnRequest(Message):
    """Run `success` if every comparison holds, else `failure`, atomically."""

    compare: list[Compare] = []
    success: list[RequestOp] = []
    failure: list[RequestOp] = []


class TxnResponse(Message):
    """Answer to a transaction; `succeeded` says which branch ran."""

    header: Header = Header()
    succeeded: bool = False
    responses: list[ResponseOp] = []


class LeaseGrantRequest(Message):
    """Request a lease of `TTL` seconds; with ID 0 the store chooses the id."""

    TTL: int
    ID: int = 0


class LeaseGrantResponse(Message):
    """A granted lease; `TTL` is its duration in seconds."""

    header: Header = Header()
    ID: int = 0
    TTL: int = 0


class LeaseRequest(Message):
    """Id of a lease to keep alive or to revoke."""

    ID: int


class LeaseKeepAliveResponse(Message):
    """Remaining seconds of a lease; 0 if it has expired."""

    header: Header = Header()
    ID: int = 0
    TTL: int = 0


class LeaseKeepAliveResult(Message):
    """The only line of a keepalive answer, which is a stream in the protocol."""

    result: LeaseKeepAliveResponse = LeaseKeepAliveResponse()


class LeaseRevokeResponse(Message):
    """Answer to a revocation."""

    header: Header = Header()


class WatchCreateRequest(Message):
    """Report the changes of a range from `start_revision` on; 0 means from now on."""

    key: bytes
    range_end: bytes = b""
    start_revision: int = 0


class WatchRequest(Message):
    """Open a watch."""

    create_request: WatchCreateRequest


class EventType(Enum):
    """Kind of a change."""

    PUT = "PUT"
    DELETE = "DELETE"


class Event(Message):
    """One change; a deleted key carries only its key and the revision of the deletion."""

    type: EventType = EventType.PUT
    kv: WireKeyValue = WireKeyValue()


class WatchResponse(Message):
    """Changes of one or more complete revisions, or the start or end of a watch."""

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    cancel_reason: str = ""
    events: list[Event] = []


class StreamError(Message):
    """Error within a stream."""

    grpc_code: int = 0
    http_code: int = 0
    message: str = ""


class WatchResult(Message):
    """One line of a watch."""

    result: WatchResponse | None = None
    error: StreamError | None = None


class GatewayError(Message):
    """Body of an error answer."""

    error: str = ""
    code: int = 0
    message: str = ""


class GrpcCode(Enum):
    """gRPC status codes that the store uses."""

    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    UNAVAILABLE = 14


TOO_LARGE_MESSAGE = "etcdserver: request is too large"
LEASE_NOT_FOUND_MESSAGE = "etcdserver: requested lease not found"
LEASE_EXISTS_MESSAGE = "etcdserver: lease already exists"
TOO_MANY_MESSAGE = "etcdserver: too many requests"


def encode_message(message: Message) -> bytes:
    """Return the JSON of `message`, with every integer as a string."""
    return msgspec.json.encode(_integers_as_strings(msgspec.to_builtins(message)))


def decode_message(body: bytes, kind: type[M]) -> M:
    """Return the message in `body`; raise `msgspec.MsgspecError` if it is malformed."""
    return msgspec.json.decode(body, type=kind, strict=False)


def prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys that start with `prefix`; one zero byte means no end."""
    stripped = prefix.rstrip(b"\xff")
    if not stripped:
        return b"\0"
    return stripped[:-1] + bytes([stripped[-1] + 1])


def _integers_as_strings(data: Any) -> Any:
    if isinstance(data, dict):
        return {name: _integers_as_strings(value) for name, value in data.items()}
    if isinstance(data, list):
        return [_integers_as_strings(value) for value in data]
    if isinstance(data, int) and not isinstance(data, bool):
        return str(data)
    return data
