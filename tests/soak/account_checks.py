"""Checks of client accounts on the requests that callers sent and servers ran."""

import msgspec

from tests.soak.accounts import LIMITED, REVOKE_S, RULES, Accounts, Key, Limit
from tests.soak.workload import Attempt
from tests.windows import Span, Window, windows
from waxwingglade.platform.headers import ACCOUNT
from waxwingglade.standins.registered_server import Run

APPLY_S = 2.0
"""Seconds after which entries that reach the store accept a new key."""


OLD_LIMIT_S = 5.0
"""Seconds for which a limit that was replaced may still be in force somewhere."""


class Usage(msgspec.Struct, frozen=True):
    """Number of runs in one window, and the number that is allowed."""

    runs: int
    allowed: float


def check_accounts(attempts: list[Attempt], runs: list[Run], accounts: Accounts) -> list[str]:
    """Return the violations of guarantees about client accounts, one line each."""
    keys = accounts.keys
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
    return violations + _check_limits(attempts_by_request, runs, accounts.limits)


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


def _check_limits(
    attempts_by_request: dict[str, Attempt], runs: list[Run], limits: dict[str, list[Limit]]
) -> list[str]:
    """Return the accounts of whose requests more ran in a window than allowed, one line each."""
    violations = []
    for account, account_limits in limits.items():
        usage = _highest_usage(account, account_limits, attempts_by_request, runs)
        if usage.runs > usage.allowed:
            violations.append(
                f"{account}: {usage.runs} runs in {RULES.window_s} s, {usage.allowed} allowed"
            )
    return violations


def limited_usage(attempts: list[Attempt], runs: list[Run], accounts: Accounts) -> Usage:
    """Return the window in which the limited account came nearest to its limit."""
    attempts_by_request = {attempt.request: attempt for attempt in attempts}
    return _highest_usage(LIMITED, accounts.limits[LIMITED], attempts_by_request, runs)


def _highest_usage(
    account: str, limits: list[Limit], attempts_by_request: dict[str, Attempt], runs: list[Run]
) -> Usage:
    spans = []
    for run in runs:
        attempt = attempts_by_request.get(run.request)
        if attempt is not None and attempt.account == account:
            spans.append(Span(attempt.sent_at, run.began_at))
    usages = [
        Usage(window.runs, _allowed(limits, window)) for window in windows(spans, RULES.window_s)
    ]
    return max(usages, key=lambda usage: usage.runs / usage.allowed, default=Usage(0, 1.0))


def _allowed(limits: list[Limit], window: Window) -> float:
    """Return the highest number of runs that a limit allows which may be in force in a window."""
    in_force = [
        limit.most
        for limit in limits
        if limit.from_at <= window.end_at and limit.until_at + OLD_LIMIT_S >= window.begin_at
    ]
    return max(in_force)


__all__ = ["OLD_LIMIT_S", "Usage", "check_accounts", "limited_usage"]
