"""Edits of the configuration: conflicts, validation and lost answers."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import pytest

from oriolearch.adapters.config_table import ConfigTable
from oriolearch.core import configuration, errors
from oriolearch.core.configuration import Kind, Operation
from oriolearch.core.model import Document
from oriolearch.ports import Condition, Row, VersionedRow, Write
from oriolearch.schema import (
    DocumentModel,
    EditModel,
    document_to_json,
    parse,
    read_document,
)

UPSTREAM = {'name': 'u1', 'address': '127.0.0.1:1', 'zone': 'a'}
KEYED = {'kind': 'keyed', 'upstreams': [UPSTREAM]}
PLAIN = {'kind': 'plain', 'upstreams': [UPSTREAM]}
ORDERS = {'prefix': '/orders', 'pool': 'orders', 'key': {'path_segment': 1}}


def document(**fields: Any) -> Document:
    """Return a document with the given JSON fields."""
    return read_document('test', fields)


def operations(*parts: dict[str, Any]) -> tuple[Operation, ...]:
    """Parse operations as the administration API does."""
    edit = parse(EditModel, 'test', {'version': 0, 'operations': list(parts)})
    return tuple(part.to_operation() for part in edit.operations)


PUT_POOL = {'kind': 'put-pool', 'name': 'orders', 'pool': KEYED}
PUT_ROUTE = {'kind': 'put-route', 'name': 'orders', 'route': ORDERS}


@dataclass
class MemoryTables:
    """In-memory table service and object store that can lose answers."""

    rows: dict[tuple[str, str], VersionedRow] = field(default_factory=dict)
    blobs: dict[str, bytes] = field(default_factory=dict)
    lose_answer: str = ''  # fail 'before' or 'after' the write takes effect
    reads: int = 0

    def read(self, table: str, key: str) -> VersionedRow:
        self.reads += 1
        return self.rows.get((table, key), VersionedRow(key, 0, None))

    def scan(self, table: str, prefix: str = '') -> list[VersionedRow]:
        return [row for (name, _), row in self.rows.items() if name == table]

    def commit(
        self,
        conditions: Iterable[Condition],
        writes: Iterable[Write],
    ) -> list[int]:
        lose = self.lose_answer
        self.lose_answer = ''
        if lose == 'before':
            raise errors.OutcomeUnknownError('lost before')
        current = [
            (part.table, part.key, self.read(part.table, part.key).version)
            for part in conditions
        ]
        wanted = [part.version for part in conditions]
        if [version for _, _, version in current] != wanted:
            raise errors.ConditionFailedError(tuple(current))
        versions = [
            self.put_row(part.table, part.key, part.row) for part in writes
        ]
        if lose:
            raise errors.OutcomeUnknownError('lost after')
        return versions

    def put_row(self, table: str, key: str, row: Row | None) -> int:
        version = self.read(table, key).version + 1
        self.rows[table, key] = VersionedRow(key, version, row)
        return version

    def put(self, name: str, blob: bytes) -> None:
        self.blobs[name] = blob

    def get(self, name: str) -> bytes | None:
        return self.blobs.get(name)


class FixedClock:
    """A clock with a constant time."""

    def monotonic(self) -> float:
        return 0.0

    def wall(self) -> float:
        return 1.5


@pytest.fixture
def tables() -> MemoryTables:
    """Return an empty platform."""
    return MemoryTables()


@pytest.fixture
def table(tables: MemoryTables) -> ConfigTable:
    """Return a configuration at version 1 with a keyed pool and its route."""
    table = ConfigTable(tables, tables, FixedClock())
    table.edit(0, operations(PUT_POOL, PUT_ROUTE), 'ann')
    return table


@pytest.mark.parametrize(
    ('fields', 'named'),
    [
        ({'routes': {'r': {'prefix': '/x', 'pool': 'none'}}}, 'r.pool'),
        (
            {
                'routes': {'r': {**ORDERS, 'key': None}},
                'pools': {'orders': KEYED},
            },
            'r.key',
        ),
        ({'routes': {'r': ORDERS}, 'pools': {'orders': PLAIN}}, 'r.key'),
        ({'pools': {'p': {**KEYED, 'shard_count': 300}}}, 'p.shard_count'),
        (
            {'pools': {'p': {**KEYED, 'upstreams': [UPSTREAM, UPSTREAM]}}},
            'p.upstreams',
        ),
        (
            {
                'routes': {'r': ORDERS, 's': {**ORDERS, 'prefix': '/orders/'}},
                'pools': {'orders': KEYED},
            },
            'r.prefix',
        ),
    ],
)
def test_inconsistent_document_is_rejected(
    fields: dict[str, Any], named: str
) -> None:
    """Fails if an inconsistent document is accepted; it breaks every host."""
    fields_named = [
        problem.field for problem in configuration.problems(document(**fields))
    ]
    assert fields_named == [named]


@pytest.mark.parametrize(
    ('fields', 'named'),
    [
        ({'routes': {'r': {'prefix': 'x', 'pool': 'p'}}}, 'routes.r.prefix'),
        ({'pools': {'p': {**KEYED, 'kind': 'odd'}}}, 'pools.p.kind'),
        ({'pools': {'p': {**KEYED, 'spare': 1}}}, 'pools.p.spare'),
        (
            {
                'pools': {
                    'p': {**KEYED, 'upstreams': [{**UPSTREAM, 'slots': 0}]}
                }
            },
            'pools.p.upstreams.0.slots',
        ),
        ({'version': -1}, 'version'),
        (
            {
                'routes': {
                    'r': {**ORDERS, 'key': {'path_segment': 1, 'header': 'k'}}
                }
            },
            'routes.r.key',
        ),
    ],
)
def test_error_names_the_field(fields: dict[str, Any], named: str) -> None:
    """Fails if an error does not name the field that the operator must fix."""
    with pytest.raises(errors.ValidationError) as caught:
        document(**fields)
    assert caught.value.field == named


def test_document_is_equal_after_json_round_trip(table: ConfigTable) -> None:
    """Fails if the JSON form lacks a field, so that hosts would differ."""
    loaded = table.load(Document())
    assert read_document('test', document_to_json(loaded)) == loaded
    assert set(document_to_json(loaded)) == set(DocumentModel.model_fields)


def test_conflicting_editor_gets_the_difference(table: ConfigTable) -> None:
    """Fails if a concurrent edit overwrites an accepted one."""
    table.edit(1, operations({'kind': 'zone-out', 'name': 'a'}), 'ann')
    with pytest.raises(errors.ConflictError) as caught:
        table.edit(1, operations({'kind': 'zone-out', 'name': 'b'}), 'bob')
    assert caught.value.changes == ('2: zone-out a by ann',)
    assert table.load(Document()).zones_out == {'a'}


@pytest.mark.parametrize(
    ('part', 'named'),
    [
        ({'kind': 'delete-pool', 'name': 'orders'}, 'orders.pool'),
        ({'kind': 'delete-route', 'name': 'none'}, 'route'),
        ({'kind': 'put-route', 'name': 'orders', 'pool': KEYED}, 'orders'),
        (
            {**PUT_POOL, 'pool': {**KEYED, 'shard_count': 512}},
            'orders.shard_count',
        ),
        ({**PUT_POOL, 'pool': {**KEYED, 'fencing': 'none'}}, 'orders.fencing'),
    ],
)
def test_edit_that_breaks_a_running_pool_is_rejected(
    table: ConfigTable,
    part: dict[str, Any],
    named: str,
) -> None:
    """Fails if an edit can remove a pool in use or change its shards."""
    with pytest.raises(errors.ValidationError) as caught:
        table.edit(1, operations(part), 'ann')
    assert caught.value.field == named
    assert table.load(Document()).version == 1


@pytest.mark.parametrize(('lose', 'version'), [('after', 2), ('before', 1)])
def test_lost_answer_is_resolved_by_reading(
    table: ConfigTable,
    tables: MemoryTables,
    lose: str,
    version: int,
) -> None:
    """Fails if a lost answer counts as success or failure without a read."""
    tables.lose_answer = lose
    edit = operations({'kind': 'zone-out', 'name': 'a'})
    if lose == 'before':
        with pytest.raises(errors.OutcomeUnknownError):
            table.edit(1, edit, 'ann')
    else:
        assert table.edit(1, edit, 'ann').version == 2
    assert table.load(Document()).version == version


def test_dry_run_changes_nothing(table: ConfigTable) -> None:
    """Fails if a dry run takes effect."""
    edit = operations({'kind': 'host-out', 'name': 'a1'})
    assert table.edit(1, edit, 'ann', dry_run=True).version == 2
    assert table.load(Document()).version == 1


def test_start_reads_a_snapshot_and_few_rows(
    table: ConfigTable,
    tables: MemoryTables,
) -> None:
    """Fails if a starting host replays all edits."""
    loaded = table.load(Document())
    for version in range(1, 251):
        kind = Kind.ZONE_OUT if version % 2 else Kind.ZONE_BACK
        part = Operation(kind, 'a')
        loaded = table.edit(version, (part,), 'ann', base_document=loaded)
    tables.reads = 0
    assert table.load(Document()).version == 251
    assert tables.reads <= 1 + 51
    newest_first = [change.version for change in table.history(3)]
    assert newest_first == [251, 250, 249]


def test_document_never_reverts(table: ConfigTable) -> None:
    """Fails if an old copy from a peer replaces a newer document."""
    newer = table.load(Document())
    assert configuration.newest(newer, Document()) is newer
    change = table.read_change(1)
    assert change is not None
    with pytest.raises(errors.StaleError):
        configuration.apply_change(newer, change)


@pytest.mark.parametrize(
    ('kind', 'name'),
    [('zone-out', 'z'), ('host-out', 'a9'), ('host-out', 'a')],
)
def test_unknown_name_cannot_be_taken_out_of_service(
    kind: str, name: str
) -> None:
    """Fails if a misspelt zone or host is accepted."""
    unknown = operations({'kind': kind, 'name': name})
    back = operations({'kind': kind.replace('out', 'back'), 'name': name})
    with pytest.raises(errors.ValidationError) as caught:
        configuration.check_known_names(unknown, {'a'}, {'a1'})
    assert caught.value.value == name
    configuration.check_known_names(back, {'a'}, {'a1'})
