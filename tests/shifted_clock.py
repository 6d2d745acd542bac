"""Run a script with a shifted steady clock: ``shifted_clock.py SECONDS SCRIPT [ARGUMENT ...]``.

The steady clock of a machine starts anew when the machine does, at any value.
"""

import _signal

# deploy/start.py does the same, but runs later here.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import runpy  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402


def main() -> None:
    """Shift the clock of this process, and run the script in it."""
    shift_s = float(sys.argv[1])
    read = time.monotonic
    time.monotonic = lambda: read() + shift_s
    sys.argv = sys.argv[2:]
    runpy.run_path(sys.argv[0], run_name="__main__")


if __name__ == "__main__":
    main()
