"""Calls to the store's HTTP gateway, each of which ends with an answer or a classified failure."""

import asyncio
from typing import TypeVar

import msgspec

from waxwingglade.base import (
    Clock,
    ErrorCode,
    Ok,
    Outcome,
    Verdict,
    may_have_run,
    monotonic,
    not_run,
)
from waxwingglade.connection.http import (
    Exchange,
    HttpAnswer,
    HttpClient,
    HttpClientSettings,
    HttpRequest,
)
from waxwingglade.connection.store_answer import classify_answer, classify_no_answer
from waxwingglade.connection.store_budget import MAX_WATCHES, CallBudget, Purpose
from waxwingglade.connection.store_codec import (
    Message,
    RangeRequest,
    decode_message,
    encode_message,
)
from waxwingglade.settings import StoreSettings

M = TypeVar("M")

MAX_CALLS = 64
"""Connections for calls, beside those of open watches; further concurrent calls are queued."""

ANSWER_BYTES = 100_000_000
CLOSE_TIMEOUT_S = 2.0


class StoreTransport:
    """HTTP connections of one process to the store, subject to the process's call budget.

    Parameters
    ----------
    settings : StoreSettings
        Addresses, timeout and rate.
    clock : Clock
        Monotonic time source, in seconds.
    """

    def __init__(self, settings: StoreSettings, clock: Clock = monotonic) -> None:
        self.settings = settings
        self.clock = clock
        self.budget = CallBudget(settings.calls_per_second, clock)
        self.http = HttpClient(
            HttpClientSettings(
                max_clients=MAX_CALLS + MAX_WATCHES,
                connect_timeout_s=settings.timeout_s,
                answer_bytes=ANSWER_BYTES,
            )
        )
        self.in_flight: set[Exchange] = set()
        self.closed = False
        self.url_index = 0

    def url(self) -> str:
        """Return the address in use."""
        return self.settings.urls[self.url_index].rstrip("/")

    def fail_over(self, failed: str) -> None:
        """Switch from address `failed` to the next one, unless another call has done so already."""
        if self.url() == failed:
            self.url_index = (self.url_index + 1) % len(self.settings.urls)

    async def call(
        self, path: str, message: Message, answer: type[M], purpose: Purpose
    ) -> Outcome[M]:
        """Send one message and return the decoded answer.

        The addresses are tried once each, all within the timeout of one call, until one of them
        can be reached.  A read is also tried at the next address if there is no answer.
        """
        if not self.settings.urls:
            return not_run(ErrorCode.STORE_UNAVAILABLE, "the settings name no store")
        retry_after_s = await self.budget.take(purpose, self.settings.timeout_s)
        if retry_after_s > 0.0:
            reason = "this process has used up its calls to the store"
            return not_run(ErrorCode.STORE_UNAVAILABLE, reason, retry_after_s)
        body = encode_message(message)
        is_read = isinstance(message, RangeRequest)
        deadline = self.clock() + self.settings.timeout_s
        for _ in self.settings.urls:
            outcome = await self.send(path, body, deadline - self.clock(), is_read)
            is_over = outcome.is_ok() or (may_have_executed(outcome) and not is_read)
            if is_over or self.clock() >= deadline:
                break
        return outcome.and_then(classify_answer).and_then(lambda body: decode(body, answer))

    async def send(
        self, path: str, body: bytes, timeout_s: float, is_read: bool
    ) -> Outcome[HttpAnswer]:
        """Send one body to the address in use; switch to the next address if there is no answer."""
        url = self.url()
        exchange = self.begin(url + path, body, timeout_s, is_read)
        if exchange is None:
            return not_run(ErrorCode.STORE_UNAVAILABLE, "the store client is closed")
        try:
            answer = await exchange.answer()
        finally:
            self.end(exchange)
        if answer.is_ok():
            return answer
        self.fail_over(url)
        return answer.map_err(classify_no_answer)

    def begin(self, url: str, body: bytes, timeout_s: float, repeatable: bool) -> Exchange | None:
        """Begin an exchange, which must be passed to `end`; None if the client is closed."""
        if self.closed:
            return None
        request = HttpRequest("POST", url, body=body, timeout_s=timeout_s, repeatable=repeatable)
        exchange = Exchange(self.http, request)
        self.in_flight.add(exchange)
        return exchange

    def end(self, exchange: Exchange) -> None:
        """Abort an exchange if it is still in flight."""
        self.in_flight.discard(exchange)
        exchange.abort()

    async def close(self) -> None:
        """Close every connection; exchanges in flight end without an answer."""
        if self.closed:
            return
        self.closed = True
        for exchange in self.in_flight:
            exchange.abort()
        futures = [exchange.future for exchange in self.in_flight]
        if futures:
            await asyncio.wait(futures, timeout=CLOSE_TIMEOUT_S)
        await self.http.close()


def may_have_executed(outcome: Outcome[M]) -> bool:
    """Return whether a request failed and may still have run."""
    return outcome.is_err() and outcome.unwrap_err().verdict is not Verdict.NOT_RUN


def decode(body: bytes, answer: type[M]) -> Outcome[M]:
    """Return the message in an answer, or that the request may have run if it is malformed."""
    try:
        return Ok(decode_message(body, answer))
    except msgspec.MsgspecError as error:
        return may_have_run(ErrorCode.STORE_UNAVAILABLE, f"malformed answer of the store: {error}")
