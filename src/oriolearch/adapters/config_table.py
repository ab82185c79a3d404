"""The configuration, stored in the platform's tables.

Row ``config/head`` has the current version and ``config.changes/<version>``
the edit that created it. A snapshot of every hundredth version is kept in the
object store, so that a starting host reads few rows.
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
    CurrentVersionModel,
    change_to_json,
    document_to_json,
    parse,
    read_document,
)

HEAD_TABLE = 'config'
HEAD_KEY = 'head'
CHANGES_TABLE = 'config.changes'
SNAPSHOT_INTERVAL = 100  # versions from one snapshot to the next
_log = logging.getLogger(__name__)


def _change_key(version: int) -> str:
    return f'{version:012d}'


def _snapshot_name(version: int) -> str:
    return f'config-{_change_key(version)}.json'


class ConfigTable:
    """Reads and edits the stored configuration.

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

    def read_head(self) -> VersionedRow:
        """Read the row that has the current version."""
        return self.tables.read(HEAD_TABLE, HEAD_KEY)

    def read_change(self, version: int) -> configuration.Change | None:
        """Read the edit that created a version; ``None`` when it is absent."""
        row = self.tables.read(CHANGES_TABLE, _change_key(version)).row
        if row is None:
            return None
        return parse(ChangeModel, CHANGES_TABLE, row).to_change()

    def load(self, base_document: Document) -> Document:
        """Return a document brought up to the current version."""
        version = _head_version(self.read_head())
        if version <= base_document.version:
            return base_document
        if version - base_document.version > SNAPSHOT_INTERVAL:
            base_document = self._load_snapshot(base_document, version)
        while base_document.version < version:
            change = self.read_change(base_document.version + 1)
            if change is None:
                raise ValidationError(
                    CHANGES_TABLE,
                    _change_key(base_document.version + 1),
                    None,
                    'the row of an accepted edit is missing',
                )
            base_document = configuration.apply_change(base_document, change)
        return base_document

    def edit(
        self,
        expected_version: int,
        operations: tuple[configuration.Operation, ...],
        author: str,
        *,
        base_document: Document | None = None,
        dry_run: bool = False,
    ) -> Document:
        """Apply an edit to the version that the editor saw.

        :param expected_version: version that the edit is based on.
        :param base_document: a document that was once current; only newer
            changes are read from the tables.

        :raises ConflictError: when another edit was accepted since.
        :raises ValidationError: when the resulting document is invalid.
        :raises OutcomeUnknownError: when the edit may have been accepted.
        """
        head = self.read_head()
        before = self.load(base_document or Document())
        if before.version != expected_version:
            raise self._make_conflict(expected_version, before.version)
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
        """Yield the latest accepted edits, newest first, at most ``limit``."""
        version = _head_version(self.read_head())
        for number in range(version, max(version - limit, 0), -1):
            change = self.read_change(number)
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
            Write(CHANGES_TABLE, key, change_to_json(change)),
        )
        try:
            self.tables.commit(conditions, writes)
        except ConditionFailedError as error:
            current = _head_version(self.read_head())
            raise self._make_conflict(change.version - 1, current) from error
        except OutcomeUnknownError:
            self._resolve_unknown_outcome(change)

    def _resolve_unknown_outcome(self, change: configuration.Change) -> None:
        """Determine whether an edit whose answer was lost took effect.

        An absent row proves nothing, since a delayed write may still be
        applied; the outcome then stays unknown.
        """
        stored = self.read_change(change.version)
        if stored is None:
            raise OutcomeUnknownError(
                f'edit {change.nonce} for version {change.version}: the'
                ' answer was lost; show the history before trying again',
            )
        if stored.nonce != change.nonce:
            raise self._make_conflict(change.version - 1, stored.version)

    def _make_conflict(
        self, expected_version: int, current: int
    ) -> ConflictError:
        lines = (
            line
            for number in range(expected_version + 1, current + 1)
            if (change := self.read_change(number))
            for line in configuration.describe(change)
        )
        return ConflictError(expected_version, current, tuple(lines))

    def _load_snapshot(self, base_document: Document, version: int) -> Document:
        snapshot_version = version - version % SNAPSHOT_INTERVAL
        blob = self.objects.get(_snapshot_name(snapshot_version))
        if blob is None:
            return base_document
        try:
            snapshot = read_document(_snapshot_name(snapshot_version), blob)
        except ValidationError as error:
            # The change rows contain the complete configuration.
            _log.warning(
                'ignoring an invalid configuration snapshot: %s', error
            )
            return base_document
        if snapshot.version != snapshot_version:
            _log.warning(
                'ignoring configuration snapshot %d: it has version %d',
                snapshot_version,
                snapshot.version,
            )
            return base_document
        return configuration.newest(base_document, snapshot)

    def _store_snapshot(self, document: Document) -> None:
        blob = json.dumps(document_to_json(document)).encode()
        try:
            self.objects.put(_snapshot_name(document.version), blob)
        except PlatformError:
            # The change rows contain everything; only starting is slower.
            return


def _head_version(head: VersionedRow) -> int:
    if head.row is None:
        return 0
    source = f'{HEAD_TABLE}/{HEAD_KEY}'
    return parse(CurrentVersionModel, source, head.row).version
