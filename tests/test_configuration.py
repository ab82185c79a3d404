"""Edits of the configuration: conflicts, validation, lost answers."""

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
    document_json,
    parse,
    read_document,
)

UPSTREAM = {'name': 'u1', 'address': '127.0.0.1:1', 'zone': 'a'}
KEYED = {'kind': 'keyed', 'upstreams': [UPSTREAM]}
PLAIN = {'kind': 'plain', 'upstreams': [UPSTREAM]}
ORDERS = {'prefix': '/orders', 'pool': 'orders', 'key': {'path_segment': 1}}


def document(**fields: Any) -> Document:
    """Read a document from JSON fields."""
    return read_document('test', fields)


def operations(*parts: dict[str, Any]) -> tuple[Operation, ...]:
    """Read operations as the administration API does."""
    edit = parse(EditModel, 'test', {'version': 0, 'operations': list(parts)})
    return tuple(part.to_operation() for part in edit.operations)


PUT_POOL = {'kind': 'put-pool', 'name': 'orders', 'pool': KEYED}
PUT_ROUTE = {'kind': 'put-route', 'name': 'orders', 'route': ORDERS}


@dataclass
class MemoryTables:
    """A table service and object store; loses answers on request."""

    rows: dict[tuple[str, str], VersionedRow] = field(default_factory=dict)
    blobs: dict[str, bytes] = field(default_factory=dict)
    lose: str = ''  # 'before' or 'after' the write takes effect
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
        lose = self.lose
        self.lose = ''
        if lose == 'before':
            raise errors.OutcomeUnknownError('lost before')
        found = [
            (part.table, part.key, self.read(part.table, part.key).version)
            for part in conditions
        ]
        wanted = [part.version for part in conditions]
        if [version for _, _, version in found] != wanted:
            raise errors.ConditionFailedError(tuple(found))
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


class StoppedClock:
    """A clock that stands still."""

    def monotonic(self) -> float:
        return 0.0

    def wall(self) -> float:
        return 1.5


@pytest.fixture
def tables() -> MemoryTables:
    """An empty platform."""
    return MemoryTables()


@pytest.fixture
def table(tables: MemoryTables) -> ConfigTable:
    """A configuration at version 1 with one keyed pool and its route."""
    table = ConfigTable(tables, tables, StoppedClock())
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
def test_faulty_document_is_refused(fields: dict[str, Any], named: str) -> None:
    """An accepted document that contradicts itself would break every host."""
    found = [
        problem.field for problem in configuration.problems(document(**fields))
    ]
    assert found == [named]


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
    """An operator cannot mend what an error does not name."""
    with pytest.raises(errors.ValidationError) as caught:
        document(**fields)
    assert caught.value.field == named


def test_document_survives_its_json(table: ConfigTable) -> None:
    """A field lost between hosts would make them decide differently."""
    whole = table.load(Document())
    assert read_document('test', document_json(whole)) == whole
    assert set(document_json(whole)) == set(DocumentModel.model_fields)


def test_second_editor_gets_the_difference(table: ConfigTable) -> None:
    """A lost update would revert an accepted configuration."""
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
def test_edit_that_breaks_what_runs_is_refused(
    table: ConfigTable,
    part: dict[str, Any],
    named: str,
) -> None:
    """Accepted edits must leave every route with its pool and every shard."""
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
    """Neither success nor failure may be assumed when an answer is lost."""
    tables.lose = lose
    edit = operations({'kind': 'zone-out', 'name': 'a'})
    if lose == 'before':
        with pytest.raises(errors.OutcomeUnknownError):
            table.edit(1, edit, 'ann')
    else:
        assert table.edit(1, edit, 'ann').version == 2
    assert table.load(Document()).version == version


def test_dry_run_changes_nothing(table: ConfigTable) -> None:
    """A rehearsal that takes effect is an accident."""
    edit = operations({'kind': 'host-out', 'name': 'a1'})
    assert table.edit(1, edit, 'ann', dry_run=True).version == 2
    assert table.load(Document()).version == 1


def test_start_reads_a_snapshot_and_few_rows(
    table: ConfigTable,
    tables: MemoryTables,
) -> None:
    """Thousands of edits must not be replayed by each starting host."""
    known = table.load(Document())
    for version in range(1, 251):
        kind = Kind.ZONE_OUT if version % 2 else Kind.ZONE_BACK
        part = Operation(kind, 'a')
        known = table.edit(version, (part,), 'ann', known=known)
    tables.reads = 0
    assert table.load(Document()).version == 251
    assert tables.reads <= 1 + 51
    newest_first = [change.version for change in table.history(3)]
    assert newest_first == [251, 250, 249]


def test_document_never_reverts(table: ConfigTable) -> None:
    """An old copy from a peer must not replace a newer one."""
    newer = table.load(Document())
    assert configuration.newest(newer, Document()) is newer
    change = table.change(1)
    assert change is not None
    with pytest.raises(errors.StaleError):
        configuration.apply_change(newer, change)


@pytest.mark.parametrize(
    ('kind', 'name'),
    [('zone-out', 'z'), ('host-out', 'a9'), ('host-out', 'a')],
)
def test_mark_of_an_unknown_name_is_refused(kind: str, name: str) -> None:
    """A misspelt zone would be taken out of service by name only."""
    unknown = operations({'kind': kind, 'name': name})
    back = operations({'kind': kind.replace('out', 'back'), 'name': name})
    with pytest.raises(errors.ValidationError) as caught:
        configuration.check_marks(unknown, {'a'}, {'a1'})
    assert caught.value.value == name
    configuration.check_marks(back, {'a'}, {'a1'})
