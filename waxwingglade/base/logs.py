"""Structured logs on standard output that never block the process.

Each line is a JSON object.  A separate thread writes the lines from a bounded queue.  If the reader
of the output is slow, the queue fills up, further lines are dropped, and their number is logged
later.
"""

import sys
import threading
import time
from collections import deque
from typing import Any

import msgspec
from loguru import logger

QUEUE_LINES = 5_000
"""Maximum number of queued lines, about 2 MB."""

BATCH_LINES = 200
"""Maximum number of lines per write; lines that are being written no longer count as queued."""

MAX_LINES_PER_S = 60.0
"""Maximum lines per second with the same event; the next such line has the number left out."""

MAX_EVENT_KINDS = 200
"""Maximum number of events that have their own rate limit; all further events share one limit."""

WRITE_PAUSE_S = 0.05
"""Seconds that the writing thread sleeps after each write, so that it writes lines in batches."""

_encode = msgspec.json.Encoder(enc_hook=str).encode


class LineWriter:
    """Writes lines from a bounded queue in a separate thread.

    Parameters
    ----------
    stream : binary file
        Destination of the lines.

    Attributes
    ----------
    dropped : int
        Number of lines dropped since the start.
    """

    def __init__(self, stream: Any) -> None:
        self.stream = stream
        self.lines: deque[bytes] = deque()
        self.dropped = 0
        self.reported_dropped = 0
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
        """Write the queued lines and end the thread; wait for at most `timeout_s` seconds."""
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
        if self.dropped > self.reported_dropped:
            batch.append(_encode({"event": "log lines dropped", "count": self.dropped}) + b"\n")
            self.reported_dropped = self.dropped
        try:
            self.stream.write(b"".join(batch))
            self.stream.flush()
        except OSError:
            # The reader of the logs has closed the pipe, so the error cannot be reported.
            self.dropped += len(batch)


def start_logs(process: str, level: str = "INFO") -> LineWriter:
    """Send all logs of this process to standard output.

    Parameters
    ----------
    process : str
        Name of the process, included in each line.
    level : str
        Lowest level that is logged.

    Returns
    -------
    LineWriter
        The writer, which has to be stopped before the process ends.
    """
    writer = LineWriter(sys.stdout.buffer)
    samplers: dict[str, Sampler] = {}

    def sink(message: Any) -> None:
        record = message.record
        # Each event has its own rate limit, so that a frequent event cannot suppress others.
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
    """Limits the rate of log lines with a token bucket, and counts the lines left out.

    Parameters
    ----------
    per_s : float
        Maximum lines per second; also the size of the bucket.
    """

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.tokens = per_s
        self.filled_at = time.monotonic()
        self.left_out = 0

    def allows(self) -> bool:
        """Return whether a line may be written now; otherwise count it as left out."""
        now = time.monotonic()
        self.tokens = min(self.per_s, self.tokens + (now - self.filled_at) * self.per_s)
        self.filled_at = now
        if self.tokens < 1:
            self.left_out += 1
            return False
        self.tokens -= 1
        return True

    def take_left_out(self) -> int:
        """Return the number of lines left out since the last call, and reset it."""
        left_out, self.left_out = self.left_out, 0
        return left_out


__all__ = ["LineWriter", "Sampler", "start_logs"]
