"""Relay changes of the store's tables from a few hosts to all others.

Every call of the store is rate-limited and paid for, long polls included. So
only the coordinator and two more hosts poll the tables, and the coordinator
forwards the changes that any of them reads. A host without contact to the
coordinator polls the tables itself, from the version that it has.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import replace
from typing import Any

from oriolearch.adapters.host_links import encode_line
from oriolearch.clock import loop_clock
from oriolearch.core.versions import StoreVersion, VersionLedger
from oriolearch.ports import StoredRow, TableState

# After the store came back from an earlier copy, the operator and the servers
# write their rows again within this time. A row that is missing until then has
# not been removed.
REFILL_S = 2.0
MAX_KEPT_LINES = 4  # encoded messages of one table, of up to 4 MB each

OnChange = Callable[[list[StoredRow], StoreVersion], None]
Forward = Callable[[str, list[StoredRow], StoreVersion], None]


class Mirror:
    """A local copy of one table.

    All rows are of the same era of the store. Those that were read in an
    earlier one have the number 0 until the store names them again.

    :param on_change: called with changed rows and the table's version.
    :ivar rows: rows by key; removed rows stay, without a value.
    :ivar removed_numbers: by key, numbers of removals in the era before.
    :ivar refill_ends_at: until when rows may be missing after the store came
        back from an earlier copy, in seconds; ``None`` once the table has been
        read after that.
    :ivar version: all changes up to this version have been applied.
    :ivar whole_version: version of the last read of the whole table.
    :ivar current_at: when this copy last was known to be up to date, in
        seconds.
    :ivar lines: encoded messages with the changes since a version.
    """

    def __init__(self, table: str, on_change: OnChange) -> None:
        self.table = table
        self.on_change = on_change
        self.rows: dict[str, StoredRow] = {}
        self.removed_numbers: dict[str, int] = {}
        self.refill_ends_at: float | None = None
        self.version = StoreVersion()
        self.whole_version = StoreVersion()
        self.current_at = float('-inf')
        self.is_read = False
        self.lines: dict[StoreVersion, bytes] = {}

    def apply(
        self,
        rows: Iterable[StoredRow],
        version: StoreVersion,
        *,
        is_whole: bool = False,
    ) -> list[StoredRow]:
        """Apply rows and return those that changed.

        :param is_whole: rows that are not listed were removed.
        """
        if version.era > self.version.era and self.is_read:
            self._begin_era(version.era)
        listed = list(rows)
        if is_whole and not self.is_refilling():
            self.refill_ends_at = None
            listed.extend(self._missing(listed, version))
        newer = [row for row in listed if self._is_newer(row)]
        changed = [row for row in newer if not self._is_written_again(row)]
        for row in newer:
            self.rows[row.key] = row
        if is_whole:
            self.whole_version = max(self.whole_version, version)
        self.version = max(self.version, version)
        self.lines.clear()
        if changed or not self.is_read:
            self.is_read = True
            self.on_change(changed, self.version)
        return changed

    def is_refilling(self) -> bool:
        """Return whether rows may be missing that were not removed."""
        if self.refill_ends_at is None:
            return False
        return loop_clock() < self.refill_ends_at

    def _begin_era(self, era: int) -> None:
        """Keep all rows, below any that the store names in a new era."""
        self.removed_numbers = {
            row.key: row.version.number
            for row in self.rows.values()
            if row.value is None
        }
        self.version = self.whole_version = StoreVersion(era)
        self.rows = {
            key: replace(row, version=self.version)
            for key, row in self.rows.items()
        }
        self.refill_ends_at = loop_clock() + REFILL_S

    def rows_since(self, version: StoreVersion) -> list[StoredRow]:
        """Return the rows that changed after a version."""
        return [row for row in self.rows.values() if row.version > version]

    def line_since(self, version: StoreVersion) -> bytes:
        """Return an encoded message with the changes after a version.

        Most hosts have the same version when they connect to a new
        coordinator. Encoding a large configuration for each of them would
        delay its heartbeats.
        """
        line = self.lines.get(version)
        if line is None:
            if len(self.lines) >= MAX_KEPT_LINES:
                self.lines.clear()
            rows = self.rows_since(version)
            line = encode_line(encode_rows(self.table, rows, self.version))
            self.lines[version] = line
        return line

    def _is_newer(self, row: StoredRow) -> bool:
        present = self.rows.get(row.key)
        if present is not None:
            if self._is_removed_before(row, present):
                return False
            return row.version > present.version
        # A row that the whole table did not list at its version or a later one
        # had been removed by then. A host that lags behind may still send it.
        return row.value is not None and row.version > self.whole_version

    def _is_removed_before(self, row: StoredRow, present: StoredRow) -> bool:
        """Return whether the copy has a row that was removed after it."""
        if present.value is not None or present.version.number:
            return False
        removed_number = self.removed_numbers.get(row.key, 0)
        return row.version.number < removed_number and self.is_refilling()

    def _is_written_again(self, row: StoredRow) -> bool:
        """Return whether a row has the value that it had in the era before."""
        present = self.rows.get(row.key)
        if present is None or present.version.number:
            return False
        return row.value == present.value

    def _missing(
        self,
        listed: Iterable[StoredRow],
        version: StoreVersion,
    ) -> list[StoredRow]:
        keys = {row.key for row in listed}
        return [
            StoredRow(self.table, key, None, version)
            for key, row in self.rows.items()
            if key not in keys
            and row.value is not None
            and row.version <= version
        ]


class Relay:
    """The tables of one host, kept up to date by polling or by other hosts.

    :ivar forward: sends changed rows to other hosts.
    :ivar is_primary: whether the other hosts rely on this one, the
        coordinator, to read changes first.
    :ivar received_versions: version of each table up to which the present
        coordinator has sent changes, and has them itself.
    :ivar must_poll: set while this host has to poll the store, since no other
        host sends it all changes.
    :ivar is_watcher: whether this host polls on behalf of the coordinator.
    :ivar ledger: versions of the store whose changes are known.
    :ivar is_store_in_doubt: whether the store may answer nobody.
    :ivar reopen_polls: called with the reason when open polls may have been
        lost.
    """

    def __init__(self, ledger: VersionLedger | None = None) -> None:
        self.ledger = ledger or VersionLedger()
        self.reopen_polls: Callable[[str], None] = _ignore_reason
        self.is_watcher = False
        self.is_store_in_doubt = False
        self.mirrors: dict[str, Mirror] = {}
        self.forward: Forward = discard_rows
        self.is_primary = False
        self.received_versions: dict[str, StoreVersion] = {}
        self.must_poll = asyncio.Event()
        self.must_poll.set()

    def add(self, table: str, on_change: OnChange) -> Mirror:
        """Add a table and return its mirror."""
        mirror = Mirror(table, on_change)
        self.mirrors[table] = mirror
        return mirror

    def set_relayed(self, is_relayed: bool) -> None:
        """Set whether another host sends all changes."""
        if is_relayed:
            self.must_poll.clear()
        else:
            self.must_poll.set()

    def read(self, table: str, state: TableState, *, is_whole: bool) -> None:
        """Apply and forward rows that this host read from the store."""
        mirror = self.mirrors[table]
        changed = mirror.apply(state.rows, state.version, is_whole=is_whole)
        if changed:
            self.forward(table, changed, mirror.version)
        self.ledger.settle(min(self.versions().values()))

    def receive(
        self, message: dict[str, Any], *, is_from_coordinator: bool = False
    ) -> None:
        """Apply and forward rows that another host sent.

        :param is_from_coordinator: the coordinator sent the rows to all hosts,
            so they need not be forwarded.
        :raises ValueError: when the message is malformed.
        """
        table, rows, version = decode_rows(message, self.ledger.era)
        if version.era:
            self.ledger.record_era(version.era)
        mirror = self.mirrors.get(table)
        if mirror is None:
            return
        self.received_versions[table] = max(
            self.received_versions.get(table, StoreVersion()), version
        )
        changed = mirror.apply(rows, version)
        self.ledger.record_changes(row.version for row in rows)
        if changed and not is_from_coordinator:
            self.forward(table, changed, mirror.version)

    def ages(self, now: float) -> dict[str, float]:
        """Return for how long each table was not known to be up to date."""
        return {
            table: now - mirror.current_at
            for table, mirror in self.mirrors.items()
        }

    def record_ages(self, now: float, ages: dict[str, float]) -> None:
        """Record the ages of the coordinator's tables, which it relays."""
        for table, age_s in ages.items():
            mirror = self.mirrors.get(table)
            if mirror is not None:
                mirror.current_at = max(mirror.current_at, now - age_s)

    def start_receiving(self) -> None:
        """Record that another coordinator sends changes from now on.

        It may lack changes that its predecessor has sent.
        """
        self.received_versions.clear()

    def start_forwarding(self, forward: Forward) -> None:
        """Forward changes from now on, and those that only this host read.

        A poll that was open when the host stopped to poll may have read them.
        """
        self.forward = forward
        for table, mirror in self.mirrors.items():
            received = self.received_versions.get(table, StoreVersion())
            rows = mirror.rows_since(received)
            if rows:
                forward(table, rows, mirror.version)

    def lines_since(
        self, versions: Mapping[str, StoreVersion]
    ) -> Iterator[bytes]:
        """Yield an encoded message for each table with its later changes.

        :param versions: version of each table that the receiver has.
        """
        for table, mirror in self.mirrors.items():
            yield mirror.line_since(versions.get(table, StoreVersion()))

    def versions(self) -> dict[str, StoreVersion]:
        """Return the version up to which each table is up to date."""
        return {table: mirror.version for table, mirror in self.mirrors.items()}

    def is_read(self) -> bool:
        """Return whether all tables have been read."""
        return all(mirror.is_read for mirror in self.mirrors.values())


def encode_rows(
    table: str,
    rows: Iterable[StoredRow],
    version: StoreVersion,
) -> dict[str, Any]:
    """Return a ``rows`` message with changed rows of the version's era."""
    return {
        'kind': 'rows',
        'table': table,
        'era': version.era,
        'version': version.number,
        'rows': [
            [
                row.key,
                None if row.value is None else row.value.decode('latin-1'),
                row.version.number,
            ]
            for row in rows
        ],
    }


def decode_rows(
    message: dict[str, Any], known_era: int = 0
) -> tuple[str, list[StoredRow], StoreVersion]:
    """Decode a ``rows`` message.

    :param known_era: era of a message that names none.
    :raises ValueError: when the message is malformed.
    """
    try:
        table = str(message['table'])
        era = int(message.get('era', known_era))
        rows = [
            StoredRow(
                table,
                str(key),
                None if value is None else value.encode('latin-1'),
                StoreVersion(era, int(number)),
            )
            for key, value, number in message['rows']
        ]
        return table, rows, StoreVersion(era, int(message['version']))
    except (LookupError, TypeError, AttributeError) as error:
        raise ValueError(f'malformed rows message: {error}') from error


def encode_versions(versions: Mapping[str, StoreVersion]) -> dict[str, Any]:
    """Return fields of a message that name the version of each table."""
    return {
        'versions': {
            table: version.number for table, version in versions.items()
        },
        'eras': {table: version.era for table, version in versions.items()},
    }


def decode_versions(
    message: Mapping[str, Any], known_era: int
) -> dict[str, StoreVersion]:
    """Decode the fields of :func:`encode_versions`.

    :param known_era: era of a table for which the message names none.
    :raises ValueError: when they are malformed.
    """
    try:
        eras = dict(message.get('eras', {}))
        return {
            str(table): StoreVersion(
                int(eras.get(table, known_era)), int(number)
            )
            for table, number in message['versions'].items()
        }
    except (LookupError, TypeError, AttributeError) as error:
        raise ValueError(f'malformed versions: {error}') from error


def _ignore_reason(reason: str) -> None:
    """Reopen no polls."""


def discard_rows(
    table: str, rows: list[StoredRow], version: StoreVersion
) -> None:
    """Forward changed rows to no host."""
