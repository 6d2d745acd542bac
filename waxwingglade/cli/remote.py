"""Requests of commands to a running entry, over the operators' interface."""

import asyncio
import os
from pathlib import Path
from typing import Annotated, Any, TypeVar
from urllib.parse import urlencode

import typer

from waxwingglade.base import Failure, Outcome, Verdict
from waxwingglade.cli.exits import ExitStatus, exit_status, stop
from waxwingglade.connection.api_client import ApiClient, read_answer
from waxwingglade.connection.http import HttpAnswer, HttpClient

T = TypeVar("T")

URL_VARIABLE = "WAXWINGGLADE_URL"
TOKEN_VARIABLE = "WAXWINGGLADE_TOKEN"

Url = Annotated[
    str, typer.Option("--url", envvar=URL_VARIABLE, help="Operators' URL of any entry.")
]
TokenFile = Annotated[
    Path | None,
    typer.Option("--token-file", help=f"File with the operator's token; else {TOKEN_VARIABLE}."),
]
IdOnly = Annotated[bool, typer.Option("--id-only", help="Print the id and nothing else.")]


def request(
    url: str,
    token_file: Path | None,
    method: str,
    path: str,
    model: type[T],
    body: Any = None,
) -> T:
    """Return an entry's answer, or end the command with an error message of one line."""
    if not url:
        raise stop(ExitStatus.USAGE, f"name an entry by --url or {URL_VARIABLE}")
    answer = asyncio.run(_send(url.rstrip("/"), _token(token_file), method, path, body))
    if answer.is_err():
        raise _stop_without_answer(answer.err_value, method)
    outcome = read_answer(answer.ok_value, model)
    if outcome.is_ok():
        return outcome.ok_value
    raise _stop_for_failure(outcome.err_value)


async def _send(url: str, token: str, method: str, path: str, body: Any) -> Outcome[HttpAnswer]:
    http = HttpClient()
    try:
        return await ApiClient(http, url, token).try_send(method, path, body)
    finally:
        await http.close()


def _token(token_file: Path | None) -> str:
    """Return the token.

    It is never a command line argument, because other users can see these.
    """
    if token_file is None:
        token = os.environ.get(TOKEN_VARIABLE, "")
    else:
        try:
            token = token_file.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise stop(ExitStatus.USAGE, f"{token_file}: cannot be read: {error}") from error
    if not token:
        raise stop(ExitStatus.USAGE, f"give a token by --token-file or {TOKEN_VARIABLE}")
    return token


def _stop_without_answer(failure: Failure, method: str) -> typer.Exit:
    has_no_effect = method == "GET" or failure.verdict is Verdict.NOT_RUN
    status = ExitStatus.UNREACHED if has_no_effect else ExitStatus.UNCERTAIN
    return stop(status, f"no answer: {failure.message}")


def _stop_for_failure(failure: Failure) -> typer.Exit:
    text = f"{failure.code.value}: {failure.message} ({failure.verdict.value})"
    if failure.retry_after_s is not None:
        text = f"{text}; try again after {failure.retry_after_s:g} s"
    return stop(exit_status(failure), text)


def query_string(**arguments: str | int | None) -> str:
    """Return a query string of the arguments that are not empty."""
    pairs = {name: value for name, value in arguments.items() if value not in (None, "")}
    return f"?{urlencode(pairs)}" if pairs else ""


__all__ = ["IdOnly", "TokenFile", "Url", "query_string", "request"]
