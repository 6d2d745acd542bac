"""Decisions under load: which call goes next, to which target, and what is refused.

The names below are imported on first use.  A platform process needs only a few small modules of
this package: importing an entry takes 0.355 s of processor time without the rest, and 0.41 s with
it.
"""

from importlib import import_module
from typing import Any

_PLACES = {
    "BlockHash": "waxwingglade.decisions.work",
    "CacheEvents": "waxwingglade.decisions.work",
    "Choice": "waxwingglade.decisions.route",
    "DecisionSettings": "waxwingglade.settings.decisions",
    "Dispatcher": "waxwingglade.decisions.dispatch",
    "Grant": "waxwingglade.decisions.dispatch",
    "Holding": "waxwingglade.decisions.work",
    "LoadReport": "waxwingglade.decisions.work",
    "PauseTracker": "waxwingglade.decisions.pause",
    "PauseDecision": "waxwingglade.decisions.pause",
    "Pool": "waxwingglade.decisions.work",
    "ProgramQueue": "waxwingglade.decisions.queue",
    "ReleaseTracker": "waxwingglade.decisions.release",
    "RetryBudget": "waxwingglade.decisions.retry",
    "TargetTable": "waxwingglade.decisions.targets",
    "TargetView": "waxwingglade.decisions.targets",
    "Ticket": "waxwingglade.decisions.queue",
    "TicketState": "waxwingglade.decisions.queue",
    "Work": "waxwingglade.decisions.work",
    "choose": "waxwingglade.decisions.route",
    "hash_blocks": "waxwingglade.decisions.work",
    "is_safe": "waxwingglade.decisions.retry",
    "may_retry": "waxwingglade.decisions.retry",
    "pool_of_tool": "waxwingglade.decisions.work",
    "timeout_s": "waxwingglade.decisions.retry",
}


def __getattr__(name: str) -> Any:
    if name not in _PLACES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_PLACES[name]), name)


__all__ = [
    "BlockHash",
    "CacheEvents",
    "Choice",
    "DecisionSettings",
    "Dispatcher",
    "Grant",
    "Holding",
    "LoadReport",
    "PauseDecision",
    "PauseTracker",
    "Pool",
    "ProgramQueue",
    "ReleaseTracker",
    "RetryBudget",
    "TargetTable",
    "TargetView",
    "Ticket",
    "TicketState",
    "Work",
    "choose",
    "hash_blocks",
    "is_safe",
    "may_retry",
    "pool_of_tool",
    "timeout_s",
]
