"""Request quotas of client accounts, enforced by the members of the ledger for the entries."""

import asyncio
from typing import Any

import msgspec
from loguru import logger

from waxwingglade.base import Clock, monotonic
from waxwingglade.base.logs import Sampler
from waxwingglade.decisions.program_starts import ProgramLength, ProgramStarts, may_begin
from waxwingglade.decisions.quota import Grants, QuotaRules, decide
from waxwingglade.decisions.quota_share import QuotaShare, QuotaShareRules
from waxwingglade.follow.feed import CachedView
from waxwingglade.follow.model import ClientAccountId, Configuration, ReplicaSet, View
from waxwingglade.ledger.messages import (
    AccountLimit,
    BeginProgram,
    Grant,
    QuotaSpent,
    QuotaTaken,
    TakeQuota,
    Unavailable,
)
from waxwingglade.ledger.quota_log import QuotaLog
from waxwingglade.ledger.replica import Replica

MAX_VIEW_AGE_S = 5.0
"""Maximum age in seconds of the view with which requests are granted.  With an older view, other
members may grant the quota share of this one."""

REFUSALS_LOGGED_PER_S = 5.0


class Granted(msgspec.Struct):
    """Grant of a request, which may be sent to a target.

    Parameters
    ----------
    at : float
        Time of the grant in monotonic seconds.
    durable : asyncio.Future or None
        Done once the grant is durable; None if the request is not counted.
    grant : Grant or None
        How it was granted, for the logs; None if the request is not counted.
    """

    at: float = 0.0
    durable: asyncio.Future[Any] | None = None
    grant: Grant | None = None


class Quotas:
    """Counts the requests of client accounts in one ledger process.

    Parameters
    ----------
    rules : QuotaRules
        Rules by which requests are counted.
    usual_members : int
        Number of members among which limits are divided at least.
    cached_view : CachedView
        The configuration and the members, and the time up to which they are complete.
    replica : Replica
        Stores the grants.
    bootstrap : bool
        Whether the whole system starts for the first time, so that no member has granted anything.
    clock : Clock
        Monotonic seconds.
    vm : str
        Name of the VM, for the logs.
    """

    def __init__(
        self,
        rules: QuotaRules,
        usual_members: int,
        cached_view: CachedView,
        replica: Replica,
        bootstrap: bool = False,
        clock: Clock = monotonic,
        vm: str = "",
    ) -> None:
        self.rules = rules
        self.quota_share_rules = QuotaShareRules(MAX_VIEW_AGE_S, rules.window_s, usual_members)
        self.cached_view = cached_view
        self.replica = replica
        self.bootstrap = bootstrap
        self.clock = clock
        self.vm = vm
        self.quota_share = QuotaShare(self.quota_share_rules, replica.disk)
        self.configuration: Configuration | None = None
        self.limits: dict[ClientAccountId, AccountLimit] = {}
        self.program_length = ProgramLength()
        self.starts: dict[ClientAccountId, ProgramStarts] = {}
        self.refusals = Sampler(REFUSALS_LOGGED_PER_S)
        self.usage = QuotaLog(rules.window_s, clock)
        # The shares depend on each set of members, also on one that is replaced at once.
        cached_view.listeners.append(self._apply_view)

    def open(self) -> None:
        """Restore the state from the disk."""
        # The settings may still say `bootstrap` when a member restarts soon after it joined.
        is_first_start = self.bootstrap and not self.replica.replicas.epoch
        joined_before = is_first_start or self.replica.counts
        self.quota_share = QuotaShare(
            self.quota_share_rules, self.replica.disk, joined_before, self.replica.largest_set
        )
        self._update_members(self.replica.replicas)
        self._apply_view(self.cached_view.view)

    async def take(self, message: TakeQuota) -> QuotaTaken | QuotaSpent | Unavailable:
        """Count a request that is not the begin of a turn; return once the grant is durable."""
        outcome = self.count(message.client, message.limit)
        if not isinstance(outcome, Granted):
            return outcome
        if outcome.durable is not None:
            await outcome.durable
        return QuotaTaken(outcome.grant)

    async def begin_program(self, message: BeginProgram) -> QuotaTaken | QuotaSpent | Unavailable:
        """Count a program that begins, if the account's limit probably suffices until its end.

        This only avoids requests that would be refused later; `count` enforces the limit.
        """
        limit = self._limit(message.client)
        if isinstance(limit, Unavailable):
            return limit
        now = self.clock()
        starts = self.starts.setdefault(message.client, ProgramStarts())
        starts.record_refused(message.refused, now)
        most = self.rules.most(limit.rate_per_s, limit.burst)
        verdict = may_begin(starts, most, self.rules, now, self.program_length.mean_requests)
        if limit.rate_per_s <= 0 or verdict.granted:
            return QuotaTaken()
        return QuotaSpent(verdict.retry_s)

    def _limit(
        self, client: ClientAccountId, reported: AccountLimit | None = None
    ) -> AccountLimit | Unavailable:
        """Return the newest known limit of an account, or the reason why it is unavailable.

        An entry may report a newer limit than the store has told this process.
        """
        if self.cached_view.incomplete_s > MAX_VIEW_AGE_S:
            return Unavailable("limits were confirmed too long ago")
        limit = self.limits.get(client)
        if reported is not None and (limit is None or reported > limit):
            limit = self.limits[client] = reported
        return limit or Unavailable("the client account is not known")

    def count(
        self,
        client: ClientAccountId,
        reported: AccountLimit | None = None,
        is_first: bool = False,
    ) -> Granted | QuotaSpent | Unavailable:
        """Count a request if the account's quota share here is not used up.

        Parameters
        ----------
        reported : AccountLimit or None
            The account's limit as known to the entry that asks.
        is_first : bool
            Whether the request is the first one of its program.
        """
        limit = self._limit(client, reported)
        if isinstance(limit, Unavailable):
            return limit
        if limit.rate_per_s <= 0:
            return Granted()
        now = self.clock()
        most = self.rules.most(limit.rate_per_s, limit.burst)
        share = self.quota_share.share_of(most, client, now)
        grants = self.replica.grants.setdefault(client, Grants())
        verdict = decide(grants, share, self.rules, now)
        if not verdict.granted:
            self.usage.record_refused(client)
            self._log(client, limit, share, grants)
            return QuotaSpent(verdict.retry_s)
        grants.record(now)
        self.usage.record_granted(client, len(grants.times))
        if not grants.recently_refused(now):
            # Programs that were refused end early, and would bias the average length.
            self.program_length.record(is_first)
        grant = Grant(self.vm, limit.version, self.quota_share.epoch, share, len(grants.times))
        return Granted(now, self.replica.record_grant(client, now), grant)

    @property
    def may_grant(self) -> bool:
        """Whether this process has been a member for long enough to grant requests."""
        return self.quota_share.settled(self.clock())

    def give_back(self, client: ClientAccountId, granted: Granted) -> None:
        """Return the grant of a request that reaches no target."""
        if granted.durable is not None:
            self.replica.grants[client].give_back(granted.at)
            self.usage.record_returned(client)

    def record_state(self) -> None:
        """Store what must survive a restart, and log the usage of limits."""
        self.usage.write_if_due()
        if self.cached_view.view.replicas.epoch:
            self._store_counting(self.clock())

    def _update_members(self, replicas: ReplicaSet) -> None:
        members = [member.disk for member in replicas.members]
        if replicas.epoch:
            self.quota_share.update_members(replicas.epoch, members, self.clock())

    def _apply_view(self, view: View) -> None:
        """Update members and limits from a new view."""
        self._update_members(view.replicas)
        configuration = view.configuration
        if configuration is None or configuration is self.configuration:
            return
        newer = {
            client: limit
            for client, limit in self.limits.items()
            if (limit.version, limit.revision) > (configuration.version, configuration.revision)
        }
        accounts = reversed(configuration.accounts or ())
        self.limits = {each.name: AccountLimit.of(each, configuration) for each in accounts} | newer
        self.configuration = configuration

    def _store_counting(self, now: float) -> None:
        """Store whether this process has been a member for long enough to grant its share."""
        settled = self.quota_share.settled(now)
        if settled != self.replica.counts:
            self.replica.record_counting(settled)

    def _log(
        self, client: ClientAccountId, limit: AccountLimit, share: int, grants: Grants
    ) -> None:
        if self.refusals.allows():
            logger.bind(
                account=client,
                rate_per_s=limit.rate_per_s,
                burst=limit.burst,
                version=limit.version,
                epoch=self.quota_share.epoch,
                part=share,
                granted=len(grants.times),
                left_out=self.refusals.take_left_out(),
            ).info("over the limit here")


__all__ = ["Granted", "Quotas"]
