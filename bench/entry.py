"""An entry whose program budgets suffice for the longest histories.

python -m bench.entry SETTINGS.yaml
"""

import asyncio
import sys
from pathlib import Path

from waxwingglade.base import ConfigVersion
from waxwingglade.cli.serve import run_until_stopped
from waxwingglade.process.daemon import Daemon
from waxwingglade.process.entry import Entry, ResolvedPolicy
from waxwingglade.process.logs import start_logging
from waxwingglade.settings import Budget, ProgramPolicy, load_settings

NO_LIMIT = 10**15
POLICY = ProgramPolicy(
    deadline_s=3600.0,
    budget=Budget(tokens=NO_LIMIT, money_microcents=NO_LIMIT, turns=10_000, wall_s=36_000.0),
)


async def serve(path: Path) -> None:
    """Run one entry until it receives a signal to stop."""
    settings = load_settings(path)
    start_logging(settings, lambda: ConfigVersion(0))
    daemon = Daemon(Entry(settings, lambda *_: ResolvedPolicy(POLICY, ConfigVersion(0))))

    async def start() -> None:
        await daemon.start()
        print(daemon.url, flush=True)

    await run_until_stopped(start, daemon.stop, asyncio.Event())


if __name__ == "__main__":
    asyncio.run(serve(Path(sys.argv[1])))
