"""A reserved port is given to only one process, which can listen there."""

import contextlib
import socket
import unittest
from unittest import mock

import zmq
from tornado.netutil import bind_sockets

from tests.ports import ReservedPorts

ADDRESS = "127.0.0.1"


class Reservations(unittest.TestCase):
    def setUp(self):
        self.ports = ReservedPorts()
        self.addCleanup(self.ports.close)

    def test_a_port_is_not_reserved_twice(self):
        first = self.ports.reserve()
        next_port = first + 1
        with contextlib.closing(ReservedPorts()) as other_reservations:
            for ports in (self.ports, other_reservations):
                with self.subTest(same=ports is self.ports):
                    ports.random = mock.Mock()
                    ports.random.randrange.side_effect = [first, next_port]
                    self.assertEqual(next_port, ports.reserve())
                next_port += 1

    def test_an_http_server_can_listen_at_a_reserved_port(self):
        (server,) = bind_sockets(self.ports.reserve(), ADDRESS)
        with server, socket.create_connection(server.getsockname()):
            pass

    def test_a_message_socket_can_listen_at_a_reserved_port(self):
        with zmq.Context() as context, context.socket(zmq.ROUTER) as router:
            router.bind(f"tcp://{ADDRESS}:{self.ports.reserve()}")

    def test_a_closed_reservation_releases_the_port(self):
        port = self.ports.reserve()
        self.ports.close()
        with socket.socket() as unrelated:
            unrelated.bind((ADDRESS, port))
