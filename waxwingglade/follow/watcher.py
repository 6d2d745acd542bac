"""Follow the store: configuration, targets and the ledger's members, with few calls.

One watch covers all keys, so that its answer confirms the whole view.  With a watch for each kind
of key, a watch that no longer received events would remain unnoticed for the length of its wait,
while the answers of the others made the view seem current.  A pause between watches limits the
number of calls; each watch returns the changes since the previous one.

An answer confirms the view only if its events reach the revision that it covers.  Otherwise the
store has changes that it did not show, and all keys are listed.  A listing also replaces a watch
now and then, in case that a watch shows neither changes nor their revisions.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec
from loguru import logger

from waxwingglade.base import Clock, monotonic
from waxwingglade.base.tasks import run_forever
from waxwingglade.follow.items import ItemDecoder
from waxwingglade.follow.model import (
    EMPTY_VIEW,
    Configuration,
    ReplicaSet,
    Revision,
    Target,
    View,
)
from waxwingglade.follow.store import (
    WATCH_MARGIN_S,
    EventsNotReceived,
    HistoryCompacted,
    Item,
    Listing,
    Store,
    StoreUnavailable,
    contiguous_until,
)
from waxwingglade.follow.targets import RegisteredTargets

EVERYTHING = ""
"""Prefix of all keys."""

WATCH_INTERVAL_S = 0.35
"""Seconds between watches: about a fifth of the two seconds within which a changed configuration
must be in force and a leaving target must get no more work."""

WAIT_S = 0.5
"""Seconds that a watch waits in a process whose view others follow.  Its answer also shows that the
store is reachable."""

LISTING_WAITS = 20
"""Waits of a watch after which all keys are listed again, on average."""

FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
"""Seconds between failed calls, doubled up to the longest, because failed calls are priced, too.  A
pause is counted from the start of the call: the duration of the call and the pause together
determine how late the recovery of an unresponsive store is noticed."""

SHORTEST_PAUSE_S = 0.05
"""Pause in seconds after a failed call that took longer than its pause, so that no call is repeated
at once."""

OWN_DELAY_S = 0.25
"""Seconds after its timeout from which on a failed call was delayed in this process."""


class Keys(msgspec.Struct, frozen=True):
    """The layout of keys in the store, and the decoders of their values.

    Parameters
    ----------
    configuration : str
        Key of the operators' configuration.
    operators, targets, own : str
        Prefixes of the keys that operators, targets and this system write.
    replicas : str
        Key of the ledger's members.
    retire : str
        Prefix of orders to retire a VM.
    candidates : str
        Prefix of the replicas that are about to join the ledger's members, by zone.
    """

    configuration: str
    operators: str
    targets: str
    own: str
    replicas: str
    retire: str
    candidates: str
    decode_configuration: Callable[[bytes], Configuration]
    decode_target: Callable[[str, bytes], Target]


class Candidate(msgspec.Struct, frozen=True):
    """A replica that is about to join: the name of its disk, and when this process saw it."""

    disk: str
    revision: Revision
    seen_at: float


class Watcher:
    """One process's own view of the store.

    Parameters
    ----------
    store : Store
        The store.
    keys : Keys
        The layout of keys.
    changed : callable
        Called after each change of the view.
    clock : Clock
        Monotonic seconds.
    wait_s : callable
        Returns the seconds that the next watch waits without an event.  An event is returned at
        once, whatever the wait.  A longer wait needs fewer calls, but an unresponsive store is
        noticed later.

    Attributes
    ----------
    view : View
        The last view of the store.
    store_confirmed_at : float
        When the store last confirmed the view; -inf before.
    store_complete_until : float
        When the call began that last confirmed the view.  Up to then the view is complete.
    recovered_at : float
        When the store answered for the first time, or after failed calls; -inf before.
    was_unavailable : bool
        Whether calls have failed since the last answer, or there was none yet.
    revision : Revision
        Revision up to which the answers of the store were applied.
    newest_revision : Revision
        Highest revision that an answer has named since the last listing, or the revision of that
        listing.  An older answer lacks changes.
    changed_at : float
        When an answer last had content, that is, a listing or events; -inf before.
    list_again_at : float
        When all keys are listed instead of the next watch.
    gaps : int
        Number of answers without the events of all revisions that they covered.
    decoder : ItemDecoder
        Decodes the items, and knows which of them are invalid.
    retiring : dict
        VMs that operators want to retire, with the revision of the order.
    candidates : dict
        Replicas that are about to join, by key.
    replicas_revision : Revision
        Revision of the key of the ledger's members, for a change of it.
    """

    def __init__(
        self,
        store: Store,
        keys: Keys,
        changed: Callable[[], None] = lambda: None,
        clock: Clock = monotonic,
        wait_s: Callable[[], float] = lambda: WAIT_S,
    ) -> None:
        self.store = store
        self.keys = keys
        self.changed = changed
        self.clock = clock
        self.wait_s = wait_s
        self.view = EMPTY_VIEW
        self.store_confirmed_at = float("-inf")
        self.store_complete_until = float("-inf")
        self.retiring: dict[str, Revision] = {}
        self.candidates: dict[str, Candidate] = {}
        self.replicas_revision = Revision(0)
        self.replicas_known = asyncio.Event()
        self.decoder = ItemDecoder()
        self.targets = RegisteredTargets(keys.decode_target, self.decoder)
        self.recovered_at = float("-inf")
        self.in_outage = False
        self.was_unavailable = True
        self.revision = Revision(0)
        self.newest_revision = Revision(0)
        self.changed_at = float("-inf")
        self.gaps = 0
        self.in_gap = False
        self.list_again_at = float("-inf")
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Start following."""
        self.task = run_forever(self._follow_or_withdraw)

    async def stop(self) -> None:
        """Stop following."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        self.task = None

    @property
    def confirmed_at(self) -> float:
        """When the store last confirmed the view; -inf until a configuration was decoded."""
        if self.view.configuration is None:
            return float("-inf")
        return self.store_confirmed_at

    @property
    def content_age_s(self) -> float:
        """Seconds since an answer of the store last had content."""
        return self.clock() - self.changed_at

    @property
    def undecodable(self) -> bool:
        """Whether the configuration in the store is invalid, so that no call completes the view."""
        return self.keys.configuration in self.decoder.rejected

    @property
    def complete_until(self) -> float:
        """Time up to which the view is complete; -inf until a configuration was decoded."""
        if self.view.configuration is None:
            return float("-inf")
        return self.store_complete_until

    async def _follow_or_withdraw(self) -> None:
        """Follow the store; a failure withdraws the confirmation of an answer not fully applied."""
        try:
            await self._follow()
        except Exception:
            self.store_confirmed_at = min(self.store_confirmed_at, self.store_complete_until)
            raise

    async def _follow(self) -> None:
        """Update the view without end: by a listing, then mostly by watches from its revision."""
        revision: Revision | None = None
        pause_s = FIRST_PAUSE_S
        while True:
            asked_at = self.clock()
            try:
                revision = await self._step(revision)
            except HistoryCompacted as error:
                logger.info("history compacted by the store, listing all keys again: {}", error)
                if revision is None:
                    await asyncio.sleep(WATCH_INTERVAL_S)
                revision = None
                continue
            except EventsNotReceived as error:
                logger.bind(reason=str(error)).warning("changes not received, listing all keys")
                revision = None
                await self._read_operators_keys()
                continue
            except StoreUnavailable as error:
                self._record_outage(str(error), asked_at)
                next_at = asked_at + pause_s * (0.5 + random.random())
                await asyncio.sleep(max(SHORTEST_PAUSE_S, next_at - self.clock()))
                pause_s = min(2 * pause_s, max(LONGEST_PAUSE_S, self.wait_s()))
                continue
            pause_s = FIRST_PAUSE_S
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def _step(self, revision: Revision | None) -> Revision:
        asked_at = self.clock()
        wait_s = self.wait_s()
        if revision is None or asked_at >= self.list_again_at:
            return await self._list()
        events = await self.store.watch(EVERYTHING, revision, wait_s)
        self.newest_revision = max(self.newest_revision, events.revision)
        if not self._is_continuous(revision, events):
            return await self._list()
        now = self.clock()
        # An answer after the timeout of the watch was delayed in this process, for example while
        # the VM was stalled, so it confirms the view only as of the request.
        self._record_answer(now if now - asked_at < wait_s + WATCH_MARGIN_S else asked_at)
        self._apply(events, False)
        self._record_complete(asked_at)
        return events.revision

    async def _list(self) -> Revision:
        asked_at = self.clock()
        spread = 0.5 + random.random()
        # Set before the call, so that watches continue after a listing that failed.
        self.list_again_at = asked_at + LISTING_WAITS * self.wait_s() * spread
        listing = await self.store.list(EVERYTHING)
        newest, self.newest_revision = self.newest_revision, listing.revision
        if listing.revision < newest:
            # If the next listing is as old, the answer that named the higher revision was wrong.
            raise StoreUnavailable(
                f"listing at revision {listing.revision} after an answer at revision {newest}",
                may_have_run=False,
            )
        self._record_answer(asked_at)
        self._apply(listing, True)
        self._record_complete(asked_at)
        return listing.revision

    async def _read_operators_keys(self) -> None:
        """Read what operators wrote, before a listing that may take long.

        Only the configuration and the orders are updated; the listing confirms the view.
        """
        try:
            listing = await self.store.list(self.keys.operators)
        except (HistoryCompacted, StoreUnavailable) as error:
            logger.bind(reason=str(error)).info("reading the operators' keys failed")
            return
        if listing.revision >= self.revision:
            self._apply_operator_items(list(listing.items), True)

    def _is_continuous(self, after: Revision, events: Listing) -> bool:
        """Return whether an answer has all events up to the newest revision that is known."""
        complete = contiguous_until(after, events)
        if complete == events.revision >= self.newest_revision:
            self.in_gap = False
            return True
        self.gaps += 1
        if not self.in_gap:
            logger.bind(after=after, complete=complete, revision=self.newest_revision).warning(
                "changes missing in an answer of the store"
            )
        self.in_gap = True
        return False

    def _record_complete(self, asked_at: float) -> None:
        if not self.undecodable:
            self.store_complete_until = asked_at

    def _apply(self, listing: Listing, complete: bool) -> None:
        """Apply all items, or the changed ones."""
        self.revision = max(self.revision, listing.revision)
        if complete or listing.items:
            self.changed_at = self.clock()
        if complete:
            self.decoder.keep_only(item.key for item in listing.items)
        parts: dict[str, list[Item]] = {
            prefix: [] for prefix in (self.keys.operators, self.keys.own, self.keys.targets)
        }
        for item in listing.items:
            if item.removed:
                self.decoder.accept(item.key)
            for prefix, items in parts.items():
                if item.key.startswith(prefix):
                    items.append(item)
        self._apply_operator_items(parts[self.keys.operators], complete)
        self._apply_own_items(parts[self.keys.own])
        targets = self.targets.apply(parts[self.keys.targets], listing.revision, complete)
        if targets is not None:
            self._replace(self.view.merged(View(targets=targets)))

    def _record_outage(self, reason: str, asked_at: float) -> None:
        if not self.in_outage:
            logger.bind(reason=reason).warning("store lost")
        self.in_outage = True
        # A call that failed long after its timeout was delayed in this process, and says nothing
        # about the store.
        timeout_s = self.wait_s() + WATCH_MARGIN_S
        if self.clock() - asked_at < timeout_s + OWN_DELAY_S:
            self.was_unavailable = True

    def _record_answer(self, confirmed_at: float) -> None:
        """Record when the store confirmed the view, before the view itself is updated."""
        self.store_confirmed_at = max(self.store_confirmed_at, confirmed_at)
        if self.was_unavailable:
            self.was_unavailable = False
            self.recovered_at = confirmed_at
        if self.in_outage:
            self.in_outage = False
            logger.info("store regained")

    # Items written by operators

    def _apply_operator_items(self, items: list[Item], complete: bool) -> None:
        if complete:
            present = {item.key.removeprefix(self.keys.retire) for item in items}
            self.retiring = {
                vm: revision for vm, revision in self.retiring.items() if vm in present
            }
        for item in items:
            if item.key == self.keys.configuration:
                self._apply_configuration(item)
            elif item.key.startswith(self.keys.retire):
                self._apply_retirement(item)

    def _apply_configuration(self, item: Item) -> None:
        if item.removed:
            return
        if not item.error and item.revision == self.view.configuration_revision:
            self.decoder.accept(item.key)
            return
        decode = self.keys.decode_configuration
        configuration = self.decoder.decode(item, "configuration", decode, "ERROR")
        if configuration is None:
            return
        configuration = msgspec.structs.replace(configuration, revision=item.revision)
        self._replace(self.view.merged(View(configuration)))

    def _apply_retirement(self, item: Item) -> None:
        vm = item.key.removeprefix(self.keys.retire)
        if item.removed:
            self.retiring.pop(vm, None)
            return
        if vm not in self.retiring:
            logger.bind(vm=vm, revision=item.revision).info("order to retire the VM")
        self.retiring[vm] = item.revision
        self.changed()

    # Items written by this system

    def _apply_own_items(self, items: list[Item]) -> None:
        for item in items:
            if item.key == self.keys.replicas:
                self.apply_replicas(item)
            elif item.key.startswith(self.keys.candidates):
                self.apply_candidate(item)
        self.replicas_known.set()

    def apply_candidate(self, item: Item) -> None:
        """Record the replica that is about to join; ignore a revision that is already recorded."""
        known = self.candidates.get(item.key)
        if item.removed or (known is not None and item.revision <= known.revision):
            return
        disk = self.decoder.decode(item, "candidate for the ledger's members", decode_disk)
        if disk is None:
            return
        self.candidates[item.key] = Candidate(disk, item.revision, self.clock())

    def apply_replicas(self, item: Item) -> None:
        """Update the view from the key of the ledger's members."""
        if item.removed or (item.revision < self.replicas_revision and not item.error):
            return
        replicas = self.decoder.decode(item, "ledger members", decode_replicas, "ERROR")
        if replicas is None:
            return
        self.replicas_revision = item.revision
        self._replace(self.view.merged(View(replicas=replicas)))

    def _replace(self, view: View) -> None:
        if view is self.view:
            return
        if view.version != self.view.version:
            fields = {"before": self.view.version, "revision": view.configuration_revision}
            logger.bind(version=view.version, **fields).info("configuration read")
        if view.replicas.epoch != self.view.replicas.epoch:
            members = [member.vm for member in view.replicas.members]
            logger.bind(epoch=view.replicas.epoch, members=members).info("ledger members read")
        self.view = view
        self.changed()


def decode_replicas(value: bytes) -> ReplicaSet:
    """Decode the ledger's members; any exception that this raises says that they are invalid."""
    return msgspec.json.decode(value, type=ReplicaSet)


def decode_disk(value: bytes) -> str:
    """Decode the name of the disk of a candidate."""
    return value.decode("utf-8", "replace")


__all__ = ["Candidate", "Keys", "Watcher"]
