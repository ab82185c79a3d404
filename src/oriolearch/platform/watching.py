"""Keeps the registry up to date with the store's tables."""

import asyncio
from collections.abc import Callable

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

POLL_S = 28.0  # wait of a long poll; all calls are priced
RETRY_S = 0.15  # after a failed call; doubles up to the next
LONGEST_RETRY_S = 0.5


class TableWatch:
    """Follows one table.

    :param take: called with rows, and whether they are the whole table.
    """

    def __init__(
        self,
        table: str,
        store: SharedStore,
        registry: Registry,
        log: EventLog,
        take: Callable[[TableState, bool], None],
    ) -> None:
        self.table = table
        self.store = store
        self.registry = registry
        self.log = log
        self.take = take
        self.lost_at: float | None = None

    async def run(self) -> None:
        """Read the table, then follow its changes."""
        loop = asyncio.get_running_loop()
        after: int | None = None
        pause_s = RETRY_S
        while True:
            try:
                state = await self._next(after)
            except HistoryLostError:
                after = None
                continue
            except PlatformError as error:
                self._lost(loop.time(), error)
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2, LONGEST_RETRY_S)
                continue
            pause_s = RETRY_S
            self._regained(loop.time(), state.version)
            self.take(state, after is None)
            after = state.version

    async def _next(self, after: int | None) -> TableState:
        if after is None:
            return await self.store.read(self.table)
        return await self.store.follow(self.table, after, POLL_S)

    def _lost(self, now: float, error: PlatformError) -> None:
        self.registry.note_trouble(now)
        if self.lost_at is None:
            self.lost_at = now
            self.log.emit(
                Event.STORE_LOST,
                table=self.table,
                error=str(error),
            )

    def _regained(self, now: float, version: int) -> None:
        if self.lost_at is None:
            return
        self.registry.note_trouble(now)
        self.log.emit(
            Event.STORE_REGAINED,
            table=self.table,
            version=version,
            away_s=round(now - self.lost_at, 3),
        )
        self.lost_at = None


class PlatformWatch:
    """Translates the operator's and the servers' rows for the registry."""

    def __init__(
        self,
        store: SharedStore,
        registry: Registry,
        log: EventLog,
    ) -> None:
        self.store = store
        self.registry = registry
        self.log = log
        self.operator_rows: dict[str, bytes] = {}
        self.upstream_names: set[str] = set()

    def tasks(self) -> tuple[TableWatch, ...]:
        """Give the watches of both tables."""
        return tuple(
            TableWatch(table, self.store, self.registry, self.log, take)
            for table, take in (
                (OPERATOR_TABLE, self.take_operator),
                (UPSTREAM_TABLE, self.take_upstreams),
            )
        )

    def take_operator(self, state: TableState, is_whole: bool) -> None:
        """Take rows of the operator."""
        if is_whole:
            self.operator_rows.clear()
        for row in state.rows:
            if row.value is None:
                self.operator_rows.pop(row.key, None)
                continue
            self.operator_rows[row.key] = row.value
            if row.key == CONFIG_KEY:
                self._take_config(row, row.value)
        zones = zones_out(self.operator_rows)
        if zones != self.registry.zones_out:
            now = asyncio.get_running_loop().time()
            self.registry.set_zones_out(now, zones)
            self.log.emit(
                Event.ZONES_OUT,
                zones=sorted(zones),
                row_version=state.version,
            )

    def take_upstreams(self, state: TableState, is_whole: bool) -> None:
        """Take rows of servers."""
        now = asyncio.get_running_loop().time()
        if is_whole:
            listed = {row.key for row in state.rows}
            for name in self.upstream_names - listed:
                self._remove(now, name, state.version)
        for row in state.rows:
            if row.value is None:
                self._remove(now, row.key, row.version)
            else:
                self._take_upstream(now, row, row.value)
        self.registry.is_read = True

    def _take_config(self, row: StoredRow, value: bytes) -> None:
        try:
            directory = decode_directory(value)
        except ValidationError as error:
            self._reject(row, error)
            return
        if self.registry.set_directory(directory):
            self.log.emit(
                Event.DIRECTORY_APPLIED,
                version=directory.version,
                routes=sum(map(len, directory.routes.values())),
                row_version=row.version,
            )

    def _take_upstream(self, now: float, row: StoredRow, value: bytes) -> None:
        try:
            entry = decode_upstream(row.key, value)
        except ValidationError as error:
            self._reject(row, error)
            return
        self.upstream_names.add(row.key)
        if not self.registry.put(now, entry):
            self._reject(
                row,
                ValidationError(
                    row.key,
                    'born',
                    entry.ref.started,
                    'is older than what is known',
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

    def _remove(self, now: float, name: str, version: int) -> None:
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

    def _reject(self, row: StoredRow, error: ValidationError) -> None:
        self.log.emit(
            Event.ROW_REJECTED,
            row=f'{row.table}/{row.key}',
            row_version=row.version,
            error=str(error),
        )
