"""Starts the processes of the system for tests, and ends them by their process ids."""

import base64
import contextlib
import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import yaml

from tests.ports import ReservedPorts
from waxwingglade.process.directory import KEY_PREFIX, LogEntry, decode_entry

TOKEN = "token-of-kettu"
TENANT = "kettu"
SALT = "salt"
WAIT_TIMEOUT_S = 30.0
STORE_PREFIX = "/waxwingglade/"
STORE_TIMEOUT_S = 5.0

ZONES = ("helsinki-1", "helsinki-2", "helsinki-3")


class Process:
    """One process that is started by a test.

    Parameters
    ----------
    arguments : list of str
        Arguments of the command.
    log : Path
        File that its standard error is appended to.
    module : str
        Module that is run.
    checkout : Path, optional
        Folder of another checkout to run it from, to compare two versions.
    """

    def __init__(
        self,
        arguments: list[str],
        log: Path,
        module: str = "waxwingglade",
        checkout: Path | None = None,
    ) -> None:
        self.log = log
        command = [sys.executable, "-m", module, *arguments]
        environment = (
            os.environ if checkout is None else {**os.environ, "PYTHONPATH": str(checkout)}
        )
        with log.open("ab") as errors:
            self.popen = subprocess.Popen(
                command,
                stdout=subprocess.PIPE,
                stderr=errors,
                text=True,
                cwd=checkout,
                env=environment,
            )

    def first_line(self) -> str:
        """Return the first line of its output, which is its URL."""
        assert self.popen.stdout is not None
        return self.popen.stdout.readline().strip()

    def kill(self) -> None:
        """Kill it, and wait until it has ended."""
        self.popen.kill()
        self.popen.wait()

    def freeze(self) -> None:
        """Stop it with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume it with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> int:
        """Send SIGTERM, and return its exit status."""
        self.popen.terminate()
        return self.popen.wait(timeout=WAIT_TIMEOUT_S)

    def close(self) -> None:
        """Kill it if it is still running."""
        with contextlib.suppress(ProcessLookupError):
            self.popen.kill()
        self.popen.wait()
        if self.popen.stdout is not None:
            self.popen.stdout.close()


class Cluster:
    """Stand-ins and entries as separate processes on the loopback address.

    Parameters
    ----------
    folder : Path
        Folder of the settings and logs.
    zones : sequence of str
        Availability zone of each entry to start.
    overrides : mapping, optional
        Settings that differ from the defaults here, by section.
    data_folders : bool
        Whether the entries keep their copies of logs on disk.
    """

    def __init__(
        self,
        folder: Path,
        zones: tuple[str, ...],
        overrides: dict[str, Any] | None = None,
        data_folders: bool = False,
    ) -> None:
        self.folder = folder
        self.data_folders = data_folders
        self.zones = zones
        self.overrides = overrides or {}
        self.processes: dict[str, Process] = {}
        self.urls: dict[str, str] = {}
        self.ports = ReservedPorts()
        self.peer_ports = [self.ports.reserve() for _ in zones]

    def start(self) -> None:
        """Start the stand-ins, then the entries."""
        for name, kind in (("store", "store"), ("engine-1", "engine"), ("engine-2", "engine")):
            self.run(name, ["standin", kind])
        self.run("tool-1", ["standin", "tool"])
        for name in ("store", "engine-1", "engine-2", "tool-1"):
            self.read_url(name)
        for number in range(len(self.zones)):
            self.run(self.entry_name(number), ["serve", str(self.write_settings(number))])
        for number in range(len(self.zones)):
            self.read_url(self.entry_name(number))

    def restart_entry(self, number: int) -> None:
        """Restart an entry with the same settings."""
        self.run(self.entry_name(number), ["serve", str(self.write_settings(number))])
        self.read_url(self.entry_name(number))

    @staticmethod
    def entry_name(number: int) -> str:
        """Return the name of an entry."""
        return f"entry-{number}"

    def entry_urls(self) -> list[str]:
        """Return the URLs at which the entries serve callers."""
        return [self.urls[self.entry_name(number)] for number in range(len(self.zones))]

    def run(self, name: str, arguments: list[str]) -> None:
        """Start a process under a name."""
        self.processes[name] = Process(arguments, self.folder / f"{name}.log")

    def read_url(self, name: str) -> None:
        """Wait until a process prints its URL, and store it."""
        self.urls[name] = self.processes[name].first_line()
        if not self.urls[name]:
            raise RuntimeError((self.folder / f"{name}.log").read_text())

    def write_settings(self, number: int) -> Path:
        """Write one entry's settings file and return its path."""
        path = self.folder / f"entry-{number}.yaml"
        path.write_text(yaml.safe_dump(self.settings(number)))
        return path

    def settings(self, number: int) -> dict[str, Any]:
        """Return one entry's settings."""
        settings: dict[str, Any] = {
            "entry": self.entry_name(number),
            "zone": self.zones[number],
            "listen": {"peer_port": self.peer_ports[number]},
            "store": {"urls": [self.urls["store"]], "timeout_s": 1.0, "calls_per_second": 50.0},
            "durability": {
                "heartbeat_s": 0.1,
                "suspect_after_s": 0.8,
                "takeover_period_s": 0.1,
                "append_timeout_s": 3.0,
            },
            "caller_keys": [caller_key()],
            "peers": [
                {"entry": self.entry_name(other), "zone": zone, "peer_address": self.peer(other)}
                for other, zone in enumerate(self.zones)
                if other != number
            ],
            "targets": [*self.engines(), self.service()],
        }
        if self.data_folders:
            settings["data_folder"] = str(self.folder / f"data-{number}")
        for section, values in self.overrides.items():
            if isinstance(values, dict):
                settings[section] = {**settings.get(section, {}), **values}
            else:
                settings[section] = values
        return settings

    def peer(self, number: int) -> str:
        """Return the endpoint of an entry for its peers."""
        return f"tcp://127.0.0.1:{self.peer_ports[number]}"

    def engines(self) -> list[dict[str, Any]]:
        """Return the settings of the engines."""
        return [
            {
                "target": name,
                "kind": "model",
                "zone": self.zones[0],
                "url": self.urls[name],
                "models": ["base"],
            }
            for name in ("engine-1", "engine-2")
        ]

    def service(self) -> dict[str, Any]:
        """Return the settings of the tool stand-in."""
        return {
            "target": "tool-1",
            "kind": "service",
            "zone": self.zones[0],
            "url": self.urls["tool-1"],
            "tools": [
                {"tool": "booking", "path": "/booking", "answers_by_key": True},
                {"tool": "notice", "path": "/notice", "answers_by_key": True},
                {"tool": "order", "path": "/order"},
                {"tool": "lookup", "path": "/lookup", "idempotent": True},
            ],
        }

    def log_records(self) -> list[LogEntry]:
        """Return the store's entries of all logs."""
        start = f"{STORE_PREFIX}{KEY_PREFIX}".encode()
        end = start[:-1] + bytes([start[-1] + 1])
        body = {
            "key": base64.b64encode(start).decode(),
            "range_end": base64.b64encode(end).decode(),
        }
        request = urllib.request.Request(
            self.urls["store"] + "/v3/kv/range", json.dumps(body).encode()
        )
        with urllib.request.urlopen(request, timeout=STORE_TIMEOUT_S) as answer:
            found = msgspec.json.decode(answer.read())
        return [decode_entry(base64.b64decode(kv["value"])) for kv in found.get("kvs", [])]

    def all_logs_have_copies(self, copies: int) -> bool:
        """Return whether the store lists at least that many copies of every log."""
        records = self.log_records()
        return bool(records) and all(len(record.copies) >= copies for record in records)

    def close(self) -> None:
        """Kill every process."""
        for process in self.processes.values():
            process.close()
        self.ports.close()


@contextlib.contextmanager
def cluster(
    zones: tuple[str, ...] = ZONES,
    overrides: dict[str, Any] | None = None,
    data_folders: bool = False,
) -> Iterator[Cluster]:
    """Run a cluster for the duration of a test."""
    with tempfile.TemporaryDirectory() as folder:
        running = Cluster(Path(folder), zones, overrides, data_folders)
        try:
            running.start()
            yield running
        finally:
            running.close()


def caller_key() -> dict[str, str]:
    """Return the settings of the test caller's key."""
    digest = hashlib.sha256(f"{SALT}{TOKEN}".encode()).hexdigest()
    return {"tenant": TENANT, "salt": SALT, "sha256": digest}


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait for a condition, and fail the test on a timeout."""
    end = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"timed out waiting for {what}")
