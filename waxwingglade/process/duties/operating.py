"""HTTP routes by which operators read and set the desired state of model engines."""

import functools

from waxwingglade.base import Failure, Outcome, TargetId, ZoneId
from waxwingglade.connection.caller_programs import bad_request, is_number
from waxwingglade.connection.http_api import ApiHandler, Route, query
from waxwingglade.connection.operator import operator_of, require_role
from waxwingglade.connection.operator_messages import (
    DesiredList,
    DesiredState,
    DesiredView,
    OrdersStatus,
    ReadBack,
    SetTargetBody,
)
from waxwingglade.connection.peer_messages import TargetReport
from waxwingglade.process.duties.desired import (
    DesiredTarget,
    StoredDesired,
    change_desired,
    check_desired,
    check_target,
    read_desired,
)
from waxwingglade.process.duties.lease import read_holder
from waxwingglade.process.entry import Entry
from waxwingglade.settings import Role, TargetKind, TargetSettings


def target_routes(entry: Entry) -> list[Route]:
    """Return the routes of targets and of the orders to them."""
    target = r"/v1/targets/([^/]+)"
    return [
        Route(r"/v1/targets", {"GET": require_role(Role.VIEWER, functools.partial(_list, entry))}),
        Route(
            target,
            {
                "GET": require_role(Role.VIEWER, functools.partial(_show, entry)),
                "PUT": require_role(Role.PROPOSER, functools.partial(_set, entry)),
                "DELETE": require_role(Role.PROPOSER, functools.partial(_unset, entry)),
            },
        ),
        Route(r"/v1/orders", {"GET": require_role(Role.VIEWER, functools.partial(_status, entry))}),
    ]


async def _list(entry: Entry, handler: ApiHandler) -> None:
    engines = [each for each in entry.targets.values() if each.kind is TargetKind.MODEL]
    views: list[DesiredView] = []
    for zone in sorted({each.zone for each in engines}):
        read = await read_desired(entry.store, ZoneId(zone))
        if read.is_err():
            handler.fail(read.err_value)
            return
        views += [_view(each, read.ok_value) for each in engines if each.zone == zone]
    handler.finish_json(DesiredList(views))


async def _show(entry: Entry, handler: ApiHandler, name: str) -> None:
    await _answer_view(entry, handler, name)


async def _set(entry: Entry, handler: ApiHandler, name: str) -> None:
    read = handler.read(SetTargetBody)
    if read.is_err():
        handler.fail(read.err_value)
        return
    body = read.ok_value
    desired = DesiredTarget(body.models, body.adapters, body.role)
    error = check_desired(desired)
    if error is not None:
        handler.fail(error)
        return
    await _change(entry, handler, name, desired, body.base_version)


async def _unset(entry: Entry, handler: ApiHandler, name: str) -> None:
    """Remove the desired state of a target, which then keeps its present state."""
    base = query(handler.request, "base_version")
    if base and not is_number(base):
        handler.fail(bad_request("base_version is not a number"))
        return
    await _change(entry, handler, name, None, int(base) if base else None)


async def _change(
    entry: Entry,
    handler: ApiHandler,
    name: str,
    desired: DesiredTarget | None,
    base_version: int | None,
) -> None:
    target = TargetId(name)
    settings = entry.targets.get(target)
    error = check_target(settings)
    if error is not None:
        handler.fail(error)
        return
    changed = await change_desired(
        entry.store,
        ZoneId(settings.zone),
        target,
        desired,
        operator_of(handler),
        entry.wall_clock(),
        base_version,
    )
    if changed.is_err():
        handler.fail(changed.err_value)
        return
    handler.finish_json(_view(settings, StoredDesired(changed.ok_value, 0)))


async def _answer_view(entry: Entry, handler: ApiHandler, name: str) -> None:
    settings = entry.targets.get(TargetId(name))
    error = check_target(settings)
    if error is not None:
        handler.fail(error)
        return
    read: Outcome[StoredDesired] = await read_desired(entry.store, ZoneId(settings.zone))
    if read.is_err():
        failure: Failure = read.err_value
        handler.fail(failure)
        return
    handler.finish_json(_view(settings, read.ok_value))


async def _status(entry: Entry, handler: ApiHandler) -> None:
    """Answer for the zone of this entry; an entry knows only the targets of its own zone."""
    zone = entry.own.zone
    holder = await read_holder(entry.store, zone)
    known = holder.ok_value if holder.is_ok() else None
    handler.finish_json(
        OrdersStatus(
            zone,
            None if known is None else known.entry,
            [_read_back(each) for _, each in sorted(entry.target_reports.items())],
        )
    )


def _view(settings: TargetSettings, stored: StoredDesired) -> DesiredView:
    desired = stored.targets.get(TargetId(settings.target))
    state = None if desired is None else DesiredState(*_fields(desired))
    zone = stored.zone
    if zone is None:
        return DesiredView(settings.target, settings.zone, state)
    return DesiredView(
        settings.target, settings.zone, state, zone.version, zone.proposer, zone.changed_at
    )


def _fields(desired: DesiredTarget) -> tuple[list[str], list[str], str]:
    return desired.models, desired.adapters, desired.role


def _read_back(report: TargetReport) -> ReadBack:
    return ReadBack(
        target=report.target,
        agrees=report.agrees,
        models=report.models,
        adapters=report.adapters,
        role=report.role,
        serving=report.serving,
        note=report.note,
    )
