"""Entry point of a platform process: ``target/waxwingglade -S deploy/start.py ROLE``.

SIGHUP, which announces changed settings, terminates a process that has no handler for it yet.
Ignoring the signal until then loses nothing, because the settings are read later.  The program
built by ``build_starter.py`` ignores it before the interpreter is loaded.  Under a plain
interpreter, the option ``-S`` and the imports below run the first statement of this file as early
as Python code can run.
"""

# `_signal` and `gc` are built into the interpreter, so importing them loads no other module first.
import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import gc  # noqa: E402
import sys  # noqa: E402

# Modules loaded at startup stay in memory; garbage collection would only lengthen the startup.
gc.disable()

BUILT_LIBRARIES = "target/deps"

if not any(folder.endswith(BUILT_LIBRARIES) for folder in sys.path):
    # The build's library folder is not in use: the libraries are installed in the interpreter.
    import site

    site.main()

# Python puts this file's folder first in the search path, but no module is loaded from there.
sys.path[0] = __file__.rpartition("/deploy/")[0] or "."

from waxwingglade.platform.process import main  # noqa: E402

if __name__ == "__main__":
    main()
