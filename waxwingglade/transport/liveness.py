"""Detect open connections on which no bytes arrive any more.

Open connections may stop carrying bytes permanently while new ones work, and neither a reset nor
the kernel reports it.  A request that waits on such a connection looks like a request to a slow
target.  But a fault of this kind affects every connection that is open at that moment, so bytes
that arrive later on one of them rule it out.  In a busy process some bytes almost always do, and a
request to a target that is merely slow continues.  In an idle process the time without bytes alone
decides, or a probe where no other connection is tried afterwards.  Only there can a fault be
detected that affects just some of the connections.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import msgspec

from waxwingglade.base import monotonic
from waxwingglade.base.tasks import start_task
from waxwingglade.transport.messages import HttpRequest
from waxwingglade.transport.probe import Finding, ProbeResult

PROBE_LEAD_S = 0.3
"""Seconds before the end of its time at which a connection that is ended only if a probe finds it
dead is probed, so that the finding is there by then."""

PROBE_INTERVAL_S = 1.0
"""Seconds between probes of a connection that is not found to be dead."""


class ConnectionTimes(Protocol):
    """When a connection was opened and when bytes last arrived on it, in seconds."""

    opened_at: float
    last_received_at: float


class WaitingConnection(ConnectionTimes, Protocol):
    """A connection on which an answer, or its next bytes, are awaited."""

    sent_at: float
    paused: bool
    ended: bool

    def fail(self, reason: str) -> None:
        """Close it, so that its reader gets an error with the reason."""


class WaitLimits(msgspec.Struct, frozen=True):
    """How long a connection may be unresponsive.

    Parameters
    ----------
    suspect_s : float
        Seconds without bytes after which the connection is suspected to be unresponsive, together
        with the idle connections that were open during that time.
    end_s : float or None
        Seconds without bytes after which the request fails; None if it waits on, since it may have
        run and must not run again.
    probe : HttpRequest or None
        Request that a target answers without running anything.  If given, the request fails only
        if a probe with it finds that the connection is dead, since no other one is tried after it.
    """

    suspect_s: float
    end_s: float | None
    probe: HttpRequest | None = None


def unresponsive_since(waiting: ConnectionTimes, connections: Iterable[ConnectionTimes]) -> float:
    """Return the earliest moment at which all connections may have become unresponsive.

    Since that moment, no bytes have arrived on `waiting` or on any connection that was open at it.
    """
    later = [each for each in connections if each.last_received_at > waiting.last_received_at]
    moment = waiting.last_received_at
    for times in sorted(later, key=lambda each: each.last_received_at):
        if not any(each.opened_at < moment < each.last_received_at for each in later):
            break
        moment = times.last_received_at
    return moment


class LivenessWatch:
    """Checks whether the connection of a request is unresponsive, until it is stopped.

    Parameters
    ----------
    waiting : WaitingConnection
        The request's connection.
    connections : callable
        All connections of the process, this one among them.
    limits : WaitLimits
        How long to wait.
    suspected : callable
        Called with the moment since which connections are suspected to be unresponsive.
    probe : callable
        Sends `limits.probe` to the target, on an idle connection and on a new one.

    Attributes
    ----------
    finding : Finding or None
        What the last probe found.
    """

    def __init__(
        self,
        waiting: WaitingConnection,
        connections: Callable[[], Iterable[ConnectionTimes]],
        limits: WaitLimits,
        suspected: Callable[[float], None],
        probe: Callable[[], Awaitable[ProbeResult]],
    ) -> None:
        self.waiting = waiting
        self.connections = connections
        self.limits = limits
        self.suspected = suspected
        self.probe = probe
        self.finding: Finding | None = None
        self.probing: asyncio.Task[None] | None = None
        self.loop = asyncio.get_running_loop()
        self.timer = self.loop.call_later(limits.suspect_s, self._check)

    def stop(self) -> None:
        """Cancel further checks."""
        self.timer.cancel()
        if self.probing is not None:
            self.probing.cancel()

    def _check(self) -> None:
        if self.waiting.ended:
            return
        now = monotonic()
        suspect_s = self.limits.suspect_s
        # If bytes arrived on the connection itself recently, as in a stream, the other connections
        # need no check.
        idle_from = max(self.waiting.last_received_at, self.waiting.sent_at)
        if now < idle_from + suspect_s:
            self._check_at(idle_from + suspect_s)
            return
        moment = self._unresponsive_since(now)
        idle_from = max(moment, idle_from)
        if now < idle_from + suspect_s:
            self._check_at(idle_from + suspect_s)
            return
        self.suspected(moment)
        end_s = self.limits.end_s
        if end_s is None:
            return
        ends_at = idle_from + end_s
        if self.limits.probe is not None:
            probe_at = max(idle_from + suspect_s, ends_at - PROBE_LEAD_S)
            if now < probe_at:
                self._check_at(probe_at)
            else:
                self.probing = start_task(self._probe(idle_from, ends_at))
            return
        if now < ends_at:
            self._check_at(ends_at)
            return
        self.waiting.fail(f"silent for {now - idle_from:.2f} s")

    async def _probe(self, idle_from: float, ends_at: float) -> None:
        """End the request at a moment if the connection is dead; otherwise check again later."""
        result = await self.probe()
        self.finding = result.finding
        if not result.is_dead(self.waiting.opened_at):
            self._check_at(monotonic() + PROBE_INTERVAL_S)
            return
        await asyncio.sleep(max(0.0, ends_at - monotonic()))
        if self.waiting.ended or self.waiting.last_received_at > idle_from:
            self._check()
            return
        self.waiting.fail(f"silent for {monotonic() - idle_from:.2f} s: {result.finding.value}")

    def _unresponsive_since(self, now: float) -> float:
        """Return since when connections may be unresponsive, or `now` if nothing indicates it.

        A new connection has just shown that it works, and no bytes can be received on one whose
        reading is paused.
        """
        if self.waiting.paused or self.waiting.last_received_at == self.waiting.opened_at:
            return now
        return unresponsive_since(self.waiting, self.connections())

    def _check_at(self, when: float) -> None:
        self.timer = self.loop.call_later(when - monotonic(), self._check)


__all__ = ["LivenessWatch", "WaitLimits", "unresponsive_since"]
