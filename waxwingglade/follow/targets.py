"""The targets registered in the store, as one process reads them."""

from collections.abc import Callable, Iterable

from loguru import logger

from waxwingglade.base import FormatError
from waxwingglade.follow.model import Revision, Target, TargetList
from waxwingglade.follow.store import Item


class RegisteredTargets:
    """The targets registered in the store.

    They depend on nothing but the content of the store, so that the lists of all processes are the
    same at one revision.

    Parameters
    ----------
    decode : callable
        Decodes a target from its key and value; raises `FormatError` if they are invalid.

    Attributes
    ----------
    targets : dict
        Targets by key.
    undecodable : set of str
        Keys whose entries can't be decoded.
    revision : Revision
        Revision of the last list; 0 before the first one of a store that was written to.
    """

    def __init__(self, decode: Callable[[str, bytes], Target]) -> None:
        self.decode = decode
        self.targets: dict[str, Target] = {}
        self.undecodable: set[str] = set()
        self.revision = Revision(0)

    def apply(self, items: Iterable[Item], revision: Revision, complete: bool) -> TargetList | None:
        """Apply all entries, or the changed ones; return the list if it has changed."""
        before = dict(self.targets)
        if complete:
            self.targets = {}
            self.undecodable &= {item.key for item in items}
        for item in items:
            if item.value is None:
                self.undecodable.discard(item.key)
                self.targets.pop(item.key, None)
            else:
                self._add(item.key, item.value)
        if self.targets == before and self.revision:
            return None
        self.revision = revision
        return TargetList(revision, tuple(self.targets.values()))

    def _add(self, key: str, value: bytes) -> None:
        try:
            target = self.decode(key, value)
        except FormatError as error:
            self._reject(key, error)
            return
        self.undecodable.discard(key)
        self.targets[key] = target

    def _reject(self, key: str, error: FormatError) -> None:
        """Drop the target of an entry that can't be decoded; log each such key once."""
        self.targets.pop(key, None)
        if key not in self.undecodable:
            self.undecodable.add(key)
            logger.warning("invalid target entry: {}", error)


__all__ = ["RegisteredTargets"]
