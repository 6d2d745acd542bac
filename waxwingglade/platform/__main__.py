"""Start a process on the platform: ``python -m waxwingglade.platform ROLE``."""

import asyncio
import signal
import sys
from pathlib import Path

from loguru import logger

from waxwingglade.base import SettingsError
from waxwingglade.base.logs import start_logs
from waxwingglade.follow.watcher import Keys
from waxwingglade.platform import registry
from waxwingglade.platform.headers import DIALECT
from waxwingglade.platform.settings import (
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
    decode_configuration=registry.decode_configuration,
    decode_target=registry.decode_target,
)

LOG_PATIENCE_S = 0.2
"""Seconds that a process waits at its end for a slow reader of its logs."""


TAKE_SHARE = 0.55
"""Share of the grace for which a process that stops still takes requests: longer than the balancer
needs to notice, three seconds, and leaving as much for the longest request."""

END_SHARE = 0.93
"""Share of the grace after which it ends, before it is killed."""


async def run_entry(settings: NodeSettings, stop: asyncio.Event) -> None:
    """Run an entry until it is told to stop."""
    from waxwingglade.ingress.entry import Ingress  # noqa: PLC0415
    from waxwingglade.ingress.settings import IngressSettings  # noqa: PLC0415

    grace_s = settings.bounds.grace_s
    ingress = Ingress(
        IngressSettings(
            vm=settings.node_name,
            zone=settings.zone,
            callers=settings.listen["front"],
            ready=settings.listen["ready"],
            drain_wait_s=TAKE_SHARE * grace_s,
            drain_timeout_s=END_SHARE * grace_s,
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
    """Run a ledger process until it is told to stop."""
    from waxwingglade.ledger.node import LedgerNode, LedgerSettings  # noqa: PLC0415

    if settings.data_dir is None:
        raise SettingsError("a ledger process needs a data folder")
    node = LedgerNode(
        LedgerSettings(
            vm=settings.node_name,
            zone=settings.zone,
            endpoint=f"tcp://{settings.ip}:{settings.port_range[0]}",
            folder=Path(settings.data_dir),
            wanted_members=2 * settings.fault_tolerance.machines + 1,
            zones=len(settings.zones),
            status_prefix=registry.RETIRE_STATUS_PREFIX,
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
    settings = load_node_settings(settings_path())
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: logger.info("settings file changed"))
    await RUNNERS[purpose](settings, stop)


def main() -> None:
    """Run the process that the command line names."""
    purpose = Purpose(sys.argv[1])
    logs = start_logs(purpose.name.lower())
    try:
        asyncio.run(run(purpose))
        logger.info("stopped")
    except SettingsError as error:
        logger.error("settings: {}", error)
        raise SystemExit(2) from error
    finally:
        logs.stop(LOG_PATIENCE_S)


if __name__ == "__main__":
    main()
