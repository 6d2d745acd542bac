"""Detect open connections on which no bytes arrive any more.

Open connections may stop carrying bytes permanently while new ones work, and neither a reset nor
the kernel reports it.  A request that waits on such a connection looks like a request to a slow
target.  But a fault of this kind affects every connection that is open at that moment, so bytes
that arrive later on one of them rule it out.  In a busy process some bytes almost always do, and a
request to a target that is merely slow continues.  In an idle process the time without bytes alone
decides.  Only there can a fault be detected that affects just some of the connections.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from waxwingglade.base import monotonic


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
    """

    suspect_s: float
    end_s: float | None


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
    """

    def __init__(
        self,
        waiting: WaitingConnection,
        connections: Callable[[], Iterable[ConnectionTimes]],
        limits: WaitLimits,
        suspected: Callable[[float], None],
    ) -> None:
        self.waiting = waiting
        self.connections = connections
        self.limits = limits
        self.suspected = suspected
        self.loop = asyncio.get_running_loop()
        self.timer = self.loop.call_later(limits.suspect_s, self._check)

    def stop(self) -> None:
        """Cancel further checks."""
        self.timer.cancel()

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
        if now < idle_from + end_s:
            self._check_at(idle_from + end_s)
            return
        self.waiting.fail(f"silent for {now - idle_from:.2f} s")

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
