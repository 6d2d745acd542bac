"""The operators' HTTP interface, and what each role may do."""

from collections.abc import Awaitable, Callable, Sequence

from tornado.web import Application

from waxwingglade.base import ErrorCode, Failure, OperatorId, Verdict
from waxwingglade.connection.http_api import ApiHandler, HttpApi, Route, http_application
from waxwingglade.connection.keys import KeyRing
from waxwingglade.settings import OperatorKey, ProcessSettings, Role

ROLE_ORDER = [Role.VIEWER, Role.PROPOSER, Role.APPROVER, Role.ADMIN]
"""Each role includes the ones before it."""

Endpoint = Callable[..., Awaitable[None]]


def require_role(least: Role, endpoint: Endpoint) -> Endpoint:
    """Return the endpoint for operators of a role or one that includes it."""

    async def checked(handler: ApiHandler, *arguments: str) -> None:
        role = handler.identity.role
        if ROLE_ORDER.index(role) < ROLE_ORDER.index(least):
            text = f"this needs the role {least.value}, yours is {role.value}"
            handler.fail(Failure(Verdict.NOT_RUN, ErrorCode.FORBIDDEN, text))
            return
        await endpoint(handler, *arguments)

    return checked


def operator_of(handler: ApiHandler) -> OperatorId:
    """Return the operator whose key the request carries."""
    key: OperatorKey = handler.identity
    return OperatorId(key.operator)


def operator_application(
    settings: ProcessSettings,
    routes: Sequence[Route],
    on_failure: Callable[[Failure], None] = lambda _: None,
) -> Application:
    """Return the operators' HTTP application.

    Parameters
    ----------
    settings : ProcessSettings
        Keys and limits.
    routes : sequence of Route
        The addresses, each endpoint guarded by `require_role`.
    on_failure : callable
        Told of every failure that is answered.
    """
    api = HttpApi(settings.limits, KeyRing(settings.operator_keys).find, on_failure)
    return http_application(api, routes)
