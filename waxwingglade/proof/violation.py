"""Guarantees and their violations."""

from enum import Enum

import msgspec

from waxwingglade.proof.history import Event


class Point(Enum):
    """Guarantee that must always hold."""

    ORDER = "calls run in order"
    HISTORY = "history is neither lost nor mixed"
    BUDGET = "budget is never exceeded"
    RELEASE = "ended programs hold no engine memory"
    ANSWERS = "each caller gets the whole answer to its own request"
    NOT_RUN = "not run truly did not run"
    AT_MOST_ONCE = "non-idempotent calls run at most once"
    LEAVING = "a leaving target gets no new work"
    DRAIN = "graceful shutdown cuts off no request"
    CONFIG = "accepted configuration is in force and stays"


class Violation(msgspec.Struct, frozen=True):
    """A violation of a guarantee.

    Parameters
    ----------
    point : Point
        The violated guarantee.
    subject : str
        Id of the program, target, entry or version concerned.
    message : str
        What was observed.
    events : list of Event
        Events that show the violation.
    """

    point: Point
    subject: str
    message: str
    events: list[Event] = []

    def __str__(self) -> str:
        return f"[{self.point.value}] {self.subject}: {self.message}"
