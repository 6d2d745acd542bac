"""Identify repeats of a request, which callers send under new request ids."""

import msgspec
import xxhash

from waxwingglade.base import Fingerprint
from waxwingglade.ingress.dialect import Call
from waxwingglade.ledger.target_failures import SHARED_PREFIX


def fingerprint_of(call: Call) -> Fingerprint | None:
    """Return the fingerprint of what a call asks for, or None if it does not identify a caller.

    Without a program, a session, an affinity key and a body, many callers may send the same.  With
    a body only, several callers still may, so the fingerprint is marked as a shared one.
    """
    if not (_has_identity(call) or call.body):
        return None
    if call.fingerprint is None:
        call.fingerprint = _digest(call)
    return call.fingerprint


def _has_identity(call: Call) -> bool:
    return bool(call.program or call.session or call.affinity)


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
    prefix = "" if _has_identity(call) else SHARED_PREFIX
    return Fingerprint(prefix + digest.hexdigest())


__all__ = ["fingerprint_of"]
