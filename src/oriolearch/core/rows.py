"""Table rows of the authority lease, and the store operations on them."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from oriolearch.core.errors import ValidationError
from oriolearch.core.messages import AuthorityKey
from oriolearch.core.model import HostRef, Mobility

AUTHORITY_TABLE = 'authority'
LEASE_TABLE = 'lease'
SEGMENT_TABLE = 'segments'


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as read.

    :param version: grows over the whole life of the key; 0 if never written.
    """

    version: int
    row: Mapping[str, Any] | None


@dataclass(frozen=True, slots=True)
class RowCondition:
    """A row must have this version for a transaction to take effect."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A row to set."""

    table: str
    key: str
    row: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Commit:
    """Effect: issue one transaction and report its outcome by the nonce."""

    nonce: str
    conditions: tuple[RowCondition, ...]
    writes: tuple[RowWrite, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """Event: the transaction took effect, with a version for each write."""

    nonce: str
    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Refused:
    """Event: the store refused before any effect (a 503)."""

    nonce: str


@dataclass(frozen=True, slots=True)
class Unresolved:
    """Event: the answer was lost, or a condition failed.

    A failed condition may be the answer to a repeated delivery of a
    transaction that did take effect, so it is resolved by reading too.
    """

    nonce: str


@dataclass(frozen=True, slots=True)
class AuthorityRow:
    """Who coordinates a zone's shards of one mobility class.

    :param takers: the only hosts that may take over; for movable shards some
        of them run in the adopter zone.
    :param nonce: identifies the transaction that wrote the row.
    """

    holder: HostRef
    term: int
    takers: tuple[HostRef, ...]
    nonce: str


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """The last renewal, identified by the nonce of its transaction."""

    renewal: str


def row_key(key: AuthorityKey) -> str:
    """Give the key of the authority row and of the lease row."""
    return f'{key.zone}/{key.mobility}'


def parse_row_key(text: str) -> AuthorityKey:
    """Read an authority key as :func:`row_key` writes it."""
    zone, _, mobility = text.rpartition('/')
    return AuthorityKey(zone, Mobility(mobility))


def encode_authority(row: AuthorityRow) -> dict[str, Any]:
    """Give the JSON object of an authority row."""
    return {
        'holder': [row.holder.host, row.holder.incarnation],
        'term': row.term,
        'takers': [[taker.host, taker.incarnation] for taker in row.takers],
        'nonce': row.nonce,
    }


def decode_authority(source: str, row: Mapping[str, Any]) -> AuthorityRow:
    """Read an authority row.

    :raises ValidationError: when a field is missing or has another type.
    """
    try:
        return AuthorityRow(
            HostRef(str(row['holder'][0]), int(row['holder'][1])),
            int(row['term']),
            tuple(HostRef(str(name), int(inc)) for name, inc in row['takers']),
            str(row['nonce']),
        )
    except (LookupError, TypeError, ValueError) as error:
        raise ValidationError(source, 'authority', row, str(error)) from error


def encode_lease(row: LeaseRow) -> dict[str, Any]:
    """Give the JSON object of a lease row."""
    return {'renewal': row.renewal}


def decode_lease(source: str, row: Mapping[str, Any]) -> LeaseRow:
    """Read a lease row.

    :raises ValidationError: when the renewal is missing.
    """
    if 'renewal' not in row:
        raise ValidationError(source, 'renewal', row, 'missing')
    return LeaseRow(str(row['renewal']))
