"""An asynchronous client of the HTTP interfaces for callers and operators."""

from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any, TypeVar

import msgspec

from waxwingglade.base import Err, ErrorCode, Failure, Ok, Outcome, may_have_run
from waxwingglade.connection.http import Exchange, HttpAnswer, HttpClient, HttpRequest, send

TIMEOUT_S = 60.0
EVENT_PREFIX = b"data: "

T = TypeVar("T")


def read_answer(answer: HttpAnswer, model: type[T]) -> Outcome[T]:
    """Return the body of an answer decoded as `model`, or the failure that it contains."""
    try:
        if answer.status == HTTPStatus.OK:
            return Ok(msgspec.json.decode(answer.body, type=model))
        return Err(msgspec.json.decode(answer.body, type=Failure))
    except msgspec.MsgspecError:
        text = f"the answer with status {answer.status} cannot be read"
        return may_have_run(ErrorCode.VERSION, text)


class ApiClient:
    """Sends requests to one entry with one bearer token.

    Parameters
    ----------
    http : HttpClient
        The shared HTTP client.
    url : str
        URL of the entry.
    token : str
        Bearer token.
    """

    def __init__(self, http: HttpClient, url: str, token: str) -> None:
        self.http = http
        self.url = url
        self.token = token

    async def send(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> HttpAnswer:
        """Send a request and return the answer; raises `ConnectionError` if there is none."""
        answer = await self.try_send(method, path, body, headers)
        if answer.is_err():
            raise ConnectionError(answer.err_value.message)
        return answer.ok_value

    async def json(self, method: str, path: str, body: Any = None) -> Any:
        """Send a request and return the decoded JSON of the answer, also of an error answer."""
        return msgspec.json.decode((await self.send(method, path, body)).body)

    async def try_send(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> Outcome[HttpAnswer]:
        """Send a request and return the answer, or the failure of the connection."""
        return await send(self.http, self._request(method, path, body, headers))

    async def stream(self, method: str, path: str, body: Any = None) -> AsyncIterator[Any]:
        """Send a request and yield the decoded events of the streamed answer.

        Raises
        ------
        ConnectionError
            If the answer is not complete.
        """
        request = self._request(method, path, body, {"Accept": "text/event-stream"})
        exchange = Exchange(self.http, request)
        rest = b""
        try:
            async for piece in exchange.body():
                *lines, rest = (rest + piece).split(b"\n")
                for line in lines:
                    if line.startswith(EVENT_PREFIX):
                        yield msgspec.json.decode(line.removeprefix(EVENT_PREFIX))
            if failure := exchange.failure():
                raise ConnectionError(failure.message)
        finally:
            exchange.abort()

    def _request(
        self, method: str, path: str, body: Any, headers: dict[str, str] | None
    ) -> HttpRequest:
        data = body if isinstance(body, bytes) else None
        if data is None and body is not None:
            data = msgspec.json.encode(body)
        if data is None and method in ("POST", "PUT", "PATCH"):
            data = b""
        all_headers = {"Authorization": f"Bearer {self.token}", **(headers or {})}
        return HttpRequest(method, self.url + path, all_headers, data, TIMEOUT_S)
