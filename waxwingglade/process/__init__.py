"""An entry process: its state, logs, copies, peers and duties.

To embed an entry in another Python program, load its settings, create an `Entry` and start a
`Daemon` on it.
"""

from waxwingglade.process.check import check_file
from waxwingglade.process.daemon import Daemon
from waxwingglade.process.entry import Entry, ResolvedPolicy
from waxwingglade.process.logs import start_logging
from waxwingglade.process.status import entry_status

__all__ = ["Daemon", "Entry", "ResolvedPolicy", "check_file", "entry_status", "start_logging"]
