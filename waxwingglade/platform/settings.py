"""The settings file that the platform provides for a process."""

import os
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from waxwingglade.base import SettingsError, ZoneId

SETTINGS_VARIABLE = "WAXWINGGLADE_NODE_FILE"
"""Environment variable that holds the path of the settings file."""


class Bounds(msgspec.Struct, frozen=True):
    """Time limits and tolerances that the platform sets.

    Parameters
    ----------
    grace_s : float
        From SIGTERM to SIGKILL.
    drain_ms : float
        Time after which a leaving target must get no more work; it continues to serve for as long.
    config_apply_ms : float
        Time after which a version of the configuration must be in force.
    strict_revoke : bool
        Whether a revoked key must be rejected after `revoke_ms` also by machines that can't receive
        the revocation.
    revoke_ms : float
        Longest time for which a revoked key may be accepted, if `strict_revoke` is set.
    quota_window_s : float
        Window in which the requests of a client account are counted.
    quota_excess, quota_slack : float
        Tolerated excess over a limit, because several machines count: a share of the limit, and a
        number of requests.
    """

    grace_s: float = 8.0
    drain_ms: float = 2000.0
    config_apply_ms: float = 2000.0
    strict_revoke: bool = False
    revoke_ms: float = 5000.0
    quota_window_s: float = 1.0
    quota_excess: float = 0.0
    quota_slack: float = 0.0


class FaultTolerance(msgspec.Struct, frozen=True):
    """Numbers of machines, zones and regions that may fail at the same time."""

    machines: int = 1
    zones: int = 1
    regions: int = 0


class Provider(msgspec.Struct, frozen=True):
    """The platform's store: its ``IP:PORT``, and its rate limits, which all processes share."""

    address: str
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


class Limits(msgspec.Struct, frozen=True):
    """Resources of the machine that the process may use; sizes in megabytes."""

    memory_mb: int = 0
    max_fds: int = 0
    disk_mb: int = 0


class NodeSettings(msgspec.Struct, frozen=True):
    """The settings that this system uses; other settings in the file are ignored.

    Parameters
    ----------
    node_name : str
        Name of the machine (a VM).
    zones : dict
        Region of each availability zone.
    listen : dict
        Addresses by purpose; `front` for callers, `ready` for health checks by the load
        balancer.
    port_range : tuple of int
        First and last port for this system's own protocol.
    bootstrap : bool
        Whether this is the first start of the system, with empty disks.
    data_dir : str or None
        Folder on the machine's disk, if it has one.
    """

    node_name: str
    serves: list[str]
    ip: str
    zone: ZoneId
    port_range: tuple[int, int]
    provider: Provider
    listen: dict[str, str] = {}
    zones: dict[str, str] = {}
    bootstrap: bool = False
    data_dir: str | None = None
    heartbeat_ms: float = 1000.0
    limits: Limits = Limits()
    bounds: Bounds = Bounds()
    fault_tolerance: FaultTolerance = FaultTolerance()


class Purpose(Enum):
    """The role of a process on a machine."""

    ENTRY = "front"
    LEDGER = "storage"


def settings_path() -> Path:
    """Return the path of the settings file; raise `SettingsError` if the platform set none."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    return Path(path)


def load_node_settings(path: Path) -> NodeSettings:
    """Read and check the settings file; raise `SettingsError` naming the fault if it is invalid."""
    try:
        content = _parse(path.read_bytes())
        return msgspec.convert(content, NodeSettings)
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error


def _parse(text: bytes) -> Any:
    """Decode JSON or YAML; raise `ValueError` if the text is neither.

    The YAML parser is loaded only if the text is not JSON, because loading it takes longer than the
    rest of reading the settings.
    """
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return msgspec.yaml.decode(text)


__all__ = ["Bounds", "NodeSettings", "Purpose", "load_node_settings", "settings_path"]
