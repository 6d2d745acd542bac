"""Identify repeats of a request, which callers send under new request ids."""

import msgspec
import xxhash

from waxwingglade.base import Fingerprint
from waxwingglade.ingress.dialect import Call


def fingerprint_of(call: Call) -> Fingerprint | None:
    """Return the fingerprint of what a call asks for, or None if it does not identify a caller.

    Without a program, a session, an affinity key and a body, many callers may send the same.
    """
    if not (call.program or call.session or call.affinity or call.body):
        return None
    if call.fingerprint is None:
        call.fingerprint = _digest(call)
    return call.fingerprint


def _digest(call: Call) -> Fingerprint:
    fields = (
        call.account,
        call.program,
        call.session,
        call.affinity,
        call.previous_turn,
        call.method,
        call.host,
        call.path,
    )
    digest = xxhash.xxh3_128(msgspec.msgpack.encode(fields))
    digest.update(call.body)
    return Fingerprint(digest.hexdigest())


__all__ = ["fingerprint_of"]
