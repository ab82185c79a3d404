"""Convert peer messages between protobuf and the values of the core.

Every ``read_`` function checks what it reads and raises
:class:`~oriolearch.core.errors.ValidationError` with the path of the field.
"""

import math
import sys
import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import lru_cache
from typing import TypeVar

from oriolearch.adapters import peer_pb2 as wire
from oriolearch.core import messages
from oriolearch.core.errors import ValidationError
from oriolearch.core.model import (
    SHARDS_PER_SEGMENT,
    Assignment,
    HostRef,
    Member,
    Mobility,
)
from oriolearch.packing import unpack

MAX_DOCUMENT_BYTES = 64 * 1024 * 1024  # bounds what a bad peer can allocate
_SOURCE = 'peer message'
_MOBILITY_TO_WIRE = {
    Mobility.PINNED: wire.PINNED,
    Mobility.MOVABLE: wire.MOVABLE,
}
_MOBILITY_FROM_WIRE = {
    number: mobility for mobility, number in _MOBILITY_TO_WIRE.items()
}
_Wire = TypeVar('_Wire')
_Value = TypeVar('_Value')


def _read_each(
    read: Callable[[_Wire, str], _Value],
    parts: Iterable[_Wire],
    path: str,
) -> tuple[_Value, ...]:
    return tuple(
        read(part, f'{path}[{index}]') for index, part in enumerate(parts)
    )


def _require(text: str, path: str) -> str:
    if not text:
        raise ValidationError(_SOURCE, path, text, 'must not be empty')
    return text


def _read_duration(duration_s: float, path: str) -> float:
    if not math.isfinite(duration_s) or duration_s < 0:
        reason = 'must be a finite number of seconds, 0 or more'
        raise ValidationError(_SOURCE, path, duration_s, reason)
    return duration_s


def _check_lengths(path: str, *columns: Sequence[object]) -> None:
    lengths = [len(column) for column in columns]
    if len(set(lengths)) > 1:
        raise ValidationError(_SOURCE, path, lengths, 'lengths must be equal')


def _write_ref(ref: HostRef) -> wire.HostRef:
    return wire.HostRef(host=ref.host, incarnation=ref.incarnation)


def _read_ref(part: wire.HostRef, path: str) -> HostRef:
    return HostRef(_require(part.host, f'{path}.host'), part.incarnation)


def _write_optional_ref(ref: HostRef | None) -> wire.HostRef | None:
    return None if ref is None else _write_ref(ref)


def _read_renewer(
    part: wire.Mandate | wire.RenewalReport,
    path: str,
) -> HostRef | None:
    if not part.HasField('renewer'):
        return None
    return _read_ref(part.renewer, f'{path}.renewer')


def _write_member(member: Member) -> wire.Member:
    return wire.Member(
        ref=_write_ref(member.ref),
        zone=member.zone,
        address=member.address,
    )


def _read_member(part: wire.Member, path: str) -> Member:
    return Member(
        ref=_read_ref(part.ref, f'{path}.ref'),
        zone=_require(part.zone, f'{path}.zone'),
        address=_require(part.address, f'{path}.address'),
    )


@lru_cache(maxsize=1024)
def _write_authority(authority: messages.AuthorityKey) -> wire.AuthorityKey:
    return wire.AuthorityKey(
        zone=authority.zone,
        mobility=_MOBILITY_TO_WIRE[authority.mobility],
    )


@lru_cache(maxsize=1024)
def _authority(
    zone: str,
    mobility: Mobility,
) -> messages.AuthorityKey:
    return messages.AuthorityKey(zone, mobility)


def _read_authority(
    part: wire.AuthorityKey,
    path: str,
) -> messages.AuthorityKey:
    if not part.zone:
        _require(part.zone, f'{path}.zone')
    mobility = _MOBILITY_FROM_WIRE.get(part.mobility)
    if mobility is None:
        reason = 'unknown mobility class'
        raise ValidationError(
            _SOURCE, f'{path}.mobility', part.mobility, reason
        )
    return _authority(part.zone, mobility)


def _write_known(
    known: Mapping[messages.AuthorityKey, messages.Revision],
) -> list[wire.KnownRevision]:
    return [
        wire.KnownRevision(
            authority=_write_authority(authority),
            term=revision.term,
            number=revision.number,
        )
        for authority, revision in known.items()
    ]


def _read_known(
    parts: Iterable[wire.KnownRevision],
    path: str,
) -> dict[messages.AuthorityKey, messages.Revision]:
    return {
        _read_authority(part.authority, f'{path}.authority'): messages.Revision(
            part.term,
            part.number,
        )
        for part in parts
    }


class _Identity:
    """Lets a cache find a value by identity, which costs no deep hash."""

    def __init__(self, segment: messages.Segment) -> None:
        self.segment = segment

    def __hash__(self) -> int:
        return id(self.segment)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, _Identity) and self.segment is other.segment


@lru_cache(maxsize=512)
def _write_segment(identity: _Identity) -> wire.Segment:
    # A relay sends the same segment to each of its children.
    segment = identity.segment
    assignments = [*segment.shards, *segment.keys.values()]
    names = {one.owner for one in assignments if one.owner is not None}
    owners = sorted(names)
    numbers: dict[str | None, int] = {
        owner: number for number, owner in enumerate(owners, start=1)
    }
    numbers[None] = 0
    return wire.Segment(
        pool=segment.pool,
        index=segment.index,
        home=_write_authority(segment.home),
        version=segment.version,
        owners=owners,
        shard_owners=[numbers[one.owner] for one in segment.shards],
        shard_epochs=[one.epoch for one in segment.shards],
        keys=list(segment.keys),
        key_owners=[numbers[one.owner] for one in segment.keys.values()],
        key_epochs=[one.epoch for one in segment.keys.values()],
    )


def _read_segment(part: wire.Segment, path: str) -> messages.Segment:
    _check_lengths(f'{path}.shard_owners', part.shard_owners, part.shard_epochs)
    _check_lengths(f'{path}.keys', part.keys, part.key_owners, part.key_epochs)
    if not 0 < len(part.shard_owners) <= SHARDS_PER_SEGMENT:
        reason = f'must hold 1 to {SHARDS_PER_SEGMENT} shards'
        count = len(part.shard_owners)
        raise ValidationError(_SOURCE, f'{path}.shard_owners', count, reason)
    # The same few thousand names occur in every segment.
    owners: list[str | None] = [None, *map(sys.intern, part.owners)]
    highest = max([*part.shard_owners, *part.key_owners])
    if highest >= len(owners):
        reason = 'owner index out of range'
        raise ValidationError(_SOURCE, f'{path}.owners', highest, reason)
    shards = [
        Assignment(owners[owner], epoch)
        for owner, epoch in zip(part.shard_owners, part.shard_epochs)
    ]
    key_rows = zip(part.keys, part.key_owners, part.key_epochs)
    return messages.Segment(
        pool=_require(part.pool, f'{path}.pool'),
        index=part.index,
        home=_read_authority(part.home, f'{path}.home'),
        version=part.version,
        shards=tuple(shards),
        keys={
            key: Assignment(owners[owner], epoch)
            for key, owner, epoch in key_rows
        },
    )


def _write_permit(permit: messages.Permit) -> wire.Permit:
    return wire.Permit(
        authority=_write_authority(permit.authority),
        term=permit.revision.term,
        number=permit.revision.number,
        duration_s=permit.duration_s,
    )


def _read_permit(part: wire.Permit, path: str) -> messages.Permit:
    return messages.Permit(
        authority=_read_authority(part.authority, f'{path}.authority'),
        revision=messages.Revision(part.term, part.number),
        duration_s=_read_duration(part.duration_s, f'{path}.duration_s'),
    )


def _write_mandate(mandate: messages.Mandate) -> wire.Mandate:
    return wire.Mandate(
        authority=_write_authority(mandate.authority),
        term=mandate.term,
        pool=mandate.pool,
        server=mandate.server,
        version=mandate.version,
        duration_s=mandate.duration_s,
        shards=[shard for shard, _ in mandate.shards],
        shard_epochs=[epoch for _, epoch in mandate.shards],
        keys=[key for key, _ in mandate.keys],
        key_epochs=[epoch for _, epoch in mandate.keys],
        renewer=_write_optional_ref(mandate.renewer),
    )


def _read_mandate(part: wire.Mandate, path: str) -> messages.Mandate:
    _check_lengths(f'{path}.shards', part.shards, part.shard_epochs)
    _check_lengths(f'{path}.keys', part.keys, part.key_epochs)
    return messages.Mandate(
        authority=_read_authority(part.authority, f'{path}.authority'),
        term=part.term,
        pool=_require(part.pool, f'{path}.pool'),
        server=_require(part.server, f'{path}.server'),
        version=part.version,
        duration_s=_read_duration(part.duration_s, f'{path}.duration_s'),
        shards=tuple(zip(part.shards, part.shard_epochs)),
        keys=tuple(zip(part.keys, part.key_epochs)),
        renewer=_read_renewer(part, path),
    )


def _write_report(report: messages.RenewalReport) -> wire.RenewalReport:
    return wire.RenewalReport(
        authority=_write_authority(report.authority),
        term=report.term,
        pool=report.pool,
        server=report.server,
        confirmed_version=report.confirmed_version,
        stopped=report.stopped,
        ends_in_s=report.ends_in_s,
        failures=report.failures,
        renewer=_write_optional_ref(report.renewer),
        mandate_version=report.mandate_version,
    )


def _read_report(
    part: wire.RenewalReport,
    path: str,
) -> messages.RenewalReport:
    return messages.RenewalReport(
        authority=_read_authority(part.authority, f'{path}.authority'),
        term=part.term,
        pool=_require(part.pool, f'{path}.pool'),
        server=_require(part.server, f'{path}.server'),
        confirmed_version=part.confirmed_version,
        stopped=part.stopped,
        ends_in_s=_read_duration(part.ends_in_s, f'{path}.ends_in_s'),
        failures=part.failures,
        renewer=_read_renewer(part, path),
        mandate_version=part.mandate_version,
    )


def _read_hot_key(part: wire.HotKey, path: str) -> messages.HotKey:
    pool = _require(part.pool, f'{path}.pool')
    if not math.isfinite(part.rate) or part.rate < 0:
        reason = 'must be a finite rate, 0 or more'
        raise ValidationError(_SOURCE, f'{path}.rate', part.rate, reason)
    return messages.HotKey(pool, part.key, part.rate)


def _write_heard(heard: messages.Heard) -> wire.Heard:
    return wire.Heard(
        member=_write_member(heard.member),
        age_s=heard.age_s,
        leaving=heard.leaving,
    )


def _read_heard(part: wire.Heard, path: str) -> messages.Heard:
    return messages.Heard(
        member=_read_member(part.member, f'{path}.member'),
        age_s=_read_duration(part.age_s, f'{path}.age_s'),
        leaving=part.leaving,
    )


def _read_hint(part: wire.Hint, path: str) -> messages.Hint:
    return messages.Hint(
        home=_read_authority(part.home, f'{path}.home'),
        pool=_require(part.pool, f'{path}.pool'),
        index=part.index,
    )


def write_sync_request(request: messages.SyncRequest) -> wire.SyncRequest:
    """Convert for sending."""
    known = request.known
    held = {
        authority: revision
        for authority, revision in request.held.items()
        if known.get(authority) != revision
    }
    return wire.SyncRequest(
        sender=_write_member(request.sender),
        document_version=request.document_version,
        known=_write_known(request.known),
        held=_write_known(held),
        outstanding=request.outstanding,
        hot_keys=[
            wire.HotKey(pool=hot.pool, key=hot.key, rate=hot.rate)
            for hot in request.hot_keys
        ],
        reports=[_write_report(report) for report in request.reports],
        members_digest=request.members_digest,
        below=[_write_heard(heard) for heard in request.below],
        leaving=request.leaving,
        cold=request.cold,
        hints=[
            wire.Hint(
                home=_write_authority(hint.home),
                pool=hint.pool,
                index=hint.index,
            )
            for hint in request.hints
        ],
    )


def read_sync_request(part: wire.SyncRequest) -> messages.SyncRequest:
    """Check and convert what a child sent."""
    known = _read_known(part.known, 'known')
    return messages.SyncRequest(
        sender=_read_member(part.sender, 'sender'),
        document_version=part.document_version,
        known=known,
        held={**known, **_read_known(part.held, 'held')},
        outstanding=dict(part.outstanding),
        hot_keys=_read_each(_read_hot_key, part.hot_keys, 'hot_keys'),
        reports=_read_each(_read_report, part.reports, 'reports'),
        members_digest=part.members_digest,
        below=_read_each(_read_heard, part.below, 'below'),
        leaving=part.leaving,
        cold=tuple(part.cold),
        hints=_read_each(_read_hint, part.hints, 'hints'),
    )


@lru_cache(maxsize=2)
def _compress(document: str) -> bytes:
    # A relay sends the same document to each of its children.
    return zlib.compress(document.encode())


def _decompress(blob: bytes) -> str:
    try:
        return unpack(blob, MAX_DOCUMENT_BYTES).decode()
    except ValueError as error:
        raise ValidationError(
            _SOURCE, 'document_zlib', len(blob), str(error)
        ) from error


def write_sync_answer(answer: messages.SyncAnswer) -> wire.SyncAnswer:
    """Convert for sending."""
    document = answer.document
    return wire.SyncAnswer(
        sender=_write_member(answer.sender),
        document_version=answer.document_version,
        document_zlib=None if document is None else _compress(document),
        permits=[_write_permit(permit) for permit in answer.permits],
        mandates=[_write_mandate(mandate) for mandate in answer.mandates],
        segments=[_write_segment(_Identity(one)) for one in answer.segments],
        outstanding=answer.outstanding,
        members=[_write_member(member) for member in answer.members],
        cold=answer.cold,
        members_digest=answer.members_digest,
        coordinators=[
            wire.Coordinator(
                authority=_write_authority(authority),
                holder=_write_ref(holder),
            )
            for authority, holder in answer.coordinators.items()
        ],
        age_s=answer.age_s,
        working=[
            wire.Working(authority=_write_authority(authority), pools=pools)
            for authority, pools in answer.working.items()
        ],
    )


def read_sync_answer(part: wire.SyncAnswer) -> messages.SyncAnswer:
    """Check and convert what a parent answered."""
    document = None
    if part.HasField('document_zlib'):
        document = _decompress(part.document_zlib)
    coordinators = {
        _read_authority(one.authority, 'coordinators'): _read_ref(
            one.holder,
            'coordinators.holder',
        )
        for one in part.coordinators
    }
    return messages.SyncAnswer(
        sender=_read_member(part.sender, 'sender'),
        document_version=part.document_version,
        document=document,
        permits=_read_each(_read_permit, part.permits, 'permits'),
        mandates=_read_each(_read_mandate, part.mandates, 'mandates'),
        segments=_read_each(_read_segment, part.segments, 'segments'),
        outstanding=dict(part.outstanding),
        members=_read_each(_read_member, part.members, 'members'),
        cold=dict(part.cold),
        members_digest=part.members_digest,
        coordinators=coordinators,
        age_s=_read_duration(part.age_s, 'age_s'),
        working={
            _read_authority(one.authority, 'working'): tuple(one.pools)
            for one in part.working
        },
    )


def write_promise_request(
    request: messages.PromiseRequest,
) -> wire.PromiseRequest:
    """Convert for sending."""
    return wire.PromiseRequest(
        authority=_write_authority(request.authority),
        holder=_write_ref(request.holder),
        term=request.term,
    )


def read_promise_request(
    part: wire.PromiseRequest,
) -> messages.PromiseRequest:
    """Check and convert what a holder asks."""
    return messages.PromiseRequest(
        authority=_read_authority(part.authority, 'authority'),
        holder=_read_ref(part.holder, 'holder'),
        term=part.term,
    )


def write_promise_answer(
    answer: messages.PromiseAnswer,
) -> wire.PromiseAnswer:
    """Convert for sending."""
    return wire.PromiseAnswer(
        authority=_write_authority(answer.authority),
        taker=_write_ref(answer.taker),
        term=answer.term,
        duration_s=answer.duration_s,
        renounced=answer.renounced,
    )


def read_promise_answer(part: wire.PromiseAnswer) -> messages.PromiseAnswer:
    """Check and convert what a taker states."""
    return messages.PromiseAnswer(
        authority=_read_authority(part.authority, 'authority'),
        taker=_read_ref(part.taker, 'taker'),
        term=part.term,
        duration_s=_read_duration(part.duration_s, 'duration_s'),
        renounced=part.renounced,
    )
