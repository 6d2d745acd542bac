"""Checks of client accounts on the requests that callers sent and servers ran."""

from bisect import bisect_right

from tests.soak.accounts import LIMITS, REVOKE_S, RULES, Key
from tests.soak.workload import Attempt
from waxwingglade.platform.headers import ACCOUNT
from waxwingglade.standins.registered_server import Run

APPLY_S = 2.0
"""Seconds after which entries that reach the store accept a new key."""


def check_accounts(attempts: list[Attempt], runs: list[Run], keys: dict[str, Key]) -> list[str]:
    """Return the violations of guarantees about client accounts, one line each."""
    attempts_by_request = {attempt.request: attempt for attempt in attempts}
    violations = []
    for run in runs:
        attempt = attempts_by_request.get(run.request)
        if attempt is not None:
            violations += _check_run(run, attempt, keys.get(attempt.key))
    for attempt in attempts:
        key = keys.get(attempt.key)
        if attempt.status == 401 and key is not None and _is_valid(key, attempt):
            violations.append(f"{attempt.request}: 401 for a key of {key.account}")
    return violations + _check_limits(attempts_by_request, runs)


def _is_valid(key: Key, attempt: Attempt) -> bool:
    """Return whether a key was valid during an attempt in every configuration in force."""
    return key.added_at + APPLY_S < attempt.sent_at and attempt.ended_at < key.revoked_at


def _check_run(run: Run, attempt: Attempt, key: Key | None) -> list[str]:
    if key is None:
        return [f"{run.request} ran with a key that never was"]
    violations = []
    run_account = run.headers.get(ACCOUNT.lower())
    if run_account != key.account:
        violations.append(f"{run.request} of {key.account} ran for {run_account}")
    if any(key.text in value for value in run.headers.values()):
        violations.append(f"{run.request}: the key was passed on")
    if attempt.sent_at > key.revoked_at + REVOKE_S:
        late_s = attempt.sent_at - key.revoked_at
        violations.append(f"{run.request} ran with a key that was taken away {late_s:.2f} s before")
    return violations


def _check_limits(attempts_by_request: dict[str, Attempt], runs: list[Run]) -> list[str]:
    """Return the accounts that sent and ran more requests in one window than allowed."""
    violations = []
    for account, (rate_per_s, burst) in LIMITS.items():
        spans_by_request: dict[str, tuple[float, float]] = {}
        for run in runs:
            attempt = attempts_by_request.get(run.request)
            if attempt is not None and attempt.account == account:
                spans_by_request.setdefault(run.request, (attempt.sent_at, run.began_at))
        allowed = RULES.most(rate_per_s, burst)
        if rate_per_s and (highest := _max_in_window(list(spans_by_request.values()))) > allowed:
            violations.append(
                f"{account}: {highest} requests in {RULES.window_s} s, {allowed} allowed"
            )
    return violations


def _max_in_window(spans: list[tuple[float, float]]) -> int:
    """Return the highest number of requests that were both sent and received in one window."""
    highest = 0
    for start, _ in spans:
        ends = sorted(end for begin, end in spans if begin >= start)
        highest = max(highest, bisect_right(ends, start + RULES.window_s))
    return highest


__all__ = ["check_accounts"]
