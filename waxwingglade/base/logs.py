"""Structured logs on standard output that never make the process wait.

Each line is a JSON object.  Lines go through a bounded queue to a thread of their own; when a
reader is slow the queue fills, further lines are dropped, and their number is logged later.
"""

import sys
import threading
import time
from collections import deque
from typing import Any

import msgspec
from loguru import logger

QUEUE_LINES = 5_000
"""Lines that wait for a slow reader; some 2 MB."""

BATCH_LINES = 200
"""Lines written at once; what is being written counts beyond the queue."""

MAX_LINES_PER_S = 60.0
"""Lines of one kind a second; the rest is counted in the next line of that kind."""

MAX_EVENT_KINDS = 200
"""Kinds of lines that are bounded by themselves; further ones share a bound."""

WRITE_PAUSE_S = 0.05
"""Seconds between looks of the writing thread while there is nothing to write."""

_encode = msgspec.json.Encoder(enc_hook=str).encode


class LineWriter:
    """Writes lines from a bounded queue in a thread.

    Parameters
    ----------
    stream : binary file
        Where lines go.

    Attributes
    ----------
    dropped : int
        Lines left out since the start.
    """

    def __init__(self, stream: Any) -> None:
        self.stream = stream
        self.lines: deque[bytes] = deque()
        self.dropped = 0
        self.reported = 0
        self.wake = threading.Event()
        self.stopped = False
        self.thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self.thread.start()

    def put(self, line: bytes) -> None:
        """Queue a line, or drop it if the queue is full."""
        if len(self.lines) >= QUEUE_LINES:
            self.dropped += 1
            return
        self.lines.append(line)
        self.wake.set()

    def stop(self, timeout_s: float) -> None:
        """Write what is queued, for at most `patience_s` seconds."""
        self.stopped = True
        self.wake.set()
        self.thread.join(timeout_s)

    def _run(self) -> None:
        while True:
            self.wake.wait()
            self.wake.clear()
            self._write_queued()
            if self.stopped and not self.lines:
                return
            time.sleep(WRITE_PAUSE_S)

    def _write_queued(self) -> None:
        while self.lines:
            self._write_batch()

    def _write_batch(self) -> None:
        batch = []
        while self.lines and len(batch) < BATCH_LINES:
            batch.append(self.lines.popleft())
        if self.dropped > self.reported:
            batch.append(_encode({"event": "log lines dropped", "count": self.dropped}) + b"\n")
            self.reported = self.dropped
        try:
            self.stream.write(b"".join(batch))
            self.stream.flush()
        except OSError:
            # There is nobody to tell: the reader of the logs has gone.
            self.dropped += len(batch)


def start_logs(process: str, level: str = "INFO") -> LineWriter:
    """Send all logs of this process to standard output.

    Parameters
    ----------
    process : str
        Name of the process in each line.
    level : str
        Least severe level that is logged.
    """
    writer = LineWriter(sys.stdout.buffer)
    samplers: dict[str, Sampler] = {}

    def sink(message: Any) -> None:
        record = message.record
        # Lines are bounded by what they say, so that one kind cannot drown another.
        kind = record["message"] if len(samplers) < MAX_EVENT_KINDS else ""
        sampler = samplers.setdefault(kind, Sampler(MAX_LINES_PER_S))
        if not sampler.allows():
            return
        if left_out := sampler.take_left_out():
            record["extra"]["same_left_out"] = left_out
        fields = {
            "time": round(record["time"].timestamp(), 3),
            "level": record["level"].name,
            "process": process,
            "event": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            fields["trace"] = message
        writer.put(_encode(fields) + b"\n")

    logger.remove()
    logger.add(sink, level=level, format="{message}", backtrace=False, diagnose=False)
    return writer


class Sampler:
    """Lets through a bounded number of lines a second, and counts the rest.

    Parameters
    ----------
    per_s : float
        Lines a second.
    """

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.allowance = per_s
        self.filled_at = time.monotonic()
        self.left_out = 0

    def allows(self) -> bool:
        """Return whether one more line may be written now."""
        now = time.monotonic()
        self.allowance = min(self.per_s, self.allowance + (now - self.filled_at) * self.per_s)
        self.filled_at = now
        if self.allowance < 1:
            self.left_out += 1
            return False
        self.allowance -= 1
        return True

    def take_left_out(self) -> int:
        """Return how many lines were left out since the last call."""
        left_out, self.left_out = self.left_out, 0
        return left_out


__all__ = ["LineWriter", "Sampler", "start_logs"]
