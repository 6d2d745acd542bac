"""Interface of the store client that the configuration uses."""

from collections.abc import AsyncIterator
from enum import Enum
from typing import Protocol

import msgspec

from waxwingglade.base import Outcome

CONFIG_PURPOSE = "config"


class KeyValue(msgspec.Struct, frozen=True):
    """A stored value and the revision of the store at which it was last written."""

    key: str
    value: bytes
    mod_revision: int


class Listing(msgspec.Struct, frozen=True):
    """All values under a prefix, as of one revision of the store."""

    items: list[KeyValue]
    revision: int


class WatchKind(Enum):
    """Kind of an event that a watch reports.

    RESYNC means that events were missed; its items are the current values.
    """

    PUT = "put"
    DELETE = "delete"
    RESYNC = "resync"


class WatchEvent(msgspec.Struct, frozen=True):
    """One event of a watch."""

    kind: WatchKind
    items: list[KeyValue]


class Store(Protocol):
    """A client of the platform's key-value service.

    A failed write carries a verdict: NOT_RUN with code CONFLICT where the expected revision did
    not match, MAY_HAVE_RUN where the answer was lost.
    """

    async def get(self, key: str, purpose: str = CONFIG_PURPOSE) -> Outcome[KeyValue | None]:
        """Return a value, or None if the key is absent."""
        ...

    async def list(self, prefix: str, purpose: str = CONFIG_PURPOSE) -> Outcome[Listing]:
        """Return all values whose keys start with `prefix`, sorted by key."""
        ...

    async def put_if(
        self, key: str, value: bytes, expected: int, purpose: str = CONFIG_PURPOSE
    ) -> Outcome[int]:
        """Write if the key's revision is `expected` (0: absent); return the new revision."""
        ...

    async def delete_if(
        self, key: str, expected: int, purpose: str = CONFIG_PURPOSE
    ) -> Outcome[int]:
        """Delete if the key's revision is `expected`."""
        ...

    def watch(
        self, prefix: str, from_revision: int, purpose: str = CONFIG_PURPOSE
    ) -> AsyncIterator[WatchEvent]:
        """Yield changes under `prefix` from a revision on, until the connection ends."""
        ...
