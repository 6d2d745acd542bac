"""A single page of text over HTTP, for the balancer and for metrics."""

from collections.abc import Callable

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

Render = Callable[[], tuple[int, str]]


class _Page(RequestHandler):
    def initialize(self, render: Render) -> None:
        self.render_page = render

    def get(self) -> None:
        status, text = self.render_page()
        self.set_status(status)
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(text)


def serve_page(address: str, path: str, render: Render) -> HTTPServer:
    """Serve status and text from `render` at a path of ``IP:PORT``; `OSError` if it is taken."""
    application = Application([(path, _Page, {"render": render})], log_function=lambda _: None)
    server = HTTPServer(application)
    host, _, port = address.rpartition(":")
    server.add_sockets(bind_sockets(int(port), host))
    return server


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
