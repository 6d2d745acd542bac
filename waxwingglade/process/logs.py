"""Structured logs: one flat JSON object per line on standard error.

Every record has the entry and the zone, and the program, call, tenant, epoch and configuration
version that it refers to; fields that do not apply are empty.  Tokens and message texts are never
logged: values of variables are omitted, and an exception is logged with its type and location only,
since its message may quote what a caller sent.
"""

import logging
import sys
import traceback
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any, TextIO

import msgspec
from loguru import logger

from waxwingglade.base import CallId, ConfigVersion, Failure
from waxwingglade.process.owned_log import OwnedLog
from waxwingglade.program import Done, ProgramState
from waxwingglade.settings import ProcessSettings

MAX_LOGGED_FRAMES = 12


def start_logging(
    settings: ProcessSettings, version: Callable[[], ConfigVersion], stream: TextIO | None = None
) -> None:
    """Write logs of the level in the settings and above to a stream, as JSON lines.

    Parameters
    ----------
    settings : ProcessSettings
        Entry name, zone and log level.
    version : callable
        Returns the configuration version in force, for records that refer to no program.
    stream : file, optional
        Output; standard error if not given.
    """
    output = stream or sys.stderr

    def write(message: Any) -> None:
        output.write(json_line(message.record))
        output.flush()

    def add_config_version(record: Any) -> None:
        extra = record["extra"]
        if "config_version" not in extra:
            extra["config_version"] = version()

    logger.remove()
    logger.add(write, level=settings.log_level, format="{message}", diagnose=False)
    names = {"entry": settings.entry, "zone": settings.zone}
    empty = {"program": "", "call": "", "tenant": "", "epoch": 0}
    logger.configure(extra={**names, **empty}, patcher=add_config_version)
    logging.basicConfig(handlers=[LibraryLogHandler()], level=logging.WARNING, force=True)


def log_context(
    owned: OwnedLog, state: ProgramState, call: CallId | str = ""
) -> AbstractContextManager[None]:
    """Return a context in which log records have the fields of a program, or one of its calls."""
    return logger.contextualize(
        program=state.program,
        call=call,
        tenant=state.created.tenant,
        epoch=owned.epoch,
        config_version=state.created.config_version,
    )


def log_outcome(outcome: Done | Failure) -> None:
    """Log the end of a call; a failure without its message, which may quote the target."""
    if isinstance(outcome, Failure):
        logger.info("call failed: {}, {}", outcome.code.value, outcome.verdict.value)
        return
    logger.debug("call ended after {} tokens", outcome.usage.output_tokens)


def log_interruption(failure: Failure) -> None:
    """Log that a call was cancelled or raised an exception, with the answer to its caller.

    The message is omitted, since it may quote the reason for which a caller ended the program.
    """
    logger.info("call interrupted: {}, {}", failure.code.value, failure.verdict.value)


def json_line(record: Any) -> str:
    """Return a loguru record as a line of JSON."""
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        "place": f"{record['name']}:{record['line']}",
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = describe_error(record["exception"].value)
    return msgspec.json.encode(line, enc_hook=str).decode() + "\n"


def describe_error(error: BaseException | None) -> list[str]:
    """Return the type of an exception and its innermost frames.

    The message is omitted, except for errors of the operating system, which quote no caller.
    """
    if error is None:
        return []
    text = type(error).__name__
    if isinstance(error, OSError) and error.strerror:
        text = f"{text}: {error.strerror}"
    frames = traceback.extract_tb(error.__traceback__)[-MAX_LOGGED_FRAMES:]
    return [text, *(f"{frame.filename}:{frame.lineno} {frame.name}" for frame in frames)]


class LibraryLogHandler(logging.Handler):
    """Forwards log records of libraries, without the values in them."""

    def emit(self, record: logging.LogRecord) -> None:
        """Forward the template of a record without its arguments, which may quote a request."""
        error = record.exc_info[1] if record.exc_info else None
        logger.opt(exception=error).log(record.levelname, "{}: {}", record.name, record.msg)
