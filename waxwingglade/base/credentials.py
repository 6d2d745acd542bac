"""Bearer tokens of callers, read from the Authorization header as specified in RFC 6750."""

import hashlib
from collections.abc import Sequence
from typing import NewType

KeyDigest = NewType("KeyDigest", str)

SCHEME = "bearer"


def bearer_token(values: Sequence[str]) -> str | None:
    """Return the bearer token of a request, or None if it is missing, malformed or ambiguous.

    Parameters
    ----------
    values : sequence of str
        Values of all Authorization headers of the request; more than one is ambiguous.
    """
    if len(values) != 1:
        return None
    words = values[0].split()
    if len(words) != 2 or words[0].lower() != SCHEME:
        return None
    return words[1]


def digest_of(token: str) -> KeyDigest:
    """Return the digest that identifies a token.

    A fast hash without a salt is enough, since tokens are long and random and so cannot be guessed.
    """
    return KeyDigest(hashlib.sha256(token.encode()).hexdigest())


__all__ = ["KeyDigest", "bearer_token", "digest_of"]
