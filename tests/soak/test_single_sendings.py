"""A short soak run of sound servers that pause, and tests of its checks."""

import unittest
from pathlib import Path

import msgspec

from tests.one_sending import DRAFTS
from tests.platform_cluster import CALL
from tests.soak.__main__ import PAUSED_SIZE
from tests.soak.endless_bytes import (
    ANSWER_LIMIT_S,
    READ_LIMIT_S,
    EndlessAnswer,
    EndlessKind,
    check_endless_answers,
)
from tests.soak.kinds import FaultKind, FaultOccurrence
from tests.soak.run import soak
from tests.soak.single_sendings import check_single_sendings
from tests.soak.workload import Attempt

ARTIFACTS = Path("runs/soak")
SEED = 2
SHORT = msgspec.structs.replace(PAUSED_SIZE, seconds=8.0, entries=4)
SENT_AT, ENDED_AT = 10.0, 11.0
SERVERS = {"r1": "server"}


def draft(**changes: object) -> Attempt:
    """Return a stream of one sending that was cut within its answer."""
    cut = Attempt("r1", DRAFTS, "front-0", SENT_AT, b"asks", status=200, ended_at=ENDED_AT)
    return msgspec.structs.replace(cut, **changes)


def fault(kind: FaultKind, where: str, ended_at: float = ENDED_AT) -> FaultOccurrence:
    """Return a fault that began shortly before its end."""
    return FaultOccurrence(kind, where, ended_at - 0.5, ended_at)


class ShortSoak(unittest.IsolatedAsyncioTestCase):
    async def test_no_answer_is_cut_while_sound_servers_pause_beside_changes(self) -> None:
        outcome = await soak(SEED, SHORT, ARTIFACTS)
        self.assertEqual(outcome.violations, [])
        self.assertGreater(outcome.served, 0)
        self.assertGreater(outcome.faults, 0)


class SingleSendings(unittest.TestCase):
    def violations(self, attempt: Attempt, *faults: FaultOccurrence) -> int:
        """Return the number of violations of one attempt."""
        return len(check_single_sendings([attempt], SERVERS, faults))

    def test_an_answer_that_is_cut_without_a_fault_is_a_violation(self) -> None:
        self.assertEqual(self.violations(draft()), 1)
        self.assertEqual(self.violations(draft(status=502, whole=True)), 1)
        self.assertEqual(self.violations(draft(whole=True)), 0)
        self.assertEqual(self.violations(draft(path=CALL)), 0, "may be sent twice")
        self.assertEqual(self.violations(draft(request="r2")), 0, "no server ran it")

    def test_pauses_and_planned_work_are_no_excuse(self) -> None:
        for kind, where in (
            (FaultKind.SERVER_PAUSES, "server"),
            (FaultKind.CHANGE_ROUTES, "store"),
            (FaultKind.STOP_ENTRY, "front-0"),
            (FaultKind.HUP, "front-0"),
        ):
            with self.subTest(kind):
                self.assertEqual(self.violations(draft(), fault(kind, where)), 1)

    def test_a_fault_of_the_entry_or_the_server_excuses_it_until_they_are_in_touch(self) -> None:
        for kind, where in (
            (FaultKind.KILL_ENTRY, "front-0"),
            (FaultKind.ENDLESS_BYTES, "server"),
            (FaultKind.KILL_ALL, "everywhere"),
        ):
            with self.subTest(kind):
                self.assertEqual(self.violations(draft(), fault(kind, where)), 0)
                early = fault(kind, where, ended_at=SENT_AT - 4.0)
                self.assertEqual(self.violations(draft(), early), 1)
        self.assertEqual(self.violations(draft(), fault(FaultKind.KILL_ENTRY, "front-1")), 1)


class EndlessAnswers(unittest.TestCase):
    def test_bytes_that_are_read_for_too_long_are_a_violation(self) -> None:
        for kind, is_stream, limit_s in (
            (EndlessKind.TRAILERS, True, READ_LIMIT_S),
            (EndlessKind.REFUSAL, False, READ_LIMIT_S),
            (EndlessKind.BODY, False, ANSWER_LIMIT_S),
            (EndlessKind.COMMENTS, True, READ_LIMIT_S),
            (EndlessKind.COMMENTS, False, ANSWER_LIMIT_S),
        ):
            for seconds, expected in ((limit_s - 0.1, 0), (limit_s + 0.1, 1)):
                answer = EndlessAnswer("r1", kind, is_stream, SENT_AT, seconds)
                self.assertEqual(len(check_endless_answers([answer])), expected)


if __name__ == "__main__":
    unittest.main()
