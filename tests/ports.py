"""Ports for the processes that a test starts."""

import random
import socket

PORTS = (12_000, 30_000)
"""Range below the ephemeral ports, any of which an outgoing connection may occupy."""


class ReservedPorts:
    """Ports that are reserved until they are closed.

    Each reserved port stays bound, since a port that was only found to be free may be drawn again
    before its process listens.  Two entries of one cluster then use the same port, and the second
    fails to start; without reservations, one of 650 clusters with eight ports drew a port twice.
    The socket is bound without ``SO_REUSEADDR``, so that no other reservation succeeds.  The option
    is set afterwards, so that the process can listen at the port.

    Parameters
    ----------
    address : str
        Loopback address that the ports are reserved at.
    """

    def __init__(self, address: str = "127.0.0.1") -> None:
        self.address = address
        self.sockets: list[socket.socket] = []
        self.random = random.SystemRandom()

    def reserve(self) -> int:
        """Return a free port, and keep it reserved."""
        while True:
            port = self.random.randrange(*PORTS)
            reserved = socket.socket()
            try:
                reserved.bind((self.address, port))
            except OSError:
                reserved.close()
                continue
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sockets.append(reserved)
            return port

    def close(self) -> None:
        """Release the ports."""
        for reserved in self.sockets:
            reserved.close()
        self.sockets.clear()
