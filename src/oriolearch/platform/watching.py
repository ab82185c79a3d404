"""Updates of the registry from the rows of the operator and the servers."""

from oriolearch.clock import loop_clock
from oriolearch.core.directory import UpstreamEntry
from oriolearch.core.errors import ValidationError
from oriolearch.core.versions import StoreVersion
from oriolearch.eventlog import Event, EventLog
from oriolearch.platform.documents import (
    CONFIG_KEY,
    OPERATOR_TABLE,
    UPSTREAM_TABLE,
    decode_directory,
    decode_upstream,
    zones_out,
)
from oriolearch.polling import TableWatch
from oriolearch.ports import SharedStore, StoredRow
from oriolearch.registry import Registry
from oriolearch.relaying import Relay


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

    def apply_operator_rows(
        self, rows: list[StoredRow], version: StoreVersion
    ) -> None:
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

    def apply_upstream_rows(
        self, rows: list[StoredRow], version: StoreVersion
    ) -> None:
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

    def _remove_upstream(
        self, now: float, name: str, version: StoreVersion
    ) -> None:
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
