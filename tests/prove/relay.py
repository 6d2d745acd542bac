"""TCP relays between entries, and to the store, so that a test can inject network faults.

Peers reach each entry through a relay of its own.  A relay reads from ``/proc`` which process a
connection comes from, so a fault can affect one pair of entries, or a single direction.
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from enum import Enum
from pathlib import Path

CHUNK_BYTES = 65_536
TABLE_LINE_BYTES = 150
ADDRESS = "127.0.0.1"
DELAY_S = 0.15
"""Delay in seconds of a delaying relay; fifty times the round trip between zones."""
STORE = 100
"""Number by which relays identify the store; entries are numbered from 0."""


LINGER_0_S = struct.pack("ii", 1, 0)
"""Value of the socket option SO_LINGER with which a close is a reset."""


class LinkFault(Enum):
    """How a relay disturbs connections."""

    RESET = "reset"
    """Open connections are reset, and new ones are reset at once."""

    STALL = "stall"
    """Bytes are buffered, and delivered when the fault ends."""

    DELAY = "delay"
    """Bytes are delivered `DELAY_S` seconds late."""


class Relays:
    """The relays of a cluster.

    Parameters
    ----------
    pids : callable
        Returns the process id of each entry, by its number.

    Attributes
    ----------
    blackhole_next : bool
        Whether the next connection is blackholed as soon as it is opened.
    passes_resets : bool
        Whether a reset by one end reaches the other end as a reset, not as a close.
    """

    def __init__(self, pids: Callable[[], dict[int, int]]) -> None:
        self.pids = pids
        self.servers: list[asyncio.Server] = []
        self.link_faults: dict[tuple[int, int], LinkFault] = {}
        self.changed = asyncio.Event()
        self.open: dict[tuple[int, int], set[asyncio.StreamWriter]] = {}
        self.blackholed: set[asyncio.StreamWriter] = set()
        self.blackhole_next = False
        self.passes_resets = False
        self.tasks: set[asyncio.Task] = set()

    async def add(
        self, number: int, target_port: int, source: int | None = None, host: str = ADDRESS
    ) -> int:
        """Open a relay to an entry or the store and return its port.

        `source` is the number of the process that connects; if None, it is determined for each
        connection.
        """

        async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self.tasks.add(task)
            # Only `close` cancels these tasks; asyncio would report each as an error.
            with contextlib.suppress(asyncio.CancelledError):
                origin = self._origin(writer) if source is None else source
                if origin is None:
                    # No fault could be applied to a connection of unknown origin.  The peer
                    # reconnects, and /proc/net/tcp, which may omit lines while it is read, is
                    # read again.
                    writer.transport.abort()
                else:
                    await self._relay((origin, number), (host, target_port), reader, writer)
            self.tasks.discard(task)

        server = await asyncio.start_server(relay, ADDRESS, 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def close_port(self, port: int) -> None:
        """Stop listening on a relay's port, like a host on which nobody listens any more."""
        for server in self.servers:
            if any(each.getsockname()[1] == port for each in server.sockets):
                server.close()

    def disrupt(self, source: int, target: int, fault: LinkFault) -> None:
        """Disturb what `source` sends to `target`; RESET affects both directions."""
        self.link_faults[source, target] = fault
        self._notify_change()
        if fault is LinkFault.RESET:
            for writer in self.open.get((source, target), set()).copy():
                writer.transport.abort()

    def blackhole(self, source: int | None = None, target: int | None = None) -> None:
        """Discard permanently all data on connections that are open now.

        This affects all open connections, or those from a source to a target.  Neither end sees the
        other one close, and new connections work.  A network device that loses its table of
        connections has the same effect.
        """
        for pair, writers in self.open.items():
            if source in (None, pair[0]) and target in (None, pair[1]):
                self.blackholed |= writers

    def heal(self, number: int) -> None:
        """End the faults on all links of an entry, in both directions."""
        self.link_faults = {
            pair: fault for pair, fault in self.link_faults.items() if number not in pair
        }
        self._notify_change()

    async def close(self) -> None:
        """Close every connection and port."""
        for server in self.servers:
            server.close()
        for task in self.tasks.copy():
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _notify_change(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _relay(
        self,
        pair: tuple[int, int],
        target: tuple[str, int],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.link_faults.get(pair) is LinkFault.RESET:
            writer.transport.abort()
            return
        try:
            answers, requests = await asyncio.open_connection(*target)
        except OSError:
            writer.transport.abort()
            return
        both = {writer, requests}
        opened = self.open.setdefault(pair, set())
        opened |= both
        if self.blackhole_next:
            self.blackhole_next = False
            self.blackholed |= both
        forward = asyncio.create_task(self._pump(reader, requests, pair))
        back = asyncio.create_task(self._pump(answers, writer, (pair[1], pair[0])))
        try:
            await asyncio.wait([forward, back], return_when=asyncio.FIRST_COMPLETED)
        finally:
            opened -= both
            self.blackholed -= both
            for end in both:
                end.transport.abort()
            for task in (forward, back):
                task.cancel()
            await asyncio.gather(forward, back, return_exceptions=True)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: tuple[int, int]
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                while self.link_faults.get(direction) is LinkFault.STALL:
                    await self.changed.wait()
                if self.link_faults.get(direction) is LinkFault.DELAY:
                    await asyncio.sleep(DELAY_S)
                if writer not in self.blackholed:
                    writer.write(data)
                    await writer.drain()
        except ConnectionResetError:
            if self.passes_resets:
                close_by_reset(writer)
        except OSError:
            pass
        if writer in self.blackholed:
            await asyncio.get_running_loop().create_future()

    def _origin(self, writer: asyncio.StreamWriter) -> int | None:
        """Return the entry that a connection comes from, or None if it is unknown."""
        inode = _inode_of(writer.get_extra_info("peername")[1])
        for number, pid in self.pids().items():
            if inode in _socket_inodes(pid):
                return number
        return None


def close_by_reset(writer: asyncio.StreamWriter) -> None:
    """Let a connection be closed by a reset, which discards what its peer has not read."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0_S)


def _inode_of(port: int) -> str:
    """Return the inode of the local socket that has a port, or an empty string."""
    table = Path("/proc/net/tcp").read_bytes()
    # The first address of a line is the local one.  The inode is the tenth field of a line.
    start = table.find(b": 0100007F:%04X " % port)
    return table[start : start + TABLE_LINE_BYTES].split()[9].decode() if start >= 0 else ""


def _socket_inodes(pid: int) -> set[str]:
    found = set()
    with contextlib.suppress(OSError):
        for link in Path(f"/proc/{pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                found.add(str(link.readlink()).removeprefix("socket:[").removesuffix("]"))
    return found
