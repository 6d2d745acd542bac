"""Bearer tokens: generated randomly, stored as salted hashes, and compared in constant time."""

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
    """Salt and hash of a token, as stored in the settings."""

    salt: str
    sha256: str


K = TypeVar("K", bound=StoredKey)


class NewKey(msgspec.Struct, frozen=True):
    """A new token, with the salt and hash to store in the settings."""

    token: str
    salt: str
    sha256: str


def new_key() -> NewKey:
    """Return a new random token with its salted hash."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    return NewKey(token, salt, hash_token(salt, token))


def hash_token(salt: str, token: str) -> str:
    """Return the salted hash of a token, in hexadecimal.

    A fast hash suffices, since tokens are long and random and cannot be guessed.
    """
    return hashlib.sha256(salt.encode() + token.encode()).hexdigest()


class KeyRing(Generic[K]):
    """The keys of an interface, with a cache of keys by token.

    Comparing a token with each of hundreds of keys takes time, and callers send the same token
    repeatedly.  The cache stores a found key under a digest that is keyed by a secret of this
    process.  Therefore the token does not stay in memory, and the time of a lookup reveals nothing
    about it.

    Parameters
    ----------
    keys : iterable of K
        Stored keys.
    """

    def __init__(self, keys: Iterable[K]) -> None:
        self.keys = list(keys)
        self.secret = secrets.token_bytes(SECRET_BYTES)
        self.found_keys: dict[bytes, K] = {}

    def find(self, header: str) -> K | None:
        """Return the key whose token is in an Authorization header."""
        digest = hashlib.blake2b(header.encode(), key=self.secret).digest()
        found = self.found_keys.get(digest)
        if found is not None:
            return found
        found = find_key(self.keys, header)
        if found is not None:
            # Only valid tokens are cached, so the cache is no larger than the number of keys.
            self.found_keys[digest] = found
        return found


def find_key(keys: Iterable[K], header: str) -> K | None:
    """Return the key whose token is in an Authorization header.

    Every key is compared, each in constant time, so that the duration reveals nothing.
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
