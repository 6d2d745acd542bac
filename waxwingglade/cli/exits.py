"""Exit statuses and error messages of the command line."""

from enum import IntEnum

import typer

from waxwingglade.base import ErrorCode, Failure, Verdict


class ExitStatus(IntEnum):
    """Exit status of a command.

    OK
        The command succeeded.
    FAILED
        It failed for a reason that has no status of its own.
    USAGE
        Settings or arguments are wrong; nothing was sent.
    UNREACHED
        No entry answered.
    DENIED
        The token is unknown, or its role is not sufficient.
    NOT_FOUND
        There is no such program, call or proposal.
    CONFLICT
        The command conflicts with the current state, which should be read first.
    LATER
        The command failed temporarily; the same command may succeed later.
    UNCERTAIN
        The command may have taken effect; the current state should be read first.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHED = 3
    DENIED = 4
    NOT_FOUND = 5
    CONFLICT = 6
    LATER = 7
    UNCERTAIN = 8


STATUS_OF_CODE = {
    ErrorCode.BAD_REQUEST: ExitStatus.USAGE,
    ErrorCode.TOO_LARGE: ExitStatus.USAGE,
    ErrorCode.UNAUTHENTICATED: ExitStatus.DENIED,
    ErrorCode.FORBIDDEN: ExitStatus.DENIED,
    ErrorCode.NOT_FOUND: ExitStatus.NOT_FOUND,
    ErrorCode.CONFLICT: ExitStatus.CONFLICT,
    ErrorCode.PROGRAM_ENDED: ExitStatus.CONFLICT,
}


def exit_status(failure: Failure) -> ExitStatus:
    """Return the exit status for a failure in an entry's answer."""
    if failure.code in STATUS_OF_CODE:
        return STATUS_OF_CODE[failure.code]
    if failure.verdict is Verdict.MAY_HAVE_RUN:
        return ExitStatus.UNCERTAIN
    return ExitStatus.LATER if failure.retry_after_s is not None else ExitStatus.FAILED


def stop(status: ExitStatus, text: str) -> typer.Exit:
    """Print an error in one line, and return the exception that ends the command."""
    typer.echo(f"error: {' '.join(text.split())}", err=True)
    return typer.Exit(int(status))
