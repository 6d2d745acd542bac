"""Keys that callers present, read from the Authorization header as RFC 6750 has it."""

import hashlib
from collections.abc import Sequence
from typing import NewType

KeyDigest = NewType("KeyDigest", str)

SCHEME = "bearer"


def bearer_token(values: Sequence[str]) -> str | None:
    """Return the token of a request, None if there is none or more than one could be meant.

    Parameters
    ----------
    values : sequence of str
        The values of all Authorization headers of the request.
    """
    if len(values) != 1:
        return None
    words = values[0].split()
    if len(words) != 2 or words[0].lower() != SCHEME:
        return None
    return words[1]


def digest_of(token: str) -> KeyDigest:
    """Return the digest under which a key is known.

    Keys are long and random, so a fast hash without a salt is enough: there is nothing to guess.
    """
    return KeyDigest(hashlib.sha256(token.encode()).hexdigest())


__all__ = ["KeyDigest", "bearer_token", "digest_of"]
