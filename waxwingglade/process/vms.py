"""Polls the platform's list of live and leaving VMs, which is only a delayed hint.

A target that is listed as leaving gets no new work.  A target that is not listed may be too new for
the list, so its absence has no effect; neither has a list that cannot be read.
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
    """The state of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedVm(msgspec.Struct, frozen=True):
    """One VM in the platform's list."""

    vm: str
    state: VmState


async def watch_vms(entry: Entry) -> None:
    """Poll the list until the process stops."""
    if not entry.settings.platform.vms_url:
        return
    while True:
        try:
            await poll_once(entry)
        except Exception:
            logger.exception("reading the list of VMs failed; retrying")
        await asyncio.sleep(entry.settings.platform.poll_s)


async def poll_once(entry: Entry) -> None:
    """Read the list once, and stop sending new work to targets that are leaving."""
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
