"""Rows of the coordinator in the store, and owners as hosts tell them."""

import json
import zlib
from dataclasses import dataclass

from oriolearch.adapters.host_links import Message
from oriolearch.clock import lease_clock
from oriolearch.core.directory import (
    KEY_COUNT,
    Incarnation,
    parse_incarnation,
)
from oriolearch.core.errors import ConditionFailedError
from oriolearch.core.keyranges import OwnedRange
from oriolearch.core.ownership import KeyRange
from oriolearch.eventlog import Event, EventLog
from oriolearch.packing import unpack
from oriolearch.ports import RowName, StoredRow

LEADER_TABLE = 'oriolearch-coordinator'
OWNER_TABLE = 'oriolearch-owners'
LEADER_ROW = RowName(LEADER_TABLE, 'coordinator')
PACKED_FROM = 4096  # bytes of text; smaller rows stay readable
LARGEST_TEXT = 8 * 1024 * 1024  # bytes that a row is unpacked to
WITNESS_ROW = RowName('oriolearch-witnesses', 'witnesses')


@dataclass(frozen=True, slots=True)
class LeaderRow:
    """The row that names the coordinator.

    :param is_leaving: its host stops. It acts until another host takes over.
    """

    host: str
    address: str
    term: int
    nonce: str
    is_leaving: bool = False

    def encode(self) -> bytes:
        """Give the row's value."""
        return json.dumps(
            {
                'host': self.host,
                'address': self.address,
                'term': self.term,
                'nonce': self.nonce,
                'leaving': self.is_leaving,
            },
        ).encode()

    def is_same_term(self, other: 'LeaderRow') -> bool:
        """Tell whether two rows name the same run of a coordinator."""
        return (self.term, self.nonce) == (other.term, other.nonce)


def decode_leader(row: StoredRow) -> LeaderRow | None:
    """Read the row that names the coordinator; ``None`` if unreadable."""
    try:
        fields = json.loads(row.value or b'')
        return LeaderRow(
            str(fields['host']),
            str(fields['address']),
            int(fields['term']),
            str(fields['nonce']),
            bool(fields['leaving']),
        )
    except (ValueError, KeyError, TypeError):
        return None


def encode_ranges(ranges: tuple[KeyRange, ...], revision: int) -> bytes:
    """Give the value of a pool's row."""
    rows = [
        [
            keys.first,
            keys.last,
            *_row_of(keys),
        ]
        for keys in ranges
    ]
    body = {'revision': revision, 'ranges': rows}
    text = json.dumps(body, separators=(',', ':')).encode()
    # A row holds 64 KB, which 1,000 ranges as plain text fill.
    return zlib.compress(text) if len(text) >= PACKED_FROM else text


def _row_of(keys: KeyRange) -> tuple[str | None, int, str | None]:
    """Give owner, fence and previous owner as a successor must see them."""
    owner = keys.planned or keys.owner
    fence = keys.planned_fence if keys.planned else keys.fence
    previous = keys.owner if keys.planned else keys.previous
    return (
        owner.text() if owner else None,
        fence,
        previous.text() if previous else None,
    )


def decode_ranges(value: bytes) -> list[KeyRange]:
    """Read the value of a pool's row.

    :raises ValueError: when it cannot be read.
    """
    found = []
    try:
        text = value if value.startswith(b'{') else unpack(value, LARGEST_TEXT)
        for first, last, owner, fence, previous in json.loads(text)['ranges']:
            keys = KeyRange(int(first), int(last), _ref(owner), int(fence))
            keys.previous = _ref(previous)
            found.append(keys)
    except (KeyError, TypeError) as error:
        raise ValueError(f'unreadable ranges: {error}') from error
    starts = [0, *(keys.last + 1 for keys in found)]
    if starts != [*(keys.first for keys in found), KEY_COUNT]:
        raise ValueError('ranges do not cover all keys once')
    return found


def read_ranges(row: StoredRow, log: EventLog) -> list[KeyRange]:
    """Read a pool's row; an unreadable one is logged and gives nothing."""
    if row.value is None:
        return []
    try:
        return decode_ranges(row.value)
    except ValueError as error:
        log.emit(
            Event.ROW_REJECTED,
            row=f'{OWNER_TABLE}/{row.key}',
            row_version=row.version,
            error=str(error),
        )
        return []


def _ref(text: str | None) -> Incarnation | None:
    return parse_incarnation(text) if text else None


def required_versions(error: ConditionFailedError) -> dict[RowName, int]:
    """Give the versions that rows have, of those that a write required."""
    return {
        RowName(table, key): version for table, key, version in error.failed
    }


def owners_message(
    pool: str,
    changes: list[OwnedRange],
    is_whole: bool,
) -> Message:
    """Give the message that tells owners; ``is_whole`` for those of all keys."""
    now = lease_clock()
    return {
        'kind': 'owners',
        'pool': pool,
        'whole': is_whole,
        'ranges': [
            [
                keys.first,
                keys.last,
                keys.owner.text() if keys.owner else None,
                round(keys.expected_at - now, 3) if not keys.owner else 0,
            ]
            for keys in changes
        ],
    }


def read_owners(message: Message) -> list[OwnedRange]:
    """Read the ranges of an ``owners`` message.

    :raises ValueError: when they are malformed.
    """
    now = lease_clock()
    try:
        return [
            OwnedRange(int(first), int(last), _ref(owner), now + float(in_s))
            for first, last, owner, in_s in message['ranges']
        ]
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f'malformed owners: {error}') from error
