"""Builders of the store stand-in and of clients for it."""

import unittest
from collections.abc import AsyncIterator, Awaitable
from typing import TypeVar

from waxwingglade.base import ErrorCode, Outcome, Verdict
from waxwingglade.connection import StoreClient, WatchEvent
from waxwingglade.connection.store_codec import PutRequest, RequestOp, TxnRequest
from waxwingglade.settings import StoreSettings
from waxwingglade.standins import StoreFaults, StoreLimits, StoreStandin

T = TypeVar("T")

UNLIMITED_RATE = 1e6
"""Calls per second that no test reaches."""

PREFIX = "/test"


class ManualClock:
    """Clock that shows the time `now`, which only the test changes."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


def store_settings(*urls: str, **values: float) -> StoreSettings:
    """Return settings whose default rate delays no calls."""
    return StoreSettings(
        urls=list(urls), prefix=PREFIX, **{"calls_per_second": UNLIMITED_RATE, **values}
    )


async def ok(call: Awaitable[Outcome[T]]) -> T:
    """Return the value of a call that must succeed."""
    return (await call).unwrap()


async def refusal(call: Awaitable[Outcome[T]]) -> tuple[Verdict, ErrorCode]:
    """Return the verdict and the code of a call that must fail."""
    failure = (await call).unwrap_err()
    return failure.verdict, failure.code


def write_directly(standin: StoreStandin, key: str, value: bytes) -> None:
    """Write a key in the stand-in's state, as if by another client."""
    put = PutRequest(key=f"{PREFIX}/{key}".encode(), value=value)
    standin.state.txn(TxnRequest(success=[RequestOp(request_put=put)]))
    standin.notify_watches()


class StoreTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a store stand-in and a client for it."""

    async def asyncSetUp(self) -> None:
        self.standin = await self.start_standin()
        self.client = self.new_client(self.standin.url)

    async def start_standin(self, limits: StoreLimits | None = None) -> StoreStandin:
        """Return a stand-in that is stopped after the test."""
        standin = StoreStandin(limits or StoreLimits(UNLIMITED_RATE, UNLIMITED_RATE))
        await standin.start()
        self.addAsyncCleanup(standin.stop)
        return standin

    def new_client(self, *urls: str, **values: float) -> StoreClient:
        """Return a client that is closed after the test."""
        client = StoreClient(store_settings(*urls, **values))
        self.addAsyncCleanup(client.close)
        return client

    async def set_faults(self, **values: object) -> None:
        """Activate faults in the stand-in, and deactivate all others."""
        await self.standin.set_faults(StoreFaults(**values))

    def new_watch(self, prefix: str = "", from_revision: int = 0) -> AsyncIterator[WatchEvent]:
        """Return a watch that is closed after the test."""
        events = self.client.watch(prefix, from_revision)
        self.addAsyncCleanup(events.aclose)
        return events
