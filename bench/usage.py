"""Processor time and memory of a process, as reported by the kernel."""

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIB = 1024

# Indexes of fields in /proc/PID/stat after the command's name, which may contain spaces.
USER_TICKS = 11
SYSTEM_TICKS = 12


def cpu_s(pid: int) -> float:
    """Return the processor time used by all threads of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIB
    raise ProcessLookupError(pid)
