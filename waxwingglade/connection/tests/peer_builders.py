"""A peer that sends messages without end."""

import contextlib
import multiprocessing
from collections.abc import Iterator
from multiprocessing.process import BaseProcess

import zmq


@contextlib.contextmanager
def flooding(pattern: int, endpoint: str, frame: bytes) -> Iterator[BaseProcess]:
    """Run a process whose socket sends a message without end to an endpoint.

    Parameters
    ----------
    pattern : int
        ``zmq.DEALER`` to send to a server, or ``zmq.ROUTER`` to answer the first request that
        arrives at the endpoint.
    endpoint : str
        Endpoint to connect to, or for ``zmq.ROUTER`` to bind.
    frame : bytes
        The message.
    """
    process = multiprocessing.get_context("spawn").Process(
        target=send_without_end, args=(pattern, endpoint, frame), daemon=True
    )
    process.start()
    try:
        yield process
    finally:
        process.kill()
        process.join()


def send_without_end(pattern: int, endpoint: str, frame: bytes) -> None:
    """Send a message as fast as it is read."""
    socket = zmq.Context().socket(pattern)
    message = [frame]
    if pattern == zmq.ROUTER:
        socket.bind(endpoint)
        message = [socket.recv_multipart()[0], frame]
        socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
    else:
        socket.connect(endpoint)
    while True:
        socket.send_multipart(message)
