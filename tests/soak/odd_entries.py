"""Entries of another writer among those of the servers, which no process can use."""

import base64
import json

SOUND = {
    "version": "v1",
    "cold_left_ms": 0,
    "seq": 1,
    "service": "notes",
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "slots": 4,
    "state": "ready",
    "born": 1,
}
HUGE = 10**400
"""A number of 401 digits."""


def _text(**changes: object) -> str:
    """Return an entry with other fields, as the store sends it."""
    return base64.b64encode(json.dumps({**SOUND, **changes}).encode()).decode()


ODD_TEXTS = {
    "deep": base64.b64encode(b'{"note":' + b"[" * 1500).decode(),
    "slots": _text(slots=HUGE),
    "born": _text(born=HUGE),
    "long port": _text(address="127.0.0.1:" + "1" * 5000),
    "port out of range": _text(address="127.0.0.1:70000"),
    "incomplete base64": _text()[:-1],
    "other characters": "\u00e9" + _text(),
}
"""Texts of their values as the store sends them."""

__all__ = ["HUGE", "ODD_TEXTS", "SOUND"]
