"""Updates of the registry from the store's tables."""

import asyncio
from collections.abc import Sequence

from oriolearch.clock import loop_clock
from oriolearch.core.directory import UpstreamEntry
from oriolearch.core.errors import (
    HistoryLostError,
    PlatformError,
    ValidationError,
)
from oriolearch.eventlog import Event, EventLog
from oriolearch.platform.documents import (
    CONFIG_KEY,
    OPERATOR_TABLE,
    UPSTREAM_TABLE,
    decode_directory,
    decode_upstream,
    zones_out,
)
from oriolearch.ports import SharedStore, StoredRow, TableState
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
        self.sent_version = 0
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
        is_whole = self.is_history_lost or not self.mirror.is_read
        if is_whole:
            state = await self.store.read(self.table)
        else:
            state = await self._follow()
        self.is_history_lost = False
        self.mirror.current_at = loop_clock()
        self.relay.read(self.table, state, is_whole=is_whole)

    async def _follow(self) -> TableState:
        """Wait for changes.

        :raises TimeoutError: when the poll is to be reopened.
        """
        after = self.mirror.version
        is_served = self.relay.is_primary or self.relay.is_watcher
        self.sent_at = loop_clock()
        self.sent_version = self.relay.ledger.newest
        try:
            async with asyncio.timeout(None) as open_poll:
                self.open_poll = open_poll
                if self.is_in_doubt or self.relay.is_store_in_doubt:
                    return await self.store.follow(
                        self.table, after, SHORT_POLL_S, SHORT_POLL_GRACE_S
                    )
                wait_s = LONG_POLL_S if is_served else FALLBACK_POLL_S
                return await self.store.follow(self.table, after, wait_s)
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

    def _record_recovery(self, now: float, version: int) -> None:
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


class PlatformWatch:
    """Applies the rows of the operator and the servers to the registry.

    :ivar deferred: rows of servers whose service is not configured yet.
    """

    def __init__(
        self,
        store: SharedStore,
        relay: Relay,
        registry: Registry,
        log: EventLog,
    ) -> None:
        self.store = store
        self.relay = relay
        self.registry = registry
        self.log = log
        self.upstream_names: set[str] = set()
        self.deferred: dict[str, StoredRow] = {}
        self.operator = relay.add(OPERATOR_TABLE, self.apply_operator_rows)
        self.upstreams = relay.add(UPSTREAM_TABLE, self.apply_upstream_rows)

    def table_watches(
        self, *, is_first_start: bool = False
    ) -> tuple[TableWatch, ...]:
        """Return the watches of both tables."""
        return tuple(
            TableWatch(
                mirror,
                self.relay,
                self.store,
                self.registry,
                self.log,
                is_first_start,
            )
            for mirror in (self.operator, self.upstreams)
        )

    def apply_operator_rows(self, rows: list[StoredRow], version: int) -> None:
        """Apply changed rows of the operator."""
        for row in rows:
            if row.key == CONFIG_KEY and row.value is not None:
                self._apply_config(row, row.value)
        zones = zones_out(
            row.key
            for row in self.operator.rows.values()
            if row.value is not None
        )
        if zones != self.registry.zones_out:
            now = loop_clock()
            self.registry.set_zones_out(now, zones)
            self.log.emit(
                Event.ZONES_OUT,
                zones=sorted(zones),
                row_version=version,
            )

    def apply_upstream_rows(self, rows: list[StoredRow], version: int) -> None:
        """Apply changed rows of servers."""
        now = loop_clock()
        with self.registry.batch_changes():
            for row in rows:
                self._apply_upstream_row(now, row)
        self.registry.is_read = True

    def _apply_upstream_row(self, now: float, row: StoredRow) -> None:
        """Apply a row; an error must not keep the others from being applied."""
        self.deferred.pop(row.key, None)
        try:
            if row.value is None:
                self._remove_upstream(now, row.key, row.version)
            else:
                self._apply_upstream(now, row, row.value)
        except Exception as error:
            self._log_rejected(row, error)

    def _apply_config(self, row: StoredRow, value: bytes) -> None:
        try:
            directory = decode_directory(value)
        except ValidationError as error:
            self._log_rejected(row, error)
            return
        if self.registry.set_directory(directory):
            self.log.emit(
                Event.DIRECTORY_APPLIED,
                version=directory.version,
                routes=sum(map(len, directory.routes.values())),
                row_version=row.version,
            )
            self._apply_deferred()

    def _apply_upstream(self, now: float, row: StoredRow, value: bytes) -> None:
        try:
            entry = decode_upstream(row.key, value)
        except ValidationError as error:
            self._log_rejected(row, error)
            return
        if self._is_foreign(entry):
            self.deferred[row.key] = row
            reason = 'is not configured; the entry before stays'
            self._log_rejected(
                row, ValidationError(row.key, 'service', entry.pool, reason)
            )
            return
        self.upstream_names.add(row.key)
        if not self.registry.put(now, entry):
            self._log_rejected(
                row,
                ValidationError(
                    row.key,
                    'born',
                    entry.ref.started,
                    'is older than the recorded incarnation',
                ),
            )
            return
        self.log.emit(
            Event.UPSTREAM_CHANGED,
            upstream=entry.ref.text(),
            pool=entry.pool,
            state='draining' if entry.is_draining else 'ready',
            cold_for_s=entry.cold_for_s,
            row_version=row.version,
        )

    def _is_foreign(self, entry: UpstreamEntry) -> bool:
        """Return whether an entry would replace one by an unknown service.

        Another writer may have written it. If the service is configured later,
        the entry is applied then.
        """
        directory = self.registry.directory
        is_known = directory is None or entry.pool in directory.pools
        return not is_known and entry.ref.name in self.registry.entries

    def _apply_deferred(self) -> None:
        deferred = list(self.deferred.values())
        self.deferred.clear()
        now = loop_clock()
        for row in deferred:
            self._apply_upstream_row(now, row)

    def _remove_upstream(self, now: float, name: str, version: int) -> None:
        if name not in self.upstream_names:
            return
        self.upstream_names.discard(name)
        self.registry.remove(now, name)
        self.log.emit(
            Event.UPSTREAM_CHANGED,
            upstream=name,
            pool='',
            state='removed',
            cold_for_s=0.0,
            row_version=version,
        )

    def _log_rejected(self, row: StoredRow, error: Exception) -> None:
        self.log.emit(
            Event.ROW_REJECTED,
            row=f'{row.table}/{row.key}',
            row_version=row.version,
            error=f'{type(error).__name__}: {error}',
        )
