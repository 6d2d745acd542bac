"""The lifecycle of a process on the platform, from its command line to its exit."""

import asyncio
import gc
import signal
import sys
from pathlib import Path

import uvloop
from loguru import logger

from waxwingglade.base import SettingsError
from waxwingglade.base.logs import start_logs
from waxwingglade.base.tasks import run_detached
from waxwingglade.follow.watcher import Keys
from waxwingglade.ingress.accounts import KeyAgeLimits
from waxwingglade.platform import registry
from waxwingglade.platform.headers import DIALECT
from waxwingglade.platform.settings import (
    Bounds,
    NodeSettings,
    Purpose,
    load_node_settings,
    settings_path,
)
from waxwingglade.platform.store import PlatformStore

KEYS = Keys(
    configuration=registry.CONFIGURATION_KEY,
    operators=registry.OPERATORS_PREFIX,
    targets=registry.TARGETS_PREFIX,
    own=registry.OWN_PREFIX,
    replicas=registry.REPLICAS_KEY,
    retire=registry.RETIRE_PREFIX,
    candidates=registry.CANDIDATES_PREFIX,
    decode_configuration=registry.decode_configuration,
    decode_target=registry.decode_target,
)

DIVERT_SHARE = 0.6
"""Share of the revocation time of keys.  An entry whose view is incomplete for longer than this
share sends callers to other entries."""

LOG_FLUSH_TIMEOUT_S = 0.2
"""Seconds that a process waits at its exit for a slow reader of its logs."""


EXIT_SETTINGS = 2
USAGE = """usage: python -m waxwingglade.platform ROLE | check FILE
ROLE is front (an entry) or storage (a ledger process); the path of the settings file is in the
environment.  check names what is wrong with a settings file, with exit status 2.
"""

METRICS_PORT = 9464
"""Port of the metrics page, the same on every machine; deploy/system.toml names it too."""

BALANCER_NOTICE_S = 3.0
"""Seconds after SIGTERM within which the load balancer stops sending callers to an entry."""

MAX_SIGNAL_DELAY_S = 0.2
"""Seconds by which a busy process may handle SIGTERM late."""

ACCEPT_SHARE = 0.55
"""Share of the grace period in which a stopping process still accepts requests that will end before
it exits."""

EXIT_SHARE = 0.93
"""Share of the grace period after which a stopping process exits, before it is killed."""


def enable_garbage_collection() -> None:
    """Enable garbage collection; exempt all loaded objects, which would slow each collection."""
    gc.freeze()
    gc.enable()


def key_rules(bounds: Bounds) -> KeyAgeLimits:
    """Return how old a view may be when callers' keys are checked against it."""
    deny_s = bounds.config_apply_ms / 1000
    if not bounds.strict_revoke:
        return KeyAgeLimits(max_deny_age_s=deny_s)
    revoke_s = bounds.revoke_ms / 1000
    return KeyAgeLimits(revoke_s, min(deny_s, revoke_s), DIVERT_SHARE * revoke_s)


async def run_entry(settings: NodeSettings, stop: asyncio.Event) -> None:
    """Run an entry until `stop` is set."""
    from waxwingglade.ingress.entry import Ingress  # noqa: PLC0415
    from waxwingglade.ingress.settings import IngressSettings  # noqa: PLC0415

    enable_garbage_collection()
    grace_s = settings.bounds.grace_s
    ingress = Ingress(
        IngressSettings(
            vm=settings.node_name,
            zone=settings.zone,
            callers=settings.listen["front"],
            ready=settings.listen["ready"],
            metrics=f"{settings.ip}:{METRICS_PORT}",
            drain_notice_s=min(BALANCER_NOTICE_S - MAX_SIGNAL_DELAY_S, ACCEPT_SHARE * grace_s),
            drain_wait_s=ACCEPT_SHARE * grace_s,
            drain_timeout_s=EXIT_SHARE * grace_s,
            keys=key_rules(settings.bounds),
            target_heartbeat_s=settings.heartbeat_ms / 1000,
        ),
        PlatformStore(settings.provider.address),
        KEYS,
        DIALECT,
    )
    await ingress.start()
    await stop.wait()
    await ingress.drain()
    await ingress.stop()


async def run_ledger(settings: NodeSettings, stop: asyncio.Event) -> None:
    """Run a ledger process until `stop` is set."""
    from waxwingglade.decisions.quota import QuotaRules  # noqa: PLC0415
    from waxwingglade.ledger.node import LedgerNode, LedgerSettings  # noqa: PLC0415

    enable_garbage_collection()
    if settings.data_dir is None:
        raise SettingsError("a ledger process needs a data folder")
    bounds = settings.bounds
    node = LedgerNode(
        LedgerSettings(
            vm=settings.node_name,
            zone=settings.zone,
            endpoint=f"tcp://{settings.ip}:{settings.port_range[0]}",
            folder=Path(settings.data_dir),
            wanted_members=2 * settings.fault_tolerance.machines + 1,
            zones=len(settings.zones),
            metrics=f"{settings.ip}:{METRICS_PORT}",
            status_prefix=registry.RETIRE_STATUS_PREFIX,
            quota=QuotaRules(bounds.quota_window_s, bounds.quota_excess, bounds.quota_slack),
            bootstrap=settings.bootstrap,
            target_heartbeat_s=settings.heartbeat_ms / 1000,
        ),
        PlatformStore(settings.provider.address),
        KEYS,
    )
    await node.start()
    await stop.wait()
    await node.stop()


RUNNERS = {Purpose.ENTRY: run_entry, Purpose.LEDGER: run_ledger}


async def run(purpose: Purpose) -> None:
    """Run a process for a purpose until it gets SIGTERM."""
    path = settings_path()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    # The handler is installed before the file is read, so that no change in between is missed.
    loop.add_signal_handler(
        signal.SIGHUP, lambda: run_detached(log_settings_change(path, settings))
    )
    try:
        settings = load_node_settings(path)
        await RUNNERS[purpose](settings, stop)
    finally:
        ignore_signals()


def ignore_signals() -> None:
    """Ignore further signals, whose default action would end the process while it exits."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGHUP):
        # The interpreter restores the default action of signals with a handler when it finishes.
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


async def log_settings_change(path: Path, settings: NodeSettings) -> None:
    """Log which settings changed in the file; the present ones remain in force until a restart.

    Addresses and folders can't change in a running process, and an invalid file must not stop a
    process that serves.
    """
    try:
        # Reading may block while the file is being written; the event loop must not wait for it.
        changed = await asyncio.to_thread(load_node_settings, path)
    except SettingsError as error:
        logger.bind(outcome="kept the present settings").error("reload: {}", error)
        return
    names = [
        name
        for name in settings.__struct_fields__
        if getattr(settings, name) != getattr(changed, name)
    ]
    logger.bind(changed=names, outcome="in force after a restart").info("reload")


def check(path: Path) -> int:
    """Check a settings file, print the outcome, and return the exit status."""
    try:
        settings = load_node_settings(path)
    except SettingsError as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_SETTINGS
    sys.stdout.write(f"{path}: {settings.node_name} in {settings.zone}, good\n")
    return 0


def main() -> None:
    """Run the process that the command line names, or check a settings file."""
    arguments = sys.argv[1:]
    if len(arguments) == 2 and arguments[0] == "check":
        raise SystemExit(check(Path(arguments[1])))
    if len(arguments) != 1 or arguments[0] not in {purpose.value for purpose in Purpose}:
        sys.stderr.write(USAGE)
        raise SystemExit(EXIT_SETTINGS)
    purpose = Purpose(arguments[0])
    logs = start_logs(purpose.name.lower())
    try:
        # uvloop is written in C; the event loop accounts for much of the cost of a request.
        uvloop.run(run(purpose))
        logger.info("stopped")
    except SettingsError as error:
        logger.error("settings: {}", error)
        raise SystemExit(EXIT_SETTINGS) from error
    finally:
        logs.stop(LOG_FLUSH_TIMEOUT_S)


__all__ = ["main"]
