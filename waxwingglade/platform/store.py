"""Client of the platform's store, over HTTP."""

import asyncio
import base64
from collections import Counter
from typing import Annotated, Any, TypeVar
from urllib.parse import quote

import msgspec

from waxwingglade.base import shortened
from waxwingglade.follow.model import LAST_REVISION, Revision
from waxwingglade.follow.store import (
    WATCH_MARGIN_S,
    EventsNotReceived,
    HistoryCompacted,
    Item,
    KeyTooLong,
    Listing,
    StoreUnavailable,
    contiguous_until,
)
from waxwingglade.transport import (
    ConnectionBroken,
    ConnectionPool,
    HttpRequest,
    HttpResponse,
    NotConnected,
)

CONNECT_TIMEOUT_S = 0.6
"""Seconds for opening a connection.  The store answers within milliseconds.  A lost SYN packet is
repeated only after a second, so a new attempt is quicker."""

ANSWER_TIMEOUT_S = 1.1
"""Seconds for an answer; a slow store takes some 200 ms.  A call during which the store is
unresponsive is never answered, so this timeout is part of the two seconds within which a changed
configuration must be in force."""

PAGE_LIMIT = 1000
"""Greatest number of pages of one listing, in case the store never reports the last page."""

LISTING_ATTEMPTS = 3
"""Attempts at a listing whose pages differ in revision, before the call counts as failed."""

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Size of the largest answer that is read.  The store limits its values and the pages of a listing,
but not the answer to a watch; beyond this size all keys are listed instead."""

MAX_KEY_BYTES = 200
"""Length of the longest key that the store takes."""

_COMPACTED = 410
_CONFLICT = 412
_NOT_FOUND = 404
_OK = 200
_DECIDED = (_OK, _COMPACTED, _CONFLICT, _NOT_FOUND)
_NOTHING_DONE = (429, 503)


Wire = TypeVar("Wire")
_Revision = Annotated[int, msgspec.Meta(ge=0, le=LAST_REVISION)]


class _WireItem(msgspec.Struct):
    key: str
    revision: _Revision
    value: str | None = None
    deleted: bool = False


class _PartialAnswer(StoreUnavailable):
    """The head of an answer arrived, and its body did not arrive whole."""


class _Page(msgspec.Struct):
    """A page of a listing; its items are decoded one by one, as one may be invalid."""

    items: list[msgspec.Raw]
    has_more: bool
    current_rev: _Revision


class _Events(msgspec.Struct):
    """The answer to a watch; its events are decoded one by one, as one may be invalid."""

    events: list[msgspec.Raw]
    current_rev: _Revision


class _Expected(msgspec.Struct):
    key: str
    revision: int


class _Write(msgspec.Struct):
    key: str
    value: str
    lease_id: int = 0


class _Transaction(msgspec.Struct):
    expected_rev: list[_Expected]
    writes: list[_Write]
    remove: list[str] = []


class PlatformStore:
    """The platform's store, with the interface of `waxwingglade.follow.store.Store`.

    Parameters
    ----------
    address : str
        ``IP:PORT``.

    Attributes
    ----------
    calls : Counter
        Number of calls by purpose.  Every call is priced, including rejected ones.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.pool = ConnectionPool(CONNECT_TIMEOUT_S)
        self.calls: Counter[str] = Counter()

    async def read(self, key: str) -> Item | None:
        """Return an item by a linearizable read, or None if the key does not exist."""
        _check_key(key)
        response = await self._call("read", "GET", f"/v1/kv-key?key={quote(key, safe='')}")
        if response.status == _NOT_FOUND:
            return None
        item = _item(_decoded(response, msgspec.Raw))
        if item.key != key:
            raise StoreUnavailable(f"answered with the key {item.key!r}", may_have_run=False)
        return item

    async def list(self, prefix: str) -> Listing:
        """Return all items below a prefix as of one revision.

        Raises
        ------
        HistoryCompacted
            If the store dropped changes that were made while the pages were read.
        StoreUnavailable
            If it did not show these changes, or not all items.
        """
        for _ in range(LISTING_ATTEMPTS):
            listing = await self._list_once(prefix)
            if listing is not None:
                return listing
        raise StoreUnavailable("changes missing between the pages of a listing", may_have_run=False)

    async def _list_once(self, prefix: str) -> Listing | None:
        """Return all items below a prefix; None if changes between the pages were not shown."""
        items: list[Item] = []
        revisions: list[Revision] = []
        path = f"/v1/kv-range?path_prefix={quote(prefix, safe='')}"
        after = ""
        for _ in range(PAGE_LIMIT):
            response = await self._call("list", "GET", path + after)
            page = _decoded(response, _Page)
            items += [_item(item) for item in page.items]
            revisions.append(Revision(page.current_rev))
            if not page.has_more:
                break
            if not page.items:
                raise StoreUnavailable("empty page before the end of a listing", may_have_run=False)
            if not items[-1].key:
                raise StoreUnavailable("a page ends with an invalid key", may_have_run=False)
            after = f"&after={quote(items[-1].key, safe='')}"
        else:
            raise StoreUnavailable(f"over {PAGE_LIMIT} pages in a listing", may_have_run=False)
        first, last = min(revisions), max(revisions)
        if first == last:
            return Listing(tuple(items), first)
        # Some pages may have changes that others lack.
        try:
            changes = await self.watch("", first, 0.0)
        except EventsNotReceived:
            return None
        if changes.revision < last or contiguous_until(first, changes) != changes.revision:
            return None
        return _updated(items, changes, prefix)

    async def watch(self, prefix: str, after: Revision, wait_s: float) -> Listing:
        """Return the events after a revision.

        Raises
        ------
        HistoryCompacted
            If they were dropped.
        EventsNotReceived
            If the answer began and did not arrive whole.
        """
        path = (
            f"/v1/kv-watch?path_prefix={quote(prefix, safe='')}"
            f"&after={after}&wait_ms={int(wait_s * 1000)}"
        )
        try:
            response = await self._call("watch", "GET", path, wait_s + WATCH_MARGIN_S)
        except _PartialAnswer as error:
            reason = f"events after revision {after}: {error}"
            raise EventsNotReceived(reason, error.may_have_run) from error
        if response.status == _COMPACTED:
            raise HistoryCompacted(f"{prefix} after {after}")
        events = _decoded(response, _Events)
        return Listing(tuple(_item(event) for event in events.events), Revision(events.current_rev))

    async def compare_and_swap(self, key: str, revision: Revision, value: bytes) -> Item | None:
        """Write a key if it is still at `revision`; return None, or else the present item."""
        _check_key(key)
        text = base64.b64encode(value).decode()
        body = msgspec.json.encode(_Transaction([_Expected(key, revision)], [_Write(key, text)]))
        try:
            response = await self._call("write", "POST", "/v1/kv-txn", body=body)
        except StoreUnavailable as error:
            if not error.may_have_run:
                raise
            return await self._read_back(key, value, error)
        if response.status == _OK:
            return None
        if response.status == _NOT_FOUND:
            raise StoreUnavailable("the store knows no such lease", may_have_run=False)
        return await self._read_back(key, value, StoreUnavailable("conflict", False))

    async def _read_back(self, key: str, value: bytes, error: StoreUnavailable) -> Item | None:
        """Determine by a read whether a write took effect whose answer was lost or a conflict."""
        current = await self.read(key)
        if current is not None and current.value == value:
            return None
        if current is None:
            raise error
        return current

    async def _call(
        self,
        purpose: str,
        method: str,
        path: str,
        timeout_s: float = ANSWER_TIMEOUT_S,
        body: bytes = b"",
    ) -> HttpResponse:
        """Make one call, and return a definite answer of the store.

        Parameters
        ----------
        timeout_s : float
            Seconds until the whole answer must have arrived.

        Raises
        ------
        _PartialAnswer
            If the answer began and did not arrive whole, or exceeds `MAX_BODY_BYTES`.
        StoreUnavailable
            If there was no answer, or the store reported that it did not serve the call.
        """
        self.calls[purpose] += 1
        headers = [("Host", self.address)]
        if body:
            headers.append(("Content-Type", "application/json"))
        request = HttpRequest(method, path, headers, body)
        end_at = asyncio.get_running_loop().time() + timeout_s
        try:
            async with asyncio.timeout_at(end_at):
                connection = await self.pool.acquire(self.address)
        except (NotConnected, TimeoutError) as error:
            raise StoreUnavailable(str(error) or "no connection", may_have_run=False) from error
        failure: type[StoreUnavailable] = StoreUnavailable
        try:
            async with asyncio.timeout_at(end_at):
                connection.send(request)
                response = await connection.read_head(lambda _: True)
                failure = _PartialAnswer
                response.body = await connection.read_body(MAX_BODY_BYTES)
        except (ConnectionBroken, TimeoutError) as error:
            # Other pooled connections may have become unresponsive together with this one, and each
            # would cost a timeout.
            self.pool.close_idle(self.address)
            raise failure(str(error) or "no answer", may_have_run=True) from error
        finally:
            self.pool.release(self.address, connection)
        if response.status in _DECIDED:
            return response
        done = response.status not in _NOTHING_DONE
        raise StoreUnavailable(f"status {response.status} for {purpose}", may_have_run=done)

    async def close(self) -> None:
        """Close the connections."""
        self.pool.close()


def _check_key(key: str) -> None:
    """Raise `KeyTooLong` for a key that the store would reject each time."""
    size = len(key.encode())
    if size > MAX_KEY_BYTES:
        raise KeyTooLong(f"key {shortened(key)!r} has {size} bytes, the limit is {MAX_KEY_BYTES}")


def _decoded(response: HttpResponse, kind: type[Wire]) -> Wire:
    """Decode an answer; raise `StoreUnavailable` if it is invalid, so that watchers try again."""
    if response.status != _OK:
        raise StoreUnavailable(f"status {response.status} for a read", may_have_run=False)
    try:
        return msgspec.json.decode(response.body, type=kind)
    except (ValueError, RecursionError) as error:
        reason = f"invalid answer: {shortened(str(error))}"
        raise StoreUnavailable(reason, may_have_run=False) from error


def _updated(items: list[Item], changes: Listing, prefix: str) -> Listing:
    """Return items below a prefix after some changes, as of the revision of the changes."""
    current = {item.key: item for item in items}
    for change in changes.items:
        if not change.key.startswith(prefix):
            continue
        if change.removed:
            current.pop(change.key, None)
        else:
            current[change.key] = change
    return Listing(tuple(current.values()), changes.revision)


def _item(raw: msgspec.Raw) -> Item:
    """Decode an item; one that is invalid keeps its key and its revision if they can be read."""
    try:
        wire = msgspec.json.decode(raw, type=_WireItem)
        present = not wire.deleted and wire.value is not None
        value = base64.b64decode(wire.value, validate=True) if present else None
    except (ValueError, RecursionError) as error:
        revision = Revision(_field(raw, "revision", _Revision, 0))
        return Item(_field(raw, "key", str, ""), None, revision, shortened(str(error)))
    return Item(wire.key, value, Revision(wire.revision))


def _field(raw: msgspec.Raw, name: str, kind: Any, default: Wire) -> Wire:
    """Return one field of an item, whatever the others are, or a default if it is invalid."""
    try:
        fields = msgspec.json.decode(raw, type=dict[str, msgspec.Raw])
        return msgspec.json.decode(fields[name], type=kind)
    except (KeyError, ValueError, RecursionError):
        return default


__all__ = ["PlatformStore"]
