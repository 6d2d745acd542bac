"""A repeated takeover by an entry whose first one failed before the store had registered it."""

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
    """Return a reference to a fictitious entry."""
    return EntryRef(EntryId(name), Incarnation(f"i-{name}"), ZoneId("z"), f"tcp://{name}")


class Directory:
    """A directory that contains one record and refuses writes."""

    async def read(self, log, purpose=None):
        entry = LogEntry(FORMAT_VERSION, LOG, Epoch(2), ref("e3"), [ref("e0"), ref("e2")])
        return Ok(Versioned(entry, 7))

    async def write(self, entry, expected):
        return not_run(ErrorCode.STORE_UNAVAILABLE, "the store refuses writes")


class RepeatedTakeover(unittest.IsolatedAsyncioTestCase):
    async def try_takeover(self, own, owner):
        """Return the error code of a takeover by `own` of a log whose copies name `owner`."""

        async def ask(_ref, _message):
            return Ok(LogFound(owner, Epoch(2), serving=False, owner_gone=False))

        context = TakeoverContext(own, Directory(), ask, None, None, 2)
        return (await take_over(context, LOG, None)).err_value.code

    async def test_copies_that_name_the_entry_itself_do_not_prevent_a_retry(self):
        # The copies name the entry as the owner, but the store's answer was lost.  No other entry
        # takes the log over then.
        self.assertIs(ErrorCode.STORE_UNAVAILABLE, await self.try_takeover(ref("e3"), ref("e3")))

    async def test_copies_that_reach_another_owner_prevent_a_takeover(self):
        self.assertIs(ErrorCode.CONFLICT, await self.try_takeover(ref("e0"), ref("e3")))
