"""Metrics that are computed from the state of the entry when they are scraped."""

from weakref import WeakKeyDictionary

from waxwingglade.base import Epoch, LogId
from waxwingglade.connection.http_api import ApiHandler, Route
from waxwingglade.connection.peer import PeerLink, PeerServer
from waxwingglade.process.entry import Entry

FIRST_EPOCH = 1


class MetricsCollector:
    """Updates metrics when they are scraped.

    It remembers the last values, so that counters grow by the difference.

    Parameters
    ----------
    entry : Entry
        The process.
    server : PeerServer
        The socket for peers.
    """

    def __init__(self, entry: Entry, server: PeerServer) -> None:
        self.entry = entry
        self.server = server
        self.counted_bytes: WeakKeyDictionary[PeerServer | PeerLink, tuple[int, int]] = (
            WeakKeyDictionary()
        )
        self.counted_takeovers: set[tuple[LogId, Epoch]] = set()

    def refresh(self) -> None:
        """Update the metrics from the state of the entry."""
        entry, metrics = self.entry, self.entry.metrics
        for purpose, calls in entry.store.calls_by_purpose.items():
            metrics.store_calls.set({"purpose": purpose.value}, calls)
        self._count_takeovers()
        for connection in (self.server, *entry.links.links.values()):
            self._count_bytes(connection)
        states = [state for owned in entry.owned.values() for state in owned.programs.values()]
        ended = sum(state.ended is not None for state in states)
        metrics.programs.set({"state": "open"}, len(states) - ended)
        metrics.programs.set({"state": "ended"}, ended)
        metrics.config_version.set({}, entry.config.current.version)
        alive = sum(entry.members.alive(peer.ref) for peer in entry.members.peers.values())
        metrics.peers.set({}, alive)

    def _count_takeovers(self) -> None:
        """Count new logs whose epoch shows that another entry owned them before."""
        owned = {(each.log, each.epoch) for each in self.entry.owned.values()}
        taken_over = {(log, epoch) for log, epoch in owned if epoch > FIRST_EPOCH}
        self.entry.metrics.takeovers.add({}, len(taken_over - self.counted_takeovers))
        self.counted_takeovers = taken_over | self.counted_takeovers

    def _count_bytes(self, connection: PeerServer | PeerLink) -> None:
        sent, received = self.counted_bytes.get(connection, (0, 0))
        self.counted_bytes[connection] = (connection.bytes_sent, connection.bytes_received)
        counter = self.entry.metrics.peer_bytes
        counter.add({"direction": "sent"}, connection.bytes_sent - sent)
        counter.add({"direction": "received"}, connection.bytes_received - received)


def metrics_route(collector: MetricsCollector) -> Route:
    """Return ``/metrics``, a route that needs no key; it names tenants and classes, no programs."""

    async def get(handler: ApiHandler) -> None:
        collector.refresh()
        accept = handler.request.headers.get("Accept", "text/plain")
        body, headers = collector.entry.metrics.render(accept)
        for name, value in headers.items():
            handler.set_header(name, value)
        handler.finish(body)

    return Route(r"/metrics", {"GET": get}, public=True)
