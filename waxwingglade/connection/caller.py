"""The HTTP interface for callers."""

from collections.abc import Callable, Sequence

from tornado.httpserver import HTTPServer
from tornado.web import Application

from waxwingglade.base import Failure
from waxwingglade.connection.caller_programs import program_routes
from waxwingglade.connection.caller_stream import Serve
from waxwingglade.connection.chat import chat_routes
from waxwingglade.connection.health import health_routes
from waxwingglade.connection.http_api import HttpApi, Route, http_application
from waxwingglade.connection.keys import KeyRing
from waxwingglade.settings import LimitSettings, ProcessSettings

HEADER_LIMIT_FACTOR = 4
"""The server accepts headers up to this multiple of the limit, so that the application can reject
them with a typed error."""

BODY_TIMEOUT_S = 60.0
IDLE_TIMEOUT_S = 300.0
"""Seconds for a request's body, and for its head or until the next request of a connection."""


def caller_application(
    settings: ProcessSettings,
    serve: Serve,
    ready: Callable[[], bool],
    routes: Sequence[Route] = (),
    on_failure: Callable[[Failure], None] = lambda _: None,
) -> Application:
    """Return the HTTP application for callers.

    Parameters
    ----------
    settings : ProcessSettings
        Keys and limits.
    serve : Serve
        Processes a request whose tenant was authenticated.
    ready : callable
        Returns whether this entry accepts new work.
    routes : sequence of Route
        Further routes.
    on_failure : callable
        Called with every failure that is sent as an answer.
    """
    api = HttpApi(settings.limits, KeyRing(settings.caller_keys).find, on_failure)
    own = [*program_routes(serve), *chat_routes(serve), *health_routes(ready)]
    return http_application(api, [*own, *routes])


def http_server(application: Application, limits: LimitSettings) -> HTTPServer:
    """Return a server with limits above those of the application, which sends typed errors."""
    return HTTPServer(
        application,
        max_header_size=limits.header_bytes * HEADER_LIMIT_FACTOR,
        body_timeout=BODY_TIMEOUT_S,
        idle_connection_timeout=IDLE_TIMEOUT_S,
    )
