"""Updates of the registry from the store's tables."""

import asyncio

from oriolearch.clock import loop_clock
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
from oriolearch.ports import SharedStore, StoredRow
from oriolearch.registry import Registry
from oriolearch.relaying import Mirror, Relay, discard_rows

LONG_POLL_S = 28.0  # wait of a long poll, as each call of the store is paid for
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
    """Follows one table while no other host sends its changes."""

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
        self.is_first_start = is_first_start

    async def run(self) -> None:
        """Read the table, then follow its changes."""
        loop = asyncio.get_running_loop()
        if self.is_first_start:
            await self._wait_for_coordinator()
        pause_s = FIRST_RETRY_DELAY_S
        while True:
            await self._wait_until_needed()
            try:
                await self._read_next()
            except HistoryLostError:
                self.is_history_lost = True
            except PlatformError as error:
                self._record_loss(loop.time(), error)
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2, MAX_RETRY_DELAY_S)
            else:
                pause_s = FIRST_RETRY_DELAY_S
                self._record_recovery(loop.time(), self.mirror.version)
                await asyncio.sleep(self._pause_s())

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
        if self.relay.forward is discard_rows:
            return FALLBACK_PAUSE_S
        return WATCHER_PAUSE_S

    async def _read_next(self) -> None:
        is_whole = self.is_history_lost or not self.mirror.is_read
        if is_whole:
            state = await self.store.read(self.table)
        else:
            after = self.mirror.version
            state = await self.store.follow(self.table, after, LONG_POLL_S)
        self.is_history_lost = False
        self.relay.read(self.table, state, is_whole=is_whole)

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


class PlatformWatch:
    """Applies the rows of the operator and the servers to the registry."""

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

    def _apply_upstream(self, now: float, row: StoredRow, value: bytes) -> None:
        try:
            entry = decode_upstream(row.key, value)
        except ValidationError as error:
            self._log_rejected(row, error)
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
