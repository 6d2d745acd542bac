"""Client of the platform's key-value service.

Writes are compare-and-swap.  The reported outcome of a write is correct even if an answer of the
store is lost; `waxwingglade.connection.store_write` describes the method.
"""

import asyncio
import math
import secrets
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

from waxwingglade.base import (
    Clock,
    ErrorCode,
    Failure,
    Ok,
    Outcome,
    may_have_run,
    monotonic,
    new_nonce,
    not_run,
    ran,
)
from waxwingglade.connection.store_backoff import backoff_s
from waxwingglade.connection.store_budget import Purpose
from waxwingglade.connection.store_codec import (
    DeleteRangeRequest,
    LeaseGrantRequest,
    LeaseGrantResponse,
    LeaseKeepAliveResult,
    LeaseRequest,
    LeaseRevokeResponse,
    PutRequest,
    RangeRequest,
    RangeResponse,
    RequestOp,
    TxnResponse,
    WireKeyValue,
    prefix_end,
)
from waxwingglade.connection.store_messages import KeyValue, Lease, Listing, WatchEvent
from waxwingglade.connection.store_transport import StoreTransport, may_have_executed
from waxwingglade.connection.store_watch import watch_prefix
from waxwingglade.connection.store_write import marked_txn, read_decision
from waxwingglade.settings import StoreSettings

M = TypeVar("M")

RETRY_TIMEOUTS = 4
"""Time for which a call with a lost answer is repeated, as a multiple of the timeout of a call."""

LONGEST_PAUSE_S = 1.0
MARKER_LEASE_S = 120
"""Least duration of the lease of the markers, in seconds.

The lease also lasts at least four times as long as a write is repeated, and no write begins with
it once half of it has passed.  So markers last at least twice as long as their write is repeated.
"""

LEASE_ID_BITS = 62


class StoreClient:
    """A process's client of the store.

    Parameters
    ----------
    settings : StoreSettings
        Addresses, prefix, timeout and rate.  Keys of all methods are relative to the prefix.
    clock : Clock
        Monotonic time source, in seconds.
    """

    def __init__(self, settings: StoreSettings, clock: Clock = monotonic) -> None:
        self.settings = settings
        self.clock = clock
        self.transport = StoreTransport(settings, clock)
        self.root = settings.prefix.rstrip("/") + "/"
        self.markers = settings.prefix.rstrip("/") + ".markers/"
        self.retry_limit_s = RETRY_TIMEOUTS * settings.timeout_s
        self.marker_lease_s = max(MARKER_LEASE_S, 4.0 * self.retry_limit_s)
        self.marker_lease: Lease | None = None
        self.marker_lock = asyncio.Lock()
        self.lost_leases: dict[int, float] = {}

    @property
    def calls_by_purpose(self) -> dict[Purpose, int]:
        """Number of calls since the start; a watch counts once for each connection it opens."""
        return self.transport.budget.calls_by_purpose

    @property
    def closed(self) -> bool:
        """Whether `close` was called."""
        return self.transport.closed

    async def get(self, key: str, purpose: Purpose = Purpose.LOOKUP) -> Outcome[KeyValue | None]:
        """Return one key, or None if it is absent."""
        request = RangeRequest(key=self.full_key(key))
        answer = await self.transport.call("/v3/kv/range", request, RangeResponse, purpose)
        return answer.map(lambda found: self.item(found.kvs[0]) if found.kvs else None)

    async def list(self, prefix: str, purpose: Purpose = Purpose.LOOKUP) -> Outcome[Listing]:
        """Return every key that starts with `prefix`."""
        start = self.full_key(prefix)
        request = RangeRequest(key=start, range_end=prefix_end(start))
        answer = await self.transport.call("/v3/kv/range", request, RangeResponse, purpose)
        return answer.map(self.listing)

    async def put_if(
        self,
        key: str,
        value: bytes,
        expected: int,
        lease: int = 0,
        purpose: Purpose = Purpose.OWNERSHIP,
    ) -> Outcome[int]:
        """Write a key if its last write is still `expected`.

        Parameters
        ----------
        key : str
            Key to write.
        value : bytes
            New content.
        expected : int
            Revision of the last write that the caller knows of; 0 if the key must be absent.
        lease : int
            Id of the lease that the key is attached to; 0 for none.
        purpose : Purpose
            Purpose under which the call is counted.

        Returns
        -------
        Outcome[int]
            The new ``mod_revision``.  CONFLICT: another client has written the key, and this write
            did not run.  FENCED: the lease has expired, and this write did not run.  A failure
            with verdict MAY_HAVE_RUN: an answer was lost and the store could not be reached again,
            or the markers of the write have expired.
        """
        put = PutRequest(key=self.full_key(key), value=value, lease=lease)
        return await self.write_if(put.key, expected, RequestOp(request_put=put), purpose)

    async def delete_if(
        self, key: str, expected: int, purpose: Purpose = Purpose.OWNERSHIP
    ) -> Outcome[None]:
        """Delete a key if its last write is `expected`; outcomes are as for `put_if`."""
        full_key = self.full_key(key)
        op = RequestOp(request_delete_range=DeleteRangeRequest(key=full_key))
        outcome = await self.write_if(full_key, expected, op, purpose)
        return outcome.map(lambda _: None)

    async def write_if(
        self, key: bytes, expected: int, op: RequestOp, purpose: Purpose
    ) -> Outcome[int]:
        """Run `op` at most once, and only if the last write of `key` is `expected`."""
        granted = await self.ensure_marker_lease()
        if granted.is_err():
            failure: Failure = granted.unwrap_err()
            return not_run(failure.code, failure.message, failure.retry_after_s)
        lease = granted.unwrap()
        marker = (self.markers + new_nonce()).encode()
        txn = marked_txn(key, expected, op, marker, lease.id)
        answer = await self.retry_unanswered(
            lambda: self.transport.call("/v3/kv/txn", txn, TxnResponse, purpose)
        )
        if answer.is_ok():
            return read_decision(answer.unwrap())
        if answer.unwrap_err().code is ErrorCode.FENCED:
            return await self.classify_refused_write(answer, lease)
        return answer

    async def retry_unanswered(self, attempt: Callable[[], Awaitable[Outcome[M]]]) -> Outcome[M]:
        """Repeat a call that may have run without an answer; the call must be safe to repeat.

        A call that certainly did not run is not repeated: the caller decides on that.
        """
        deadline = self.clock() + self.retry_limit_s
        first = await attempt()
        latest = first
        repeats = 0
        while may_have_executed(first) and is_unavailable(latest) and self.clock() < deadline:
            await asyncio.sleep(backoff_s(repeats, LONGEST_PAUSE_S))
            repeats += 1
            latest = await attempt()
        return first if is_unavailable(latest) else latest

    async def ensure_marker_lease(self) -> Outcome[Lease]:
        """Return a lease for markers that outlasts a write that begins now."""
        async with self.marker_lock:
            lease = self.marker_lease
            if lease is not None and self.clock() < lease.valid_until - self.marker_lease_s / 2:
                return Ok(lease)
            granted = await self.grant_lease(self.marker_lease_s)
            self.marker_lease = granted.ok()
            return granted

    async def classify_refused_write(self, refusal: Outcome[M], marker_lease: Lease) -> Outcome[M]:
        """Distinguish a write under an expired lease from a write whose markers have expired.

        The store refuses both with the same answer.  While the lease of the markers is valid, the
        refusal means that the write never ran and, because its own lease has expired, never will.
        If its validity cannot be confirmed, it is unknown whether the write ran.
        """
        extended = await self.keep_alive(marker_lease)
        if extended.is_ok():
            return refusal
        self.marker_lease = None
        return may_have_run(ErrorCode.STORE_UNAVAILABLE, "the markers of the write are gone")

    async def grant_lease(self, ttl_s: float, purpose: Purpose = Purpose.LEASE) -> Outcome[Lease]:
        """Obtain a lease with an id that was never used before.

        The store grants whole seconds only; `ttl_s` is rounded up.
        """
        return await self.retry_unanswered(lambda: self.grant_once(math.ceil(ttl_s), purpose))

    async def grant_once(self, ttl_s: int, purpose: Purpose) -> Outcome[Lease]:
        """Request a lease once; if the answer is lost, the lease expires unused."""
        lease_id = secrets.randbits(LEASE_ID_BITS) + 1
        sent_at = self.clock()
        request = LeaseGrantRequest(TTL=ttl_s, ID=lease_id)
        answer = await self.transport.call("/v3/lease/grant", request, LeaseGrantResponse, purpose)
        if answer.is_ok():
            return Ok(Lease(id=lease_id, valid_until=sent_at + answer.unwrap().TTL))
        if answer.unwrap_err().code is ErrorCode.CONFLICT:
            # The id is random, so the existing lease is this one: the request arrived twice.
            return Ok(Lease(id=lease_id, valid_until=sent_at + ttl_s))
        return answer

    async def keep_alive(self, lease: Lease, purpose: Purpose = Purpose.LEASE) -> Outcome[Lease]:
        """Extend a lease.

        Returns
        -------
        Outcome[Lease]
            The lease with its new end.  FENCED: the lease is lost, because it has expired or the
            answer of the store arrived after its local end; its id is not used again.  Any other
            failure leaves the end of the lease unchanged.
        """
        sent_at = self.clock()
        if sent_at >= lease.valid_until or lease.id in self.lost_leases:
            return not_run(ErrorCode.FENCED, "the lease has lapsed")
        request = LeaseRequest(ID=lease.id)
        path = "/v3/lease/keepalive"
        answer = await self.transport.call(path, request, LeaseKeepAliveResult, purpose)
        answered_at = self.clock()
        if answer.is_err():
            return answer
        # An expired lease is reported with 0 seconds left, so its end is before the answer.
        valid_until = sent_at + answer.unwrap().result.TTL
        if answered_at >= min(lease.valid_until, valid_until):
            self.mark_lost(lease)
            return ran(ErrorCode.FENCED, "the lease has lapsed")
        return Ok(Lease(id=lease.id, valid_until=valid_until))

    def mark_lost(self, lease: Lease) -> None:
        """Record that a lease is lost; the record is dropped after the local end of the lease."""
        now = self.clock()
        self.lost_leases = {lost: until for lost, until in self.lost_leases.items() if until > now}
        self.lost_leases[lease.id] = lease.valid_until

    async def revoke(self, lease: Lease, purpose: Purpose = Purpose.LEASE) -> Outcome[None]:
        """End a lease and delete its keys; succeed also if the lease has already ended."""
        self.mark_lost(lease)
        request = LeaseRequest(ID=lease.id)
        path = "/v3/lease/revoke"
        answer = await self.retry_unanswered(
            lambda: self.transport.call(path, request, LeaseRevokeResponse, purpose)
        )
        if answer.is_err() and answer.unwrap_err().code is ErrorCode.FENCED:
            return Ok(None)
        return answer.map(lambda _: None)

    def watch(
        self, prefix: str, from_revision: int = 0, purpose: Purpose = Purpose.WATCH
    ) -> AsyncIterator[WatchEvent]:
        """Yield the changes under a prefix until the iterator or the client is closed.

        Parameters
        ----------
        prefix : str
            Start of the keys to report.
        from_revision : int
            First revision to report, such as ``listing.revision + 1``; with 0 the first event is
            a `ResyncEvent`.
        purpose : Purpose
            Purpose under which the calls are counted.
        """
        return watch_prefix(self, prefix, from_revision, purpose)

    def full_key(self, key: str) -> bytes:
        """Return the name of a key in the store."""
        return (self.root + key.lstrip("/")).encode()

    def short_key(self, key: bytes) -> str:
        """Return the name of a key without the prefix."""
        return key.decode().removeprefix(self.root)

    def item(self, found: WireKeyValue) -> KeyValue:
        """Return a key of the store as a `KeyValue`, named without the prefix."""
        return KeyValue(
            key=self.short_key(found.key),
            value=found.value,
            mod_revision=found.mod_revision,
            create_revision=found.create_revision,
            version=found.version,
            lease=found.lease,
        )

    def listing(self, found: RangeResponse) -> Listing:
        """Return the answer to a range request as a `Listing`."""
        return Listing([self.item(kv) for kv in found.kvs], found.header.revision)

    async def close(self) -> None:
        """Close every connection; watches end and calls in flight fail."""
        await self.transport.close()


def is_unavailable(outcome: Outcome[M]) -> bool:
    """Return whether a call failed because the store was unreachable or did not answer in time."""
    return outcome.is_err() and outcome.unwrap_err().code is ErrorCode.STORE_UNAVAILABLE


__all__ = ["StoreClient"]
