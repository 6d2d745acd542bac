"""What must hold of client accounts, checked on what callers sent and servers ran."""

from bisect import bisect_right

from tests.soak.accounts import LIMITS, REVOKE_S, RULES, Key
from tests.soak.workload import Attempt
from waxwingglade.platform.headers import ACCOUNT
from waxwingglade.standins.registered_server import Run

APPLY_S = 2.0
"""Seconds after which a key that was added is known to entries that reach the store."""


def check_accounts(attempts: list[Attempt], runs: list[Run], keys: dict[str, Key]) -> list[str]:
    """Return what broke a promise about client accounts, one line each."""
    known = {attempt.request: attempt for attempt in attempts}
    broken = []
    for run in runs:
        attempt = known.get(run.request)
        if attempt is not None:
            broken += _check_run(run, attempt, keys.get(attempt.key))
    for attempt in attempts:
        key = keys.get(attempt.key)
        if attempt.status == 401 and key is not None and _is_good(key, attempt):
            broken.append(f"{attempt.request}: 401 for a key of {key.account}")
    return broken + _check_limits(known, runs)


def _is_good(key: Key, attempt: Attempt) -> bool:
    """Return whether every configuration that may be in force had a key all the time."""
    return key.added_at + APPLY_S < attempt.sent_at and attempt.ended_at < key.revoked_at


def _check_run(run: Run, attempt: Attempt, key: Key | None) -> list[str]:
    if key is None:
        return [f"{run.request} ran with a key that never was"]
    broken = []
    told = run.headers.get(ACCOUNT.lower())
    if told != key.account:
        broken.append(f"{run.request} of {key.account} ran for {told}")
    if any(key.text in value for value in run.headers.values()):
        broken.append(f"{run.request}: the key was passed on")
    if attempt.sent_at > key.revoked_at + REVOKE_S:
        late_s = attempt.sent_at - key.revoked_at
        broken.append(f"{run.request} ran with a key that was taken away {late_s:.2f} s before")
    return broken


def _check_limits(known: dict[str, Attempt], runs: list[Run]) -> list[str]:
    """Return the windows in which more requests were both sent and run than an account may."""
    broken = []
    for account, (rate_per_s, burst) in LIMITS.items():
        ran: dict[str, tuple[float, float]] = {}
        for run in runs:
            attempt = known.get(run.request)
            if attempt is not None and attempt.account == account:
                ran.setdefault(run.request, (attempt.sent_at, run.began_at))
        most = RULES.most(rate_per_s, burst)
        if rate_per_s and (highest := _most_in_a_window(list(ran.values()))) > most:
            broken.append(f"{account}: {highest} requests in {RULES.window_s} s, {most} allowed")
    return broken


def _most_in_a_window(spans: list[tuple[float, float]]) -> int:
    """Return the most requests that lie in a window, from their sending to their arrival."""
    highest = 0
    for start, _ in spans:
        ends = sorted(end for begin, end in spans if begin >= start)
        highest = max(highest, bisect_right(ends, start + RULES.window_s))
    return highest


__all__ = ["check_accounts"]
