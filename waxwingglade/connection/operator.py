"""The HTTP interface for operators, and the check of their roles."""

from collections.abc import Awaitable, Callable, Sequence

from tornado.web import Application

from waxwingglade.base import ErrorCode, Failure, OperatorId, Verdict
from waxwingglade.connection.http_api import ApiHandler, HttpApi, Route, http_application
from waxwingglade.connection.keys import KeyRing
from waxwingglade.settings import OperatorKey, ProcessSettings, Role

ROLE_ORDER = [Role.VIEWER, Role.PROPOSER, Role.APPROVER, Role.ADMIN]
"""Each role includes the ones before it."""

Endpoint = Callable[..., Awaitable[None]]


def require_role(minimum: Role, endpoint: Endpoint) -> Endpoint:
    """Return the endpoint with a check that the operator's role is or includes `minimum`."""

    async def check_role(handler: ApiHandler, *arguments: str) -> None:
        role = handler.identity.role
        if ROLE_ORDER.index(role) < ROLE_ORDER.index(minimum):
            text = f"this needs the role {minimum.value}, yours is {role.value}"
            handler.fail(Failure(Verdict.NOT_RUN, ErrorCode.FORBIDDEN, text))
            return
        await endpoint(handler, *arguments)

    return check_role


def operator_of(handler: ApiHandler) -> OperatorId:
    """Return the operator of the key that authenticated the request."""
    key: OperatorKey = handler.identity
    return OperatorId(key.operator)


def operator_application(
    settings: ProcessSettings,
    routes: Sequence[Route],
    on_failure: Callable[[Failure], None] = lambda _: None,
) -> Application:
    """Return the HTTP application for operators.

    Parameters
    ----------
    settings : ProcessSettings
        Keys and limits.
    routes : sequence of Route
        The routes, whose endpoints are wrapped by `require_role`.
    on_failure : callable
        Called with every failure that is sent as an answer.
    """
    api = HttpApi(settings.limits, KeyRing(settings.operator_keys).find, on_failure)
    return http_application(api, routes)
