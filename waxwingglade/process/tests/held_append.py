"""Records of an entry that stay without durability for a time chosen by a test."""

import asyncio
import contextlib
from collections.abc import Iterator
from unittest.mock import patch

import msgspec

from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.program.records import Body

append = OwnedLog.append


class HeldAppend(msgspec.Struct):
    """Events of the records that are held: the first one was added, and all may become durable."""

    added: asyncio.Event
    release: asyncio.Event


@contextlib.contextmanager
def held_append(record: type[Body]) -> Iterator[HeldAppend]:
    """Hold records of one type: they are in their log, but whoever added them waits."""
    held = HeldAppend(asyncio.Event(), asyncio.Event())

    async def append_and_wait(owned, program, *bodies):
        appended = await append(owned, program, *bodies)
        if any(isinstance(body, record) for body in bodies):
            held.added.set()
            await held.release.wait()
        return appended

    with patch.object(OwnedLog, "append", append_and_wait):
        yield held
