"""Polls that follow the store's tables, and their review.

A silent long poll looks like a table without changes. Each answer of the store
names its newest version, so the coordinator finds changes that no poll has
delivered; other hosts keep their polls short while the store is in doubt.
"""

import asyncio
from collections.abc import Sequence

from oriolearch.clock import loop_clock
from oriolearch.core.errors import HistoryLostError, PlatformError
from oriolearch.core.versions import StoreVersion
from oriolearch.eventlog import Event, EventLog
from oriolearch.ports import LONG_POLL_GRACE_S, SharedStore, TableState
from oriolearch.registry import Registry
from oriolearch.relaying import Mirror, Relay

LONG_POLL_S = 28.0  # wait of a long poll, as each call of the store is paid for
# Wait of a poll while the store may be silent. A silent long poll looks like a
# table without changes.
SHORT_POLL_S = 0.5
SHORT_POLL_GRACE_S = 0.4  # a slow store takes 0.2 s
FALLBACK_POLL_S = 1.0  # of a host that no other host tells of missed changes
# A change that another call of the store shows is read by an open poll within
# this time, also from a slow store.
MISSED_CHANGE_S = 0.3
REVIEW_PERIOD_S = 1.0  # at least, between reviews of open polls
# A table that is not known to be up to date for this long is logged. The
# platform's bounds on new configurations and leaving upstreams start at 2 s.
STALE_AFTER_S = 2.0
FIRST_RETRY_DELAY_S = 0.15  # after a failed call; doubles with each failure
MAX_RETRY_DELAY_S = 0.5
# Pauses between polls. While servers are replaced, the table changes 40 times a
# second, and changes during a pause are read in one call. All hosts depend on
# the coordinator, which therefore pauses for less. The other hosts that follow
# a table find what it cannot read; they poll from the version that it sent.
PRIMARY_PAUSE_S = 0.08
WATCHER_PAUSE_S = 0.4
FALLBACK_PAUSE_S = 0.3
# At a first start the coordinator sends the tables long before callers come. A
# host that has not got them by then reads them itself.
FIRST_START_WAIT_S = 2.0
FIRST_START_POLL_S = 0.05
# Delay before a host that lost the coordinator reads the tables itself, as it
# usually receives updates from the next coordinator soon.
FALLBACK_DELAY_S = 0.2


class TableWatch:
    """Follows one table while no other host sends its changes.

    :ivar is_in_doubt: whether the next poll may get no answer, so that it has
        to be short.
    :ivar open_poll: the time limit of the poll that is open, if any.
    :ivar sent_version: newest version of the store that was known when that
        poll was sent.
    """

    def __init__(
        self,
        mirror: Mirror,
        relay: Relay,
        store: SharedStore,
        registry: Registry,
        log: EventLog,
        is_first_start: bool = False,
    ) -> None:
        self.mirror = mirror
        self.relay = relay
        self.store = store
        self.registry = registry
        self.log = log
        self.table = mirror.table
        self.lost_at: float | None = None
        self.is_history_lost = False
        self.is_in_doubt = False
        self.retry_delay_s = FIRST_RETRY_DELAY_S
        self.sent_at = 0.0
        self.sent_version = StoreVersion()
        self.open_poll: asyncio.Timeout | None = None
        self.is_first_start = is_first_start

    async def run(self) -> None:
        """Read the table, then follow its changes."""
        if self.is_first_start:
            await self._wait_for_coordinator()
        while True:
            await self._wait_until_needed()
            await asyncio.sleep(await self._poll())

    async def _poll(self) -> float:
        """Poll once; return the pause before the next poll, in seconds."""
        now = asyncio.get_running_loop().time
        try:
            await self._read_next()
        except HistoryLostError:
            self.is_history_lost = True
            return 0
        except TimeoutError:
            return 0  # the poll is to be reopened
        except PlatformError as error:
            self.is_in_doubt = True
            self._record_loss(now(), error)
            pause_s = self.retry_delay_s
            self.retry_delay_s = min(pause_s * 2, MAX_RETRY_DELAY_S)
            return pause_s
        self.is_in_doubt = False
        self.retry_delay_s = FIRST_RETRY_DELAY_S
        self._record_recovery(now(), self.mirror.version)
        return self._pause_s()

    async def _wait_for_coordinator(self) -> None:
        """Wait until the coordinator has sent the table, or is this host."""
        ends_at = loop_clock() + FIRST_START_WAIT_S
        while not self.mirror.is_read and loop_clock() < ends_at:
            if self.relay.is_primary:
                return
            await asyncio.sleep(FIRST_START_POLL_S)

    async def _wait_until_needed(self) -> None:
        while not self.relay.must_poll.is_set():
            await self.relay.must_poll.wait()
            await asyncio.sleep(FALLBACK_DELAY_S)

    def _pause_s(self) -> float:
        if self.relay.is_primary:
            return PRIMARY_PAUSE_S
        return WATCHER_PAUSE_S if self.relay.is_watcher else FALLBACK_PAUSE_S

    def is_unanswered(self, now: float) -> bool:
        """Return whether an open poll has found no change when it was sent."""
        if self.open_poll is None:
            return False
        return now >= self.sent_at + MISSED_CHANGE_S

    def reopen(self, now: float, sent_before: float) -> bool:
        """End a poll whose answer may have been lost, and poll anew.

        :param sent_before: a poll that was sent later stays open.
        :returns: whether there was such a poll.
        """
        if self.open_poll is None or self.sent_at >= sent_before:
            return False
        self.open_poll.reschedule(now)
        self.open_poll = None
        return True

    async def _read_next(self) -> None:
        is_whole = (
            self.is_history_lost
            or not self.mirror.is_read
            or self._is_refill_over()
        )
        if is_whole:
            state = await self.store.read(self.table)
        else:
            state = await self._follow()
        self.is_history_lost = False
        self.mirror.current_at = loop_clock()
        self.relay.read(self.table, state, is_whole=is_whole)

    def _is_refill_over(self) -> bool:
        """Return whether rows that are still missing have been removed."""
        ends_at = self.mirror.refill_ends_at
        return ends_at is not None and loop_clock() >= ends_at

    def _wait_s(self) -> float:
        """Return how long the store may wait for a change."""
        if self.is_in_doubt or self.relay.is_store_in_doubt:
            return SHORT_POLL_S
        is_served = self.relay.is_primary or self.relay.is_watcher
        wait_s = LONG_POLL_S if is_served else FALLBACK_POLL_S
        ends_at = self.mirror.refill_ends_at
        if ends_at is None:
            return wait_s
        return min(wait_s, max(ends_at - loop_clock(), 0))

    async def _follow(self) -> TableState:
        """Wait for changes.

        :raises TimeoutError: when the poll is to be reopened.
        """
        after = self.mirror.version
        wait_s = self._wait_s()
        is_short = wait_s <= SHORT_POLL_S
        grace_s = SHORT_POLL_GRACE_S if is_short else LONG_POLL_GRACE_S
        self.sent_at = loop_clock()
        self.sent_version = self.relay.ledger.newest
        try:
            async with asyncio.timeout(None) as open_poll:
                self.open_poll = open_poll
                return await self.store.follow(
                    self.table, after, wait_s, grace_s
                )
        finally:
            self.open_poll = None

    def _record_loss(self, now: float, error: PlatformError) -> None:
        self.registry.record_store_outage(now)
        if self.lost_at is None:
            self.lost_at = now
            self.log.emit(
                Event.STORE_LOST,
                table=self.table,
                error=str(error),
            )

    def _record_recovery(self, now: float, version: StoreVersion) -> None:
        if self.lost_at is None:
            return
        self.registry.record_store_outage(now)
        self.log.emit(
            Event.STORE_REGAINED,
            table=self.table,
            version=version,
            away_s=round(now - self.lost_at, 3),
        )
        self.lost_at = None


class PollReview:
    """Reopens polls that may be silent, and reports tables that are stale.

    A connection to the store may fall silent while the store serves others,
    and a poll that the store swallowed in an outage stays open after it.

    :ivar unknown_since: since when an answer of the store names a change that
        no poll has delivered.
    :ivar stale: tables that are logged as stale.
    """

    def __init__(
        self, watches: Sequence[TableWatch], relay: Relay, log: EventLog
    ) -> None:
        self.watches = watches
        self.relay = relay
        self.log = log
        self.is_store_silent = False
        self.unknown_since: float | None = None
        self.reviewed_at = float('-inf')
        self.stale: set[str] = set()
        relay.reopen_polls = self.reopen_all

    def record_outcome(self, sent_at: float, is_answered: bool) -> None:
        """Record the outcome of a call of the store.

        The first call without an answer puts the open polls in doubt, and the
        next answer shows that all polls sent before it may have been lost.
        """
        if is_answered != self.is_store_silent:
            return
        self.is_store_silent = not is_answered
        for watch in self.watches:
            watch.is_in_doubt = True
        if is_answered:
            self._reopen('the store answers again', sent_at)
        else:
            self.reopen_all('the store does not answer')

    def reopen_all(self, reason: str) -> None:
        """Reopen all polls that are open."""
        self._reopen(reason, loop_clock())

    def run(self, now: float) -> None:
        """Reopen polls that missed a change; call this periodically.

        Only the coordinator makes enough calls besides its polls, and knows
        the versions of its own writes.
        """
        ledger = self.relay.ledger
        if all(watch.is_unanswered(now) for watch in self.watches):
            # The polls would have returned the changes up to then at once.
            ledger.settle(min(watch.sent_version for watch in self.watches))
        if not ledger.has_unknown():
            self.unknown_since = None
            for mirror in self.relay.mirrors.values():
                mirror.current_at = max(mirror.current_at, ledger.named_at)
        elif self.unknown_since is None or not self.relay.is_primary:
            self.unknown_since = now
        elif now >= max(
            self.unknown_since + MISSED_CHANGE_S,
            self.reviewed_at + REVIEW_PERIOD_S,
        ):
            self.reviewed_at = now
            self._reopen('a change was not delivered', self.unknown_since)
        self._report_stale(now)

    def _reopen(self, reason: str, sent_before: float) -> None:
        now = loop_clock()
        reopened = [
            watch.table
            for watch in self.watches
            if watch.reopen(now, sent_before)
        ]
        if reopened:
            self.log.emit(
                Event.POLLS_REOPENED,
                tables=reopened,
                reason=reason,
                newest=self.relay.ledger.newest,
                settled=self.relay.ledger.settled,
            )

    def _report_stale(self, now: float) -> None:
        for table, age_s in self.relay.ages(now).items():
            mirror = self.relay.mirrors[table]
            is_stale = mirror.is_read and age_s > STALE_AFTER_S
            if is_stale == (table in self.stale):
                continue
            self.stale ^= {table}
            self.log.emit(
                Event.TABLE_STALE if is_stale else Event.TABLE_CURRENT,
                table=table,
                version=mirror.version,
                age_s=round(age_s, 3),
            )
