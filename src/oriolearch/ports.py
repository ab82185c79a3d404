"""Protocols of everything outside the decision core."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

Row = Mapping[str, Any]  # JSON object of a table row


class Clock(Protocol):
    """A source of time that tests pause and advance."""

    def monotonic(self) -> float:
        """Give seconds since an arbitrary start; never falls."""

    def wall(self) -> float:
        """Give seconds since the epoch, for logs and history only."""


@dataclass(frozen=True, slots=True)
class VersionedRow:
    """A row as read.

    :param version: grows over the whole life of the key; 0 means absent.
    """

    key: str
    version: int
    row: Row | None


@dataclass(frozen=True, slots=True)
class Condition:
    """A row must have this version for a transaction to take effect."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """A row to set, or to delete when ``row`` is ``None``."""

    table: str
    key: str
    row: Row | None


@dataclass(frozen=True, slots=True)
class HostEntry:
    """A host in the platform's lagging list.

    :param state: ``live`` or ``leaving``.
    """

    host: str
    zone: str
    address: str
    state: str


class TableService(Protocol):
    """Transactional tables.

    Every method raises :class:`~oriolearch.core.errors.PlatformRefusedError`
    when nothing took effect and
    :class:`~oriolearch.core.errors.OutcomeUnknownError` when that is unknown.
    """

    def read(self, table: str, key: str) -> VersionedRow:
        """Read one row; an absent row has version 0 or its last version."""

    def scan(self, table: str, prefix: str = '') -> list[VersionedRow]:
        """Read all rows whose key starts with a prefix, sorted by key."""

    def commit(
        self,
        conditions: Iterable[Condition],
        writes: Iterable[Write],
    ) -> list[int]:
        """Apply all writes if all conditions hold; give the new versions.

        :raises ConditionFailedError: with the versions found.
        """


class ObjectStore(Protocol):
    """Named blobs; raises as :class:`TableService` does."""

    def put(self, name: str, blob: bytes) -> None:
        """Store a blob under a name."""

    def get(self, name: str) -> bytes | None:
        """Read a blob; ``None`` when absent."""


class HostList(Protocol):
    """The platform's list of live and leaving hosts, which lags."""

    def hosts(self) -> list[HostEntry]:
        """Read the list."""


@dataclass(frozen=True, slots=True)
class RowName:
    """Names a row of the shared store."""

    table: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of the shared store.

    :param value: ``None`` for a row that was removed.
    :param version: of the transaction that wrote it last.
    """

    table: str
    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class TableState:
    """Rows of a table, all or only those that changed.

    :param version: of the store; changes after it are still to be read.
    """

    rows: tuple[StoredRow, ...]
    version: int


class SharedStore(Protocol):
    """A transactional store that all hosts use.

    Its methods raise :class:`oriolearch.core.errors.PlatformError`.
    """

    async def read(self, table: str) -> TableState:
        """Read all rows of a table."""

    async def follow(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> TableState:
        """Wait for changes of a table after a version."""

    async def commit(
        self,
        conditions: Mapping[RowName, int],
        writes: Mapping[RowName, bytes],
    ) -> int:
        """Write rows if all have the versions given; give the new one."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What decides how a request is handled.

    :param timeout_s: how long its caller waits.
    :param key: its key in a keyed pool, if it carries a valid one.
    """

    request_id: bytes
    host: str
    path: str
    timeout_s: float
    key: int | None


@dataclass(frozen=True, slots=True)
class Verdict:
    """What an answer says of the request and of the upstream.

    :param is_not_run: the upstream states that the request has not run.
    :param is_misdirected: another upstream is at the address, or it does
        not hold the key.
    :param is_intact: the answer is what the upstream made.
    :param load: running and waiting requests at the upstream.
    :param cold_for_s: how much longer the upstream is cold.
    """

    is_not_run: bool
    is_misdirected: bool
    is_intact: bool
    load: int | None
    cold_for_s: float
