"""Log lines about changes of the targets that a process knows."""

from collections.abc import Iterable
from typing import Any

from loguru import logger

from waxwingglade.follow.model import Target


def log_target_changes(before: Iterable[Target], after: Iterable[Target], **fields: Any) -> None:
    """Log which targets were added, are leaving, are gone or were started again.

    Parameters
    ----------
    before, after : iterable of Target
        The targets before and after the change.
    **fields
        Further fields of each line, for example the source of the change.
    """
    old_targets = {target.target: target for target in before}
    new_targets = {target.target: target for target in after}
    for name in old_targets.keys() - new_targets.keys():
        leaving = old_targets[name].leaving
        logger.bind(target=name, was_leaving=leaving, **fields).info("target gone")
    for name, target in new_targets.items():
        old = old_targets.get(name)
        if old is None:
            logger.bind(target=name, service=target.service, **fields).info("target added")
        elif target.started_ms != old.started_ms:
            logger.bind(target=name, started_ms=target.started_ms, **fields).info(
                "target started again"
            )
        elif target.leaving and not old.leaving:
            logger.bind(target=name, **fields).info("target leaving")


__all__ = ["log_target_changes"]
