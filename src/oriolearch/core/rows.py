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
MAX_NUMBER = 2**63 - 1


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


def read_authority_key(source: str, given: object) -> AuthorityKey:
    """Check a zone with a mobility class.

    :raises ValidationError: when it is not a list of these two.
    """
    parts = read_list(source, 'home', given)
    if len(parts) != 2 or parts[1] not in list(Mobility) or not parts[0]:
        reason = 'must be a zone and a mobility class'
        raise ValidationError(source, 'home', given, reason)
    return AuthorityKey(
        read_text(source, 'home', parts[0]),
        Mobility(parts[1]),
    )


def parse_row_key(text: str) -> AuthorityKey:
    """Read an authority key as :func:`row_key` writes it.

    :raises ValidationError: for any other text.
    """
    zone, _, mobility = text.rpartition('/')
    return read_authority_key('authority key', [zone, mobility])


def read_number(source: str, field: str, given: object) -> int:
    """Check a version, term, epoch or incarnation.

    :raises ValidationError: when it is not a number that peers can carry.
    """
    if type(given) is not int or not 0 <= given <= MAX_NUMBER:  # noqa: WPS516
        reason = 'must be a whole number from 0 to 2^63 - 1'
        raise ValidationError(source, field, given, reason)
    return given


def read_text(source: str, field: str, given: object) -> str:
    """Check a name or nonce.

    :raises ValidationError: when it is not a text that peers can carry.
    """
    if not isinstance(given, str):
        raise ValidationError(source, field, given, 'must be a text')
    try:
        given.encode()
    except UnicodeEncodeError as error:
        raise ValidationError(source, field, given, str(error)) from error
    return given


def read_list(source: str, field: str, given: object) -> list[Any]:
    """Check a list.

    :raises ValidationError: when it is none.
    """
    if not isinstance(given, list):
        raise ValidationError(source, field, given, 'must be a list')
    return given


def _read_ref(source: str, field: str, given: object) -> HostRef:
    parts = read_list(source, field, given)
    if len(parts) != 2:
        reason = 'must be a host and its incarnation'
        raise ValidationError(source, field, given, reason)
    return HostRef(
        read_text(source, field, parts[0]),
        read_number(source, field, parts[1]),
    )


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
    takers = read_list(source, 'takers', row.get('takers'))
    return AuthorityRow(
        _read_ref(source, 'holder', row.get('holder')),
        read_number(source, 'term', row.get('term')),
        tuple(_read_ref(source, 'takers', taker) for taker in takers),
        read_text(source, 'nonce', row.get('nonce')),
    )


def encode_lease(row: LeaseRow) -> dict[str, Any]:
    """Give the JSON object of a lease row."""
    return {'renewal': row.renewal}


def decode_lease(source: str, row: Mapping[str, Any]) -> LeaseRow:
    """Read a lease row.

    :raises ValidationError: when the renewal is missing.
    """
    return LeaseRow(read_text(source, 'renewal', row.get('renewal')))
