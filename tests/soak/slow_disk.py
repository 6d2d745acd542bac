"""Run a script whose flushes of files take longer: ``slow_disk.py SECONDS SCRIPT [ARGUMENT ...]``.

Only the thread that flushes waits, as with a slow disk.
"""

import os
import runpy
import sys
import time
from collections.abc import Callable


def slowed(flush: Callable[[int], None], seconds: float) -> Callable[[int], None]:
    """Return a flush that takes some seconds longer."""

    def flush_slowly(file: int) -> None:
        flush(file)
        time.sleep(seconds)

    return flush_slowly


def main() -> None:
    """Slow the flushes of this process, and run the script in it."""
    seconds = float(sys.argv[1])
    os.fsync = slowed(os.fsync, seconds)
    os.fdatasync = slowed(os.fdatasync, seconds)
    sys.argv = sys.argv[2:]
    runpy.run_path(sys.argv[0], run_name="__main__")


if __name__ == "__main__":
    main()
