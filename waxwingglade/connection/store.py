"""Client of the platform's key-value service.

Writes are compare-and-swap, and their answers are true even when an answer of the store is lost;
`waxwingglade.connection.store_write` says how.
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
from waxwingglade.connection.store_transport import StoreTransport, may_have_gone
from waxwingglade.connection.store_watch import watch_prefix
from waxwingglade.connection.store_write import marked_txn, read_decision
from waxwingglade.settings import StoreSettings

M = TypeVar("M")

PATIENCE_TIMEOUTS = 4
"""Timeouts for which a call with a lost answer is repeated."""

LONGEST_PAUSE_S = 1.0
MARKER_LEASE_S = 120
"""Seconds that markers are kept; at least twice as long as a write is repeated."""

LEASE_ID_BITS = 62


class StoreClient:
    """One process's view of the store.

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
        self.patience_s = PATIENCE_TIMEOUTS * settings.timeout_s
        self.marker_lease_s = max(MARKER_LEASE_S, 4.0 * self.patience_s)
        self.marker_lease: Lease | None = None
        self.marker_lock = asyncio.Lock()
        self.lost_leases: dict[int, float] = {}

    @property
    def calls_by_purpose(self) -> dict[Purpose, int]:
        """Calls made since the start, waiting watches counted once at their opening."""
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
        """Write a key if nobody else has written it.

        Parameters
        ----------
        key : str
            Key to write.
        value : bytes
            New content.
        expected : int
            Revision of the last write that the caller knows of; 0 if the key must be absent.
        lease : int
            Lease that the key ends with; 0 for none.
        purpose : Purpose
            Counter of the call.

        Returns
        -------
        Outcome[int]
            The new ``mod_revision``.  CONFLICT: someone else has written, and this did not run.
            FENCED: the lease is gone, and this did not run.  May have run: the store could not be
            reached again after an answer was lost.
        """
        put = PutRequest(key=self.full_key(key), value=value, lease=lease)
        return await self.write_if(put.key, expected, RequestOp(request_put=put), purpose)

    async def delete_if(
        self, key: str, expected: int, purpose: Purpose = Purpose.OWNERSHIP
    ) -> Outcome[None]:
        """Delete a key if its last write is `expected`; outcomes as of `put_if`."""
        full_key = self.full_key(key)
        op = RequestOp(request_delete_range=DeleteRangeRequest(key=full_key))
        outcome = await self.write_if(full_key, expected, op, purpose)
        return outcome.map(lambda _: None)

    async def write_if(
        self, key: bytes, expected: int, op: RequestOp, purpose: Purpose
    ) -> Outcome[int]:
        """Run `op` once or never, if the last write of `key` is `expected`."""
        held = await self.ensure_marker_lease()
        if held.is_err():
            failure: Failure = held.unwrap_err()
            return not_run(failure.code, failure.message, failure.retry_after_s)
        lease = held.unwrap()
        marker = (self.markers + new_nonce()).encode()
        txn = marked_txn(key, expected, op, marker, lease.id)
        answer = await self.persist(
            lambda: self.transport.call("/v3/kv/txn", txn, TxnResponse, purpose)
        )
        if answer.is_ok():
            return read_decision(answer.unwrap())
        if answer.unwrap_err().code is ErrorCode.FENCED:
            return await self.explain_lost_lease(answer, lease)
        return answer

    async def persist(self, attempt: Callable[[], Awaitable[Outcome[M]]]) -> Outcome[M]:
        """Repeat a call while its answer is lost; the call must be safe to repeat.

        A call that did not run is not repeated: that is for the user to decide.
        """
        give_up_at = self.clock() + self.patience_s
        first = await attempt()
        latest = first
        repeats = 0
        while may_have_gone(first) and is_unavailable(latest) and self.clock() < give_up_at:
            await asyncio.sleep(backoff_s(repeats, LONGEST_PAUSE_S))
            repeats += 1
            latest = await attempt()
        return first if is_unavailable(latest) else latest

    async def ensure_marker_lease(self) -> Outcome[Lease]:
        """Return a lease for markers that outlasts a write begun now."""
        async with self.marker_lock:
            held = self.marker_lease
            if held is not None and self.clock() < held.valid_until - self.marker_lease_s / 2:
                return Ok(held)
            granted = await self.grant_lease(self.marker_lease_s)
            self.marker_lease = granted.ok()
            return granted

    async def explain_lost_lease(self, refusal: Outcome[M], marker_lease: Lease) -> Outcome[M]:
        """Tell a write under a lapsed lease from one whose markers are gone.

        The store refuses both alike.  While the markers' lease lives, the refusal means that the
        write never ran and, as its own lease is gone, never will.  Without it nothing is known.
        """
        kept = await self.keep_alive(marker_lease)
        if kept.is_ok():
            return refusal
        self.marker_lease = None
        return may_have_run(ErrorCode.STORE_UNAVAILABLE, "the markers of the write are gone")

    async def grant_lease(self, ttl_s: float, purpose: Purpose = Purpose.LEASE) -> Outcome[Lease]:
        """Take out a lease under an id that was never used before.

        The store counts whole seconds; `ttl_s` is rounded up.
        """
        return await self.persist(lambda: self.grant_once(math.ceil(ttl_s), purpose))

    async def grant_once(self, ttl_s: int, purpose: Purpose) -> Outcome[Lease]:
        """Ask once for a lease; one whose answer is lost ends by itself."""
        chosen = secrets.randbits(LEASE_ID_BITS) + 1
        sent_at = self.clock()
        request = LeaseGrantRequest(TTL=ttl_s, ID=chosen)
        answer = await self.transport.call("/v3/lease/grant", request, LeaseGrantResponse, purpose)
        if answer.is_ok():
            return Ok(Lease(id=chosen, valid_until=sent_at + answer.unwrap().TTL))
        if answer.unwrap_err().code is ErrorCode.CONFLICT:
            # The id is random, so the one that exists is ours: the request arrived twice.
            return Ok(Lease(id=chosen, valid_until=sent_at + ttl_s))
        return answer

    async def keep_alive(self, lease: Lease, purpose: Purpose = Purpose.LEASE) -> Outcome[Lease]:
        """Extend a lease.

        Returns
        -------
        Outcome[Lease]
            The lease with its new end.  FENCED: it is lost, also if the store's answer came only
            after its local end, and its id is not used again.  Any other failure leaves the lease
            with the end that it had.
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
        # A lapsed lease has 0 seconds left, and so has ended before the answer.
        valid_until = sent_at + answer.unwrap().result.TTL
        if answered_at >= min(lease.valid_until, valid_until):
            self.note_lost(lease)
            return ran(ErrorCode.FENCED, "the lease has lapsed")
        return Ok(Lease(id=lease.id, valid_until=valid_until))

    def note_lost(self, lease: Lease) -> None:
        """Remember that a lease is lost, until its local end would have come anyway."""
        now = self.clock()
        self.lost_leases = {lost: until for lost, until in self.lost_leases.items() if until > now}
        self.lost_leases[lease.id] = lease.valid_until

    async def revoke(self, lease: Lease, purpose: Purpose = Purpose.LEASE) -> Outcome[None]:
        """End a lease and delete its keys; a lease that has ended already is a success."""
        self.note_lost(lease)
        request = LeaseRequest(ID=lease.id)
        path = "/v3/lease/revoke"
        answer = await self.persist(
            lambda: self.transport.call(path, request, LeaseRevokeResponse, purpose)
        )
        if answer.is_err() and answer.unwrap_err().code is ErrorCode.FENCED:
            return Ok(None)
        return answer.map(lambda _: None)

    def watch(
        self, prefix: str, from_revision: int = 0, purpose: Purpose = Purpose.WATCH
    ) -> AsyncIterator[WatchEvent]:
        """Report the changes under a prefix for as long as the iterator is read.

        Parameters
        ----------
        prefix : str
            Start of the keys to report.
        from_revision : int
            First revision to report, such as ``listing.revision + 1``; 0 begins with a
            `ResyncEvent`.
        purpose : Purpose
            Counter of the calls.
        """
        return watch_prefix(self, prefix, from_revision, purpose)

    def full_key(self, key: str) -> bytes:
        """Return the name of a key in the store."""
        return (self.root + key.lstrip("/")).encode()

    def short_key(self, key: bytes) -> str:
        """Return the name of a key without the prefix."""
        return key.decode().removeprefix(self.root)

    def item(self, found: WireKeyValue) -> KeyValue:
        """Return a key as users see it."""
        return KeyValue(
            key=self.short_key(found.key),
            value=found.value,
            mod_revision=found.mod_revision,
            create_revision=found.create_revision,
            version=found.version,
            lease=found.lease,
        )

    def listing(self, found: RangeResponse) -> Listing:
        """Return a range as users see it."""
        return Listing([self.item(kv) for kv in found.kvs], found.header.revision)

    async def close(self) -> None:
        """Close every connection."""
        await self.transport.close()


def is_unavailable(outcome: Outcome[M]) -> bool:
    """Return whether the store could not be reached, or not in time."""
    return outcome.is_err() and outcome.unwrap_err().code is ErrorCode.STORE_UNAVAILABLE


__all__ = ["StoreClient"]
