"""Convert messages between hosts from and to protobuf.

Every ``decode_`` function validates its input and raises
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
from oriolearch.packing import decompress

MAX_DOCUMENT_BYTES = 64 * 1024 * 1024  # limits the memory a bad peer can use
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


def _decode_each(
    decode: Callable[[_Wire, str], _Value],
    protos: Iterable[_Wire],
    path: str,
) -> tuple[_Value, ...]:
    return tuple(
        decode(proto, f'{path}[{index}]') for index, proto in enumerate(protos)
    )


def _require_nonempty(text: str, path: str) -> str:
    if not text:
        raise ValidationError(_SOURCE, path, text, 'must not be empty')
    return text


def _require_duration(duration_s: float, path: str) -> float:
    if not math.isfinite(duration_s) or duration_s < 0:
        reason = 'must be a finite number of seconds, 0 or more'
        raise ValidationError(_SOURCE, path, duration_s, reason)
    return duration_s


def _check_equal_lengths(path: str, *columns: Sequence[object]) -> None:
    lengths = [len(column) for column in columns]
    if len(set(lengths)) > 1:
        raise ValidationError(_SOURCE, path, lengths, 'lengths must be equal')


def _encode_ref(ref: HostRef) -> wire.HostRef:
    return wire.HostRef(host=ref.host, incarnation=ref.incarnation)


def _decode_ref(proto: wire.HostRef, path: str) -> HostRef:
    return HostRef(
        _require_nonempty(proto.host, f'{path}.host'), proto.incarnation
    )


def _encode_optional_ref(ref: HostRef | None) -> wire.HostRef | None:
    return None if ref is None else _encode_ref(ref)


def _decode_renewer(
    proto: wire.Mandate | wire.RenewalReport,
    path: str,
) -> HostRef | None:
    if not proto.HasField('renewer'):
        return None
    return _decode_ref(proto.renewer, f'{path}.renewer')


def _encode_member(member: Member) -> wire.Member:
    return wire.Member(
        ref=_encode_ref(member.ref),
        zone=member.zone,
        address=member.address,
    )


def _decode_member(proto: wire.Member, path: str) -> Member:
    return Member(
        ref=_decode_ref(proto.ref, f'{path}.ref'),
        zone=_require_nonempty(proto.zone, f'{path}.zone'),
        address=_require_nonempty(proto.address, f'{path}.address'),
    )


@lru_cache(maxsize=1024)
def _encode_authority(authority: messages.AuthorityKey) -> wire.AuthorityKey:
    return wire.AuthorityKey(
        zone=authority.zone,
        mobility=_MOBILITY_TO_WIRE[authority.mobility],
    )


@lru_cache(maxsize=1024)
def _make_authority(
    zone: str,
    mobility: Mobility,
) -> messages.AuthorityKey:
    return messages.AuthorityKey(zone, mobility)


def _decode_authority(
    proto: wire.AuthorityKey,
    path: str,
) -> messages.AuthorityKey:
    if not proto.zone:
        _require_nonempty(proto.zone, f'{path}.zone')
    mobility = _MOBILITY_FROM_WIRE.get(proto.mobility)
    if mobility is None:
        reason = 'unknown mobility class'
        raise ValidationError(
            _SOURCE, f'{path}.mobility', proto.mobility, reason
        )
    return _make_authority(proto.zone, mobility)


def _encode_revisions(
    known: Mapping[messages.AuthorityKey, messages.Revision],
) -> list[wire.KnownRevision]:
    return [
        wire.KnownRevision(
            authority=_encode_authority(authority),
            term=revision.term,
            number=revision.number,
        )
        for authority, revision in known.items()
    ]


def _decode_revisions(
    protos: Iterable[wire.KnownRevision],
    path: str,
) -> dict[messages.AuthorityKey, messages.Revision]:
    return {
        _decode_authority(
            proto.authority, f'{path}.authority'
        ): messages.Revision(
            proto.term,
            proto.number,
        )
        for proto in protos
    }


class _IdentityKey:
    """Cache key that compares by identity, to avoid hashing all fields."""

    def __init__(self, segment: messages.Segment) -> None:
        self.segment = segment

    def __hash__(self) -> int:
        return id(self.segment)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, _IdentityKey) and self.segment is other.segment


@lru_cache(maxsize=512)
def _encode_segment(identity_key: _IdentityKey) -> wire.Segment:
    # Cached, since a relay sends the same segment to each of its children.
    segment = identity_key.segment
    assignments = [*segment.shards, *segment.keys.values()]
    owner_names = {item.owner for item in assignments if item.owner is not None}
    owners = sorted(owner_names)
    owner_indexes: dict[str | None, int] = {
        owner: number for number, owner in enumerate(owners, start=1)
    }
    owner_indexes[None] = 0
    return wire.Segment(
        pool=segment.pool,
        index=segment.index,
        home=_encode_authority(segment.home),
        version=segment.version,
        owners=owners,
        shard_owners=[owner_indexes[item.owner] for item in segment.shards],
        shard_epochs=[item.epoch for item in segment.shards],
        keys=list(segment.keys),
        key_owners=[
            owner_indexes[item.owner] for item in segment.keys.values()
        ],
        key_epochs=[item.epoch for item in segment.keys.values()],
    )


def _decode_segment(proto: wire.Segment, path: str) -> messages.Segment:
    _check_equal_lengths(
        f'{path}.shard_owners', proto.shard_owners, proto.shard_epochs
    )
    _check_equal_lengths(
        f'{path}.keys', proto.keys, proto.key_owners, proto.key_epochs
    )
    if not 0 < len(proto.shard_owners) <= SHARDS_PER_SEGMENT:
        reason = f'must hold 1 to {SHARDS_PER_SEGMENT} shards'
        count = len(proto.shard_owners)
        raise ValidationError(_SOURCE, f'{path}.shard_owners', count, reason)
    # Interned, since the same few thousand names occur in every segment.
    owners: list[str | None] = [None, *map(sys.intern, proto.owners)]
    highest_index = max([*proto.shard_owners, *proto.key_owners])
    if highest_index >= len(owners):
        reason = 'owner index out of range'
        raise ValidationError(_SOURCE, f'{path}.owners', highest_index, reason)
    shards = [
        Assignment(owners[owner], epoch)
        for owner, epoch in zip(proto.shard_owners, proto.shard_epochs)
    ]
    key_rows = zip(proto.keys, proto.key_owners, proto.key_epochs)
    return messages.Segment(
        pool=_require_nonempty(proto.pool, f'{path}.pool'),
        index=proto.index,
        home=_decode_authority(proto.home, f'{path}.home'),
        version=proto.version,
        shards=tuple(shards),
        keys={
            key: Assignment(owners[owner], epoch)
            for key, owner, epoch in key_rows
        },
    )


def _encode_permit(permit: messages.Permit) -> wire.Permit:
    return wire.Permit(
        authority=_encode_authority(permit.authority),
        term=permit.revision.term,
        number=permit.revision.number,
        duration_s=permit.duration_s,
    )


def _decode_permit(proto: wire.Permit, path: str) -> messages.Permit:
    return messages.Permit(
        authority=_decode_authority(proto.authority, f'{path}.authority'),
        revision=messages.Revision(proto.term, proto.number),
        duration_s=_require_duration(proto.duration_s, f'{path}.duration_s'),
    )


def _encode_mandate(mandate: messages.Mandate) -> wire.Mandate:
    return wire.Mandate(
        authority=_encode_authority(mandate.authority),
        term=mandate.term,
        pool=mandate.pool,
        server=mandate.server,
        version=mandate.version,
        duration_s=mandate.duration_s,
        shards=[shard for shard, _ in mandate.shards],
        shard_epochs=[epoch for _, epoch in mandate.shards],
        keys=[key for key, _ in mandate.keys],
        key_epochs=[epoch for _, epoch in mandate.keys],
        renewer=_encode_optional_ref(mandate.renewer),
    )


def _decode_mandate(proto: wire.Mandate, path: str) -> messages.Mandate:
    _check_equal_lengths(f'{path}.shards', proto.shards, proto.shard_epochs)
    _check_equal_lengths(f'{path}.keys', proto.keys, proto.key_epochs)
    return messages.Mandate(
        authority=_decode_authority(proto.authority, f'{path}.authority'),
        term=proto.term,
        pool=_require_nonempty(proto.pool, f'{path}.pool'),
        server=_require_nonempty(proto.server, f'{path}.server'),
        version=proto.version,
        duration_s=_require_duration(proto.duration_s, f'{path}.duration_s'),
        shards=tuple(zip(proto.shards, proto.shard_epochs)),
        keys=tuple(zip(proto.keys, proto.key_epochs)),
        renewer=_decode_renewer(proto, path),
    )


def _encode_report(report: messages.RenewalReport) -> wire.RenewalReport:
    return wire.RenewalReport(
        authority=_encode_authority(report.authority),
        term=report.term,
        pool=report.pool,
        server=report.server,
        confirmed_version=report.confirmed_version,
        stopped=report.stopped,
        ends_in_s=report.ends_in_s,
        failures=report.failures,
        renewer=_encode_optional_ref(report.renewer),
        mandate_version=report.mandate_version,
    )


def _decode_report(
    proto: wire.RenewalReport,
    path: str,
) -> messages.RenewalReport:
    return messages.RenewalReport(
        authority=_decode_authority(proto.authority, f'{path}.authority'),
        term=proto.term,
        pool=_require_nonempty(proto.pool, f'{path}.pool'),
        server=_require_nonempty(proto.server, f'{path}.server'),
        confirmed_version=proto.confirmed_version,
        stopped=proto.stopped,
        ends_in_s=_require_duration(proto.ends_in_s, f'{path}.ends_in_s'),
        failures=proto.failures,
        renewer=_decode_renewer(proto, path),
        mandate_version=proto.mandate_version,
    )


def _decode_hot_key(proto: wire.HotKey, path: str) -> messages.HotKey:
    pool = _require_nonempty(proto.pool, f'{path}.pool')
    if not math.isfinite(proto.rate) or proto.rate < 0:
        reason = 'must be a finite rate, 0 or more'
        raise ValidationError(_SOURCE, f'{path}.rate', proto.rate, reason)
    return messages.HotKey(pool, proto.key, proto.rate)


def _encode_heard(heard: messages.Heard) -> wire.Heard:
    return wire.Heard(
        member=_encode_member(heard.member),
        age_s=heard.age_s,
        leaving=heard.leaving,
    )


def _decode_heard(proto: wire.Heard, path: str) -> messages.Heard:
    return messages.Heard(
        member=_decode_member(proto.member, f'{path}.member'),
        age_s=_require_duration(proto.age_s, f'{path}.age_s'),
        leaving=proto.leaving,
    )


def _decode_hint(proto: wire.Hint, path: str) -> messages.Hint:
    return messages.Hint(
        home=_decode_authority(proto.home, f'{path}.home'),
        pool=_require_nonempty(proto.pool, f'{path}.pool'),
        index=proto.index,
    )


def encode_sync_request(request: messages.SyncRequest) -> wire.SyncRequest:
    """Convert the sync request of a child."""
    known = request.known
    # Revisions equal to those in known are left out; the decoder adds them.
    held = {
        authority: revision
        for authority, revision in request.held.items()
        if known.get(authority) != revision
    }
    return wire.SyncRequest(
        sender=_encode_member(request.sender),
        document_version=request.document_version,
        known=_encode_revisions(request.known),
        held=_encode_revisions(held),
        outstanding=request.outstanding,
        hot_keys=[
            wire.HotKey(pool=hot.pool, key=hot.key, rate=hot.rate)
            for hot in request.hot_keys
        ],
        reports=[_encode_report(report) for report in request.reports],
        members_digest=request.members_digest,
        below=[_encode_heard(heard) for heard in request.below],
        leaving=request.leaving,
        cold=request.cold,
        hints=[
            wire.Hint(
                home=_encode_authority(hint.home),
                pool=hint.pool,
                index=hint.index,
            )
            for hint in request.hints
        ],
    )


def decode_sync_request(proto: wire.SyncRequest) -> messages.SyncRequest:
    """Validate and convert the sync request of a child."""
    known = _decode_revisions(proto.known, 'known')
    return messages.SyncRequest(
        sender=_decode_member(proto.sender, 'sender'),
        document_version=proto.document_version,
        known=known,
        held={**known, **_decode_revisions(proto.held, 'held')},
        outstanding=dict(proto.outstanding),
        hot_keys=_decode_each(_decode_hot_key, proto.hot_keys, 'hot_keys'),
        reports=_decode_each(_decode_report, proto.reports, 'reports'),
        members_digest=proto.members_digest,
        below=_decode_each(_decode_heard, proto.below, 'below'),
        leaving=proto.leaving,
        cold=tuple(proto.cold),
        hints=_decode_each(_decode_hint, proto.hints, 'hints'),
    )


@lru_cache(maxsize=2)
def _compress(document: str) -> bytes:
    # Cached, since a relay sends the same document to each of its children.
    return zlib.compress(document.encode())


def _decompress(blob: bytes) -> str:
    try:
        return decompress(blob, MAX_DOCUMENT_BYTES).decode()
    except ValueError as error:
        raise ValidationError(
            _SOURCE, 'document_zlib', len(blob), str(error)
        ) from error


def encode_sync_answer(answer: messages.SyncAnswer) -> wire.SyncAnswer:
    """Convert the sync answer of a parent."""
    document = answer.document
    return wire.SyncAnswer(
        sender=_encode_member(answer.sender),
        document_version=answer.document_version,
        document_zlib=None if document is None else _compress(document),
        permits=[_encode_permit(permit) for permit in answer.permits],
        mandates=[_encode_mandate(mandate) for mandate in answer.mandates],
        segments=[
            _encode_segment(_IdentityKey(segment))
            for segment in answer.segments
        ],
        outstanding=answer.outstanding,
        members=[_encode_member(member) for member in answer.members],
        cold=answer.cold,
        members_digest=answer.members_digest,
        coordinators=[
            wire.Coordinator(
                authority=_encode_authority(authority),
                holder=_encode_ref(holder),
            )
            for authority, holder in answer.coordinators.items()
        ],
        age_s=answer.age_s,
        working=[
            wire.Working(authority=_encode_authority(authority), pools=pools)
            for authority, pools in answer.working.items()
        ],
    )


def decode_sync_answer(proto: wire.SyncAnswer) -> messages.SyncAnswer:
    """Validate and convert the sync answer of a parent."""
    document = None
    if proto.HasField('document_zlib'):
        document = _decompress(proto.document_zlib)
    coordinators = {
        _decode_authority(entry.authority, 'coordinators'): _decode_ref(
            entry.holder,
            'coordinators.holder',
        )
        for entry in proto.coordinators
    }
    return messages.SyncAnswer(
        sender=_decode_member(proto.sender, 'sender'),
        document_version=proto.document_version,
        document=document,
        permits=_decode_each(_decode_permit, proto.permits, 'permits'),
        mandates=_decode_each(_decode_mandate, proto.mandates, 'mandates'),
        segments=_decode_each(_decode_segment, proto.segments, 'segments'),
        outstanding=dict(proto.outstanding),
        members=_decode_each(_decode_member, proto.members, 'members'),
        cold=dict(proto.cold),
        members_digest=proto.members_digest,
        coordinators=coordinators,
        age_s=_require_duration(proto.age_s, 'age_s'),
        working={
            _decode_authority(entry.authority, 'working'): tuple(entry.pools)
            for entry in proto.working
        },
    )


def encode_promise_request(
    request: messages.PromiseRequest,
) -> wire.PromiseRequest:
    """Convert the promise request of a holder."""
    return wire.PromiseRequest(
        authority=_encode_authority(request.authority),
        holder=_encode_ref(request.holder),
        term=request.term,
    )


def decode_promise_request(
    proto: wire.PromiseRequest,
) -> messages.PromiseRequest:
    """Validate and convert the promise request of a holder."""
    return messages.PromiseRequest(
        authority=_decode_authority(proto.authority, 'authority'),
        holder=_decode_ref(proto.holder, 'holder'),
        term=proto.term,
    )


def encode_promise_answer(
    answer: messages.PromiseAnswer,
) -> wire.PromiseAnswer:
    """Convert the promise answer of a successor."""
    return wire.PromiseAnswer(
        authority=_encode_authority(answer.authority),
        taker=_encode_ref(answer.taker),
        term=answer.term,
        duration_s=answer.duration_s,
        renounced=answer.renounced,
    )


def decode_promise_answer(proto: wire.PromiseAnswer) -> messages.PromiseAnswer:
    """Validate and convert the promise answer of a successor."""
    return messages.PromiseAnswer(
        authority=_decode_authority(proto.authority, 'authority'),
        taker=_decode_ref(proto.taker, 'taker'),
        term=proto.term,
        duration_s=_require_duration(proto.duration_s, 'duration_s'),
        renounced=proto.renounced,
    )
