"""Build log lines as daemons write them."""

import json
from pathlib import Path
from typing import Any

ENTRY, LEDGER = "entry", "ledger"


def line(time: float, event: str, process: str = ENTRY, **fields: Any) -> str:
    """Return a line of a log."""
    return json.dumps({"time": time, "level": "INFO", "process": process, "event": event, **fields})


def request_line(time: float, request: str, status: int, reason: str = "", **fields: Any) -> str:
    """Return the line of a request that has ended."""
    if reason:
        fields["reason"] = reason
    return line(time, "request", request=request, status=status, **fields)


def replica_request(replica: str, answer: str, seconds: float = 0.4) -> dict[str, Any]:
    """Return one request to a replica, as an entry logs it."""
    return {"replica": replica, "after_s": 0.0, "seconds": seconds, "answer": answer}


def slow_answer(
    time: float, turn: str, request: str, seconds: float, *asked: dict[str, Any]
) -> str:
    """Return the line of an entry that waited for the ledger."""
    fields = {"turn": turn, "request": request, "seconds": seconds, "asked": asked}
    return line(time, "ledger slow to answer", **fields)


def slow_end(
    time: float, turn: str, kept: bool, kept_s: float, settled: bool, settled_s: float
) -> str:
    """Return the line of a ledger process that took long to end a turn."""
    fields = {"kept": kept, "kept_s": kept_s, "settled": settled, "settled_s": settled_s}
    return line(time, "turn slow to end", LEDGER, turn=turn, **fields)


def delayed_change(time: float, program: str, seconds: float) -> str:
    """Return the line of a ledger process whose account change was delayed."""
    fields = {"program": program, "seconds": seconds, "waited_s": 0.0, "overtaken": 3}
    return line(time, "account held up", LEDGER, **fields)


def majority_failure(time: float, event: str, turn: str, reason: str, **fields: Any) -> str:
    """Return the line of a ledger process that reached no majority for a turn."""
    fields = {"silent": [], "joining": [], **fields}
    return line(time, event, LEDGER, turn=turn, reason=reason, **fields)


def write_log(folder: str, name: str, *lines: str) -> Path:
    """Write a log file and return its path."""
    path = Path(folder) / name
    path.write_text("\n".join(lines) + "\n")
    return path
