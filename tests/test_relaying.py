"""Tables that hosts tell one another, without network."""

import pytest

from oriolearch.ports import StoredRow, TableState
from oriolearch.relaying import Relay, decode_rows, encode_rows

TABLE = 'servers'


def row(key: str, version: int, value: bytes | None = b'x') -> StoredRow:
    return StoredRow(TABLE, key, value, version)


class Host:
    """A relay with what its listener was told."""

    def __init__(self) -> None:
        self.relay = Relay()
        self.taken: list[tuple[str, bool]] = []
        self.sent: list[str] = []
        self.relay.add(TABLE, self.take)
        self.relay.forward = self.forward

    def take(self, rows: list[StoredRow], version: int) -> None:
        self.taken.extend((found.key, found.value is None) for found in rows)

    def forward(self, table: str, rows: list[StoredRow], version: int) -> None:
        self.sent.extend(found.key for found in rows)

    def read(
        self,
        *rows: StoredRow,
        version: int,
        is_whole: bool = False,
    ) -> None:
        state = TableState(rows, version)
        self.relay.read(TABLE, state, is_whole=is_whole)

    def told(self, *rows: StoredRow, version: int) -> None:
        self.relay.told(encode_rows(TABLE, rows, version))


def test_news_are_taken_and_passed_on_once() -> None:
    """A change that is told by three hosts and counted three times."""
    host = Host()
    host.read(row('a', 1), row('b', 2), version=2, is_whole=True)
    for _ in range(2):
        host.told(row('b', 2), row('c', 3), version=3)
    assert host.taken == [('a', False), ('b', False), ('c', False)]
    assert host.sent == ['a', 'b', 'c']
    assert host.relay.versions() == {TABLE: 3}


def test_older_row_changes_nothing() -> None:
    """A slow host that brings back what was removed."""
    host = Host()
    host.read(row('a', 1), version=1, is_whole=True)
    host.told(row('a', 5, None), version=5)
    host.told(row('a', 4), version=4)
    assert host.taken == [('a', False), ('a', True)]
    assert host.relay.versions() == {TABLE: 5}


def test_whole_table_tells_what_is_gone() -> None:
    """A server that left while the store's history was lost."""
    host = Host()
    host.read(row('a', 1), row('b', 2), version=2, is_whole=True)
    host.read(row('b', 2), version=9, is_whole=True)
    assert host.taken[-1] == ('a', True)
    host.read(row('b', 2), version=10, is_whole=True)
    assert host.taken.count(('a', True)) == 1


def test_empty_table_counts_as_read() -> None:
    """A host that is never ready because there is no server."""
    host = Host()
    assert not host.relay.is_read()
    host.read(version=1, is_whole=True)
    assert host.relay.is_read()


def test_rows_since_a_version() -> None:
    """A host that joins and does not hear of a removal."""
    host = Host()
    host.read(row('a', 1), row('b', 2), version=2, is_whole=True)
    host.told(row('a', 7, None), version=7)
    late = host.relay.mirrors[TABLE].since(2)
    assert [(found.key, found.value) for found in late] == [('a', None)]


def test_rows_survive_the_message() -> None:
    """Bytes that a text cannot hold."""
    rows = [row('a', 1, bytes(range(256))), row('b', 2, None)]
    assert decode_rows(encode_rows(TABLE, rows, 5)) == (TABLE, rows, 5)


@pytest.mark.parametrize(
    'message',
    [
        {},
        {'table': 't', 'version': 'new', 'rows': []},
        {'table': 't', 'version': 1, 'rows': None},
        {'table': 't', 'version': 1, 'rows': [['key']]},
        {'table': 't', 'version': 1, 'rows': [['key', 5, 1]]},
    ],
)
def test_malformed_rows_are_an_error(message: dict[str, object]) -> None:
    """A message of another host that ends a task."""
    with pytest.raises(ValueError):
        decode_rows(message)
