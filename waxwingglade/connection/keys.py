"""Bearer tokens: made here, stored as salted hashes, compared in constant time."""

import hashlib
import hmac
import secrets
from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import msgspec

from waxwingglade.base.credentials import bearer_token

TOKEN_BYTES = 32
SALT_BYTES = 16
SECRET_BYTES = 32


class StoredKey(Protocol):
    """What the settings keep of a token."""

    salt: str
    sha256: str


K = TypeVar("K", bound=StoredKey)


class NewKey(msgspec.Struct, frozen=True):
    """A fresh token, and what the settings are to keep of it."""

    token: str
    salt: str
    sha256: str


def new_key() -> NewKey:
    """Return a fresh random token with its salted hash."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    return NewKey(token, salt, hash_token(salt, token))


def hash_token(salt: str, token: str) -> str:
    """Return the salted hash of a token, in hexadecimal.

    Tokens are long and random, so that a fast hash is enough: there is nothing to guess.
    """
    return hashlib.sha256(salt.encode() + token.encode()).hexdigest()


class KeyRing(Generic[K]):
    """The keys of an interface, and those whose tokens were seen before.

    Comparing a token with every key takes a while where there are hundreds, and a caller sends the
    same token again and again.  What was found is kept under a digest that is keyed by a secret of
    this process, so that neither the token stays in memory nor the time of a look-up tells anything
    of it.

    Parameters
    ----------
    keys : iterable of K
        Stored keys.
    """

    def __init__(self, keys: Iterable[K]) -> None:
        self.keys = list(keys)
        self.secret = secrets.token_bytes(SECRET_BYTES)
        self.seen: dict[bytes, K] = {}

    def find(self, header: str) -> K | None:
        """Return the key whose token is in an Authorization header."""
        digest = hashlib.blake2b(header.encode(), key=self.secret).digest()
        found = self.seen.get(digest)
        if found is not None:
            return found
        found = find_key(self.keys, header)
        if found is not None:
            # Only tokens that fit are kept, so there are no more than keys.
            self.seen[digest] = found
        return found


def find_key(keys: Iterable[K], header: str) -> K | None:
    """Return the key whose token is in an Authorization header.

    Every key is compared, and each in constant time, so that the time taken tells nothing.
    """
    token = bearer_token([header])
    if token is None:
        return None
    found = None
    for key in keys:
        digest = hash_token(key.salt, token)
        if hmac.compare_digest(digest.encode(), key.sha256.encode()):
            found = key
    return found
