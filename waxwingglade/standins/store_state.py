"""State of the store stand-in: keys with revisions, leases and the history for watches."""

import operator
import secrets
from bisect import bisect_left
from collections.abc import Callable

import msgspec
from sortedcontainers import SortedDict

from waxwingglade.base import Clock, monotonic
from waxwingglade.connection.store_codec import (
    LEASE_EXISTS_MESSAGE,
    LEASE_NOT_FOUND_MESSAGE,
    TOO_LARGE_MESSAGE,
    Compare,
    CompareResult,
    CompareTarget,
    DeleteRangeRequest,
    DeleteRangeResponse,
    Event,
    EventType,
    GrpcCode,
    Header,
    PutRequest,
    PutResponse,
    RangeRequest,
    RangeResponse,
    RequestOp,
    ResponseOp,
    TxnRequest,
    TxnResponse,
    WireKeyValue,
)

MAX_VALUE_BYTES = 1_000_000
MAX_HISTORY = 10_000
"""Greatest number of changes retained for watches; above it, the older half is discarded."""

NO_END = b"\0"

RELATIONS: dict[CompareResult, Callable[[int | bytes, int | bytes], bool]] = {
    CompareResult.EQUAL: operator.eq,
    CompareResult.NOT_EQUAL: operator.ne,
    CompareResult.GREATER: operator.gt,
    CompareResult.LESS: operator.lt,
}


class StoreRefusal(Exception):
    """The store refuses a request without running it."""

    def __init__(self, code: GrpcCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


class LeaseRecord(msgspec.Struct):
    """A lease and the keys that are deleted with it."""

    ttl_s: int
    expires: float
    keys: set[bytes]


class StoreState:
    """Keys, leases and history of one store.

    All changes of a transaction have the same revision.

    Parameters
    ----------
    clock : Clock
        Time source of the leases, in seconds.
    """

    def __init__(self, clock: Clock = monotonic) -> None:
        self.clock = clock
        self.revision = 1
        self.compacted = 0
        self.items: SortedDict[bytes, WireKeyValue] = SortedDict()
        self.leases: dict[int, LeaseRecord] = {}
        self.history: list[Event] = []

    def header(self) -> Header:
        """Return the header of an answer with the current revision."""
        return Header(revision=self.revision)

    def range(self, request: RangeRequest) -> RangeResponse:
        """Return the current items of a range."""
        if request.revision:
            raise StoreRefusal(GrpcCode.UNIMPLEMENTED, "reads of old revisions are not offered")
        found = [self.items[key] for key in self.keys_of(request.key, request.range_end)]
        returned = found[: request.limit] if request.limit else found
        return RangeResponse(
            header=self.header(), kvs=returned, more=len(returned) < len(found), count=len(found)
        )

    def keys_of(self, key: bytes, range_end: bytes) -> list[bytes]:
        """Return the existing keys of a range, in order."""
        if not range_end:
            return [key] if key in self.items else []
        end = None if range_end == NO_END else range_end
        return list(self.items.irange(key, end, inclusive=(True, False)))

    def txn(self, request: TxnRequest) -> TxnResponse:
        """Execute a transaction; a refused one has no effect."""
        succeeded = all(self.is_met(compare) for compare in request.compare)
        ops = request.success if succeeded else request.failure
        for op in ops:
            self.check(op)
        revision = self.revision + 1
        responses = [self.run(op, revision) for op in ops]
        return TxnResponse(header=self.header(), succeeded=succeeded, responses=responses)

    def is_met(self, compare: Compare) -> bool:
        """Return whether a condition is true."""
        item = self.items.get(compare.key, WireKeyValue())
        actual, expected = _compared(compare, item)
        return RELATIONS[compare.result](actual, expected)

    def check(self, op: RequestOp) -> None:
        """Raise `StoreRefusal` if an operation cannot run."""
        put = op.request_put
        if put is None:
            return
        if len(put.value) > MAX_VALUE_BYTES:
            raise StoreRefusal(GrpcCode.INVALID_ARGUMENT, TOO_LARGE_MESSAGE)
        if put.lease and put.lease not in self.leases:
            raise StoreRefusal(GrpcCode.NOT_FOUND, LEASE_NOT_FOUND_MESSAGE)

    def run(self, op: RequestOp, revision: int) -> ResponseOp:
        """Execute one checked operation; a change gets `revision`."""
        if op.request_put is not None:
            return ResponseOp(response_put=self.put(op.request_put, revision))
        if op.request_delete_range is not None:
            return ResponseOp(response_delete_range=self.delete(op.request_delete_range, revision))
        if op.request_range is not None:
            return ResponseOp(response_range=self.range(op.request_range))
        raise StoreRefusal(GrpcCode.INVALID_ARGUMENT, "a transaction holds an empty operation")

    def put(self, request: PutRequest, revision: int) -> PutResponse:
        """Write one key."""
        old = self.items.get(request.key)
        if old is not None:
            self.detach(old)
        item = WireKeyValue(
            key=request.key,
            create_revision=old.create_revision if old else revision,
            mod_revision=revision,
            version=old.version + 1 if old else 1,
            value=request.value,
            lease=request.lease,
        )
        self.items[request.key] = item
        if request.lease:
            self.leases[request.lease].keys.add(request.key)
        self.record(Event(kv=item), revision)
        return PutResponse(header=self.header())

    def delete(self, request: DeleteRangeRequest, revision: int) -> DeleteRangeResponse:
        """Delete a range of keys."""
        keys = self.keys_of(request.key, request.range_end)
        for key in keys:
            self.detach(self.items.pop(key))
            deleted = WireKeyValue(key=key, mod_revision=revision)
            self.record(Event(type=EventType.DELETE, kv=deleted), revision)
        return DeleteRangeResponse(header=self.header(), deleted=len(keys))

    def detach(self, item: WireKeyValue) -> None:
        """Remove a key from its lease."""
        if item.lease in self.leases:
            self.leases[item.lease].keys.discard(item.key)

    def record(self, event: Event, revision: int) -> None:
        """Add a change to the history."""
        self.revision = revision
        self.history.append(event)
        if len(self.history) > MAX_HISTORY:
            self.compact(self.history[MAX_HISTORY // 2].kv.mod_revision)

    def events_since(self, revision: int, key: bytes, range_end: bytes) -> list[Event]:
        """Return the changes of a range from `revision` on, oldest first."""
        start = bisect_left(self.history, revision, key=_revision_of)
        return [event for event in self.history[start:] if _within(event.kv.key, key, range_end)]

    def compact(self, revision: int) -> None:
        """Discard the history up to and including `revision`."""
        self.compacted = revision
        del self.history[: bisect_left(self.history, revision + 1, key=_revision_of)]

    def grant(self, ttl_s: int, lease: int) -> int:
        """Create a lease; id 0 lets the store choose the id."""
        chosen = lease or secrets.randbits(62) + 1
        if chosen in self.leases:
            raise StoreRefusal(GrpcCode.FAILED_PRECONDITION, LEASE_EXISTS_MESSAGE)
        self.leases[chosen] = LeaseRecord(ttl_s, self.clock() + ttl_s, set())
        return chosen

    def keep_alive(self, lease: int) -> int:
        """Extend a lease and return its duration in seconds, or 0 if it does not exist."""
        record = self.leases.get(lease)
        if record is None:
            return 0
        record.expires = self.clock() + record.ttl_s
        return record.ttl_s

    def revoke(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""
        record = self.leases.pop(lease, None)
        if record is None:
            raise StoreRefusal(GrpcCode.NOT_FOUND, LEASE_NOT_FOUND_MESSAGE)
        revision = self.revision + 1
        for key in sorted(record.keys):
            self.delete(DeleteRangeRequest(key=key), revision)

    def revoke_expired(self) -> None:
        """Revoke all expired leases."""
        now = self.clock()
        for lease in [lease for lease, record in self.leases.items() if record.expires <= now]:
            self.revoke(lease)


def _revision_of(event: Event) -> int:
    return event.kv.mod_revision


def _compared(compare: Compare, item: WireKeyValue) -> tuple[int | bytes, int | bytes]:
    """Return the actual value of an item and the expected value of a comparison."""
    if compare.target is CompareTarget.MOD:
        return item.mod_revision, compare.mod_revision
    if compare.target is CompareTarget.CREATE:
        return item.create_revision, compare.create_revision
    if compare.target is CompareTarget.VALUE:
        return item.value, compare.value
    if compare.target is CompareTarget.LEASE:
        return item.lease, compare.lease
    return item.version, compare.version


def _within(candidate: bytes, key: bytes, range_end: bytes) -> bool:
    """Return whether a key lies in a range."""
    if not range_end:
        return candidate == key
    return candidate >= key and (range_end == NO_END or candidate < range_end)
