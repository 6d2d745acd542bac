"""Decode the items of the store, each on its own."""

from collections.abc import Callable, Iterable
from typing import TypeVar

from loguru import logger

from waxwingglade.base import FormatError, shortened
from waxwingglade.follow.store import Item

Decoded = TypeVar("Decoded")


class ItemDecoder:
    """Decodes items, so that one that is invalid costs nothing but itself.

    Attributes
    ----------
    rejected : dict
        What is wrong with the item under each key whose item is invalid.
    """

    def __init__(self) -> None:
        self.rejected: dict[str, str] = {}

    def decode(
        self, item: Item, kind: str, decode: Callable[[bytes], Decoded], level: str = "WARNING"
    ) -> Decoded | None:
        """Return the decoded value of an item, or None if it is invalid.

        It is logged when it becomes invalid and when the reason changes, however often it is
        written.

        Parameters
        ----------
        item : Item
            An item that was not removed.
        kind : str
            What the item is, for the log.
        decode : callable
            Decodes the value; raises `FormatError` if it is invalid.
        level : str
            Level of the line in the log.
        """
        try:
            if item.value is None:
                raise FormatError(item.error)
            decoded = decode(item.value)
        # Whatever another writer finds to raise must not end the task that follows all other keys.
        except Exception as error:
            self._reject(item, kind, error, level)
            return None
        self.accept(item.key)
        return decoded

    def accept(self, key: str) -> None:
        """Record that the item under a key is valid, or was removed."""
        self.rejected.pop(key, None)

    def keep_only(self, keys: Iterable[str]) -> None:
        """Forget all keys but those of a complete listing."""
        present = set(keys)
        self.rejected = {key: why for key, why in self.rejected.items() if key in present}

    def _reject(self, item: Item, kind: str, error: Exception, level: str) -> None:
        reason = (
            str(error) if isinstance(error, FormatError) else f"{type(error).__name__}: {error}"
        )
        reason = shortened(reason)
        if self.rejected.get(item.key) == reason:
            return
        self.rejected[item.key] = reason
        logger.bind(key=item.key, revision=item.revision, reason=reason).log(
            level, f"invalid {kind}"
        )


__all__ = ["ItemDecoder"]
