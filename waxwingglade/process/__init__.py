"""What lives as long as a process: an entry, its logs and copies, its peers and its duties.

To run an entry inside a program of your own, load its settings, make an `Entry` and start a
`Daemon` on it.
"""

from waxwingglade.process.check import check_file
from waxwingglade.process.daemon import Daemon
from waxwingglade.process.entry import Entry, ResolvedPolicy
from waxwingglade.process.logs import start_logging
from waxwingglade.process.status import entry_status

__all__ = ["Daemon", "Entry", "ResolvedPolicy", "check_file", "entry_status", "start_logging"]
