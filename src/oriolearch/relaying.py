"""Passes changes of the store's tables from a few hosts to all others.

Every call of the store is limited and paid for, also those that only tell of
a change. So only the coordinator and two more hosts follow the tables; the
coordinator passes on what any of them reads. A host that does not hear the
coordinator follows the tables itself, from where it is.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from oriolearch.ports import StoredRow, TableState

Take = Callable[[list[StoredRow], int], None]
Forward = Callable[[str, list[StoredRow], int], None]


class Mirror:
    """What is known of one table.

    :param take: called with rows that changed, and the table's version.
    :ivar rows: also those that were removed, without a value.
    :ivar version: all changes up to it are known.
    """

    def __init__(self, table: str, take: Take) -> None:
        self.table = table
        self.take = take
        self.rows: dict[str, StoredRow] = {}
        self.version = 0
        self.is_read = False

    def apply(
        self,
        rows: Iterable[StoredRow],
        version: int,
        *,
        is_whole: bool = False,
    ) -> list[StoredRow]:
        """Take rows; give those that are news.

        :param is_whole: rows that are not listed were removed.
        """
        listed = list(rows)
        if is_whole:
            listed.extend(self._missing(listed, version))
        news = [row for row in listed if self._is_new(row)]
        for row in news:
            self.rows[row.key] = row
        self.version = max(self.version, version)
        if news or not self.is_read:
            self.is_read = True
            self.take(news, self.version)
        return news

    def since(self, version: int) -> list[StoredRow]:
        """Give the rows that changed after a version."""
        return [row for row in self.rows.values() if row.version > version]

    def _is_new(self, row: StoredRow) -> bool:
        known = self.rows.get(row.key)
        if known is not None:
            return row.version > known.version
        return row.value is not None

    def _missing(
        self,
        listed: Iterable[StoredRow],
        version: int,
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
    """The tables of one host, and where it has them from.

    :ivar forward: passes on what this host learns.
    :ivar starved: set while no other host tells all changes.
    """

    def __init__(self) -> None:
        self.mirrors: dict[str, Mirror] = {}
        self.forward: Forward = forward_nowhere
        self.starved = asyncio.Event()
        self.starved.set()

    def add(self, table: str, take: Take) -> Mirror:
        """Keep a table."""
        mirror = Mirror(table, take)
        self.mirrors[table] = mirror
        return mirror

    def set_fed(self, is_fed: bool) -> None:
        """Tell whether another host tells all changes."""
        if is_fed:
            self.starved.clear()
        else:
            self.starved.set()

    def read(self, table: str, state: TableState, *, is_whole: bool) -> None:
        """Take what this host has read from the store."""
        mirror = self.mirrors[table]
        news = mirror.apply(state.rows, state.version, is_whole=is_whole)
        if news:
            self.forward(table, news, mirror.version)

    def told(self, message: dict[str, Any]) -> None:
        """Take what another host has read.

        :raises ValueError: when the message is malformed.
        """
        table, rows, version = decode_rows(message)
        mirror = self.mirrors.get(table)
        if mirror is None:
            return
        news = mirror.apply(rows, version)
        if news:
            self.forward(table, news, mirror.version)

    def versions(self) -> dict[str, int]:
        """Give the version up to which each table is known."""
        return {table: found.version for table, found in self.mirrors.items()}

    def is_read(self) -> bool:
        """Tell whether all tables are known."""
        return all(mirror.is_read for mirror in self.mirrors.values())


def encode_rows(
    table: str,
    rows: Iterable[StoredRow],
    version: int,
) -> dict[str, Any]:
    """Give the message that tells of changed rows."""
    return {
        'kind': 'rows',
        'table': table,
        'version': version,
        'rows': [
            [
                row.key,
                None if row.value is None else row.value.decode('latin-1'),
                row.version,
            ]
            for row in rows
        ],
    }


def decode_rows(message: dict[str, Any]) -> tuple[str, list[StoredRow], int]:
    """Read the message that tells of changed rows.

    :raises ValueError: when it is malformed.
    """
    try:
        table = str(message['table'])
        rows = [
            StoredRow(
                table,
                str(key),
                None if value is None else value.encode('latin-1'),
                int(version),
            )
            for key, value, version in message['rows']
        ]
        return table, rows, int(message['version'])
    except (LookupError, TypeError, AttributeError) as error:
        raise ValueError(f'malformed rows: {error}') from error


def forward_nowhere(table: str, rows: list[StoredRow], version: int) -> None:
    """Tell nobody."""
