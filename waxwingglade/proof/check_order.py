"""Check that the calls of one conversation run in their order.

The numbers of the calls give their order.  Calls without a number are in order if a caller knew
that the first was complete before it submitted the second.
"""

from waxwingglade.base import ProgramId
from waxwingglade.proof.history import History
from waxwingglade.proof.index import CallKey, Exchange, Run, call_exchanges, done_at, runs
from waxwingglade.proof.violation import Point, Violation


def check_order(history: History) -> list[Violation]:
    """Return the calls that reached a target after a call that comes later in the order."""
    submissions = call_exchanges(history)
    reached = runs(history)
    by_program: dict[ProgramId, list[CallKey]] = {}
    for key in submissions:
        by_program.setdefault(key.program, []).append(key)
    found: list[Violation] = []
    for keys in by_program.values():
        for before in keys:
            for after in keys:
                if _comes_before(submissions[before], submissions[after]):
                    found += _compare(before, after, reached)
    return found


def _comes_before(before: list[Exchange], after: list[Exchange]) -> bool:
    numbers = _number(before), _number(after)
    if None not in numbers:
        return numbers[0] < numbers[1]
    known = done_at(before)
    return known is not None and known <= after[0].submitted.at


def _number(attempts: list[Exchange]) -> int | None:
    return attempts[0].submitted.request.call.order


def _compare(before: CallKey, after: CallKey, reached: dict[CallKey, list[Run]]) -> list[Violation]:
    earlier, later = reached.get(before, []), reached.get(after, [])
    late = [run for run in earlier if later and run.at > later[0].at]
    if not late:
        return []
    text = f"call {before.call} reached {late[0].seen.target} after call {after.call} had"
    return [Violation(Point.ORDER, before.program, text, [late[0].seen, later[0].seen])]
