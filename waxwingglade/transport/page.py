"""A single page of text over HTTP, for the balancer and for metrics.

It is served by the HTTP server alone, as loading a web framework would make each start longer.
"""

import re
from collections.abc import Callable
from http import HTTPStatus

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

Render = Callable[[], tuple[int, str]]

READING_METHODS = ("GET", "HEAD")


def serve_page(address: str, path: str, render: Render) -> HTTPServer:
    """Serve a page at ``IP:PORT``.

    Parameters
    ----------
    address : str
        Where to listen.
    path : str
        Pattern of the whole path; others are not found.
    render : callable
        Returns status and text.

    Raises
    ------
    OSError
        If the address is taken.
    """
    pattern = re.compile(path)

    def answer(request: HTTPServerRequest) -> None:
        status, text = _content(request, pattern, render)
        _write(request, HTTPStatus(status), text.encode())

    server = HTTPServer(answer)
    host, _, port = address.rpartition(":")
    server.add_sockets(bind_sockets(int(port), host))
    return server


def _content(
    request: HTTPServerRequest, pattern: re.Pattern[str], render: Render
) -> tuple[int, str]:
    """Return status and text for a request."""
    if pattern.fullmatch(request.path) is None:
        return HTTPStatus.NOT_FOUND, ""
    if request.method not in READING_METHODS:
        return HTTPStatus.METHOD_NOT_ALLOWED, ""
    return render()


def _write(request: HTTPServerRequest, status: HTTPStatus, body: bytes) -> None:
    """Answer a request; without its body for one that asks for the head alone."""
    headers = HTTPHeaders(
        {
            "Content-Type": "text/plain; version=0.0.4; charset=utf-8",
            "Content-Length": str(len(body)),
        }
    )
    if status is HTTPStatus.METHOD_NOT_ALLOWED:
        headers["Allow"] = ", ".join(READING_METHODS)
    connection = request.connection
    assert connection is not None
    connection.write_headers(
        ResponseStartLine("", status, status.phrase),
        headers,
        b"" if request.method == "HEAD" else body,
    )
    connection.finish()


def serve_metrics(address: str, text: Callable[[], str]) -> list[HTTPServer]:
    """Serve metrics if an address is given; a process goes on without them if it is taken."""
    if not address:
        return []
    try:
        return [serve_page(address, "/metrics", lambda: (200, text()))]
    except OSError as error:
        logger.bind(address=address, reason=str(error)).error("no metrics page")
        return []


__all__ = ["serve_metrics", "serve_page"]
