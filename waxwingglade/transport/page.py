"""Serve a single page of text over HTTP, for the balancer and for metrics.

It uses only the HTTP server, since loading a web framework would make each start slower.
"""

import re
from collections.abc import Callable
from http import HTTPStatus

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

Render = Callable[[], tuple[int, str]]

ALLOWED_METHODS = ("GET", "HEAD")

MAX_REQUEST_BYTES = 16 * 1024
"""Size in bytes of a request's head, and of its body."""

BODY_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 60.0
"""Seconds for a request's body, and for its head or until the next request of a connection."""


def serve_page(address: str, path: str, render: Render) -> HTTPServer:
    """Serve a page at ``IP:PORT``.

    Parameters
    ----------
    address : str
        Address to listen on.
    path : str
        Pattern that matches the complete path; other paths get status 404.
    render : callable
        Returns status and text.

    Raises
    ------
    OSError
        If the address is in use.
    """
    pattern = re.compile(path)

    def answer(request: HTTPServerRequest) -> None:
        status, text = _render_page(request, pattern, render)
        _write_answer(request, HTTPStatus(status), text.encode())

    server = HTTPServer(
        answer,
        max_header_size=MAX_REQUEST_BYTES,
        max_body_size=MAX_REQUEST_BYTES,
        body_timeout=BODY_TIMEOUT_S,
        idle_connection_timeout=IDLE_TIMEOUT_S,
    )
    host, _, port = address.rpartition(":")
    server.add_sockets(bind_sockets(int(port), host))
    return server


def _render_page(
    request: HTTPServerRequest, pattern: re.Pattern[str], render: Render
) -> tuple[int, str]:
    """Return status and text for a request."""
    if pattern.fullmatch(request.path) is None:
        return HTTPStatus.NOT_FOUND, ""
    if request.method not in ALLOWED_METHODS:
        return HTTPStatus.METHOD_NOT_ALLOWED, ""
    return render()


def _write_answer(request: HTTPServerRequest, status: HTTPStatus, body: bytes) -> None:
    """Answer a request; an answer to a HEAD request has no body."""
    headers = HTTPHeaders(
        {
            "Content-Type": "text/plain; version=0.0.4; charset=utf-8",
            "Content-Length": str(len(body)),
        }
    )
    if status is HTTPStatus.METHOD_NOT_ALLOWED:
        headers["Allow"] = ", ".join(ALLOWED_METHODS)
    connection = request.connection
    assert connection is not None
    connection.write_headers(
        ResponseStartLine("", status, status.phrase),
        headers,
        b"" if request.method == "HEAD" else body,
    )
    connection.finish()


def serve_metrics(address: str, text: Callable[[], str]) -> list[HTTPServer]:
    """Serve metrics if an address is given; if it is in use, the process continues without them."""
    if not address:
        return []
    try:
        return [serve_page(address, "/metrics", lambda: (200, text()))]
    except OSError as error:
        logger.bind(address=address, reason=str(error)).error("no metrics page")
        return []


__all__ = ["serve_metrics", "serve_page"]
