"""Addresses by which the platform's balancer sees whether an entry lives and takes work."""

from collections.abc import Callable

import msgspec

from waxwingglade.base import ErrorCode, Failure, Verdict
from waxwingglade.connection.http_api import ApiHandler, Route


class Health(msgspec.Struct, frozen=True):
    """Body of a good answer."""

    status: str


def health_routes(ready: Callable[[], bool]) -> list[Route]:
    """Return ``/healthz``, and ``/readyz`` which asks `ready`; neither needs a key."""

    async def alive(handler: ApiHandler) -> None:
        handler.finish_json(Health("alive"))

    async def readiness(handler: ApiHandler) -> None:
        if ready():
            handler.finish_json(Health("ready"))
            return
        text = "this entry takes no new work"
        handler.fail(Failure(Verdict.NOT_RUN, ErrorCode.DRAINING, text))

    return [
        Route(r"/healthz", {"GET": alive}, public=True),
        Route(r"/readyz", {"GET": readiness}, public=True),
    ]
