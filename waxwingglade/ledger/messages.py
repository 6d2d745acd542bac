"""Messages of the ledger: between entries and replicas, and among replicas."""

from typing import NewType

import msgspec

from waxwingglade.base import Fingerprint, ProgramId
from waxwingglade.decisions.shared_load import EntryLoad, TargetLoad
from waxwingglade.follow.messages import Follow, Followed, FollowSuspects, Message, SuspectList
from waxwingglade.follow.model import (
    ClientAccount,
    ClientAccountId,
    Configuration,
    IncarnationName,
    ReplicaSet,
)
from waxwingglade.ledger.target_failures import NO_FAILURES, TargetFailures

TurnId = NewType("TurnId", str)


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Unique number of a proposal; a process never uses the same ballot twice.

    Parameters
    ----------
    number : int
        Increases with each proposal.
    proposer : str
        Random name of the proposing process.
    """

    number: int = 0
    proposer: str = ""

    def next(self) -> "Ballot":
        """Return the ballot that a member promises to the proposer when it accepts this one."""
        return Ballot(self.number + 1, self.proposer)


NO_BALLOT = Ballot()


class Turn(msgspec.Struct, frozen=True, array_like=True):
    """A complete turn; immutable.

    Parameters
    ----------
    turn : TurnId
        Identifier of the turn, from the request that created it.
    previous : TurnId or None
        Turn that this turn continues.
    asked : bytes
        Input of the turn.
    answered : bytes
        Data of the turn's events, each followed by a line feed.
    expires_at : float
        Calendar time in seconds until which the turn is stored.
    target : IncarnationName or None
        Engine that ran the turn and has its conversation cached; None in data written by older
        versions.
    client : ClientAccountId or None
        Client account that owns the turn; None if callers need no key.
    """

    turn: TurnId
    previous: TurnId | None
    asked: bytes
    answered: bytes
    expires_at: float
    target: IncarnationName | None = None
    client: ClientAccountId | None = None

    def belongs_to(self, client: ClientAccountId | None) -> bool:
        """Return whether a client account may continue this turn."""
        return self.client is None or self.client == client


class Account(msgspec.Struct, frozen=True, array_like=True):
    """Account of the tokens that a program has generated and reserved.

    Parameters
    ----------
    spent : int
        Tokens of turns that have ended.
    open : dict
        Reserved tokens of each turn that has begun and not ended.
    closed : tuple of TurnId
        Turns that have ended, which never begin again.
    touched_at : float
        Calendar time of the last change, in seconds.
    target : IncarnationName or None
        Engine that ran the turn that ended last.
    failed_at : IncarnationName or None
        Engine that failed the last turn, if the turn was not completed.
    unconfirmed : dict
        Turns that have begun and whose confirmations, if any, are stored only at the process that
        began them; the values are the incarnations of that process.
    """

    spent: int = 0
    open: dict[TurnId, int] = {}
    closed: tuple[TurnId, ...] = ()
    touched_at: float = 0.0
    target: IncarnationName | None = None
    failed_at: IncarnationName | None = None
    unconfirmed: dict[TurnId, str] = {}


NEW_ACCOUNT = Account()


# From entries


class AccountLimit(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Limit of a client account in one configuration; a newer configuration compares greater.

    Parameters
    ----------
    version : int
        Version of the configuration.
    revision : int
        Revision of the store that wrote the configuration.
    rate_per_s : float
        Requests per second over all entries; 0 for no limit.
    burst : float
        Requests on top of the rate in any window.
    """

    version: int
    revision: int
    rate_per_s: float
    burst: float

    @staticmethod
    def of(account: ClientAccount, configuration: Configuration) -> "AccountLimit":
        """Return the limit of an account in a configuration."""
        return AccountLimit(
            configuration.version, configuration.revision, account.rate_per_s, account.burst
        )


class BeginTurn(Message):
    """Reserve a turn's tokens, and return the chain that the turn continues.

    Parameters
    ----------
    turn : TurnId
        The turn.
    program : ProgramId or None
        Program whose budget is charged; None if there is no budget.
    most_tokens, budget : int
        Maximum number of tokens of the turn, and of all turns of the program together.
    previous : TurnId or None
        Last turn of the chain to return.
    client : ClientAccountId or None
        Client account of the caller; None if callers need no key.
    is_first : bool
        Whether the turn is the first one of its program.
    is_counted : bool
        Whether the turn was already granted within the client account's limit.
    confirms : bool
        Whether the entry confirms the reservation before its caller receives any token.
    limit : AccountLimit or None
        The account's limit as known to the entry, for a member with an older configuration.
    """

    turn: TurnId
    program: ProgramId | None = None
    most_tokens: int = 0
    budget: int = 0
    previous: TurnId | None = None
    client: ClientAccountId | None = None
    is_first: bool = False
    is_counted: bool = False
    confirms: bool = False
    limit: AccountLimit | None = None


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """How a member granted a request of a client account with a limit.

    Parameters
    ----------
    replica : str
        VM of the member.
    version : int
        Version of the configuration with the limit.
    epoch : int
        Set of members by which the member's quota share was computed.
    share : int
        Number of requests that the member may grant in a window.
    used : int
        Number of requests that it has granted in the window, including this one.
    """

    replica: str
    version: int
    epoch: int
    share: int
    used: int


class TurnBegun(Message):
    """The tokens are reserved.

    Parameters
    ----------
    chain : tuple of Turn
        The previous turns, the oldest first.
    target : IncarnationName or None
        Engine that ran the turn of the program that ended last, in this chain or another one.
    failed_at : IncarnationName or None
        Engine that failed the program's last turn.
    granter : str
        Disk of the replica whose process may confirm the reservation; until then, the tokens may be
        reserved for another turn.  Empty if the reservation needs no confirmation.
    grant : Grant or None
        The turn's grant; None if its client account has no limit or another member granted it.
    """

    chain: tuple[Turn, ...] = ()
    target: IncarnationName | None = None
    failed_at: IncarnationName | None = None
    granter: str = ""
    grant: Grant | None = None


class ConfirmTurn(Message):
    """Confirm the reservation of a turn that the entry serves, until the turn ends.

    The answer is `TurnConfirmed`, or `NoSuchTurn` if the turn has ended or its reservation has
    expired.

    Parameters
    ----------
    granter : str
        Disk of the replica whose process may confirm the reservation; at other replicas, the
        confirmation takes a change of the account.
    """

    turn: TurnId
    program: ProgramId
    granter: str = ""


class TurnConfirmed(Message):
    """The reservation is confirmed until the turn ends."""


class BudgetSpent(Message):
    """The remaining budget is too small for the turn."""

    spent: int
    reserved: int


class NoSuchTurn(Message):
    """The turn to continue certainly does not exist; nothing was reserved."""


class TakeQuota(Message):
    """Ask whether a client account may send one more request.

    Parameters
    ----------
    limit : AccountLimit or None
        The account's limit as known to the entry, for a member with an older configuration.
    """

    client: ClientAccountId
    limit: AccountLimit | None = None


class BeginProgram(Message):
    """Ask whether a client account may begin one more program.

    Parameters
    ----------
    refused : int
        Number of requests of the account's running programs that the entry has refused since its
        previous message.
    """

    client: ClientAccountId
    refused: int = 0


class QuotaTaken(Message):
    """The request may be sent to a target, or the program may begin; it is counted.

    Parameters
    ----------
    grant : Grant or None
        The request's grant; None for a program, or if the client account has no limit.
    """

    grant: Grant | None = None


class QuotaSpent(Message):
    """This member grants the account nothing for `retry_s` seconds; nothing was reserved."""

    retry_s: float


class EndTurn(Message):
    """Store a turn, and replace its reservation by its token usage.

    Parameters
    ----------
    turn : TurnId
        The turn.
    program : ProgramId or None
        Program whose budget is charged.
    used_tokens : int
        Number of tokens that were sent to the caller; 0 for a turn that was not run.
    kept : Turn or None
        The turn to store, if it may be continued later.
    target : IncarnationName or None
        Engine that ran the turn; None for a turn that was not run.
    failed_at : IncarnationName or None
        Engine that failed the turn.
    """

    turn: TurnId
    program: ProgramId | None = None
    used_tokens: int = 0
    kept: Turn | None = None
    target: IncarnationName | None = None
    failed_at: IncarnationName | None = None


class TurnEnded(Message):
    """Result of an `EndTurn`: whether the turn is stored, and its reservation resolved."""

    kept: bool
    settled: bool


class NoteEnd(Message):
    """Record that a turn has ended, without resolving its reservation; `end` stores no turn.

    The receiver resolves the reservation with its next change of the program's account.
    """

    end: EndTurn


class EndNoted(Message):
    """The end is durable here."""


class MergeFailures(Message):
    """Merge a record of targets that failed a request into that of the receiver.

    The answer is the receiver's record.  An empty record changes nothing.
    """

    fingerprint: Fingerprint
    failures: TargetFailures = NO_FAILURES


class KnownFailures(Message):
    """The targets that failed a request, as far as this process knows; durable here."""

    failures: TargetFailures


class ListFailures(Message):
    """Ask for all records of targets that failed requests."""


class Failures(Message):
    """All records of a process."""

    records: dict[Fingerprint, TargetFailures]


class ReportLoad(Message):
    """Report what an entry has in progress at targets; it is answered if the entry asks.

    Parameters
    ----------
    entry : str
        VM of the entry and random name of its process.
    loads : dict
        Load of the entry by target; complete, without targets that have none.
    asks : bool
        Whether the entry asks what others have in progress.
    """

    entry: str
    loads: dict[IncarnationName, EntryLoad] = msgspec.field(default_factory=dict)
    asks: bool = False


class SharedLoads(Message):
    """Answer to a `ReportLoad`.

    Parameters
    ----------
    loads : dict or None
        What others have in progress by target, without targets of which nothing is known; None if
        too few entries have reported to this process yet.
    """

    loads: dict[IncarnationName, TargetLoad] | None = None


class Busy(Message):
    """The process has too many pending requests to answer in time; it did nothing."""


class Unavailable(Message):
    """The request was not decided: too few replicas answered."""

    reason: str


# Among replicas


class MergeLoads(Message):
    """Report what the entries that report to a member have in progress; it gets no answer.

    Parameters
    ----------
    member : str
        Disk of the member.
    loads : dict
        Sums over these entries by target; complete, without targets that have none.
    """

    member: str
    loads: dict[IncarnationName, EntryLoad] = msgspec.field(default_factory=dict)


class Prepare(Message):
    """Promise to accept no proposal for a program's account below `ballot`."""

    epoch: int
    program: ProgramId
    ballot: Ballot


class Promised(Message):
    """The promise, with the account that was accepted last."""

    accepted: Ballot
    account: Account


class Accept(Message):
    """Accept an account under a ballot that a majority has promised."""

    epoch: int
    program: ProgramId
    ballot: Ballot
    account: Account


class Accepted(Message):
    """The account is durable here."""


class Rejected(Message):
    """The proposal is rejected, as the higher ballot `promised` has been promised."""

    promised: Ballot


class OtherEpoch(Message):
    """The sender's set of members differs from `replicas`, the set of the receiver."""

    replicas: ReplicaSet


class Look(Message):
    """Ask for a program's account, without a promise and without a write."""

    epoch: int
    program: ProgramId


class Seen(Message):
    """The account that was accepted last here, and the lowest ballot that is still accepted."""

    promised: Ballot
    accepted: Ballot
    account: Account


class Keep(Message):
    """Store a turn."""

    epoch: int
    turn: Turn


class Kept(Message):
    """The turn is durable here."""


class Find(Message):
    """Ask for a turn and the previous turns of its chain."""

    epoch: int
    turn: TurnId


class Found(Message):
    """The chain up to a turn as far as this replica has it, the oldest first.

    Parameters
    ----------
    chain : tuple of Turn
        Empty if the replica does not have the turn itself.
    whole : bool
        Whether the chain is complete back to its first turn.
    """

    chain: tuple[Turn, ...] = ()
    whole: bool = False


class ListEnds(Message):
    """Ask for the ends of a program's turns that its account may not include yet."""

    program: ProgramId


class JudgeTurns(Message):
    """Ask a process which of the turns that it began are confirmed and which are expired."""

    program: ProgramId
    turns: tuple[TurnId, ...]


class Judged(Message):
    """Confirmation state of turns that a process began; turns in neither tuple are undecided.

    Parameters
    ----------
    confirmed : tuple of TurnId
        Turns whose reservations are confirmed until they end.
    lapsed : tuple of TurnId
        Turns whose reservations have expired: this process never confirms them.
    """

    confirmed: tuple[TurnId, ...] = ()
    lapsed: tuple[TurnId, ...] = ()


class Ends(Message):
    """The ends of the program's turns that this process has received."""

    ends: tuple[EndTurn, ...] = ()


class Ping(Message):
    """Check whether a replica is alive."""

    epoch: int
    disk: str


class Pong(Message):
    """Answer of a replica that is alive.

    Parameters
    ----------
    disk : str
        Name of the content of the replica's disk.
    synced_epoch : int
        Epoch of the newest set of members since whose start the replica has copied the data of the
        other members.
    replicas : ReplicaSet or None
        Set of members of the replica, if it is newer than that of the sender of the `Ping`.
    reaches_store : bool
        Whether the platform's store has recently answered the replica.
    failures : int or None
        Checksum of its records of targets that failed requests; None from older versions.
    """

    disk: str
    synced_epoch: int
    replicas: ReplicaSet | None = None
    reaches_store: bool = True
    failures: int | None = None


class ListHeld(Message):
    """Ask for the names of all data; the replica refuses older sets of members from then on."""

    replicas: ReplicaSet


class Held(Message):
    """Names of the data that a replica stores.

    Parameters
    ----------
    turns : tuple of TurnId
        All stored turns.
    accounts : dict
        Accepted ballot of each program's account.
    promised : dict
        Promised ballot of each account whose promised ballot is not the one after the accepted one.
    failures : dict
        Records of targets that failed requests.
    """

    turns: tuple[TurnId, ...]
    accounts: dict[ProgramId, Ballot]
    promised: dict[ProgramId, Ballot] = msgspec.field(default_factory=dict)
    failures: dict[Fingerprint, TargetFailures] = msgspec.field(default_factory=dict)


class Fetch(Message):
    """Ask for turns and accounts by name."""

    turns: tuple[TurnId, ...] = ()
    programs: tuple[ProgramId, ...] = ()


class Fetched(Message):
    """The requested turns and accounts that the replica has.

    Parameters
    ----------
    retained_until : dict
        Calendar time until which the replica retains each turn that later turns continue.
    """

    turns: tuple[Turn, ...] = ()
    accounts: dict[ProgramId, tuple[Ballot, Account]] = msgspec.field(default_factory=dict)
    retained_until: dict[TurnId, float] = msgspec.field(default_factory=dict)


class Checksums(msgspec.Struct, array_like=True):
    """Checksums of the unexpired turns of a replica, in groups by the time of their expiry.

    Parameters
    ----------
    settled : dict
        Checksum of each group that has not changed recently.
    changing : tuple of int
        The other groups, which can't be compared now.
    """

    settled: dict[int, int]
    changing: tuple[int, ...] = ()


class CompareTurns(Message):
    """Ask a member for the names of turns that the sender may lack.

    Parameters
    ----------
    gaps : tuple of TurnId
        Turns that the sender lacks although it has turns that continue them.
    """

    checksums: Checksums
    gaps: tuple[TurnId, ...] = ()


class DifferentTurns(Message):
    """Names of turns of a member, in groups whose checksums differ, and of gaps that it has."""

    turns: tuple[TurnId, ...] = ()


ReplicaRequest = (
    Prepare
    | Accept
    | Look
    | Keep
    | Find
    | NoteEnd
    | ListEnds
    | JudgeTurns
    | ListHeld
    | Fetch
    | ListFailures
    | CompareTurns
)


class ToReplica(Message):
    """A request for the replica of one disk.

    After a disk was wiped, the process at its address is a new replica, which must not answer on
    behalf of the previous one.
    """

    disk: str
    body: ReplicaRequest


class NotHere(Message):
    """The replica to which a request is addressed is not at this address."""


LedgerMessage = (
    BeginTurn
    | TurnBegun
    | ConfirmTurn
    | TurnConfirmed
    | BudgetSpent
    | NoSuchTurn
    | TakeQuota
    | BeginProgram
    | QuotaTaken
    | QuotaSpent
    | EndTurn
    | TurnEnded
    | NoteEnd
    | EndNoted
    | MergeFailures
    | KnownFailures
    | ListFailures
    | Failures
    | ReportLoad
    | SharedLoads
    | MergeLoads
    | Unavailable
    | Busy
    | Follow
    | Followed
    | FollowSuspects
    | SuspectList
    | Prepare
    | Promised
    | Accept
    | Accepted
    | Rejected
    | Look
    | Seen
    | OtherEpoch
    | Keep
    | Kept
    | Find
    | Found
    | ListEnds
    | Ends
    | JudgeTurns
    | Judged
    | Ping
    | Pong
    | ListHeld
    | Held
    | Fetch
    | Fetched
    | CompareTurns
    | DifferentTurns
    | ToReplica
    | NotHere
)
