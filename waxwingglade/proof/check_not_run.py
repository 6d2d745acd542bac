"""Check that a request that is refused as "not run" did not run.

A caller may send the same call several times.  So each run of a call needs a request that was sent
before it and that was not refused as "not run".
"""

from waxwingglade.proof.history import History
from waxwingglade.proof.index import call_exchanges, end_requests, ended_at, last_views, runs
from waxwingglade.proof.violation import Point, Violation


def check_not_run(history: History) -> list[Violation]:
    """Return the runs of calls whose every request was refused as "not run"."""
    submissions = call_exchanges(history)
    found = []
    for key, reached in runs(history).items():
        for run in reached:
            before = [e for e in submissions.get(key, []) if e.submitted.at <= run.at]
            if all(each.was_refused() for each in before):
                state = "was refused as not run" if before else "was not requested"
                text = f"call {key.call} {state} but reached {run.seen.target}"
                events = [run.seen, *(each.answered for each in before)]
                found.append(Violation(Point.NOT_RUN, key.program, text, events))
    return found + _refused_ends(history) + _refused_records(history)


def _refused_ends(history: History) -> list[Violation]:
    """Return the programs that ended although every request to end them was refused."""
    found = []
    ended = ended_at(history)
    for program, attempts in end_requests(history).items():
        if program in ended and all(each.was_refused() for each in attempts):
            text = "it ended although each request to end it was refused as not run"
            found.append(Violation(Point.NOT_RUN, program, text))
    return found


def _refused_records(history: History) -> list[Violation]:
    """Return the calls that a program's view has as run although each request was refused."""
    submissions = call_exchanges(history)
    views = last_views(history)
    found = []
    for key, attempts in submissions.items():
        view = views.get(key.program)
        known = {each.call for each in view.calls if each.outcome is not None} if view else set()
        if key.call in known and all(each.was_refused() for each in attempts):
            text = f"call {key.call} was refused as not run but is in the program's record"
            found.append(Violation(Point.NOT_RUN, key.program, text))
    return found
