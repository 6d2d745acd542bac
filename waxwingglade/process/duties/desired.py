"""The desired state of a zone's model engines: the models, adapters and role of each.

Operators set it.  The store has one record for each zone, which is changed by compare-and-swap.
Each version of a model or adapter has its own name in the record, the same as in the engine.
"""

import re
from collections.abc import Sequence

import msgspec

from waxwingglade.base import (
    ErrorCode,
    Failure,
    FormatError,
    Ok,
    OperatorId,
    Outcome,
    TargetId,
    Verdict,
    ZoneId,
    not_run,
)
from waxwingglade.connection.store import StoreClient
from waxwingglade.settings import TargetKind, TargetSettings

FORMAT_VERSION = 1
KEY_PREFIX = "targets/"
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@-]{0,199}")


class DesiredTarget(msgspec.Struct, frozen=True):
    """The models and adapters that a target should load, and its role; empty keeps the role."""

    models: list[str]
    adapters: list[str] = []
    role: str = ""


class DesiredZone(msgspec.Struct, frozen=True):
    """The record of one zone.

    Parameters
    ----------
    format : int
        Format version.
    version : int
        Increased by every change.
    targets : dict
        Targets that are under orders; all others are left unchanged.
    proposer : OperatorId
        Operator who made the last change.
    changed_at : float
        Time of the last change in seconds since 1970.
    """

    format: int
    version: int
    targets: dict[TargetId, DesiredTarget]
    proposer: OperatorId
    changed_at: float


class StoredDesired(msgspec.Struct, frozen=True):
    """A record with its revision in the store; revision 0 if there is none."""

    zone: DesiredZone | None
    revision: int

    @property
    def version(self) -> int:
        """Version of the record; 0 if there is none."""
        return 0 if self.zone is None else self.zone.version

    @property
    def targets(self) -> dict[TargetId, DesiredTarget]:
        """Targets that are under orders."""
        return {} if self.zone is None else self.zone.targets


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(DesiredZone)


def check_target(settings: TargetSettings | None) -> Failure | None:
    """Return the reason why a target cannot get orders, None if it can."""
    if settings is None:
        return _rejection(ErrorCode.NOT_FOUND, "no target of this name is in the settings")
    if settings.kind is not TargetKind.MODEL:
        return _rejection(ErrorCode.BAD_REQUEST, "orders are for model engines only")
    return None


def check_desired(desired: DesiredTarget) -> Failure | None:
    """Return the error in a desired state, None if it is valid."""
    if not desired.models:
        return _rejection(ErrorCode.BAD_REQUEST, "at least one model has to be named")
    named = [*desired.models, *desired.adapters]
    if len(set(named)) < len(named):
        return _rejection(ErrorCode.BAD_REQUEST, "a name is given twice")
    for name in [*named, desired.role] if desired.role else named:
        if NAME.fullmatch(name) is None:
            return _rejection(ErrorCode.BAD_REQUEST, f"`{name}` is not a valid name")
    return None


def _rejection(code: ErrorCode, text: str) -> Failure:
    return Failure(Verdict.NOT_RUN, code, text)


def key_of(zone: ZoneId) -> str:
    """Return the key of a zone's record."""
    return f"{KEY_PREFIX}{zone}"


async def read_desired(store: StoreClient, zone: ZoneId) -> Outcome[StoredDesired]:
    """Return the record of a zone, which may be absent."""
    found = await store.get(key_of(zone))
    if found.is_err():
        return found
    item = found.ok_value
    if item is None:
        return Ok(StoredDesired(None, 0))
    try:
        return Ok(StoredDesired(decode_desired(item.value), item.mod_revision))
    except FormatError as error:
        return not_run(ErrorCode.VERSION, str(error))


async def change_desired(
    store: StoreClient,
    zone: ZoneId,
    target: TargetId,
    desired: DesiredTarget | None,
    proposer: OperatorId,
    now: float,
    base_version: int | None = None,
) -> Outcome[DesiredZone]:
    """Change the desired state of one target.

    Parameters
    ----------
    store, zone, target : StoreClient, ZoneId, TargetId
        The store with the record, the zone, and the target to change.
    desired : DesiredTarget or None
        The new desired state; None to end orders to the target.
    proposer : OperatorId
        Operator who makes the change.
    now : float
        Seconds since 1970.
    base_version : int, optional
        Version on which the change is based; the current one if not given.

    Returns
    -------
    Outcome[DesiredZone]
        The new record, or the current one if it already has this state.  CONFLICT: another change
        was made meanwhile, and this one did not run.
    """
    read = await read_desired(store, zone)
    if read.is_err():
        return read
    stored = read.ok_value
    if base_version is not None and base_version != stored.version:
        return not_run(ErrorCode.CONFLICT, f"the present version is {stored.version}")
    if stored.zone is not None and stored.targets.get(target) == desired:
        return Ok(stored.zone)
    targets = {name: each for name, each in stored.targets.items() if name != target}
    if desired is not None:
        targets[target] = desired
    changed = DesiredZone(FORMAT_VERSION, stored.version + 1, targets, proposer, now)
    written = await store.put_if(key_of(zone), _encoder.encode(changed), stored.revision)
    return written.map(lambda _: changed)


def decode_desired(data: bytes) -> DesiredZone:
    """Return the record in `data`, or raise `FormatError`."""
    try:
        zone = _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise FormatError(f"the desired state of targets cannot be read: {error}") from error
    if zone.format > FORMAT_VERSION:
        raise FormatError(f"the desired state of targets has the newer format {zone.format}")
    return zone


def models_in_zone(targets: Sequence[TargetSettings], zone: ZoneId) -> list[TargetSettings]:
    """Return the model engines of a zone."""
    return [each for each in targets if each.zone == zone and each.kind is TargetKind.MODEL]
