"""End-to-end path with separate processes: entries, store, engines and tools."""

import unittest

from tests.client import Caller, model_call
from tests.processes import cluster, wait_until


class EndToEnd(unittest.TestCase):
    def test_a_program_runs_until_it_is_ended(self):
        with cluster() as running:
            callers = [Caller(url) for url in running.entry_urls()]
            program = callers[0].create()
            first = callers[0].model(program, "m1", "I need a meeting on Monday")
            self.assertEqual("done", first["type"])
            # The next calls go to entries that do not own the program.
            booked = callers[1].tool(program, "t1", "booking", slot="monday-9")
            self.assertEqual("done", booked["type"])
            second = callers[2].model(program, "m2", "Please confirm")
            self.assertEqual("done", second["type"])
            view = callers[1].read(program)
            roles = [message["role"] for message in view["history"]]
            self.assertEqual(["user", "assistant", "tool", "user", "assistant"], roles)
            self.assertEqual(first["text"], view["history"][1]["content"])
            # A repeat with the same call id is answered from the log, at any entry.
            self.assertEqual(booked, callers[2].tool(program, "t1", "booking", slot="monday-9"))
            self.assertEqual(first, callers[1].model(program, "m1", "I need a meeting on Monday"))
            ended = callers[2].end(program)
            self.assertEqual("ended", ended["state"])
            self.assertEqual(1, len(effects(running)))
            wait_until(lambda: cached_programs(running) == [], "the engines to release the cache")

    def test_a_stream_is_resumed_at_another_entry(self):
        with cluster() as running:
            callers = [Caller(url) for url in running.entry_urls()]
            program = callers[0].create()
            path = f"/v1/programs/{program}/calls"
            events = list(callers[1].stream("POST", path, model_call("m1", "hello")))
            text = "".join(event["text"] for event in events if event["type"] == "delta")
            self.assertEqual("done", events[-1]["type"])
            self.assertEqual(events[-1]["text"], text)
            attempt = events[0]["attempt"]
            resume_path = f"{path}/m1/events?offset=5&attempt={attempt}"
            remaining = list(callers[2].stream("GET", resume_path))
            self.assertEqual(text[5:], remaining[0]["text"])

    def test_an_entry_is_killed_between_turns(self):
        with cluster() as running:
            callers = [Caller(url) for url in running.entry_urls()]
            program = callers[0].create()
            first = callers[0].model(program, "m1", "hello")
            running.processes["entry-0"].kill()
            wait_until(lambda: callers[1].read(program).get("state") == "open", "a new owner")
            second = callers[2].model(program, "m2", "and again")
            self.assertEqual("done", second["type"])
            history = callers[1].read(program)["history"]
            self.assertEqual(first["text"], history[1]["content"])
            self.assertEqual(4, len(history))


class LargeFleet(unittest.TestCase):
    def test_a_program_is_found_and_taken_over_if_few_entries_watch_each_other(self):
        zones = ("zone-1", "zone-1", "zone-2", "zone-2", "zone-3", "zone-3")
        overrides = {"durability": {"watch_all_up_to": 1, "remote_watched": 1}}
        with cluster(zones, overrides) as running:
            callers = [Caller(url) for url in running.entry_urls()]
            program = create_when_ready(callers[0])
            self.assertEqual("done", callers[0].model(program, "m1", "hello")["type"])
            for caller in callers:
                self.assertEqual(2, len(caller.read(program)["history"]))
            running.processes["entry-0"].kill()
            for caller in callers[1:]:
                wait_until(lambda c=caller: c.read(program).get("state") == "open", "a new owner")
            self.assertEqual("done", callers[5].model(program, "m2", "more")["type"])
            for caller in callers[1:]:
                self.assertEqual(4, len(caller.read(program)["history"]))


def create_when_ready(caller):
    """Create a program as soon as the entry has found its peers."""
    answers = []

    def attempt():
        answers.append(caller.send("POST", "/v1/programs", {"program_class": "appointment"}))
        return "program" in answers[-1]

    wait_until(attempt, "an entry to accept a program")
    return answers[-1]["program"]


def effects(running):
    """Return the effects that the tool stand-in recorded."""
    return Caller(running.urls["tool-1"]).send("GET", "/standin/history")["effects"]


def cached_programs(running):
    """Return the programs whose cache an engine holds."""
    names = ("engine-1", "engine-2")
    answers = [Caller(running.urls[name]).send("GET", "/v1/cache/held") for name in names]
    return [program for answer in answers for program in answer["programs"]]
