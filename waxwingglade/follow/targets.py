"""The targets registered in the store, as one process reads them."""

from collections.abc import Callable, Iterable
from functools import partial

from waxwingglade.follow.items import ItemDecoder
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
    decoder : ItemDecoder
        Rejects the entries that are invalid.

    Attributes
    ----------
    targets : dict
        Targets by key.
    revision : Revision
        Revision of the last list; 0 before the first one of a store that was written to.
    """

    def __init__(self, decode: Callable[[str, bytes], Target], decoder: ItemDecoder) -> None:
        self.decode = decode
        self.decoder = decoder
        self.targets: dict[str, Target] = {}
        self.revision = Revision(0)

    def apply(self, items: Iterable[Item], revision: Revision, complete: bool) -> TargetList | None:
        """Apply all entries, or the changed ones; return the list if it has changed."""
        before = dict(self.targets)
        if complete:
            self.targets = {}
        for item in items:
            target = None
            if not item.removed:
                decode = partial(self.decode, item.key)
                target = self.decoder.decode(item, "target entry", decode)
            if target is None:
                self.targets.pop(item.key, None)
            else:
                self.targets[item.key] = target
        if self.targets == before and self.revision:
            return None
        self.revision = revision
        return TargetList(revision, tuple(self.targets.values()))


__all__ = ["RegisteredTargets"]
