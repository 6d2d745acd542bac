"""How long a target works on a request, which the body of the request asks for."""

import re

WORK = re.compile(rb"takes (\d+) ms")


def work_of(body: bytes) -> float | None:
    """Return the seconds that the last part of a body asks for; None if it does not."""
    found = WORK.findall(body)
    return int(found[-1]) / 1000 if found else None


__all__ = ["work_of"]
