"""Find out from the log files of the daemons why a request ended as it did."""

from waxwingglade.explain.cause import cause_of
from waxwingglade.explain.ledger_cause import CauseKind, LedgerCause, ledger_causes
from waxwingglade.explain.lines import LogLine, read_files
from waxwingglade.explain.story import Story, tell

__all__ = [
    "CauseKind",
    "LedgerCause",
    "LogLine",
    "Story",
    "cause_of",
    "ledger_causes",
    "read_files",
    "tell",
]
