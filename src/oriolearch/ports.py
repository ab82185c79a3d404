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
