"""Test the commands that send requests to a running entry."""

import unittest

from loguru import logger

from waxwingglade.cli.exits import ExitStatus
from waxwingglade.cli.tests.cli_builders import OPERATORS, CommandLine
from waxwingglade.demo.embedded import EmbeddedSettings, embedded, wait_until

SETTINGS = EmbeddedSettings(operators=OPERATORS)


def setUpModule():
    """Disable the logs of the entry, which would mix with the output of commands in one process."""
    logger.disable("waxwingglade")
    unittest.addModuleCleanup(logger.enable, "waxwingglade")


class Programs(unittest.IsolatedAsyncioTestCase):
    async def test_a_program_is_created_listed_shown_and_cancelled(self):
        async with embedded(SETTINGS) as running:
            command = CommandLine(running)
            program = (await command.json("program", "create", "kettu", "appointment"))["program"]
            listed = await command.json("program", "list", "--tenant", "kettu")
            self.assertEqual([program], [each["program"] for each in listed["programs"]])
            table = await command.run("program", "list")
            self.assertIn(program, table.output)
            self.assertIn("PROGRAM", table.output)
            shown = await command.run("program", "show", program)
            self.assertIn("turns          0 of 100", shown.output)
            history = await command.json("program", "history", program)
            self.assertEqual([], history["messages"])
            cancelled = await command.json("program", "cancel", program, "--reason", "test")
            self.assertEqual("test", cancelled["end_reason"])
            self.assertEqual("", (await command.run("program", "history", program)).output)

    async def test_every_failure_has_one_line_and_a_status(self):
        async with embedded(SETTINGS) as running:
            admin, proposer = CommandLine(running), CommandLine(running, "petra")
            stranger = CommandLine(running)
            stranger.environment["WAXWINGGLADE_TOKEN"] = "wrong"
            unset = CommandLine(running)
            unset.environment = {"WAXWINGGLADE_TOKEN": "", "WAXWINGGLADE_URL": ""}
            nowhere = ("--url", "http://127.0.0.1:9")
            cases = [
                (admin, ("program", "show", "unknown"), ExitStatus.NOT_FOUND),
                (admin, ("program", "create", "kettu", "Not A Name"), ExitStatus.USAGE),
                (admin, ("program", "show", "unknown", *nowhere), ExitStatus.UNREACHED),
                (admin, ("drain", "--token-file", "/nonexistent"), ExitStatus.USAGE),
                (admin, ("config", "propose", "firm", "deadline_s"), ExitStatus.USAGE),
                (admin, ("config", "approve", "unknown"), ExitStatus.NOT_FOUND),
                (proposer, ("program", "cancel", "unknown"), ExitStatus.DENIED),
                (stranger, ("status",), ExitStatus.DENIED),
                (unset, ("status",), ExitStatus.USAGE),
            ]
            for command, arguments, status in cases:
                with self.subTest(arguments):
                    result = await command.run(*arguments)
                    self.assertEqual((status, ""), (result.status, result.output), result)
                    self.assertEqual(1, len(result.errors.splitlines()), result)


class Entry(unittest.IsolatedAsyncioTestCase):
    async def test_status_and_drain(self):
        async with embedded(SETTINGS) as running:
            command = CommandLine(running)
            status = await command.run("status")
            for text in ("entry-1 in helsinki-1, alive", "engine-1", "TARGET"):
                self.assertIn(text, status.output)
            self.assertEqual("entry-1", (await command.json("status"))["entry"])
            self.assertEqual(0, (await command.run("drain")).status)
            self.assertTrue(running.daemons[0].drain_requested.is_set())


class Config(unittest.IsolatedAsyncioTestCase):
    async def test_a_change_is_proposed_approved_and_explained(self):
        async with embedded(SETTINGS) as running:
            config = running.daemons[0].entry.config
            await wait_until(lambda: config.current.version == 1)
            proposer, approver = CommandLine(running, "petra"), CommandLine(running, "amos")
            level = "tenant:kettu/appointment"
            changes = ("urgency=urgent", "budget.tokens=5000")
            proposed = await proposer.json("config", "propose", level, *changes)
            name = proposed["proposal"]["id"]
            status = await proposer.run("config", "status")
            self.assertIn(name, status.output)
            own = await proposer.run("config", "approve", name)
            self.assertEqual(ExitStatus.DENIED, own.status)
            approved = await approver.run("config", "approve", name)
            self.assertIn("accepted as version 2", approved.output)
            explained = await proposer.run("config", "explain", "kettu", "appointment")
            self.assertRegex(explained.output, rf"budget.tokens +5000 +{level}")
            shown = await proposer.run("config", "show")
            self.assertIn("urgency: urgent", shown.output)
            history = await proposer.json("config", "history")
            self.assertEqual([2, 1], [each["version"] for each in history["versions"]])
            self.assertIn("petra", (await proposer.run("config", "history")).output)

    async def test_proposals_are_rejected_and_withdrawn(self):
        async with embedded(SETTINGS) as running:
            config = running.daemons[0].entry.config
            await wait_until(lambda: config.current.version == 1)
            proposer, approver = CommandLine(running, "petra"), CommandLine(running, "amos")
            names = []
            for value in ("10", "20"):
                made = await proposer.json("config", "propose", "firm", f"deadline_s={value}")
                names.append(made["proposal"]["id"])
            rejected = await approver.json("config", "reject", names[0], "--reason", "too short")
            self.assertEqual("rejected", rejected["proposal"]["state"])
            withdrawn = await proposer.json("config", "withdraw", names[1])
            self.assertEqual("withdrawn", withdrawn["proposal"]["state"])
            late = await approver.run("config", "accept", names[0])
            self.assertEqual(ExitStatus.CONFLICT, late.status)
