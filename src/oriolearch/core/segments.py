"""Segment rows: encoding, home zones and changes of owners."""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import replace
from typing import Any

from oriolearch.core.errors import ValidationError
from oriolearch.core.messages import AuthorityKey, Segment
from oriolearch.core.model import SHARDS_PER_SEGMENT, Assignment, Pool
from oriolearch.core.rows import (
    read_authority_key,
    read_list,
    read_number,
    read_text,
)

SegmentKey = tuple[str, int]  # pool and segment index
NO_OWNER = -1


def segment_row_key(key: SegmentKey) -> str:
    """Return the row key of a segment; keys of a pool sort by index."""
    return f'{key[0]}/{key[1]:05d}'


def parse_segment_row_key(text: str) -> SegmentKey:
    """Parse a key that :func:`segment_row_key` returned.

    :raises ValidationError: if it is not such a key.
    """
    pool, _, index = text.rpartition('/')
    is_number = index.isascii() and index.isdecimal()
    if not is_number or segment_row_key((pool, int(index[:9]))) != text:
        reason = 'must be a pool and a segment number of 5 digits'
        raise ValidationError('segments', 'key', text, reason)
    return pool, int(index)


def encode_segment(segment: Segment, nonce: str) -> dict[str, Any]:
    """Return a segment as JSON object: owners, and indices into them."""
    assignments = [*segment.shards, *segment.keys.values()]
    owners = sorted(
        {entry.owner for entry in assignments if entry.owner is not None}
    )
    index: dict[str | None, int] = {None: NO_OWNER}
    index.update((owner, number) for number, owner in enumerate(owners))
    return {
        'home': [segment.home.zone, segment.home.mobility.value],
        'owners': owners,
        'shards': [index[entry.owner] for entry in segment.shards],
        'epochs': [entry.epoch for entry in segment.shards],
        'keys': {
            key: [index[entry.owner], entry.epoch]
            for key, entry in segment.keys.items()
        },
        'nonce': nonce,
    }


def decode_segment(
    key: SegmentKey,
    version: int,
    row: Mapping[str, Any],
) -> Segment:
    """Decode a segment row.

    :raises ValidationError: if a field is missing or not valid.
    """
    source = f'{key[0]}/{key[1]}'
    names = read_list(source, 'owners', row.get('owners'))
    owners = [read_text(source, 'owners', name) for name in names]
    shards = read_list(source, 'shards', row.get('shards'))
    epochs = read_list(source, 'epochs', row.get('epochs'))
    if not len(shards) == len(epochs) == SHARDS_PER_SEGMENT:
        lengths = len(shards), len(epochs)
        reason = f'must be {SHARDS_PER_SEGMENT} shards with their epochs'
        raise ValidationError(source, 'shards', lengths, reason)
    keys = row.get('keys')
    if not isinstance(keys, Mapping):
        raise ValidationError(source, 'keys', keys, 'must be an object')
    return Segment(
        key[0],
        key[1],
        read_authority_key(source, row.get('home')),
        version,
        tuple(
            _read_assignment(source, 'shards', owners, pair)
            for pair in zip(shards, epochs, strict=True)
        ),
        {
            read_text(source, 'keys', name): _read_assignment(
                source, 'keys', owners, pair
            )
            for name, pair in keys.items()
        },
    )


def _read_assignment(
    source: str,
    field: str,
    owners: list[str],
    pair: object,
) -> Assignment:
    if not isinstance(pair, list | tuple) or len(pair) != 2:
        reason = 'must be the number of an owner and an epoch'
        raise ValidationError(source, field, pair, reason)
    number, epoch = pair
    if type(number) is not int or not NO_OWNER <= number < len(owners):  # noqa: WPS516
        raise ValidationError(source, field, number, 'is no owner of the row')
    return Assignment(
        None if number == NO_OWNER else owners[number],
        read_number(source, field, epoch),
    )


def new_segment(key: SegmentKey, home: AuthorityKey) -> Segment:
    """Return a segment without owners that is not in the table yet."""
    shards = (Assignment(None, 0),) * SHARDS_PER_SEGMENT
    return Segment(key[0], key[1], home, 0, shards)


def with_owners(
    segment: Segment,
    owners: Mapping[int, str | None],
    home: AuthorityKey,
) -> Segment:
    """Return a copy of a segment with new owners, for its next row version.

    The epoch of each changed shard is higher than the row's version and thus
    higher than every epoch in the row.

    :param owners: new owners by shard number within the pool.
    """
    shards = list(segment.shards)
    epoch = segment.version + 1
    for shard, owner in owners.items():
        shards[shard % SHARDS_PER_SEGMENT] = Assignment(owner, epoch)
    return replace(segment, shards=tuple(shards), home=home)


def enumerate_shards(segment: Segment) -> Iterable[tuple[int, Assignment]]:
    """Return pairs of a shard number within the pool and its assignment."""
    return enumerate(segment.shards, segment.index * SHARDS_PER_SEGMENT)


def segment_keys(pool: Pool) -> list[SegmentKey]:
    """Return the keys of all segments of a pool."""
    count = math.ceil(pool.shard_count / SHARDS_PER_SEGMENT)
    return [(pool.name, index) for index in range(count)]


def default_home(
    pool: Pool,
    index: int,
    excluded: Collection[str] = (),
) -> str | None:
    """Return the zone that should be the home of a segment.

    The segments of excluded zones are spread over the other zones; all other
    segments keep their home.

    :returns: ``None`` if no zone remains.
    """
    zones = sorted({upstream.zone for upstream in pool.upstreams})
    open_zones = [zone for zone in zones if zone not in excluded]
    if not open_zones:
        return None
    first = zones[index % len(zones)]
    if first in open_zones:
        return first
    return open_zones[index // len(zones) % len(open_zones)]
