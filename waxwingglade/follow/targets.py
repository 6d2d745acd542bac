"""The targets registered in the store, including those whose entries may merely have expired."""

from collections.abc import Callable, Iterable

from loguru import logger

from waxwingglade.base import Clock, FormatError
from waxwingglade.follow.model import Revision, Target, TargetList
from waxwingglade.follow.store import Item
from waxwingglade.follow.target_log import log_target_changes

REREGISTRATION_S = 2.2
"""Seconds after an outage of the store for which a missing target is retained.  Running targets
register again within two seconds."""


class RegisteredTargets:
    """One process's own list of targets.

    Parameters
    ----------
    prefix : str
        Prefix of the keys of targets.
    decode : callable
        Decodes a target from its key and value; raises `FormatError` if they are invalid.
    clock : Clock
        Monotonic seconds.
    known : TargetList
        Targets that the process already has in its view.

    Attributes
    ----------
    undecodable : set of str
        Keys whose entries can't be decoded.
    missing : dict
        Time until which a target that is no longer registered is retained, by key.
    partial : bool
        Whether the list may lack running targets.
    """

    def __init__(
        self,
        prefix: str,
        decode: Callable[[str, bytes], Target],
        clock: Clock,
        known: TargetList,
    ) -> None:
        self.decode = decode
        self.clock = clock
        self.targets = {prefix + target.target: target for target in known.targets}
        self.undecodable: set[str] = set()
        self.published = TargetList()
        self.unpublished = False
        self.missing: dict[str, float] = {}
        self.outage_until = float("-inf")
        self.partial_until = float("-inf")
        self.partial = False

    def record_store_recovery(self) -> None:
        """Record that an outage has ended, in which entries of running targets may have expired."""
        self.outage_until = self.clock()
        if not self.targets:
            self.partial_until = self.outage_until + REREGISTRATION_S

    def apply(self, items: Iterable[Item], revision: Revision, complete: bool) -> TargetList | None:
        """Apply all entries, or the changed ones; return the list if it must be published."""
        now = self.clock()
        before = dict(self.targets)
        if complete:
            present = {item.key for item in items}
            self.undecodable &= present
            for key in list(self.targets):
                if key not in present:
                    self._remove_or_defer(key, now)
        for item in items:
            if item.value is None:
                self.undecodable.discard(item.key)
                self._remove_or_defer(item.key, now)
            else:
                self._add(item.key, item.value)
        for key, until in list(self.missing.items()):
            if now >= until:
                self.missing.pop(key)
                self.targets.pop(key, None)
        partial, self.partial = self.partial, now < self.partial_until
        log_target_changes(before.values(), self.targets.values(), revision=revision)
        if self.targets != before or partial != self.partial or not self.published.revision:
            self.unpublished = True
        return self._list(revision) if self.unpublished else None

    def record_published(self, targets: TargetList) -> None:
        """Record the list that was published.

        A missing target may be dropped without a change of the store.  The list without it then has
        the revision of the list before, so that others accept it only with the next change.
        """
        self.published = targets
        self.unpublished = targets.targets != tuple(self.targets.values())

    def _list(self, revision: Revision) -> TargetList:
        """Return the targets as of a revision.

        A process that starts without a list may find one right after an outage that lacks targets
        whose entries expired.  Such a list gets a revision below those of all other processes, so
        that it is used only where there is no other list.
        """
        if self.partial:
            revision = Revision(self.published.revision + 1)
        return TargetList(revision, tuple(self.targets.values()))

    def _add(self, key: str, value: bytes) -> None:
        try:
            target = self.decode(key, value)
        except FormatError as error:
            self._reject(key, error)
            return
        self.undecodable.discard(key)
        if self.missing.pop(key, None) is not None:
            # Other processes may have dropped the target, so the unchanged list is published again.
            self.unpublished = True
        self.targets[key] = target

    def _reject(self, key: str, error: FormatError) -> None:
        """Drop the target of an entry that can't be decoded; log each such key once."""
        self.targets.pop(key, None)
        self.missing.pop(key, None)
        if key not in self.undecodable:
            self.undecodable.add(key)
            logger.warning("invalid target entry: {}", error)

    def _remove_or_defer(self, key: str, now: float) -> None:
        """Drop a target, or retain it if its entry may have expired in an outage of the store."""
        target = self.targets.get(key)
        if target is None or key in self.missing:
            return
        if not target.leaving and now - self.outage_until < REREGISTRATION_S:
            self.missing[key] = self.outage_until + REREGISTRATION_S
            retained_s = round(self.missing[key] - now, 2)
            logger.bind(target=target.target, retained_s=retained_s).info("target retained")
            return
        del self.targets[key]


__all__ = ["REREGISTRATION_S", "RegisteredTargets"]
