"""Routes by which the load balancer checks whether an entry is alive and accepts work."""

from collections.abc import Callable

import msgspec

from waxwingglade.base import ErrorCode, Failure, Verdict
from waxwingglade.connection.http_api import ApiHandler, Route


class Health(msgspec.Struct, frozen=True):
    """Body of a successful answer."""

    status: str


def health_routes(ready: Callable[[], bool]) -> list[Route]:
    """Return the routes ``/healthz`` and ``/readyz``; neither needs a key.

    ``/readyz`` succeeds if `ready` returns True.
    """

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
