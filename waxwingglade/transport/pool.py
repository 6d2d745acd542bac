"""A pool of reusable connections to targets, by address."""

import asyncio
import weakref
from collections import Counter, defaultdict

import msgspec
from loguru import logger

from waxwingglade.base import monotonic
from waxwingglade.base.tasks import start_task
from waxwingglade.transport.http1 import Http1Connection, open_connection
from waxwingglade.transport.liveness import LivenessWatch, WaitLimits
from waxwingglade.transport.messages import HttpRequest, HttpResponse
from waxwingglade.transport.probe import Finding, ProbeResult, probe

DEFAULT_IDLE_S = 2.0
"""Seconds for which an idle connection is reused if the target does not state its timeout."""

SAME_MOMENT_S = 0.1
"""Greatest difference in seconds between the ends of the connections of a process that ended.  All
of them are received within a round trip; the event loop may be busy meanwhile."""

IDLE_MARGIN_S = 0.5
"""Seconds before the stated timeout at which a connection is no longer used, so that the target
does not close it while a request is in transit."""

WITNESS_S = 3.0
"""Seconds for which a connection that is suspected to be unresponsive is retained for a probe."""


class Siblings(msgspec.Struct, frozen=True):
    """The other connections to a peer at the moment at which one of them broke.

    Parameters
    ----------
    open : int
        Number of connections that are open.  The peer runs if one of them is in use again later.
    lost : int
        Number of connections that the peer or the network ended at the same moment.
    """

    open: int
    lost: int


class Inactivity(msgspec.Struct, frozen=True):
    """How long a connection had received nothing when its request failed.

    Parameters
    ----------
    seconds : float
        Seconds since bytes last arrived on it, or since its request was sent.
    others : int
        Number of other connections of the pool on which bytes arrived meanwhile.
    """

    seconds: float
    others: int


class ConnectionPool:
    """Idle connections of one process; the most recently used is reused first.

    Parameters
    ----------
    connect_timeout_s : float
        Seconds to wait for a new connection.

    Attributes
    ----------
    opened : int
        Connections opened since the start.
    connections : WeakSet of Http1Connection
        All connections, idle and in use.
    witnesses : dict
        By address, a suspected idle connection on which a probe can tell whether it still works.
    findings : Counter
        Number of probes by their finding.
    found_dead : dict
        By address, the last result that open connections are dead, and when its probe began, in
        monotonic seconds.
    """

    def __init__(self, connect_timeout_s: float) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.idle: defaultdict[str, list[Http1Connection]] = defaultdict(list)
        self.idle_limits_s: dict[str, float] = {}
        self.opened = 0
        self.connections: weakref.WeakSet[Http1Connection] = weakref.WeakSet()
        self.watches: dict[Http1Connection, LivenessWatch] = {}
        self.witnesses: dict[str, Http1Connection] = {}
        self.probes: dict[str, asyncio.Task[ProbeResult]] = {}
        self.findings: Counter[Finding] = Counter()
        self.found_dead: dict[str, tuple[ProbeResult, float]] = {}

    async def acquire(self, address: str) -> Http1Connection:
        """Return an idle connection, or a new one.

        Raises
        ------
        NotConnected
            If no connection can be opened.
        """
        connections = self.idle[address]
        limit_s = self.idle_limits_s.get(address, DEFAULT_IDLE_S)
        now = monotonic()
        while connections:
            connection = connections.pop()
            if connection.usable and now - connection.idle_since < limit_s:
                return connection
            connection.close()
        self.opened += 1
        connection = await open_connection(address, self.connect_timeout_s)
        self.connections.add(connection)
        return connection

    def release(self, address: str, connection: Http1Connection) -> None:
        """Store a connection as idle if its response was read to its end; otherwise close it."""
        if watch := self.watches.pop(connection, None):
            watch.stop()
        if connection.in_use or not connection.usable:
            connection.close()
            return
        self.idle[address].append(connection)

    def record_idle_timeout(self, address: str, head: HttpResponse) -> None:
        """Record how long a target keeps idle connections open, if its response states that."""
        stated = head.header("Keep-Alive")
        if stated is None:
            return
        for part in stated.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                self.idle_limits_s[address] = max(0.0, int(value) - IDLE_MARGIN_S)

    def watch(self, connection: Http1Connection, limits: WaitLimits) -> None:
        """Check whether a connection is unresponsive, until it is released.

        If it is, the idle connections that were open when it became so and have received nothing
        since are closed, and this one fails with `Unresponsive` if `limits.end_s` is not None and,
        where `limits.probe` is given, a probe finds it dead.
        """
        self.watches[connection] = LivenessWatch(
            connection,
            lambda: self.connections,
            limits,
            self._drop_unresponsive,
            lambda: self._probe(connection, limits.probe),
        )

    def finding_of(self, connection: Http1Connection) -> Finding | None:
        """Return what the last probe found for the request that waits on a connection."""
        watch = self.watches.get(connection)
        return watch.finding if watch else None

    def siblings_of(self, connection: Http1Connection) -> Siblings:
        """Return how the other connections to the peer of a broken connection fare."""
        others = [
            other
            for other in self.connections
            if other.address == connection.address and other is not connection
        ]
        broke_at = connection.lost_at or monotonic()
        lost = [other.lost_at for other in others if other.lost_at is not None]
        return Siblings(
            open=sum(not other.ended for other in others),
            lost=sum(abs(lost_at - broke_at) <= SAME_MOMENT_S for lost_at in lost),
        )

    def shows_life(self, address: str, since: float, is_silent: bool) -> bool:
        """Return whether a peer has not ended at a moment.

        It was heard after the moment on any connection or, unless it may be silent, a connection to
        it is open.
        """
        return any(
            each.last_received_at > max(since, each.opened_at) or not (is_silent or each.ended)
            for each in self.connections
            if each.address == address
        )

    def is_silent(self, connection: Http1Connection, at_least_s: float) -> bool:
        """Return whether the peer of a connection in use has sent nothing for a while.

        Nothing arrived on this connection for `at_least_s` seconds or longer, and nothing on any
        other one in the second half of that time.
        """
        now = monotonic()
        silent_s = now - max(connection.last_received_at, connection.sent_at)
        if silent_s < at_least_s:
            return False
        return not self.shows_life(connection.address, now - silent_s / 2, is_silent=True)

    def inactivity_of(self, connection: Http1Connection) -> Inactivity:
        """Return how long a connection has received nothing, and how many others have."""
        since = max(connection.last_received_at, connection.sent_at)
        others = sum(other.last_received_at > since for other in self.connections)
        return Inactivity(monotonic() - since, others)

    def _drop_unresponsive(self, moment: float) -> None:
        """Close the idle connections that were open at `moment` and have received nothing since.

        Of each address at which a request waits that is to be probed, the one that was heard last
        is retained.
        """
        dropped = 0
        probed = {
            connection.address
            for connection, watch in self.watches.items()
            if watch.limits.probe is not None
        }
        for address, connections in list(self.idle.items()):
            retained = []
            for connection in connections:
                if connection.opened_at < moment and connection.last_received_at <= moment:
                    dropped += 1
                    if address in probed:
                        self._retain_witness(address, connection)
                    else:
                        connection.close()
                else:
                    retained.append(connection)
            self.idle[address] = retained
        if dropped:
            unresponsive_s = monotonic() - moment
            logger.bind(dropped=dropped, silent_s=round(unresponsive_s, 2)).warning(
                "idle connections dropped"
            )

    def _retain_witness(self, address: str, connection: Http1Connection) -> None:
        """Retain the connection or the present witness, whichever was heard last."""
        present = self.witnesses.get(address)
        if present is not None and present.usable:
            older, connection = sorted(
                (present, connection), key=lambda each: each.last_received_at
            )
            older.close()
        self.witnesses[address] = connection

    def _take_witness(self, waiting: Http1Connection) -> Http1Connection | None:
        """Return the open connection without a request that was heard last, or None.

        It was open when `waiting` was last heard: a later one may have been opened after the others
        died, and tells nothing of them.
        """
        address = waiting.address
        witness = self.witnesses.get(address)
        idle = self.idle.get(address, [])
        candidates = [
            each
            for each in (witness, *idle)
            if each is not None and each.usable and each.opened_at <= waiting.last_received_at
        ]
        if not candidates:
            return None
        chosen = max(candidates, key=lambda each: each.last_received_at)
        if chosen in idle:
            idle.remove(chosen)
        if witness is not None and witness is not chosen:
            witness.close()
        self.witnesses.pop(address, None)
        return chosen

    async def _probe(self, waiting: Http1Connection, request: HttpRequest | None) -> ProbeResult:
        """Probe the connections to an address; requests that ask meanwhile share the result.

        So do requests whose connections have received nothing since a probe that found those of
        its time dead: no other one of them is left to ask on.
        """
        assert request is not None
        address = waiting.address
        if address in self.found_dead:
            result, began_at = self.found_dead[address]
            if result.is_dead(waiting.opened_at) and waiting.last_received_at < began_at:
                return result
        if address not in self.probes:
            task = self.probes[address] = start_task(self._probe_once(waiting, request))
            task.add_done_callback(lambda _: self.probes.pop(address, None))
        return await asyncio.shield(self.probes[address])

    async def _probe_once(self, waiting: Http1Connection, request: HttpRequest) -> ProbeResult:
        address = waiting.address
        witness = self._take_witness(waiting)
        began_at = monotonic()
        if witness is None:
            result, reusable = ProbeResult(Finding.NO_WITNESS), []
        else:
            self.opened += 1
            result, reusable = await probe(witness, request, self.connect_timeout_s)
        self.findings[result.finding] += 1
        for connection in reusable:
            self.connections.add(connection)
            self.idle[address].append(connection)
        if result.finding is Finding.DEAD:
            self.found_dead[address] = result, began_at
            logger.bind(address=address).warning("open connections are dead")
        return result

    def close_expired(self) -> None:
        """Close connections that have been idle for longer than their limit."""
        now = monotonic()
        for address, witness in list(self.witnesses.items()):
            if not witness.usable or now - witness.last_received_at > WITNESS_S:
                witness.close()
                del self.witnesses[address]
        for address, connections in list(self.idle.items()):
            limit_s = self.idle_limits_s.get(address, DEFAULT_IDLE_S)
            retained = []
            for connection in connections:
                if connection.usable and now - connection.idle_since < limit_s:
                    retained.append(connection)
                else:
                    connection.close()
            if retained:
                self.idle[address] = retained
            else:
                del self.idle[address]

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self.idle.pop(address, []):
            connection.close()
        if witness := self.witnesses.pop(address, None):
            witness.close()
        self.found_dead.pop(address, None)

    def close(self) -> None:
        """Close every idle connection, and end all probes."""
        for address in [*self.idle, *self.witnesses]:
            self.close_idle(address)
        for task in self.probes.values():
            task.cancel()


__all__ = ["ConnectionPool", "Inactivity", "Siblings"]
