"""A JSON interface over HTTP: keys, limits, typed errors and routes.

Each route has a function for each method.  A single handler class holds the state of a request for
all of them.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from http import HTTPStatus
from typing import Any, TypeVar

import msgspec
from loguru import logger
from tornado.httputil import HTTPServerRequest
from tornado.web import Application, HTTPError, RequestHandler, stream_request_body

from waxwingglade.base import Err, ErrorCode, Failure, Ok, Outcome, Verdict, not_run
from waxwingglade.connection.http_answer import retry_after_header, status_of, with_retry_after
from waxwingglade.connection.http_limits import check_headers, check_length, check_nesting
from waxwingglade.settings import LimitSettings

T = TypeVar("T")
DISCARD_LIMIT_FACTOR = 4
"""Bodies up to this multiple of the limit are read and discarded before the error is sent.

Otherwise the connection would be closed while the caller still sends, and it would miss the answer.
"""


class Route(msgspec.Struct, frozen=True):
    """A route: the pattern of a path, and a function for each method.

    Each function gets the handler and the groups of the pattern.  A `public` route needs no key.
    """

    pattern: str
    endpoints: Mapping[str, Callable[..., Awaitable[None]]]
    public: bool = False


UNKNOWN_ROUTE = Route(".*", {}, public=True)


class HttpApi(msgspec.Struct, frozen=True):
    """State shared by the handlers of one interface.

    Parameters
    ----------
    limits : LimitSettings
        Limits of requests.
    identify : callable
        Returns the key whose token is in an Authorization header, or None.
    on_failure : callable
        Called with every failure that is sent as an answer.
    """

    limits: LimitSettings
    identify: Callable[[str], Any]
    on_failure: Callable[[Failure], None] = lambda _: None


@stream_request_body
class ApiHandler(RequestHandler):
    """State of one request."""

    def initialize(self, api: HttpApi, route: Route) -> None:
        """Initialize the state of a new request; called by tornado."""
        self.api = api
        self.route = route
        self.identity: Any = None
        self.rejection: Failure | None = None
        self.body = bytearray()
        self.received_bytes = 0
        self.body_read = False
        self.disconnected = False
        self.running: asyncio.Task | None = None

    # --- reading ------------------------------------------------------------------------------

    def prepare(self) -> None:
        """Reject the request if its headers violate a limit; called by tornado before the body."""
        # Tornado would enforce its limit without a typed error, so `data_received` enforces it.
        self.request.connection.set_max_body_size(sys.maxsize)
        length = self.request.headers.get("Content-Length", "")
        declared = int(length) if length.isdecimal() else 0
        self.rejection = (
            check_headers(self.request.headers, self.api.limits)
            or self._check_key()
            or check_length(declared, self.api.limits)
        )
        if self.rejection is not None and declared > self._max_discarded_bytes():
            self.fail(self.rejection)

    def _check_key(self) -> Failure | None:
        if self.route.public:
            return None
        self.identity = self.api.identify(self.request.headers.get("Authorization", ""))
        if self.identity is not None:
            return None
        text = "the bearer token is missing or not known"
        return Failure(Verdict.NOT_RUN, ErrorCode.UNAUTHENTICATED, text)

    def data_received(self, chunk: bytes) -> None:
        """Store a piece of the body unless the request is already rejected; called by tornado."""
        self.received_bytes += len(chunk)
        if self.rejection is None:
            self.rejection = check_length(self.received_bytes, self.api.limits)
        if self.rejection is None:
            self.body += chunk
        elif self.received_bytes > self._max_discarded_bytes() and not self._finished:
            self.fail(self.rejection)

    def _max_discarded_bytes(self) -> int:
        return self.api.limits.body_bytes * DISCARD_LIMIT_FACTOR

    def read(self, model: type[T]) -> Outcome[T]:
        """Return the JSON body decoded as `model`."""
        failure = check_nesting(self.body, self.api.limits)
        if failure is not None:
            return Err(failure)
        try:
            return Ok(msgspec.json.decode(self.body, type=model))
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return not_run(ErrorCode.BAD_REQUEST, f"the body is not valid: {error}")

    def read_or_fail(self, model: type[T]) -> T | None:
        """Return the JSON body decoded as `model`; if it is invalid, answer so and return None."""
        read = self.read(model)
        if read.is_err():
            self.fail(read.err_value)
            return None
        return read.ok_value

    # --- running ------------------------------------------------------------------------------

    async def run(self, *arguments: str) -> None:
        """Reject the request, or pass it to the function of its route and method."""
        self.body_read = True
        if self.rejection is not None:
            self.fail(self.rejection)
            return
        # Tornado omits the body of an answer to HEAD.
        method = "GET" if self.request.method == "HEAD" else self.request.method
        endpoint = self.route.endpoints.get(method or "")
        if endpoint is None:
            self._fail_unknown()
            return
        self.running = asyncio.current_task()
        try:
            await endpoint(self, *arguments)
        except asyncio.CancelledError:
            if not self.disconnected:
                raise
        finally:
            self.running = None

    get = head = post = put = patch = delete = options = run

    def _fail_unknown(self) -> None:
        if self.route is UNKNOWN_ROUTE:
            text = f"there is nothing at {self.request.path}"
            self.fail(Failure(Verdict.NOT_RUN, ErrorCode.NOT_FOUND, text))
            return
        self.set_header("Allow", ", ".join(self.route.endpoints))
        text = f"{self.request.method} is not possible at {self.request.path}"
        failure = Failure(Verdict.NOT_RUN, ErrorCode.BAD_REQUEST, text)
        self.fail(failure, HTTPStatus.METHOD_NOT_ALLOWED)

    def on_connection_close(self) -> None:
        """Cancel the handler of a disconnected caller; calls of programs are not cancelled."""
        self.disconnected = True
        if self.running is not None:
            self.running.cancel()

    # --- answering ----------------------------------------------------------------------------

    def fail(self, failure: Failure, status: int | None = None) -> None:
        """Answer with a typed error."""
        failure = with_retry_after(failure)
        self.set_failure_headers(failure, status)
        self.finish_json(failure)

    def set_failure_headers(self, failure: Failure, status: int | None = None) -> None:
        """Set status and headers of a failure, and report it to `on_failure`."""
        self.api.on_failure(failure)
        self.set_status(status or status_of(failure))
        if not self.body_read:
            # The rest of the body is not read, so the server closes the connection.
            self.set_header("Connection", "close")
        retry_after = retry_after_header(failure)
        if retry_after is not None:
            self.set_header("Retry-After", retry_after)

    def finish_outcome(self, outcome: Outcome[Any]) -> None:
        """Finish the answer with a value or with the failure."""
        if outcome.is_err():
            self.fail(outcome.err_value)
            return
        self.finish_json(outcome.ok_value)

    def finish_json(self, value: object) -> None:
        """Finish the answer with a JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer a request whose handling raised an exception; called by tornado."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, HTTPError) and status_code < HTTPStatus.INTERNAL_SERVER_ERROR:
            text = error.log_message or self._reason
            code = ErrorCode.BAD_REQUEST
            self.fail(Failure(Verdict.NOT_RUN, code, text), status_code)
            return
        text = "the entry met an internal error"
        self.fail(Failure(Verdict.MAY_HAVE_RUN, ErrorCode.INTERNAL, text), status_code)

    def log_exception(self, *exception: Any) -> None:
        """Log an unexpected exception; called by tornado."""
        if isinstance(exception[1], HTTPError):
            return
        logger.opt(exception=exception).error("{} {}", self.request.method, self.request.path)


def http_application(api: HttpApi, routes: Sequence[Route]) -> Application:
    """Return the application that serves `routes`."""
    handlers = [(each.pattern, ApiHandler, {"api": api, "route": each}) for each in routes]
    return Application(
        handlers,
        default_handler_class=ApiHandler,
        default_handler_args={"api": api, "route": UNKNOWN_ROUTE},
        log_function=_skip_access_log,
    )


def query(request: HTTPServerRequest, name: str, default: str = "") -> str:
    """Return the last value of a query argument."""
    values = request.query_arguments.get(name)
    return values[-1].decode("utf-8", "replace") if values else default


def _skip_access_log(_handler: RequestHandler) -> None:
    """Write no access log, since paths contain names of programs; the handlers log requests."""
