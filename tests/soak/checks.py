"""Checks of the system's guarantees on what callers and servers recorded in a soak run."""

from collections import defaultdict
from collections.abc import Mapping

from tests.one_sending import DRAFTS
from tests.platform_cluster import CALL, STREAM
from tests.soak.workload import MAX_TURN_TOKENS, NO_ANSWER, Attempt
from waxwingglade.standins.registered_server import Run, answer_to, event_data

EVENTS = 4
NOT_RUN = (408, 421, 429, 503)
UNDECIDED = (NO_ANSWER, 500, 502, 504)
"""Statuses after which a turn may have run."""


def check(attempts: list[Attempt], runs: list[Run]) -> list[str]:
    """Return the violations of guarantees, one line each."""
    runs_by_request: defaultdict[str, list[Run]] = defaultdict(list)
    for run in runs:
        runs_by_request[run.request].append(run)
    attempts_by_request = {attempt.request: attempt for attempt in attempts}
    violations = [
        f"{name} ran, but nobody sent it"
        for name in runs_by_request
        if name not in attempts_by_request
    ]
    for attempt in attempts:
        violations += _check_runs(attempt, runs_by_request[attempt.request])
        if attempt.status == 200 and (attempt.whole or attempt.framed):
            violations += _check_answer(attempt, attempts_by_request)
        violations += _check_prompt(attempt, runs_by_request[attempt.request], attempts_by_request)
        if attempt.status == 404:
            violations.append(f"{attempt.request}: 404 for {attempt.path} after {attempt.previous}")
    return violations + _check_budgets(attempts, runs_by_request)


def _check_runs(attempt: Attempt, runs: list[Run]) -> list[str]:
    name = f"{attempt.request} ({attempt.path} at {attempt.entry}, status {attempt.status})"
    violations = []
    if attempt.path != CALL and len(runs) > 1:
        violations.append(f"{name} ran {len(runs)} times")
    if attempt.status in (*NOT_RUN, 402, 404) and runs:
        violations.append(f"{name} was refused as not run, and ran")
    return violations


def _check_answer(attempt: Attempt, attempts_by_request: dict[str, Attempt]) -> list[str]:
    if attempt.path not in (STREAM, DRAFTS):
        expected = answer_to(attempt.body)
    else:
        expected = answer_to_turn(prompt_of(attempt, attempts_by_request))
    if attempt.answer == expected:
        return []
    return [f"{attempt.request}: the answer is not that of its own prompt: {attempt.answer[:80]!r}"]


def answer_to_turn(prompt: bytes) -> bytes:
    """Return the complete stream that answers a prompt."""
    return b"".join(
        b"id: %d\ndata: %s\n\n" % (number, event_data(prompt, number))
        for number in range(1, EVENTS + 1)
    )


def _check_prompt(
    attempt: Attempt, runs: list[Run], attempts_by_request: dict[str, Attempt]
) -> list[str]:
    if attempt.path != STREAM:
        return []
    prompt = prompt_of(attempt, attempts_by_request)
    wrong = [run for run in runs if run.body != prompt]
    return [f"{attempt.request}: a server was given another prompt" for _ in wrong]


def prompt_of(attempt: Attempt, attempts_by_request: dict[str, Attempt]) -> bytes:
    """Return the prompt that a turn's server should receive."""
    if attempt.previous is None:
        return attempt.body
    previous_prompt = prompt_of(attempts_by_request[attempt.previous], attempts_by_request)
    answers = b"".join(
        event_data(previous_prompt, number) + b"\n" for number in range(1, EVENTS + 1)
    )
    return previous_prompt + answers + attempt.body


def _check_budgets(attempts: list[Attempt], runs_by_request: dict[str, list[Run]]) -> list[str]:
    violations = []
    programs: defaultdict[str, list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        if attempt.program is not None:
            programs[attempt.program].append(attempt)
    for program, turns in programs.items():
        budget = turns[0].budget
        used = sum(turn.tokens for turn in turns)
        if used > budget + MAX_TURN_TOKENS:
            violations.append(f"{program}: {used} tokens of a budget of {budget}")
        for denied in (turn for turn in turns if turn.status == 402):
            max_used = sum(
                MAX_TURN_TOKENS for turn in turns if _may_count(turn, denied, runs_by_request)
            )
            if max_used + MAX_TURN_TOKENS <= budget:
                violations.append(
                    f"{program}: 402, though at most {max_used} of {budget} tokens were used"
                )
                break
    return violations


def _may_count(turn: Attempt, denied: Attempt, runs_by_request: Mapping[str, list[Run]]) -> bool:
    """Return whether tokens of a turn may have been used or reserved when another was denied.

    A turn with an unknown outcome may count, even if it never reached a server.  A turn that was
    refused as not run counts only while it was in progress, since sub-agents send concurrently.
    """
    if turn.sent_at > denied.ended_at or turn.status in (402, 404):
        return False
    if runs_by_request.get(turn.request) or turn.status in UNDECIDED:
        return True
    return turn.ended_at >= denied.sent_at
