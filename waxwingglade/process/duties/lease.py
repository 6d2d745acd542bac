"""The lease on the duty to give a zone's orders, which one entry holds at a time.

The key ``duties/{zone}`` names the holder and expires with the holder's lease.  The revision that
the store gives to this key is the fencing number of all orders of the holder, so a later holder has
a higher number.

An engine that ignores fencing numbers is protected by time instead.  The key ``orders/{zone}``
names the last holder that may have given orders to such engines, and how long a successor must wait
before its own first order.  A holder writes the key after this wait and before its first order.  So
the key always names the last holder that may have sent an order, even if a holder in between gave
up during its wait.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec

from waxwingglade.base import (
    Clock,
    EntryRef,
    ErrorCode,
    FormatError,
    Ok,
    Outcome,
    Verdict,
    ZoneId,
    monotonic,
    not_run,
)
from waxwingglade.connection.store import StoreClient
from waxwingglade.connection.store_messages import KeyValue, Lease
from waxwingglade.settings import ProcessSettings

FORMAT_VERSION = 1
RENEWALS_PER_LEASE = 3
"""Number of renewals of a lease within its time to live."""

RESIGN_TIMEOUT_S = 1.0

T = TypeVar("T", "DutyHolder", "LastOrders")
Sleep = Callable[[float], Awaitable[None]]


class DutyHolder(msgspec.Struct, frozen=True):
    """The entry that gives the orders of a zone."""

    format: int
    holder: EntryRef


class LastOrders(msgspec.Struct, frozen=True):
    """The last holder that may have given orders to engines that ignore fencing numbers.

    Parameters
    ----------
    format : int
        Format version.
    holder : EntryRef
        The entry.
    fencing : int
        Its fencing number.
    wait_out_s : float
        Seconds after a successor's acquisition until none of its orders can still be in flight.
    """

    format: int
    holder: EntryRef
    fencing: int
    wait_out_s: float


def duty_key(zone: ZoneId) -> str:
    """Return the key of a zone's `DutyHolder`."""
    return f"duties/{zone}"


def orders_key(zone: ZoneId) -> str:
    """Return the key of a zone's `LastOrders`."""
    return f"orders/{zone}"


class Term:
    """One period for which an entry holds the duty, from its acquisition to its loss.

    Parameters
    ----------
    store : StoreClient
        The store.
    settings : ProcessSettings
        Settings of this entry; the zone is its own.
    own : EntryRef
        This entry.
    lease : Lease
        Lease of the holder.
    fencing : int
        Fencing number of its orders.
    clock, sleep : callable
        Return the monotonic time in seconds, and wait for a number of seconds.
    """

    def __init__(
        self,
        store: StoreClient,
        settings: ProcessSettings,
        own: EntryRef,
        lease: Lease,
        fencing: int,
        clock: Clock = monotonic,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self.store = store
        self.settings = settings
        self.own = own
        self.lease = lease
        self.fencing = fencing
        self.clock = clock
        self.sleep = sleep
        self.acquired_at = clock()
        self.lost = False
        self.waited_out = False

    @property
    def wait_out_s(self) -> float:
        """Seconds that a successor must wait until this holder's last order has ended."""
        orders = self.settings.target_orders
        ttl_s = math.ceil(self.settings.store.lease_ttl_s)
        return ttl_s + orders.order_timeout_s + orders.margin_s

    def may_send_orders(self) -> bool:
        """Return whether an order may be sent now."""
        margin_s = self.settings.target_orders.margin_s
        return not self.lost and self.clock() < self.lease.valid_until - margin_s

    async def renew(self) -> bool:
        """Extend the lease; return whether the store did so and orders may be sent.

        The local clock is not sufficient, because it may have stopped together with the VM.
        """
        renewed = await self.store.keep_alive(self.lease)
        if renewed.is_ok() and renewed.ok_value.valid_until > self.lease.valid_until:
            self.lease = renewed.ok_value
        if renewed.is_err() and renewed.err_value.code is ErrorCode.FENCED:
            self.lost = True
        return renewed.is_ok() and self.may_send_orders()

    async def hold(self, should_continue: Callable[[], bool] = lambda: True) -> None:
        """Renew the lease until it is lost or `should_continue` returns False."""
        pause_s = self.settings.store.lease_ttl_s / RENEWALS_PER_LEASE
        while self.may_send_orders() and should_continue():
            await self.sleep(pause_s)
            await self.renew()
        self.lost = True

    async def wait_out(self) -> None:
        """Wait until no order of an earlier holder can be in flight, then record this holder.

        `waited_out` is set only once the store names this holder as the last one.
        """
        while self.may_send_orders() and not self.waited_out:
            await self._try_wait_out()
            if not self.waited_out:
                await self.sleep(self.settings.target_orders.read_back_s)

    async def _try_wait_out(self) -> None:
        key = orders_key(self.own.zone)
        found = await self.store.get(key)
        if found.is_err():
            return
        last = None if found.ok_value is None else _decode(found.ok_value, LastOrders)
        if last is not None and last.fencing > self.fencing:
            self.lost = True
            return
        wait_s = 0.0 if last is None else last.wait_out_s
        left_s = wait_s - (self.clock() - self.acquired_at)
        await self.sleep(max(0.0, left_s))
        if not await self.renew():
            return
        record = LastOrders(FORMAT_VERSION, self.own, self.fencing, self.wait_out_s)
        expected = 0 if found.ok_value is None else found.ok_value.mod_revision
        written = await self.store.put_if(key, msgspec.json.encode(record), expected)
        if written.is_ok():
            self.waited_out = True
        elif written.err_value.verdict is not Verdict.NOT_RUN or _is_conflict(written):
            # Another holder wrote the key, or this write may still take effect: start a new term.
            self.lost = True

    async def resign(self) -> None:
        """Revoke the lease, so that another entry need not wait until it expires."""
        self.lost = True
        try:
            async with asyncio.timeout(RESIGN_TIMEOUT_S):
                await self.store.revoke(self.lease)
        except TimeoutError:
            return


async def acquire(
    store: StoreClient,
    settings: ProcessSettings,
    own: EntryRef,
    clock: Clock = monotonic,
    sleep: Sleep = asyncio.sleep,
) -> Outcome[Term]:
    """Acquire the duty of the entry's own zone, if no entry holds it.

    Returns
    -------
    Outcome[Term]
        CONFLICT: another entry holds it.  After a failure to write the key the lease is revoked,
        and with it a key that may have been written.
    """
    key = duty_key(own.zone)
    found = await store.get(key)
    if found.is_err():
        return found
    if found.ok_value is not None:
        return not_run(ErrorCode.CONFLICT, "another entry gives the orders of this zone")
    granted = await store.grant_lease(settings.store.lease_ttl_s)
    if granted.is_err():
        return granted
    lease = granted.ok_value
    record = msgspec.json.encode(DutyHolder(FORMAT_VERSION, own))
    written = await store.put_if(key, record, 0, lease=lease.id)
    if written.is_err():
        await store.revoke(lease)
        return written
    return Ok(Term(store, settings, own, lease, written.ok_value, clock, sleep))


async def read_holder(store: StoreClient, zone: ZoneId) -> Outcome[EntryRef | None]:
    """Return the entry that gives the orders of a zone, None if there is none."""
    found = await store.get(duty_key(zone))
    try:
        return found.map(lambda item: None if item is None else _decode(item, DutyHolder).holder)
    except FormatError as error:
        return not_run(ErrorCode.VERSION, str(error))


def _decode(item: KeyValue, model: type[T]) -> T:
    try:
        record = msgspec.json.decode(item.value, type=model)
    except msgspec.DecodeError as error:
        raise FormatError(f"{item.key} cannot be read: {error}") from error
    if record.format > FORMAT_VERSION:
        raise FormatError(f"{item.key} has the newer format {record.format}")
    return record


def _is_conflict(outcome: Outcome) -> bool:
    return outcome.err_value.code is ErrorCode.CONFLICT
