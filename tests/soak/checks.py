"""What callers and servers saw in a soak, held against the system's promises."""

from collections import defaultdict
from collections.abc import Mapping

from tests.platform_cluster import CALL, STREAM
from tests.soak.workload import MOST_TOKENS, NO_ANSWER, Attempt
from waxwingglade.standins.registered_server import Run, answer_to, event_data

EVENTS = 4
NOT_RUN = (408, 421, 429, 503)
UNDECIDED = (NO_ANSWER, 500, 502, 504)
"""Statuses after which a turn may have run."""

DRAINED_S = 3.5
"""Seconds after which a server that drains gets no more work, the store being reached."""


def check(attempts: list[Attempt], runs: list[Run]) -> list[str]:
    """Return what broke a promise, one line each."""
    ran: defaultdict[str, list[Run]] = defaultdict(list)
    for run in runs:
        ran[run.request].append(run)
    known = {attempt.request: attempt for attempt in attempts}
    broken = [f"{name} ran, but nobody sent it" for name in ran if name not in known]
    for attempt in attempts:
        broken += _check_runs(attempt, ran[attempt.request])
        if attempt.status == 200 and attempt.whole:
            broken += _check_answer(attempt, known)
        broken += _check_prompt(attempt, ran[attempt.request], known)
        if attempt.status == 404:
            broken.append(f"{attempt.request}: 404 for {attempt.path} after {attempt.previous}")
    return broken + _check_budgets(attempts, ran)


def _check_runs(attempt: Attempt, runs: list[Run]) -> list[str]:
    name = f"{attempt.request} ({attempt.path} at {attempt.entry}, status {attempt.status})"
    broken = []
    if attempt.path != CALL and len(runs) > 1:
        broken.append(f"{name} ran {len(runs)} times")
    if attempt.status in (*NOT_RUN, 402, 404) and runs:
        broken.append(f"{name} was refused as not run, and ran")
    return broken


def _check_answer(attempt: Attempt, known: dict[str, Attempt]) -> list[str]:
    if attempt.path != STREAM:
        wanted = answer_to(attempt.body)
    else:
        wanted = answer_to_turn(prompt_of(attempt, known))
    if attempt.answer == wanted:
        return []
    return [f"{attempt.request}: the answer is not that of its own prompt: {attempt.answer[:80]!r}"]


def answer_to_turn(prompt: bytes) -> bytes:
    """Return the whole stream that answers a prompt."""
    return b"".join(
        b"id: %d\ndata: %s\n\n" % (number, event_data(prompt, number))
        for number in range(1, EVENTS + 1)
    )


def _check_prompt(attempt: Attempt, runs: list[Run], known: dict[str, Attempt]) -> list[str]:
    if attempt.path != STREAM:
        return []
    prompt = prompt_of(attempt, known)
    wrong = [run for run in runs if run.body != prompt]
    return [f"{attempt.request}: a server was given another prompt" for _ in wrong]


def prompt_of(attempt: Attempt, known: dict[str, Attempt]) -> bytes:
    """Return the prompt that a turn's server is to be given."""
    if attempt.previous is None:
        return attempt.body
    before = prompt_of(known[attempt.previous], known)
    answers = b"".join(event_data(before, number) + b"\n" for number in range(1, EVENTS + 1))
    return before + answers + attempt.body


def _check_budgets(attempts: list[Attempt], ran: dict[str, list[Run]]) -> list[str]:
    broken = []
    programs: defaultdict[str, list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        if attempt.program is not None:
            programs[attempt.program].append(attempt)
    for program, turns in programs.items():
        budget = turns[0].budget
        used = sum(turn.tokens for turn in turns)
        if used > budget + MOST_TOKENS:
            broken.append(f"{program}: {used} tokens of a budget of {budget}")
        for denied in (turn for turn in turns if turn.status == 402):
            most = sum(MOST_TOKENS for turn in turns if _may_count(turn, denied, ran))
            if most + MOST_TOKENS <= budget:
                broken.append(f"{program}: 402, though at most {most} of {budget} tokens were used")
                break
    return broken


def _may_count(turn: Attempt, denied: Attempt, ran: Mapping[str, list[Run]]) -> bool:
    """Return whether tokens of a turn may have been used or reserved when another was denied.

    A turn whose end is not known counts at its most, be it that it never reached a server. One
    that was refused as not run counts only while it was under way: sub-agents send at once.
    """
    if turn.sent_at > denied.ended_at or turn.status in (402, 404):
        return False
    if ran.get(turn.request) or turn.status in UNDECIDED:
        return True
    return turn.ended_at >= denied.sent_at


def check_drained(server: str, drained_at: float, calm: bool, runs: list[Run]) -> list[str]:
    """Return what a server ran long after it said that it drains; nothing counts in trouble."""
    if not calm:
        return []
    late = [run for run in runs if run.began_at > drained_at + DRAINED_S]
    return [f"{run.request} ran at {server}, which had drained" for run in late]
