"""Notice connections that are open and carry nothing any more.

Connections may fall silent for good while new ones work, and neither a reset nor the kernel tells
of it.  By itself a request that waits on one looks like a request to a slow target.  But such a
silence takes every connection that was open at its moment, so whatever came later on one of these
rules it out. In a busy process something mostly did, and a target that is merely slow is left in
peace.  In a quiet one patience alone decides, and a silence that takes only some connections is
found only there.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from waxwingglade.base import monotonic


class ConnectionTimes(Protocol):
    """When a connection was opened and when something last came on it, in seconds."""

    opened_at: float
    last_received_at: float


class WaitingConnection(ConnectionTimes, Protocol):
    """A connection on which an answer, or its next bytes, are awaited."""

    sent_at: float
    paused: bool
    ended: bool

    def fail(self, reason: str) -> None:
        """End it, so that whoever reads from it learns why."""


class WaitLimits(msgspec.Struct, frozen=True):
    """How long a silence may last.

    Parameters
    ----------
    suspect_s : float
        Seconds after which idle connections that were open at its moment are not used any more.
    end_s : float or None
        Seconds after which the waiting ends; None where it goes on, since what was sent may have
        run and must not run again.
    """

    suspect_s: float
    end_s: float | None


def unresponsive_since(waiting: ConnectionTimes, connections: Iterable[ConnectionTimes]) -> float:
    """Return the earliest moment at which all connections may have fallen silent.

    Nothing came on `waiting` after it, nor on any connection that was open at it.
    """
    lives = [each for each in connections if each.last_received_at > waiting.last_received_at]
    moment = waiting.last_received_at
    for life in sorted(lives, key=lambda each: each.last_received_at):
        if not any(each.opened_at < moment < each.last_received_at for each in lives):
            break
        moment = life.last_received_at
    return moment


class LivenessWatch:
    """Looks after a request whether its connection has fallen silent, until it is stopped.

    Parameters
    ----------
    waiting : WaitingConnection
        The request's connection.
    connections : callable
        All connections of the process, this one among them.
    patience : WaitLimits
        How long to wait.
    suspected : callable
        Called with the moment of a silence that is taken to have happened.
    """

    def __init__(
        self,
        waiting: WaitingConnection,
        connections: Callable[[], Iterable[ConnectionTimes]],
        patience: WaitLimits,
        suspected: Callable[[float], None],
    ) -> None:
        self.waiting = waiting
        self.connections = connections
        self.patience = patience
        self.suspected = suspected
        self.loop = asyncio.get_running_loop()
        self.timer = self.loop.call_later(patience.suspect_s, self._look)

    def stop(self) -> None:
        """Look no more."""
        self.timer.cancel()

    def _look(self) -> None:
        if self.waiting.ended:
            return
        now = monotonic()
        suspect_s = self.patience.suspect_s
        # Where the connection itself was heard lately, as in a stream, the others need no look.
        quiet_from = max(self.waiting.last_received_at, self.waiting.sent_at)
        if now < quiet_from + suspect_s:
            self._look_at(quiet_from + suspect_s)
            return
        moment = self._silent_since(now)
        quiet_from = max(moment, quiet_from)
        if now < quiet_from + suspect_s:
            self._look_at(quiet_from + suspect_s)
            return
        self.suspected(moment)
        end_s = self.patience.end_s
        if end_s is None:
            return
        if now < quiet_from + end_s:
            self._look_at(quiet_from + end_s)
            return
        self.waiting.fail(f"silent for {now - quiet_from:.2f} s")

    def _silent_since(self, now: float) -> float:
        """Return the moment of the silence, the present one if there is no sign of any.

        A new connection has just shown that it works, and one whose bytes are not taken at present
        can't be heard.
        """
        if self.waiting.paused or self.waiting.last_received_at == self.waiting.opened_at:
            return now
        return unresponsive_since(self.waiting, self.connections())

    def _look_at(self, when: float) -> None:
        self.timer = self.loop.call_later(when - monotonic(), self._look)


__all__ = ["LivenessWatch", "WaitLimits", "unresponsive_since"]
