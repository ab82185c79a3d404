"""Protocols and data types of the systems outside the decision core."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from oriolearch.core.versions import StoreVersion

Row = Mapping[str, Any]  # JSON object of a table row

LONG_POLL_GRACE_S = 2.0  # timeout of a long poll beyond its wait


class Clock(Protocol):
    """A source of time, which tests can replace by a manual one."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never decreases."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch, for logs and history only."""


@dataclass(frozen=True, slots=True)
class VersionedRow:
    """A row that was read, with its version.

    :param version: grows over the whole life of the key; 0 means absent.
    """

    key: str
    version: int
    row: Row | None


@dataclass(frozen=True, slots=True)
class Condition:
    """A version that a row must have for a transaction to commit."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """A row to write, or to delete when ``row`` is ``None``."""

    table: str
    key: str
    row: Row | None


@dataclass(frozen=True, slots=True)
class HostEntry:
    """A host in the platform's list, which is updated with a delay.

    :param state: ``live`` or ``leaving``.
    """

    host: str
    zone: str
    address: str
    state: str


class TableService(Protocol):
    """A service of transactional tables.

    Every method raises :class:`~oriolearch.core.errors.PlatformRefusedError`
    when the call had no effect, and
    :class:`~oriolearch.core.errors.OutcomeUnknownError` when it may have had
    one.
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
        """Apply all writes if all conditions hold; return the new versions.

        :raises ConditionFailedError: with the present versions.
        """


class ObjectStore(Protocol):
    """A store of named blobs; raises the errors of :class:`TableService`."""

    def put(self, name: str, blob: bytes) -> None:
        """Store a blob under a name."""

    def get(self, name: str) -> bytes | None:
        """Read a blob; ``None`` when absent."""


class HostList(Protocol):
    """The platform's list of live and leaving hosts, which may be stale."""

    def hosts(self) -> list[HostEntry]:
        """Read the list."""


@dataclass(frozen=True, slots=True)
class RowName:
    """Name of a row in the shared store."""

    table: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of the shared store.

    :param value: ``None`` for a deleted row.
    :param version: store version of the last transaction that wrote the row.
    """

    table: str
    key: str
    value: bytes | None
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class TableState:
    """Rows of a table: all of them, or only the changed ones.

    :param version: store version that the rows reflect; later changes are
        not included.
    """

    rows: tuple[StoredRow, ...]
    version: StoreVersion


class SharedStore(Protocol):
    """The transactional store that all hosts share.

    Its methods raise :class:`oriolearch.core.errors.PlatformError`.
    """

    async def read(self, table: str) -> TableState:
        """Read all rows of a table."""

    async def follow(
        self,
        table: str,
        after: StoreVersion,
        wait_s: float,
        grace_s: float = LONG_POLL_GRACE_S,
    ) -> TableState:
        """Wait until a table changes after a version; return the changes.

        :param after: a version of the present era; one with the number 0 is
            before all changes in any era.
        :param wait_s: the store answers after this long without a change.
        :param grace_s: the call fails this long after that.
        """

    async def commit(
        self,
        conditions: Mapping[RowName, StoreVersion],
        writes: Mapping[RowName, bytes],
    ) -> StoreVersion:
        """Write rows if all conditions hold; return the new store version.

        :param conditions: expected version of each row.
        """


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Fields of a request that determine how it is handled.

    :param timeout_s: time that the caller waits for the answer.
    :param key: key in a keyed pool; ``None`` without a valid one.
    """

    request_id: bytes
    host: str
    path: str
    timeout_s: float
    key: int | None


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What an answer reports on the request and on the upstream.

    :param is_not_run: the upstream states that it did not run the request.
    :param is_misdirected: the address belongs to another upstream, or the
        upstream does not own the key.
    :param is_intact: the answer is unaltered, as the upstream made it.
    :param load: running and queued requests at the upstream, if reported.
    :param slowdown: service time at the upstream as a multiple of the usual
        one, if reported.
    :param cold_for_s: remaining cold start of the upstream, in seconds.
    :param rate_limit: requests per second that the upstream takes from all
        hosts together, infinite without a limit; ``None`` when the answer
        doesn't tell.
    :param is_leaving: the upstream is about to end and takes nothing more.
    :param pause_s: for how long it wants nothing from this host; 0 if it does
        not tell.
    """

    is_not_run: bool
    is_misdirected: bool
    is_intact: bool
    load: int | None
    cold_for_s: float
    rate_limit: float | None
    is_leaving: bool = False
    pause_s: float = 0.0
    slowdown: float | None = None
