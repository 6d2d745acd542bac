"""A short run of the soak, and the checks on histories that break a promise."""

import time
import unittest
from pathlib import Path

import msgspec

from tests.platform_cluster import ORDER, STREAM
from tests.soak.checks import answer_to_turn, check, check_drained
from tests.soak.run import Size, soak
from tests.soak.workload import Attempt
from waxwingglade.standins.registered_server import Run, answer_to

KEPT = Path("runs/soak")
SHORT = Size(seconds=6.0, entries=2, programs=4, plain=2)
SEED = 7
PROMPT = b"asks"


def turn(name: str, **changes: object) -> Attempt:
    """Return a turn that was answered whole."""
    whole = Attempt(
        name, STREAM, "front-0", 1.0, PROMPT, None, "p", 80, 200, True, answer_to_turn(PROMPT)
    )
    return msgspec.structs.replace(whole, **changes)


def order(**changes: object) -> Attempt:
    """Return a call that may run once, answered whole."""
    whole = Attempt("o", ORDER, "front-0", 1.0, PROMPT, status=200, whole=True)
    return msgspec.structs.replace(whole, **{"answer": answer_to(PROMPT), **changes})


def run_of(name: str, body: bytes = PROMPT, path: str = STREAM, began_at: float = 1.0) -> Run:
    """Return what a server ran."""
    return Run(name, "POST", path, {}, body, began_at)


class ShortSoak(unittest.IsolatedAsyncioTestCase):
    async def test_no_promise_is_broken(self) -> None:
        outcome = await soak(SEED, SHORT, KEPT)
        self.assertEqual(outcome.broken, [])
        self.assertGreater(outcome.served, 0)
        self.assertGreater(outcome.faults, 0)

    async def test_none_is_broken_while_all_open_connections_fall_silent(self) -> None:
        outcome = await soak(
            SEED, msgspec.structs.replace(SHORT, seconds=10.0, silences=True), KEPT
        )
        self.assertEqual(outcome.broken, [])
        self.assertGreater(outcome.served, 0)


class Checks(unittest.TestCase):
    def test_good_histories_pass(self) -> None:
        first, second = turn("a"), turn("b")
        self.assertEqual(check([first, second], [run_of("a"), run_of("b")]), [])
        self.assertEqual(check([order()], [run_of("o", path=ORDER)]), [])

    def test_each_broken_promise_is_found(self) -> None:
        ran = run_of("o", path=ORDER)
        later = turn("b", previous="a", body=b"more", answer=answer_to_turn(b"more"))
        many = [turn(f"t{number}") for number in range(4)]
        cases = {
            "ran 2 times": ([order()], [ran, ran]),
            "refused as not run": ([order(status=503, whole=False)], [ran]),
            "not that of its own": ([order(answer=b"another")], [ran]),
            "another prompt": ([turn("a"), later], [run_of("a"), run_of("b", b"more")]),
            "404": ([turn("a"), turn("b", previous="a", status=404)], [run_of("a")]),
            "tokens of a budget": (many, [run_of(each.request) for each in many]),
            "402, though": ([turn("a", status=402, whole=False, answer=b"")], []),
            "nobody sent it": ([], [ran]),
        }
        for text, (attempts, runs) in cases.items():
            with self.subTest(text):
                self.assertIn(text, "\n".join(check(attempts, runs)))

    def test_work_for_a_server_that_has_drained(self) -> None:
        now = time.monotonic()
        late = [run_of("a", began_at=now + 4.0)]
        self.assertEqual(len(check_drained("i-1", now, True, late)), 1)
        self.assertEqual(check_drained("i-1", now, False, late), [])
        self.assertEqual(check_drained("i-1", now, True, [run_of("a", began_at=now + 1.0)]), [])


if __name__ == "__main__":
    unittest.main()
