"""Structured logs: one flat JSON object a line on standard error.

Every record names the entry and the zone, and the program, call, tenant, epoch and configuration
version that it is about, empty where there is none.  Tokens and message texts never get in: values
of variables are not printed, and of an exception only its type and place, since its message may
quote what a caller sent.
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

FRAMES_SHOWN = 12


def start_logging(
    settings: ProcessSettings, version: Callable[[], ConfigVersion], stream: TextIO | None = None
) -> None:
    """Send logs of the level in the settings to a stream, as JSON lines.

    Parameters
    ----------
    settings : ProcessSettings
        Names and level.
    version : callable
        Returns the configuration version in force, for records of no particular program.
    stream : file, optional
        Where to; standard error if not given.
    """
    target = stream or sys.stderr

    def write(message: Any) -> None:
        target.write(json_line(message.record))
        target.flush()

    def fill_in(record: Any) -> None:
        extra = record["extra"]
        if "config_version" not in extra:
            extra["config_version"] = version()

    logger.remove()
    logger.add(write, level=settings.log_level, format="{message}", diagnose=False)
    names = {"entry": settings.entry, "zone": settings.zone}
    nothing = {"program": "", "call": "", "tenant": "", "epoch": 0}
    logger.configure(extra={**names, **nothing}, patcher=fill_in)
    logging.basicConfig(handlers=[LibraryLogHandler()], level=logging.WARNING, force=True)


def log_context(
    owned: OwnedLog, state: ProgramState, call: CallId | str = ""
) -> AbstractContextManager[None]:
    """Return a context in which records are about a program, or one of its calls."""
    return logger.contextualize(
        program=state.program,
        call=call,
        tenant=state.created.tenant,
        epoch=owned.epoch,
        config_version=state.created.config_version,
    )


def log_outcome(outcome: Done | Failure) -> None:
    """Log how a call ended; of a failure the code, since its message may quote the target."""
    if isinstance(outcome, Failure):
        logger.info("call failed: {}, {}", outcome.code.value, outcome.verdict.value)
        return
    logger.debug("call ended after {} tokens", outcome.usage.output_tokens)


def json_line(record: Any) -> str:
    """Return a record of loguru as a line of JSON."""
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
    """Return the type of an exception and the frames that it passed.

    The message is left out, but for errors of the operating system, which quote no caller.
    """
    if error is None:
        return []
    text = type(error).__name__
    if isinstance(error, OSError) and error.strerror:
        text = f"{text}: {error.strerror}"
    frames = traceback.extract_tb(error.__traceback__)[-FRAMES_SHOWN:]
    return [text, *(f"{frame.filename}:{frame.lineno} {frame.name}" for frame in frames)]


class LibraryLogHandler(logging.Handler):
    """Passes on what libraries log, without the values in it."""

    def emit(self, record: logging.LogRecord) -> None:
        """Pass on one record; its arguments may quote a request, so only the template is kept."""
        error = record.exc_info[1] if record.exc_info else None
        logger.opt(exception=error).log(record.levelname, "{}: {}", record.name, record.msg)
