"""The configuration in the platform's tables.

Row ``config/head`` holds the version in force, ``config.changes/<version>``
the edit that made it. Every hundredth version is kept whole in the object
store, so that a starting host reads few rows.
"""

import json
import logging
import uuid
from collections.abc import Iterable

from oriolearch.core import configuration
from oriolearch.core.errors import (
    ConditionFailedError,
    ConflictError,
    OutcomeUnknownError,
    PlatformError,
    ValidationError,
)
from oriolearch.core.model import Document
from oriolearch.ports import (
    Clock,
    Condition,
    ObjectStore,
    TableService,
    VersionedRow,
    Write,
)
from oriolearch.schema import (
    ChangeModel,
    HeadModel,
    change_json,
    document_json,
    parse,
    read_document,
)

HEAD_TABLE = 'config'
HEAD_KEY = 'head'
CHANGES_TABLE = 'config.changes'
SNAPSHOT_INTERVAL = 100  # versions between two snapshots
_log = logging.getLogger(__name__)


def _change_key(version: int) -> str:
    return f'{version:012d}'


def _snapshot_name(version: int) -> str:
    return f'config-{_change_key(version)}.json'


class ConfigTable:
    """Reads and edits the configuration.

    Every method raises :class:`~oriolearch.core.errors.PlatformError` when
    the platform does not answer.
    """

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        clock: Clock,
    ) -> None:
        self.tables = tables
        self.objects = objects
        self.clock = clock

    def head(self) -> VersionedRow:
        """Read the row of the version in force."""
        return self.tables.read(HEAD_TABLE, HEAD_KEY)

    def change(self, version: int) -> configuration.Change | None:
        """Read one accepted edit."""
        row = self.tables.read(CHANGES_TABLE, _change_key(version)).row
        if row is None:
            return None
        return parse(ChangeModel, CHANGES_TABLE, row).to_change()

    def load(self, known: Document) -> Document:
        """Bring a document up to the version in force."""
        version = _head_version(self.head())
        if version <= known.version:
            return known
        if version - known.version > SNAPSHOT_INTERVAL:
            known = self._snapshot(known, version)
        while known.version < version:
            change = self.change(known.version + 1)
            if change is None:
                raise ValidationError(
                    CHANGES_TABLE,
                    _change_key(known.version + 1),
                    None,
                    'the row of an accepted edit is missing',
                )
            known = configuration.apply_change(known, change)
        return known

    def edit(
        self,
        seen_version: int,
        operations: tuple[configuration.Operation, ...],
        author: str,
        *,
        known: Document | None = None,
        dry_run: bool = False,
    ) -> Document:
        """Make an edit of the version that the editor saw.

        :param known: a document in force at some time; saves reading it.

        :raises ConflictError: when another edit was accepted since.
        :raises ValidationError: when the result is not acceptable.
        :raises OutcomeUnknownError: when it may or may not be accepted.
        """
        head = self.head()
        before = self.load(known or Document())
        if before.version != seen_version:
            raise self._conflict(seen_version, before.version)
        after = configuration.apply_operations(before, operations)
        configuration.validate(before, after)
        if dry_run:
            return after
        change = configuration.Change(
            after.version,
            author,
            self.clock.wall(),
            uuid.uuid4().hex,
            operations,
        )
        self._commit(head, change)
        if after.version % SNAPSHOT_INTERVAL == 0:
            self._store_snapshot(after)
        return after

    def history(self, limit: int) -> Iterable[configuration.Change]:
        """Yield the latest accepted edits, newest first."""
        version = _head_version(self.head())
        for number in range(version, max(version - limit, 0), -1):
            change = self.change(number)
            if change is not None:
                yield change

    def _commit(
        self,
        head: VersionedRow,
        change: configuration.Change,
    ) -> None:
        key = _change_key(change.version)
        conditions = (
            Condition(HEAD_TABLE, HEAD_KEY, head.version),
            Condition(CHANGES_TABLE, key, 0),
        )
        writes = (
            Write(HEAD_TABLE, HEAD_KEY, {'version': change.version}),
            Write(CHANGES_TABLE, key, change_json(change)),
        )
        try:
            self.tables.commit(conditions, writes)
        except ConditionFailedError as error:
            current = _head_version(self.head())
            raise self._conflict(change.version - 1, current) from error
        except OutcomeUnknownError:
            self._resolve(change)

    def _resolve(self, change: configuration.Change) -> None:
        """Find out whether an edit whose answer was lost took effect.

        While the row is absent the write may still be on its way, so that
        case stays unknown.
        """
        found = self.change(change.version)
        if found is None:
            raise OutcomeUnknownError(
                f'edit {change.nonce} for version {change.version}: the'
                ' answer was lost; show the history before trying again',
            )
        if found.nonce != change.nonce:
            raise self._conflict(change.version - 1, found.version)

    def _conflict(self, seen: int, current: int) -> ConflictError:
        lines = (
            line
            for number in range(seen + 1, current + 1)
            if (change := self.change(number))
            for line in configuration.describe(change)
        )
        return ConflictError(seen, current, tuple(lines))

    def _snapshot(self, known: Document, version: int) -> Document:
        number = version - version % SNAPSHOT_INTERVAL
        blob = self.objects.get(_snapshot_name(number))
        if blob is None:
            return known
        try:
            snapshot = read_document(_snapshot_name(number), blob)
        except ValidationError as error:
            # The change rows still hold everything.
            _log.warning('snapshot is passed over: %s', error)
            return known
        if snapshot.version != number:
            _log.warning('snapshot %d has version %d', number, snapshot.version)
            return known
        return configuration.newest(known, snapshot)

    def _store_snapshot(self, document: Document) -> None:
        blob = json.dumps(document_json(document)).encode()
        try:
            self.objects.put(_snapshot_name(document.version), blob)
        except PlatformError:
            # The change rows still hold everything; only a start is slower.
            return


def _head_version(head: VersionedRow) -> int:
    if head.row is None:
        return 0
    source = f'{HEAD_TABLE}/{HEAD_KEY}'
    return parse(HeadModel, source, head.row).version
