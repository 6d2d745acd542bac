"""Metrics that are read off the entry's state when somebody asks for them."""

from weakref import WeakKeyDictionary

from waxwingglade.base import Epoch, LogId
from waxwingglade.connection.http_api import ApiHandler, Route
from waxwingglade.connection.peer import PeerLink, PeerServer
from waxwingglade.process.entry import Entry

FIRST_EPOCH = 1


class MetricsCollector:
    """What was read last, so that counters rise by what is new.

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
        self.bytes_seen: WeakKeyDictionary[PeerServer | PeerLink, tuple[int, int]] = (
            WeakKeyDictionary()
        )
        self.gained: set[tuple[LogId, Epoch]] = set()

    def refresh(self) -> None:
        """Bring the metrics up to date."""
        entry, metrics = self.entry, self.entry.metrics
        for purpose, calls in entry.store.calls_by_purpose.items():
            metrics.store_calls.set({"purpose": purpose.value}, calls)
        self._count_takeovers()
        for end in (self.server, *entry.links.links.values()):
            self._count_bytes(end)
        states = [state for owned in entry.owned.values() for state in owned.programs.values()]
        ended = sum(state.ended is not None for state in states)
        metrics.programs.set({"state": "open"}, len(states) - ended)
        metrics.programs.set({"state": "ended"}, ended)
        metrics.config_version.set({}, entry.config.current.version)
        alive = sum(entry.members.alive(peer.ref) for peer in entry.members.peers.values())
        metrics.peers.set({}, alive)

    def _count_takeovers(self) -> None:
        """Count logs whose epoch shows that another entry owned them before."""
        owned = {(each.log, each.epoch) for each in self.entry.owned.values()}
        gained = {(log, epoch) for log, epoch in owned if epoch > FIRST_EPOCH}
        self.entry.metrics.takeovers.add({}, len(gained - self.gained))
        self.gained = gained | self.gained

    def _count_bytes(self, end: PeerServer | PeerLink) -> None:
        sent, received = self.bytes_seen.get(end, (0, 0))
        self.bytes_seen[end] = (end.bytes_sent, end.bytes_received)
        counter = self.entry.metrics.peer_bytes
        counter.add({"direction": "sent"}, end.bytes_sent - sent)
        counter.add({"direction": "received"}, end.bytes_received - received)


def metrics_route(scrape: MetricsCollector) -> Route:
    """Return ``/metrics``; it needs no key, and names tenants and classes but no program."""

    async def get(handler: ApiHandler) -> None:
        scrape.refresh()
        accept = handler.request.headers.get("Accept", "text/plain")
        body, headers = scrape.entry.metrics.render(accept)
        for name, value in headers.items():
            handler.set_header(name, value)
        handler.finish(body)

    return Route(r"/metrics", {"GET": get}, open=True)
