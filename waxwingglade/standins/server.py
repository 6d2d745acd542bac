"""HTTP server of the stand-ins."""

from typing import Any

import tornado.httpserver
import tornado.netutil
import tornado.web

LOOPBACK = "127.0.0.1"
BODY_BYTES = 100_000_000


class StandinServer:
    """A server on a loopback port; `url` is set when it listens."""

    def __init__(self, routes: list[tuple[str, type, dict[str, Any]]]) -> None:
        application = tornado.web.Application(routes, log_function=log_nothing)
        self.server = tornado.httpserver.HTTPServer(application, max_body_size=BODY_BYTES)
        self.url = ""

    def start(self, port: int = 0) -> None:
        """Listen; port 0 selects a free one."""
        self.url = f"http://{LOOPBACK}:{listen(self.server, port)}"

    async def stop(self) -> None:
        """Close the port and all connections."""
        self.server.stop()
        await self.server.close_all_connections()


def listen(server: tornado.httpserver.HTTPServer, port: int) -> int:
    """Start to listen on the loopback address, and return the port."""
    sockets = tornado.netutil.bind_sockets(port, LOOPBACK)
    server.add_sockets(sockets)
    return sockets[0].getsockname()[1]


def log_nothing(_handler: tornado.web.RequestHandler) -> None:
    """Suppress request logs, since tests provoke many refusals."""


__all__ = ["LOOPBACK", "StandinServer", "listen", "log_nothing"]
