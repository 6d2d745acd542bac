"""Adapts the client of the store to the interface that the configuration uses."""

from collections.abc import AsyncIterator

from waxwingglade import version
from waxwingglade.base import Outcome
from waxwingglade.connection.store import StoreClient
from waxwingglade.connection.store_budget import Purpose
from waxwingglade.connection.store_messages import (
    DeleteEvent,
    KeyValue,
    Listing,
    PutEvent,
    WatchEvent,
)
from waxwingglade.version import WatchKind


class ConfigStoreClient:
    """Forwards reads, writes and watches of the configuration to the client of the store.

    Parameters
    ----------
    client : StoreClient
        Client of the process.
    """

    def __init__(self, client: StoreClient) -> None:
        self.client = client

    async def get(self, key: str, purpose: str = "") -> Outcome[version.KeyValue | None]:
        """Return a value, or None if the key is absent."""
        found = await self.client.get(key, Purpose.CONFIG)
        return found.map(lambda item: _item(item) if item is not None else None)

    async def list(self, prefix: str, purpose: str = "") -> Outcome[version.Listing]:
        """Return all values whose keys start with `prefix`."""
        return (await self.client.list(prefix, Purpose.CONFIG)).map(_listing)

    async def put_if(
        self, key: str, value: bytes, expected: int, purpose: str = ""
    ) -> Outcome[int]:
        """Write if the key's revision is `expected`; return the new revision."""
        return await self.client.put_if(key, value, expected, purpose=Purpose.CONFIG)

    async def delete_if(self, key: str, expected: int, purpose: str = "") -> Outcome[int]:
        """Delete if the key's revision is `expected`."""
        return await self.client.delete_if(key, expected, Purpose.CONFIG)

    async def watch(
        self, prefix: str, from_revision: int, purpose: str = ""
    ) -> AsyncIterator[version.WatchEvent]:
        """Yield the changes under `prefix`, starting at a revision."""
        async for event in self.client.watch(prefix, from_revision):
            yield _event(event)


def _event(event: WatchEvent) -> version.WatchEvent:
    if isinstance(event, PutEvent):
        return version.WatchEvent(WatchKind.PUT, [_item(event.item)])
    if isinstance(event, DeleteEvent):
        return version.WatchEvent(
            WatchKind.DELETE, [version.KeyValue(event.key, b"", event.revision)]
        )
    return version.WatchEvent(WatchKind.RESYNC, _listing(event.listing).items)


def _listing(listing: Listing) -> version.Listing:
    return version.Listing([_item(item) for item in listing.items], listing.revision)


def _item(item: KeyValue) -> version.KeyValue:
    return version.KeyValue(item.key, item.value, item.mod_revision)
