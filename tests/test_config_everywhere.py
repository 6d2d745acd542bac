"""An accepted configuration is in force at every entry and is never reverted."""

import base64
import contextlib
import json
import re
import tempfile
import threading
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from tests.client import Caller
from tests.processes import STORE_PREFIX, Cluster, Process, wait_until
from tests.prove.operators import APPROVER, TREE, operator_keys, token
from waxwingglade.base import ConfigVersion, EntryId, monotonic
from waxwingglade.proof.check_config import check_config
from waxwingglade.proof.history import ConfigInForce, History
from waxwingglade.version import load_copy

ZONES = ("zone-1", "zone-1", "zone-2", "zone-2")
WITH_FOLDER, WITHOUT_FOLDER, WITHOUT_STORE, LAST = range(4)
"""Numbers of the entries: the first has a data folder, and the third cannot reach the store."""

DEAD_STORE = "store-2"
HEAD_KEY = base64.b64encode(f"{STORE_PREFIX}config/head".encode()).decode()
IN_FORCE = re.compile(r"configuration version (\d+) in force")
OLDER_HEAD = "the store has configuration version 1, 2 is in force here and stays"
ROUNDS = 4
POLL_S = 0.05


class ConfigCluster(Cluster):
    """Entries with operators; one of them uses a second store that does not answer."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, ZONES)
        self.operator_ports = [self.ports.reserve() for _ in ZONES]

    def start(self) -> None:
        """Start the store that hangs, then everything else."""
        self.run(DEAD_STORE, ["standin", "store"])
        self.read_url(DEAD_STORE)
        self.set_store("hang", DEAD_STORE)
        super().start()

    def settings(self, number: int) -> dict[str, Any]:
        """Return one entry's settings."""
        settings = super().settings(number)
        settings["listen"]["operator_port"] = self.operator_ports[number]
        settings["operator_keys"] = operator_keys()
        settings["config"] = TREE
        if number == WITH_FOLDER:
            settings["data_folder"] = str(self.data_folder)
        if number == WITHOUT_STORE:
            settings["store"]["urls"] = [self.urls[DEAD_STORE]]
        return settings

    @property
    def data_folder(self) -> Path:
        """Data folder of the entry that has one."""
        return self.folder / "data"

    def entry(self, number: int) -> Process:
        """Return the process of an entry."""
        return self.processes[self.entry_name(number)]

    def set_store(self, outage: str, name: str = "store") -> None:
        """Set the outage of a store, ``none`` for none."""
        Caller(self.urls[name]).send("POST", "/standin/faults", {"outage": outage})

    def store_call(self, path: str, body: dict[str, str]) -> Any:
        """Call the store directly, as its administrator would."""
        return Caller(self.urls["store"]).send("POST", f"/v3/kv/{path}", body)

    def log_lines(self, number: int) -> list[str]:
        """Return the messages that an entry has logged, in all its processes."""
        lines = (self.folder / f"{self.entry_name(number)}.log").read_text().splitlines()
        return [json.loads(line)["message"] for line in lines if line.endswith("}")]


class ConfigPoller:
    """Polls the version in force at every entry, in one thread each."""

    def __init__(self, running: ConfigCluster) -> None:
        self.running = running
        self.history = History()
        self.stopped = threading.Event()
        numbers = range(len(ZONES))
        self.threads = [threading.Thread(target=self._poll, args=(each,)) for each in numbers]
        for thread in self.threads:
            thread.start()

    def _poll(self, number: int) -> None:
        entry = EntryId(self.running.entry_name(number))
        while not self.stopped.wait(POLL_S):
            # An entry does not answer while it is down or starting.
            with contextlib.suppress(OSError, ValueError):
                view = self.view(number)
                version = ConfigVersion(view["version"])
                self.history.record(ConfigInForce(monotonic(), entry, version, view["hash"]))

    def view(self, number: int) -> Any:
        """Return the configuration in force at an entry."""
        return self.operator(number).send("GET", "/v1/config", timeout_s=5.0)

    def operator(self, number: int, name: str = APPROVER) -> Caller:
        """Return an operator at an entry."""
        return Caller(f"http://127.0.0.1:{self.running.operator_ports[number]}", token(name))

    def close(self) -> None:
        """Stop polling."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()


class ConfigEverywhere(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.running = ConfigCluster(Path(folder.name))
        self.addCleanup(self.running.close)
        self.running.start()
        self.poller = ConfigPoller(self.running)
        self.addCleanup(self.poller.close)
        self.wait_for_all(1)

    def test_a_change_is_in_force_everywhere_and_an_older_store_does_not_revert_it(self):
        refused = self.propose(WITHOUT_STORE, "pekka", 700)
        self.assertEqual("not_run", refused["verdict"])
        first_head = self.running.store_call("range", {"key": HEAD_KEY})["kvs"][0]["value"]
        accepted = self.change(WITH_FOLDER, WITHOUT_FOLDER, 700)
        self.assertEqual(2, accepted["version"])
        self.wait_for_all(2)
        for number in range(len(ZONES)):
            self.assertEqual(700, self.poller.view(number)["tree"]["firm"]["queue_limit"])
        # Only peers can have sent this entry the version and the confirmation by the store.
        self.wait_for(lambda: self.poller.view(WITHOUT_STORE)["confirmed"], "a confirmation")
        self.assertEqual("peer", self.poller.view(WITHOUT_STORE)["source"])
        self.running.store_call("put", {"key": HEAD_KEY, "value": first_head})
        for number in (WITH_FOLDER, WITHOUT_FOLDER):
            # Each of them watches the store for its zone.
            self.wait_for(lambda n=number: self.saw_older_head(n), "the older head to be seen")
        self.check_never_reverted()

    def test_a_change_survives_a_store_outage_and_restarts_during_it(self):
        self.change(WITH_FOLDER, WITHOUT_FOLDER, 700)
        self.running.set_store("hang")
        self.wait_for_all(2)
        for number in (WITH_FOLDER, WITHOUT_FOLDER):
            self.restart(number)
            self.assertEqual(2, self.poller.view(number)["version"])
        self.assertEqual("peer", self.poller.view(WITHOUT_FOLDER)["source"])
        # Without any peer, the version can only come from the copy in the data folder.
        self.wait_for(self.has_copy_of_version_2, "the copy in the data folder")
        for number in range(len(ZONES)):
            self.running.entry(number).kill()
        self.running.restart_entry(WITH_FOLDER)
        view = self.poller.view(WITH_FOLDER)
        self.assertEqual((2, "copy", False), (view["version"], view["source"], view["confirmed"]))
        for number in (WITHOUT_FOLDER, WITHOUT_STORE, LAST):
            self.running.restart_entry(number)
            view = self.poller.view(number)
            self.assertEqual((2, "peer"), (view["version"], view["source"]))
        self.running.set_store("none")
        self.wait_for(lambda: self.poller.view(LAST)["confirmed"], "a confirmation")
        self.assertEqual(3, self.change(LAST, LAST, 800)["version"])
        self.wait_for_all(3)
        self.check_never_reverted()

    def test_of_two_concurrent_proposals_one_is_accepted_and_both_operators_learn_it(self):
        for number in range(ROUNDS):
            version = 2 + number
            proposals = [
                self.propose(WITH_FOLDER, "pekka", 600 + number),
                self.propose(LAST, "sanni", 800 + number),
            ]
            with ThreadPoolExecutor(2) as pool:
                entries = (LAST, WITHOUT_FOLDER)
                answers = list(pool.map(self.approve, entries, proposals))
            states = [answer["proposal"]["state"] for answer in answers]
            self.assertEqual(["accepted", "open"], sorted(states))
            accepted_one, open_one = (
                answers[states.index(state)] for state in ("accepted", "open")
            )
            self.assertEqual(version, accepted_one["proposal"]["version"])
            self.assertTrue(open_one["waits_for"])
            self.assert_repeated_answers(accepted_one["proposal"], open_one["proposal"])
            self.wait_for_all(version)
            value = accepted_one["proposal"]["changes"][0]["value"]
            for entry in range(len(ZONES)):
                tree = self.poller.view(entry)["tree"]
                self.assertEqual(value, tree["firm"]["queue_limit"])
        self.check_never_reverted()

    def assert_repeated_answers(
        self, accepted_one: dict[str, Any], open_one: dict[str, Any]
    ) -> None:
        """Accept both proposals again: the answers are the same, and nothing changes."""
        path = "/v1/config/proposals/{}/accept"
        repeated = self.poller.operator(LAST, accepted_one["proposer"]).send(
            "POST", path.format(accepted_one["id"])
        )
        self.assertEqual(accepted_one["version"], repeated["proposal"]["version"])
        refused = self.poller.operator(LAST, open_one["proposer"]).send(
            "POST", path.format(open_one["id"])
        )
        self.assertEqual(("not_run", "conflict"), (refused["verdict"], refused["code"]))
        newest = self.poller.operator(LAST).send("GET", "/v1/config/history")["versions"][0]
        self.assertEqual(
            (accepted_one["version"], accepted_one["id"]), (newest["version"], newest["proposal"])
        )

    def propose(self, number: int, operator: str, value: int) -> Any:
        """Propose a value at an entry; return the answer."""
        changes = [{"level": "firm", "setting": "queue_limit", "value": value}]
        body = {"changes": changes}
        return self.poller.operator(number, operator).send("POST", "/v1/config/proposals", body)

    def approve(self, number: int, proposal: dict[str, Any]) -> Any:
        """Approve a proposal at an entry; return the answer."""
        path = f"/v1/config/proposals/{proposal['proposal']['id']}/approve"
        body = {"text_digest": proposal["text_digest"]}
        return self.poller.operator(number).send("POST", path, body)

    def change(self, proposed_at: int, approved_at: int, value: int) -> Any:
        """Propose and approve a value at two entries; return the accepted proposal."""
        answer = self.approve(approved_at, self.propose(proposed_at, "pekka", value))
        self.assertEqual("accepted", answer["proposal"]["state"], answer)
        return answer["proposal"]

    def restart(self, number: int) -> None:
        """Kill an entry and restart it."""
        self.running.entry(number).kill()
        self.running.restart_entry(number)

    def has_copy_of_version_2(self) -> bool:
        copy = load_copy(self.running.data_folder)
        return copy is not None and copy.version == 2

    def saw_older_head(self, number: int) -> bool:
        return OLDER_HEAD in self.running.log_lines(number)

    def wait_for(self, condition, what: str) -> None:
        """Wait for a condition."""
        wait_until(condition, what)

    def wait_for_all(self, version: int) -> None:
        """Wait until every entry has a version in force."""
        numbers = range(len(ZONES))
        wait_until(
            lambda: {self.poller.view(each)["version"] for each in numbers} == {version},
            f"version {version} at all entries",
        )

    def check_never_reverted(self) -> None:
        """Check that no polled answer and no logged version goes back to an older version."""
        self.poller.close()
        self.assertEqual([], check_config(self.poller.history))
        for number in range(len(ZONES)):
            matches = map(IN_FORCE.search, self.running.log_lines(number))
            versions = [int(match[1]) for match in matches if match]
            self.assertTrue(versions)
            self.assertEqual(sorted(versions), versions)
