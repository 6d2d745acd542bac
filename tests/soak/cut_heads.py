"""Servers of a soak run that close in the middle of the head of an answer."""

import asyncio
import random
from enum import Enum

import msgspec

from tests.prove.relay import close_by_reset

DELIVERED_S = 0.02
"""Seconds within which the bytes before a reset are delivered, since a reset discards others."""


class Place(Enum):
    """Part of the head in which it ends."""

    STATUS_LINE = "status line"
    HEADER = "header"
    BLANK_LINE = "before the blank line"


class HeadCut(msgspec.Struct, frozen=True):
    """How a server closes within a head.

    Parameters
    ----------
    position : float
        Position within the place, from 0 to 1.
    resets : bool
        Whether it resets the connection.
    """

    place: Place
    position: float
    resets: bool

    def part_of(self, head: bytes) -> bytes:
        """Return the part of a complete head that is sent."""
        first_end = head.index(b"\r\n")
        begin, end = {
            Place.STATUS_LINE: (1, first_end),
            Place.HEADER: (first_end, len(head) - 4),
            Place.BLANK_LINE: (len(head) - 2, len(head) - 2),
        }[self.place]
        return head[: begin + int(self.position * (end - begin))]


def draw_cut(rng: random.Random) -> HeadCut:
    """Return a random cut."""
    return HeadCut(rng.choice(list(Place)), rng.random(), rng.random() < 0.5)


async def send_cut(writer: asyncio.StreamWriter, cut: HeadCut, head: bytes) -> None:
    """Send a part of a head; the caller closes the connection."""
    writer.write(cut.part_of(head))
    await asyncio.sleep(DELIVERED_S)
    if cut.resets:
        close_by_reset(writer)


__all__ = ["HeadCut", "Place", "draw_cut", "send_cut"]
