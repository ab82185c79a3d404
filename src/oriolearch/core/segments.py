"""Segment rows: codec, natural home and changes."""

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
    """Give the row key of a segment; keys of a pool sort by index."""
    return f'{key[0]}/{key[1]:05d}'


def parse_segment_row_key(text: str) -> SegmentKey:
    """Read a key as :func:`segment_row_key` writes it.

    :raises ValidationError: for any other text.
    """
    pool, _, index = text.rpartition('/')
    is_number = index.isascii() and index.isdecimal()
    if not is_number or segment_row_key((pool, int(index[:9]))) != text:
        reason = 'must be a pool and a segment number of 5 digits'
        raise ValidationError('segments', 'key', text, reason)
    return pool, int(index)


def encode_segment(segment: Segment, nonce: str) -> dict[str, Any]:
    """Give the JSON object: a list of owners, and indices into it."""
    assigned = [*segment.shards, *segment.keys.values()]
    owners = sorted({one.owner for one in assigned if one.owner is not None})
    index: dict[str | None, int] = {None: NO_OWNER}
    index.update((owner, number) for number, owner in enumerate(owners))
    return {
        'home': [segment.home.zone, segment.home.mobility.value],
        'owners': owners,
        'shards': [index[one.owner] for one in segment.shards],
        'epochs': [one.epoch for one in segment.shards],
        'keys': {
            key: [index[one.owner], one.epoch]
            for key, one in segment.keys.items()
        },
        'nonce': nonce,
    }


def decode_segment(
    key: SegmentKey,
    version: int,
    row: Mapping[str, Any],
) -> Segment:
    """Read a segment row.

    :raises ValidationError: when a field is missing or does not fit.
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
    """Give a segment that was never written and has no owners."""
    shards = (Assignment(None, 0),) * SHARDS_PER_SEGMENT
    return Segment(key[0], key[1], home, 0, shards)


def with_owners(
    segment: Segment,
    owners: Mapping[int, str | None],
    home: AuthorityKey,
) -> Segment:
    """Give a segment as its next row.

    The epoch of each changed shard is above the row's version and so above
    every epoch in the row.

    :param owners: new owner by shard number of the pool.
    """
    shards = list(segment.shards)
    epoch = segment.version + 1
    for shard, owner in owners.items():
        shards[shard % SHARDS_PER_SEGMENT] = Assignment(owner, epoch)
    return replace(segment, shards=tuple(shards), home=home)


def shard_numbers(segment: Segment) -> Iterable[tuple[int, Assignment]]:
    """Give each shard number of the pool with its assignment."""
    return enumerate(segment.shards, segment.index * SHARDS_PER_SEGMENT)


def segment_keys(pool: Pool) -> list[SegmentKey]:
    """Give the keys of all segments of a pool."""
    count = math.ceil(pool.shard_count / SHARDS_PER_SEGMENT)
    return [(pool.name, index) for index in range(count)]


def natural_home(
    pool: Pool,
    index: int,
    excluded: Collection[str] = (),
) -> str | None:
    """Give the zone that should be home to a segment.

    The segments of an excluded zone are spread over the others, and no other
    segment changes its home.
    """
    zones = sorted({upstream.zone for upstream in pool.upstreams})
    open_zones = [zone for zone in zones if zone not in excluded]
    if not open_zones:
        return None
    first = zones[index % len(zones)]
    if first in open_zones:
        return first
    return open_zones[index // len(zones) % len(open_zones)]
