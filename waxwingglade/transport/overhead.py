"""Count the bytes of a connection that are no part of the awaited response."""

MAX_OVERHEAD_BYTES = 64 * 1024
"""Bytes that may arrive without any part of a response: of its head, of interim responses, and
around the pieces of its body."""

MAX_OVERHEAD_S = 1.0
"""Seconds for which bytes may go on arriving without any part of the awaited response."""

MAX_GAP_S = 0.25
"""Greatest time in seconds between two receptions that counts; in longer ones the peer pauses."""


class Overhead:
    """Bytes received on a connection since the last part of the awaited response.

    Attributes
    ----------
    size : int
        Number of bytes.
    seconds : float
        Time for which they went on arriving, without pauses of the peer.
    received : bool
        Whether any were received.
    received_at : float
        When they last arrived, in monotonic seconds.
    """

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Start anew, as a part of the response arrived."""
        self.size = 0
        self.seconds = 0.0
        self.received = False
        self.received_at = float("inf")

    def add(self, size: int, now: float) -> None:
        """Count received bytes."""
        self.received = True
        self.size += size
        if 0.0 <= now - self.received_at <= MAX_GAP_S:
            self.seconds += now - self.received_at
        self.received_at = now

    @property
    def exceeds_limits(self) -> bool:
        """Whether more bytes arrived, or for longer, than a sound peer sends."""
        return self.size > MAX_OVERHEAD_BYTES or self.seconds > MAX_OVERHEAD_S


__all__ = ["MAX_GAP_S", "MAX_OVERHEAD_BYTES", "MAX_OVERHEAD_S", "Overhead"]
