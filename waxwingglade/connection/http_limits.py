"""Limits of HTTP requests: size of headers and body, and nesting of JSON."""

import re

from tornado.httputil import HTTPHeaders

from waxwingglade.base import ErrorCode, Failure, Verdict
from waxwingglade.settings import LimitSettings

# A string is one match, even if it is not terminated, so that the search takes linear time.
JSON_TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?|[\[\]{}]', re.DOTALL)
OPENING = b"[{"
HEADER_OVERHEAD_BYTES = 4
"""Bytes of a header line in addition to name and value: colon, space and line end."""


def check_headers(headers: HTTPHeaders, limits: LimitSettings) -> Failure | None:
    """Return the failure if the headers are too long, or None."""
    size = sum(len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in headers.get_all())
    if size <= limits.header_bytes:
        return None
    text = f"the headers have {size} bytes, {limits.header_bytes} are allowed"
    return Failure(Verdict.NOT_RUN, ErrorCode.TOO_LARGE, text)


def check_length(size: int, limits: LimitSettings) -> Failure | None:
    """Return the failure if a body of `size` bytes is too long, or None."""
    if size <= limits.body_bytes:
        return None
    text = f"the body has more than {limits.body_bytes} bytes"
    return Failure(Verdict.NOT_RUN, ErrorCode.TOO_LARGE, text)


def check_nesting(body: bytes, limits: LimitSettings) -> Failure | None:
    """Return the failure if a JSON body is nested too deeply, or None."""
    # A body with few brackets cannot be nested deeply, so most bodies need no further check.
    if body.count(b"[") + body.count(b"{") <= limits.nesting:
        return None
    if exceeds_depth(body, limits.nesting):
        text = f"the body is nested more than {limits.nesting} levels deep"
        return Failure(Verdict.NOT_RUN, ErrorCode.BAD_REQUEST, text)
    return None


def exceeds_depth(body: bytes, limit: int) -> bool:
    """Return whether brackets outside of strings are nested more than `limit` levels deep."""
    depth = 0
    for match in JSON_TOKEN.finditer(body):
        token = match.group()
        if token.startswith(b'"'):
            continue
        depth += 1 if token in OPENING else -1
        if depth > limit:
            return True
    return False
