"""Watches on the store that continue after an outage, a dropped connection or a compaction."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from typing import TYPE_CHECKING

import msgspec

from waxwingglade.connection.http import END_OF_BODY, Exchange
from waxwingglade.connection.store_backoff import backoff_s
from waxwingglade.connection.store_budget import Purpose
from waxwingglade.connection.store_codec import (
    Event,
    EventType,
    WatchCreateRequest,
    WatchRequest,
    WatchResponse,
    WatchResult,
    decode_message,
    encode_message,
    prefix_end,
)
from waxwingglade.connection.store_messages import DeleteEvent, PutEvent, ResyncEvent, WatchEvent
from waxwingglade.connection.store_transport import StoreTransport

if TYPE_CHECKING:
    from waxwingglade.connection.store import StoreClient

LONGEST_PAUSE_S = 5.0
IDLE_LIMIT_S = 60.0
"""Seconds without a response after which a watch reconnects, in case its connection is dead."""

LONGEST_WATCH_S = 3600.0
"""Seconds after which a watch reconnects in any case."""

MAX_EMPTY_RESPONSES = 100
"""Consecutive responses without changes after which a watch reconnects."""

UNKNOWN_REVISION = 0
"""Marks a watch without a known revision: the prefix has to be listed first."""


class WatchPosition(msgspec.Struct):
    """Progress of a watch.

    Parameters
    ----------
    revision : int
        First revision not yet reported.
    failures : int
        Attempts since the last one that reported changes or lasted over `LONGEST_PAUSE_S` seconds.
    """

    revision: int
    failures: int = 0


async def watch_prefix(
    client: StoreClient, prefix: str, from_revision: int, purpose: Purpose
) -> AsyncIterator[WatchEvent]:
    """Yield the changes under a prefix; see `StoreClient.watch`."""
    position = WatchPosition(from_revision)
    while not client.closed:
        if position.failures:
            await asyncio.sleep(backoff_s(position.failures, LONGEST_PAUSE_S))
        position.failures += 1
        if position.revision == UNKNOWN_REVISION:
            listed = await client.list(prefix, purpose)
            if listed.is_err():
                continue
            listing = listed.unwrap()
            position.revision = listing.revision + 1
            yield ResyncEvent(listing)
        async with aclosing(follow_connection(client, prefix, position, purpose)) as events:
            async for event in events:
                yield event


async def follow_connection(
    client: StoreClient, prefix: str, position: WatchPosition, purpose: Purpose
) -> AsyncGenerator[WatchEvent, None]:
    """Yield the changes that one connection reports, and advance `position`."""
    key = client.full_key(prefix)
    stream = WatchStream(client.transport, key, position.revision, purpose)
    opened_at = client.clock()
    empty_responses = 0
    try:
        response = await stream.open()
        while response is not None and not response.canceled:
            empty_responses = 0 if response.events else empty_responses + 1
            if empty_responses > MAX_EMPTY_RESPONSES:
                return
            if is_store_behind(response, position.revision):
                position.revision = UNKNOWN_REVISION
                return
            for event in response.events:
                yield to_watch_event(client, event)
            if response.events:
                position.revision = response.events[-1].kv.mod_revision + 1
                position.failures = 0
            response = await stream.next_response(IDLE_LIMIT_S)
    finally:
        stream.close()
    is_compacted = response is not None and response.compact_revision > 0
    if is_compacted or not stream.has_slot:
        # If the budget has no free slot for a watch, the prefix is listed repeatedly instead.
        position.revision = UNKNOWN_REVISION
    if client.clock() - opened_at > LONGEST_PAUSE_S:
        position.failures = 0


def is_store_behind(response: WatchResponse, revision: int) -> bool:
    """Return whether the store is at an earlier revision than the watch has reported.

    Such a store would report nothing until it reaches `revision` again.
    """
    return response.created and response.header.revision < revision - 1


def to_watch_event(client: StoreClient, event: Event) -> WatchEvent:
    """Return a change as a `WatchEvent`."""
    if event.type is EventType.DELETE:
        return DeleteEvent(client.short_key(event.kv.key), event.kv.mod_revision)
    return PutEvent(client.item(event.kv))


class WatchStream:
    """One connection of a watch.

    Parameters
    ----------
    transport : StoreTransport
        Addresses and budget.
    key : bytes
        Prefix to watch.
    revision : int
        First revision to report.
    purpose : Purpose
        Purpose under which the call is counted.
    """

    def __init__(
        self, transport: StoreTransport, key: bytes, revision: int, purpose: Purpose
    ) -> None:
        self.transport = transport
        self.key = key
        self.revision = revision
        self.purpose = purpose
        self.has_slot = False
        self.incomplete_line: list[bytes] = []
        self.lines: deque[bytes] = deque()
        self.exchange: Exchange | None = None

    async def open(self) -> WatchResponse | None:
        """Open the connection; return its first response, or None if there is none."""
        if not self.transport.settings.urls:
            return None
        timeout_s = self.transport.settings.timeout_s
        if await self.transport.budget.take(self.purpose, timeout_s) > 0.0:
            return None
        self.has_slot = self.transport.budget.open_watch()
        if not self.has_slot:
            return None
        url = self.transport.url()
        create = WatchCreateRequest(
            key=self.key, range_end=prefix_end(self.key), start_revision=self.revision
        )
        body = encode_message(WatchRequest(create_request=create))
        self.exchange = self.transport.begin(f"{url}/v3/watch", body, LONGEST_WATCH_S, True)
        response = await self.next_response(timeout_s)
        if response is None:
            self.transport.fail_over(url)
        return response

    async def next_response(self, wait_limit_s: float) -> WatchResponse | None:
        """Return the next response; None at the end, on an error or after `wait_limit_s`."""
        if self.exchange is None:
            return None
        try:
            async with asyncio.timeout(wait_limit_s):
                return read_line(await self.next_line(self.exchange))
        except TimeoutError:
            return None

    async def next_line(self, exchange: Exchange) -> bytes:
        """Return the next line, which is empty at the end of the connection."""
        while not self.lines:
            piece = await exchange.piece_or_end()
            if piece == END_OF_BODY:
                return b""
            first, *others = piece.split(b"\n")
            self.incomplete_line.append(first)
            if others:
                self.lines.append(b"".join(self.incomplete_line))
                self.lines.extend(others[:-1])
                self.incomplete_line = others[-1:]
        return self.lines.popleft()

    def close(self) -> None:
        """Close the connection and release its slot in the budget."""
        if self.has_slot:
            self.transport.budget.close_watch()
        if self.exchange is not None:
            self.transport.end(self.exchange)


def read_line(line: bytes) -> WatchResponse | None:
    """Return the response in a line, or None if the line is an error or malformed."""
    try:
        return decode_message(line, WatchResult).result
    except msgspec.MsgspecError:
        return None
