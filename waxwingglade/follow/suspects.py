"""The list of suspect requests: those under which several targets ended or broke off."""

import msgspec
import xxhash

from waxwingglade.base import Fingerprint


class Suspects:
    """The suspect requests that a process knows.

    Attributes
    ----------
    failed : dict
        Number of targets that failed each request.
    checksum : int
        Checksum of the list; 0 if it is empty.
    """

    def __init__(self) -> None:
        self.failed: dict[Fingerprint, int] = {}
        self.checksum = 0

    def replace(self, failed: dict[Fingerprint, int]) -> bool:
        """Replace the list; return whether it has changed."""
        if failed == self.failed:
            return False
        self.failed = failed
        self.checksum = 0
        if failed:
            content = msgspec.msgpack.encode(sorted(failed.items()))
            self.checksum = xxhash.xxh64_intdigest(content)
        return True


__all__ = ["Suspects"]
