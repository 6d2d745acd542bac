"""The platform's list of live and leaving VMs: a late hint, never the truth.

A target that is listed as leaving gets no new work.  One that is missing may be too new for the
list, so that says nothing; nor does a list that cannot be had.
"""

import asyncio
from enum import Enum
from http import HTTPStatus

import msgspec
from loguru import logger

from waxwingglade.base import Outcome
from waxwingglade.connection.http import HttpRequest, send
from waxwingglade.process.entry import Entry


class VmState(Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedVm(msgspec.Struct, frozen=True):
    """One VM of the list."""

    vm: str
    state: VmState


async def watch_vms(entry: Entry) -> None:
    """Follow the list until the process ends."""
    if not entry.settings.platform.vms_url:
        return
    while True:
        try:
            await poll_once(entry)
        except Exception:
            logger.exception("reading the list of VMs failed; trying again")
        await asyncio.sleep(entry.settings.platform.poll_s)


async def poll_once(entry: Entry) -> None:
    """Read the list and take new work from the targets that leave."""
    listed = await _read(entry)
    if listed is None:
        return
    leaving = {vm.vm for vm in listed if vm.state is VmState.LEAVING}
    for name in entry.targets:
        entry.dispatcher.set_leaving(name, name in leaving)


async def _read(entry: Entry) -> list[ListedVm] | None:
    platform = entry.settings.platform
    request = HttpRequest("GET", platform.vms_url, timeout_s=platform.poll_s, repeatable=True)
    answer: Outcome = await send(entry.http, request)
    if answer.is_err() or answer.ok_value.status != HTTPStatus.OK:
        return None
    try:
        return msgspec.json.decode(answer.ok_value.body, type=list[ListedVm])
    except msgspec.DecodeError as error:
        logger.warning("the platform's list of VMs cannot be read: {}", error)
        return None
