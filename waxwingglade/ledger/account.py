"""Pure functions that change a program's account of generated tokens.

All of them are idempotent, so that a request whose answer is lost can be repeated.
"""

from collections.abc import Collection, Mapping
from enum import Enum
from typing import TypeVar

import msgspec

from waxwingglade.ledger.messages import Account, EndTurn, TurnId

T = TypeVar("T")


class Reservation(Enum):
    """Outcome of an attempt to reserve tokens."""

    GRANTED = "granted"
    SPENT = "spent"
    PENDING = "kept out by reservations that are not confirmed"
    ENDED = "ended"


def reserve(
    account: Account,
    turn: TurnId,
    most_tokens: int,
    budget: int,
    now: float,
    granter: str = "",
    counted: Collection[TurnId] = (),
) -> tuple[Account, Reservation]:
    """Reserve the maximum number of tokens that a turn may generate.

    Parameters
    ----------
    account : Account
        The program's account.
    turn : TurnId
        The turn; an existing reservation of the turn is not changed.
    most_tokens, budget : int
        Maximum number of tokens of the turn, and of all turns of the program together.
    now : float
        Calendar time in seconds.
    granter : str
        Incarnation of the process that may confirm the reservation; empty if the reservation needs
        no confirmation.
    counted : collection of TurnId
        Turns that are confirmed, but still unconfirmed in the account.

    Returns
    -------
    (Account, Reservation)
        The changed account, and the outcome.  A turn that has ended does not begin again.
    """
    if turn in account.open:
        return account, Reservation.GRANTED
    if turn in account.closed:
        return account, Reservation.ENDED
    excess = committed(account) + most_tokens - budget
    if excess > 0:
        pending = sum(account.open[other] for other in account.unconfirmed if other not in counted)
        return account, Reservation.PENDING if pending >= excess else Reservation.SPENT
    changed = msgspec.structs.replace(
        account,
        open={**account.open, turn: most_tokens},
        touched_at=now,
        unconfirmed={**account.unconfirmed, turn: granter} if granter else account.unconfirmed,
    )
    return changed, Reservation.GRANTED


def confirm(account: Account, turn: TurnId, now: float) -> tuple[Account, bool]:
    """Confirm a turn's reservation until the turn ends; return whether there is a reservation."""
    if turn not in account.open:
        return account, False
    if turn not in account.unconfirmed:
        return account, True
    unconfirmed = _without(account.unconfirmed, turn)
    return msgspec.structs.replace(account, unconfirmed=unconfirmed, touched_at=now), True


def expire(account: Account, expired: Mapping[TurnId, str], now: float) -> Account:
    """End turns whose reservations expired unconfirmed; their callers have received no token.

    Parameters
    ----------
    expired : mapping
        Turns that are never going to be confirmed, each with the incarnation of the process that
        reported so.
    """
    for turn, granter in account.unconfirmed.items():
        if expired.get(turn) == granter:
            account = resolve_reservation(account, EndTurn(turn, failed_at=account.failed_at), now)
    return account


def resolve_reservation(account: Account, message: EndTurn, now: float) -> Account:
    """Replace a turn's reservation by its token usage, and record the engine that ran the turn.

    A turn without a reservation is closed as well, so that a late reservation is refused.
    """
    turn = message.turn
    if turn in account.closed:
        return account
    return Account(
        account.spent + message.used_tokens,
        _without(account.open, turn),
        (*account.closed, turn),
        now,
        message.target or account.target,
        message.failed_at,
        _without(account.unconfirmed, turn),
    )


def _without(turns: dict[TurnId, T], turn: TurnId) -> dict[TurnId, T]:
    return {other: value for other, value in turns.items() if other != turn}


def committed(account: Account) -> int:
    """Return the sum of spent and reserved tokens."""
    return account.spent + sum(account.open.values())


__all__ = ["Reservation", "committed", "confirm", "expire", "reserve", "resolve_reservation"]
