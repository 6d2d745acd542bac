"""An entry whose takeover broke off before the store had named it."""

import unittest

from waxwingglade.base import (
    EntryId,
    EntryRef,
    Epoch,
    ErrorCode,
    Incarnation,
    LogId,
    Ok,
    ZoneId,
    not_run,
)
from waxwingglade.connection.peer_messages import LogFound
from waxwingglade.process.directory import FORMAT_VERSION, LogEntry, Versioned
from waxwingglade.process.takeover import TakeoverContext, take_over

LOG = LogId("z.e0.i0.home0")


def ref(name: str) -> EntryRef:
    """Return a made-up entry."""
    return EntryRef(EntryId(name), Incarnation(f"i-{name}"), ZoneId("z"), f"tcp://{name}")


class Directory:
    """Names an owner, and takes no writes."""

    async def read(self, log, purpose=None):
        entry = LogEntry(FORMAT_VERSION, LOG, Epoch(2), ref("e3"), [ref("e0"), ref("e2")])
        return Ok(Versioned(entry, 7))

    async def write(self, entry, expected):
        return not_run(ErrorCode.STORE_UNAVAILABLE, "as far as this test goes")


class HalfTakeover(unittest.IsolatedAsyncioTestCase):
    async def attempt(self, own, owner):
        """Return why `own` cannot take over a log whose copies name `owner`."""

        async def ask(_ref, _message):
            return Ok(LogFound(owner, Epoch(2), serving=False, owner_gone=False))

        means = TakeoverContext(own, Directory(), ask, None, None, 2)
        return (await take_over(means, LOG, None)).err_value.code

    async def test_copies_that_take_it_for_the_owner_do_not_keep_it_from_trying_again(self):
        # Its copies heard of it, the store's answer was lost: nobody else will look after the log.
        self.assertIs(ErrorCode.STORE_UNAVAILABLE, await self.attempt(ref("e3"), ref("e3")))

    async def test_copies_that_see_another_owner_do(self):
        self.assertIs(ErrorCode.CONFLICT, await self.attempt(ref("e0"), ref("e3")))
