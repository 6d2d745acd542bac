"""Start a process on the platform: ``python -m waxwingglade.platform ROLE``."""

import signal

if __name__ == "__main__":
    # By default, SIGHUP, which reports changed settings, ends a process.  The imports below take a
    # quarter of a second; the settings are read after them, so the signal can be ignored until
    # then.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from waxwingglade.platform.process import main

    main()
