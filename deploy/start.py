"""Start a process on the platform: ``python3 -S deploy/start.py ROLE``.

The signal that settings have changed ends a process that does not handle it yet.  Nothing is lost
by ignoring it until then: the settings are read later.  This file and the option ``-S`` bring the
first line of ours nearer to the start.  At a load of 15, a signal 16, 25 and 40 ms after the start
ended 7, 3 and 0 of 10 processes, and 10, 10 and 10 of 10 that were started with ``-m`` and without
the option (``python -m bench.early_signal``, one run).
"""

# Built into the interpreter.  With `signal`, which loads other modules, 10, 8 and 2 were ended.
import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import site  # noqa: E402
import sys  # noqa: E402

site.main()
# The path begins with this file's folder, where nothing is to be loaded from.
sys.path[0] = __file__.rpartition("/deploy/")[0] or "."

from waxwingglade.platform.process import main  # noqa: E402

if __name__ == "__main__":
    main()
