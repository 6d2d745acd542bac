"""Failures of processes: drained, frozen, killed, or without the store."""

import threading
import unittest

from tests.client import Caller, model_call
from tests.processes import cluster, wait_until

SLOW_ENGINE = {"slow_factor": 60.0}


class Drain(unittest.TestCase):
    def test_a_long_stream_completes_before_its_entry_exits(self):
        with cluster() as running:
            callers = [Caller(url) for url in running.entry_urls()]
            program = callers[0].create()
            slow_engines(running)
            stream = callers[0].stream("POST", calls_path(program), model_call("m1", "hello"))
            events = [next(stream)]
            draining = running.processes["entry-0"]
            draining.popen.terminate()
            events += stream
            self.assertEqual("done", events[-1]["type"])
            text = "".join(event["text"] for event in events if event["type"] == "delta")
            self.assertEqual(events[-1]["text"], text)
            self.assertEqual(0, draining.popen.wait(timeout=60))
            self.assertEqual(2, len(callers[1].read(program)["history"]))
            self.assertEqual("done", callers[2].model(program, "m2", "more")["type"])

    def test_calls_through_other_entries_are_answered_while_the_owner_drains(self):
        with cluster() as running:
            callers = [Caller(url) for url in running.entry_urls()]
            programs = [callers[0].create() for _ in range(8)]
            answers = {}

            def run(number, program):
                for turn in range(6):
                    call = f"m{turn}"
                    answer = callers[1 + number % 2].model(program, call, f"turn {turn}")
                    answers[program, turn] = answer

            threads = [
                threading.Thread(target=run, args=(number, program))
                for number, program in enumerate(programs)
            ]
            for thread in threads:
                thread.start()
            self.assertEqual(0, running.processes["entry-0"].terminate())
            for thread in threads:
                thread.join()
            self.assertEqual({"done"}, {answer["type"] for answer in answers.values()})
            for program in programs:
                self.assertEqual(12, len(callers[2].read(program)["history"]))


class Freeze(unittest.TestCase):
    def test_a_frozen_owner_has_no_effects_after_it_was_replaced(self):
        with cluster() as running:
            callers = [Caller(url) for url in running.entry_urls()]
            program = callers[0].create()
            callers[0].model(program, "m1", "hello")
            replaced = running.processes["entry-0"]
            replaced.freeze()
            wait_until(lambda: callers[1].read(program).get("state") == "open", "a new owner")
            self.assertEqual("done", callers[1].tool(program, "t1", "booking", slot=1)["type"])
            replaced.thaw()
            # The resumed entry still acts as the owner, and must learn that it was replaced.
            view = callers[0].read(program)
            self.assertEqual(["m1", "t1"], [call["call"] for call in view["calls"]])
            self.assertEqual("done", callers[0].tool(program, "t2", "booking", slot=2)["type"])
            keys = [effect["key"] for effect in effects(running)]
            self.assertEqual([f"{program}.t1", f"{program}.t2"], keys)


class StoreOutage(unittest.TestCase):
    def test_programs_continue_and_a_killed_entry_is_replaced_afterwards(self):
        with cluster() as running:
            callers = [Caller(url) for url in running.entry_urls()]
            first_program, second_program = callers[0].create(), callers[1].create()
            callers[0].model(first_program, "m1", "hello")
            set_store_faults(running, {"outage": "hang"})
            running.processes["entry-0"].kill()
            # Programs of other owners continue, and new ones are created, without the store.
            self.assertEqual("done", callers[1].model(second_program, "m1", "hello")["type"])
            created = callers[2].create()
            self.assertEqual("done", callers[2].model(created, "m1", "hello")["type"])
            # Calls to programs of the killed entry are refused as not run until the store is back.
            # A call sent before its failure is detected may have run, so the read waits for that.
            self.assertEqual("failure", callers[1].read(first_program)["type"])
            refused = callers[1].model(first_program, "m2", "more")
            self.assertEqual("not_run", refused["verdict"])
            self.assertIsNotNone(refused["retry_after_s"])
            set_store_faults(running, {"outage": "none"})
            wait_until(lambda: callers[1].read(first_program).get("state") == "open", "a new owner")
            self.assertEqual("done", callers[1].model(first_program, "m2", "more")["type"])
            self.assertEqual(4, len(callers[2].read(first_program)["history"]))


class FleetRestart(unittest.TestCase):
    def test_all_entries_are_killed_while_the_store_is_unavailable(self):
        with cluster(data_folders=True) as running:
            callers = [Caller(url) for url in running.entry_urls()]
            programs = [callers[number].create() for number in range(3)]
            for number, program in enumerate(programs):
                callers[number].model(program, "m1", "hello")
                self.assertEqual("done", callers[number].tool(program, "t1", "booking")["type"])
            wait_until(lambda: running.all_logs_have_copies(3), "three copies of every log")
            set_store_faults(running, {"outage": "hang"})
            for number in range(3):
                running.processes[f"entry-{number}"].kill()
            for number in range(3):
                running.restart_entry(number)
            callers = [Caller(url) for url in running.entry_urls()]
            # New programs are served without the store, while old programs wait for it.
            created = wait_for_program(callers[0])
            self.assertEqual("done", callers[1].model(created, "m1", "hello")["type"])
            refused = callers[0].tool(programs[0], "t2", "booking")
            self.assertEqual("not_run", refused["verdict"])
            set_store_faults(running, {"outage": "none"})
            for program in programs:
                wait_until(lambda p=program: callers[2].read(p).get("state") == "open", "an owner")
                self.assertEqual(3, len(callers[1].read(program)["history"]))
                repeated = callers[0].tool(program, "t1", "booking")
                self.assertEqual("done", repeated["type"])
                self.assertEqual("done", callers[0].model(program, "m2", "more")["type"])
            self.assertEqual(3, len(effects(running)))


def wait_for_program(caller):
    """Create a program as soon as an entry accepts one."""
    created = []

    def attempt():
        answer = caller.send("POST", "/v1/programs", {"program_class": "appointment"})
        created.append(answer.get("program"))
        return created[-1] is not None

    wait_until(attempt, "an entry to accept a program")
    return created[-1]


def calls_path(program):
    """Return the path of a program's calls."""
    return f"/v1/programs/{program}/calls"


def slow_engines(running):
    """Make the engines generate slowly."""
    for name in ("engine-1", "engine-2"):
        Caller(running.urls[name]).send("POST", "/standin/faults", SLOW_ENGINE)


def set_store_faults(running, faults):
    """Set the store stand-in's faults."""
    Caller(running.urls["store"]).send("POST", "/standin/faults", faults)


def effects(running):
    """Return the effects that the tool stand-in recorded."""
    return Caller(running.urls["tool-1"]).send("GET", "/standin/history")["effects"]
