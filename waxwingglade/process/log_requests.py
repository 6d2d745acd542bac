"""Answers to requests of owners, and of entries that take logs over, about this entry's copies."""

from waxwingglade.base import Epoch, ErrorCode, Failure, Verdict
from waxwingglade.connection.peer_messages import (
    AppendRecords,
    DropCopy,
    FindLog,
    LogFound,
    PeerBody,
    Refused,
    SealCopy,
)
from waxwingglade.process.entry import Entry


async def answer_log_request(entry: Entry, body: PeerBody) -> PeerBody:
    """Handle a request about a log, and return the answer once the changes it made are durable."""
    answer = _handle(entry, body)
    synced = await entry.copies.sync()
    if synced.is_err():
        entry.stop_using_disk()
        return Refused(synced.err_value)
    return answer


def _handle(entry: Entry, body: PeerBody) -> PeerBody:
    if isinstance(body, AppendRecords):
        return _append(entry, body)
    if isinstance(body, SealCopy):
        return entry.copies.seal(body)
    if isinstance(body, DropCopy):
        return entry.copies.drop(body)
    if isinstance(body, FindLog):
        return _find_log(entry, body)
    text = f"{type(body).__name__} is not a request"
    return Refused(Failure(Verdict.NOT_RUN, ErrorCode.BAD_REQUEST, text))


def _append(entry: Entry, body: AppendRecords) -> PeerBody:
    owned = entry.owned.get(body.log)
    if owned is not None and body.epoch > owned.epoch:
        owned.fence(body.epoch)
        entry.demote(owned)
    return entry.copies.append(body)


def _find_log(entry: Entry, body: FindLog) -> LogFound:
    owned = entry.owned.get(body.log)
    if owned is not None and not owned.fenced:
        return LogFound(entry.own, owned.epoch, serving=True)
    taking_over = body.log in entry.taking_over
    copy = entry.copies.logs.get(body.log)
    if copy is None:
        return LogFound(None, Epoch(0), taking_over=taking_over)
    orphan = entry.is_orphan(copy)
    return LogFound(copy.owner, copy.epoch, taking_over=taking_over, owner_gone=orphan)
