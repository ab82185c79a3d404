"""Rows of the authority and lease tables, and operations on the store."""

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
    """A row as read from the store.

    :param version: grows over the whole life of the key; 0 if never written.
    """

    version: int
    row: Mapping[str, Any] | None


@dataclass(frozen=True, slots=True)
class RowCondition:
    """Version that a row must have for a transaction to take effect."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A row that a transaction sets."""

    table: str
    key: str
    row: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Commit:
    """Effect: run one transaction and report its outcome with the nonce."""

    nonce: str
    conditions: tuple[RowCondition, ...]
    writes: tuple[RowWrite, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """Event: the transaction took effect; has the version of each write."""

    nonce: str
    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Refused:
    """Event: the store refused the transaction with 503, without effect."""

    nonce: str


@dataclass(frozen=True, slots=True)
class Unresolved:
    """Event: the answer was lost, or a condition failed.

    A failed condition may be the answer to a repeated delivery of a
    transaction that did take effect. In both cases the row is read to find
    the outcome.
    """

    nonce: str


@dataclass(frozen=True, slots=True)
class AuthorityRow:
    """Holder of the authority over a zone's shards of one mobility class.

    :param successors: the only hosts that may take over; for movable shards
        some of them run in the adopter zone.
    :param nonce: identifies the transaction that wrote the row.
    """

    holder: HostRef
    term: int
    successors: tuple[HostRef, ...]
    nonce: str


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Last renewal of a lease, identified by its transaction's nonce."""

    renewal: str


def row_key(key: AuthorityKey) -> str:
    """Return the key of the authority row and of the lease row."""
    return f'{key.zone}/{key.mobility}'


def read_authority_key(source: str, value: object) -> AuthorityKey:
    """Parse a list of a zone and a mobility class.

    :raises ValidationError: if it is not a list of these two.
    """
    parts = read_list(source, 'home', value)
    if len(parts) != 2 or parts[1] not in list(Mobility) or not parts[0]:
        reason = 'must be a zone and a mobility class'
        raise ValidationError(source, 'home', value, reason)
    return AuthorityKey(
        read_text(source, 'home', parts[0]),
        Mobility(parts[1]),
    )


def parse_row_key(text: str) -> AuthorityKey:
    """Parse an authority key that :func:`row_key` returned.

    :raises ValidationError: if it is not such a key.
    """
    zone, _, mobility = text.rpartition('/')
    return read_authority_key('authority key', [zone, mobility])


def read_number(source: str, field: str, value: object) -> int:
    """Return a version, term, epoch or incarnation after a check.

    :raises ValidationError: if it does not fit into 63 bits, the range of
        numbers in peer messages.
    """
    if type(value) is not int or not 0 <= value <= MAX_NUMBER:  # noqa: WPS516
        reason = 'must be a whole number from 0 to 2^63 - 1'
        raise ValidationError(source, field, value, reason)
    return value


def read_text(source: str, field: str, value: object) -> str:
    """Return a name or nonce after a check.

    :raises ValidationError: if it is no string or cannot be encoded as UTF-8
        for peer messages.
    """
    if not isinstance(value, str):
        raise ValidationError(source, field, value, 'must be a text')
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise ValidationError(source, field, value, str(error)) from error
    return value


def read_list(source: str, field: str, value: object) -> list[Any]:
    """Return a list after a check of its type.

    :raises ValidationError: if it is no list.
    """
    if not isinstance(value, list):
        raise ValidationError(source, field, value, 'must be a list')
    return value


def _read_ref(source: str, field: str, value: object) -> HostRef:
    parts = read_list(source, field, value)
    if len(parts) != 2:
        reason = 'must be a host and its incarnation'
        raise ValidationError(source, field, value, reason)
    return HostRef(
        read_text(source, field, parts[0]),
        read_number(source, field, parts[1]),
    )


def encode_authority(row: AuthorityRow) -> dict[str, Any]:
    """Return an authority row as JSON object."""
    return {
        'holder': [row.holder.host, row.holder.incarnation],
        'term': row.term,
        'takers': [[taker.host, taker.incarnation] for taker in row.successors],
        'nonce': row.nonce,
    }


def decode_authority(source: str, row: Mapping[str, Any]) -> AuthorityRow:
    """Decode an authority row.

    :raises ValidationError: if a field is missing or has another type.
    """
    successors = read_list(source, 'takers', row.get('takers'))
    return AuthorityRow(
        _read_ref(source, 'holder', row.get('holder')),
        read_number(source, 'term', row.get('term')),
        tuple(_read_ref(source, 'takers', taker) for taker in successors),
        read_text(source, 'nonce', row.get('nonce')),
    )


def encode_lease(row: LeaseRow) -> dict[str, Any]:
    """Return a lease row as JSON object."""
    return {'renewal': row.renewal}


def decode_lease(source: str, row: Mapping[str, Any]) -> LeaseRow:
    """Decode a lease row.

    :raises ValidationError: if the renewal is missing.
    """
    return LeaseRow(read_text(source, 'renewal', row.get('renewal')))
