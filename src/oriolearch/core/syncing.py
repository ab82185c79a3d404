"""Sync state of a host: received from its parent, passed to its children.

A coordinator applies its own state as a :class:`SyncAnswer` from itself, so
that it builds answers in the same way as every host below it. Its revision
grows with each change of a segment, and a new term starts by publishing all
segments: a host at some revision has every segment as of that revision.
"""

import hashlib
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from oriolearch.core.children import Children
from oriolearch.core.errors import (
    OriolearchError,
    StaleError,
    ValidationError,
)
from oriolearch.core.hotkeys import merge_hot_keys
from oriolearch.core.messages import (
    AuthorityKey,
    HotKey,
    Mandate,
    Permit,
    RenewalReport,
    Revision,
    Segment,
    SyncAnswer,
    SyncRequest,
)
from oriolearch.core.model import (
    Document,
    HostRef,
    Member,
    subtract_clock_margin,
)
from oriolearch.core.view import SegmentKey, View

_MandateKey = tuple[AuthorityKey, str, str]
_SOURCE = 'sync answer'


@dataclass(frozen=True, slots=True)
class OwnState:
    """State of a host itself that it adds to its sync request.

    :param oldest_revisions: oldest revision by which a running request of
        this host was routed, for each authority for which it is older than
        the revision in the view.
    :param hot_keys: ``None`` except once per counting window.
    """

    outstanding: Mapping[str, int] = field(
        default_factory=lambda: MappingProxyType({}),
    )
    oldest_revisions: Mapping[AuthorityKey, Revision] = field(
        default_factory=lambda: MappingProxyType({}),
    )
    hot_keys: tuple[HotKey, ...] | None = None
    reports: tuple[RenewalReport, ...] = ()
    cold: tuple[str, ...] = ()
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class TimedMandate:
    """A mandate with its end by the monotonic clock of this host."""

    mandate: Mandate
    end: float


class _MandateStore:
    """Mandates of this host and of the hosts below it, by renewer."""

    def __init__(self) -> None:
        self.by_renewer: dict[HostRef, dict[_MandateKey, TimedMandate]] = {}

    def update(self, renewer: HostRef, mandate: Mandate, end: float) -> None:
        mandates = self.by_renewer.setdefault(renewer, {})
        key = (mandate.authority, mandate.pool, mandate.server)
        current = mandates.get(key)
        if current is not None:
            version = (mandate.term, mandate.version)
            current_version = (current.mandate.term, current.mandate.version)
            if version < current_version:
                return
            if version == current_version:
                end = max(end, current.end)
        mandates[key] = TimedMandate(mandate, end)

    def remove_invalid(
        self, revisions: Mapping[AuthorityKey, Revision], now: float
    ) -> None:
        """Remove mandates that have ended or are of an older term."""
        for renewer, mandates in list(self.by_renewer.items()):
            for key, entry in list(mandates.items()):
                newest = revisions.get(entry.mandate.authority)
                is_stale = (
                    newest is not None and entry.mandate.term < newest.term
                )
                if is_stale or entry.end <= now:
                    del mandates[key]
            if not mandates:
                del self.by_renewer[renewer]

    def valid_for(self, renewer: HostRef, now: float) -> Iterator[TimedMandate]:
        for entry in self.by_renewer.get(renewer, {}).values():
            if entry.end > now:
                yield entry


def digest_members(
    members: Iterable[Member],
    coordinators: Mapping[AuthorityKey, HostRef],
) -> int:
    """Return a 64-bit digest by which hosts compare their member lists."""
    lines = sorted(map(repr, members)) + sorted(map(repr, coordinators.items()))
    digest = hashlib.blake2b('\n'.join(lines).encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def _make_stale_error(received: Revision, current: Revision) -> StaleError:
    if received.term < current.term:
        return StaleError('term', received.term, current.term)
    return StaleError('revision', received.number, current.number)


def _find_segment_problems(
    segment: Segment,
    current: Segment,
    permit_revision: Revision | None,
) -> Iterator[OriolearchError]:
    if segment.version < current.version:
        yield StaleError('segment', segment.version, current.version)
    is_newer = segment.version > current.version
    if is_newer and permit_revision is None and segment.home == current.home:
        reason = 'has no revision in the answer'
        yield ValidationError(_SOURCE, 'home', segment.home, reason)


class SyncState:
    """Sync state of one host in the sync tree.

    :param own: this host.
    :param parse: parses a configuration document from its JSON text; raises
        :class:`ValidationError`.
    """

    def __init__(self, own: Member, parse: Callable[[str], Document]) -> None:
        self.own = own
        self.parse = parse
        self.view = View()
        self.own_state = OwnState()
        self.document_text: str | None = None
        self.revisions: dict[AuthorityKey, Revision] = {}
        self.segment_revisions: dict[
            AuthorityKey, dict[SegmentKey, Revision]
        ] = {}
        self.mandates = _MandateStore()
        self.members: dict[str, tuple[Member, ...]] = {}
        self.coordinators: dict[AuthorityKey, HostRef] = {}
        self.members_digest = 0
        self.cold: Mapping[str, str] = {}
        self.incarnations: dict[str, int] = {}
        self.children = Children()
        self.parent_group_outstanding: Mapping[str, int] = {}

    def apply_answer(
        self,
        answer: SyncAnswer,
        requested_at: float,
    ) -> tuple[OriolearchError, ...]:
        """Merge a sync answer into a new view.

        Remaining durations in the answer count from before the request was
        sent, so that no permit or mandate outlasts the one at the parent.

        :param requested_at: monotonic time before the request was sent.
        :returns: an error to log for each part that was not applied.
        :raises StaleError: if an old incarnation sent the answer.
        """
        self._check_incarnation(answer.sender.ref)
        permit_revisions = {
            permit.authority: permit.revision for permit in answer.permits
        }
        problems: list[OriolearchError] = []
        document = self._apply_document(answer, problems)
        permit_ends = self._apply_permits(answer, requested_at, problems)
        segments = self._apply_segments(answer, permit_revisions, problems)
        self._apply_mandates(answer, requested_at, problems)
        self._apply_members(answer, permit_revisions)
        self._apply_cold(answer)
        refreshed = self.view.refreshed
        if answer.sender.zone == self.own.zone:
            self.parent_group_outstanding = answer.outstanding
            refreshed = max(refreshed, requested_at - answer.age_s)
        self.view = View(
            document=document,
            segments=segments,
            permit_ends=permit_ends,
            members=self.view.members,
            refreshed=refreshed,
        )
        return tuple(problems)

    def own_mandates(self, now: float) -> tuple[TimedMandate, ...]:
        """Return the mandates under which this host renews grants now."""
        return tuple(self.mandates.valid_for(self.own.ref, now))

    def others_outstanding(self, now: float) -> Mapping[str, int]:
        """Return the outstanding requests of the other hosts in the group.

        A host with children forms a group with them; a host without children
        belongs to the group of its parent.
        """
        self.children.remove_silent_children(now)
        if self.children.by_host:
            return Counter(self.children.outstanding)
        others = Counter(self.parent_group_outstanding)
        others.subtract(self.own_state.outstanding)
        return +others

    def set_own_state(self, own_state: OwnState) -> None:
        """Replace the state that this host adds to its sync request.

        :meth:`request` does it for a host with a parent; a host that is a
        coordinator itself calls it directly.
        """
        self.own_state = own_state

    def request(self, own_state: OwnState, now: float) -> SyncRequest:
        """Build the request to the parent for this host and those below it."""
        self.set_own_state(own_state)
        self.children.remove_silent_children(now)
        outstanding = Counter(own_state.outstanding)
        outstanding.update(self.children.outstanding)
        hot_keys: tuple[HotKey, ...] = ()
        if own_state.hot_keys is not None:
            reports = self.children.hot_keys(now)
            hot_keys = merge_hot_keys([own_state.hot_keys, *reports])
        return replace(
            self._build_base_request(),
            outstanding=+outstanding,
            hot_keys=hot_keys,
            reports=self.children.reports(own_state.reports, now),
            below=tuple(self.children.below(self.own.ref, now)),
            leaving=own_state.leaving,
            cold=tuple(sorted(self.children.cold().union(own_state.cold))),
        )

    def exchange_request(
        self,
        authorities: Collection[AuthorityKey],
        now: float,
    ) -> SyncRequest:
        """Build a root's request to the coordinator of another zone.

        :param authorities: authorities that the receiver holds. If it has
            adopted shards of this zone, it needs the hosts and reports of the
            zone.
        """
        self.children.remove_silent_children(now)
        base = self._build_base_request()
        if all(key.zone != self.own.zone for key in authorities):
            return base
        reports = self.children.reports(self.own_state.reports, now)
        return replace(
            base,
            reports=tuple(
                report for report in reports if report.authority in authorities
            ),
            below=tuple(self.children.below(self.own.ref, now)),
        )

    def record_request(self, request: SyncRequest, now: float) -> None:
        """Record the request of a child.

        :raises StaleError: if an old incarnation sent the request.
        """
        self._check_incarnation(request.sender.ref)
        if request.sender.zone == self.own.zone:
            self.children.record_request(request, now)

    def answer(self, request: SyncRequest, now: float) -> SyncAnswer:
        """Build the answer for a child from the state of this host.

        Permits and mandates carry their remaining duration at this host.
        """
        sender, view = request.sender, self.view
        is_newer = view.document.version > request.document_version
        is_same = request.members_digest == self.members_digest
        below = [entry.member.ref for entry in request.below]
        outstanding: Mapping[str, int] = {}
        if not below and sender.zone == self.own.zone:
            # A relay counts requests within its own group instead.
            outstanding = self._group_outstanding(now)
        return SyncAnswer(
            sender=self.own,
            document_version=view.document.version,
            document=self.document_text if is_newer else None,
            permits=tuple(self._remaining_permits(request.known, now)),
            mandates=tuple(self._mandates_for([sender.ref, *below], now)),
            segments=tuple(self._segments_since(request.known)),
            outstanding=outstanding,
            members=() if is_same else view.members,
            cold=self.cold,
            members_digest=self.members_digest,
            coordinators={} if is_same else dict(self.coordinators),
            age_s=max(now - view.refreshed, 0),
        )

    def _check_incarnation(self, ref: HostRef) -> None:
        newest = self.incarnations.get(ref.host, 0)
        if ref.incarnation < newest:
            raise StaleError('incarnation', ref.incarnation, newest)
        self.incarnations[ref.host] = ref.incarnation

    def _apply_document(
        self,
        answer: SyncAnswer,
        problems: list[OriolearchError],
    ) -> Document:
        current, announced = self.view.document, answer.document_version
        if answer.document is None or announced == current.version:
            return current
        if announced < current.version:
            problems.append(StaleError('document', announced, current.version))
            return current
        try:
            document = self.parse(answer.document)
        except ValidationError as error:
            problems.append(error)
            return current
        if document.version != announced:
            reason = f'must be {announced} as announced'
            actual = document.version
            problems.append(
                ValidationError(_SOURCE, 'document', actual, reason)
            )
            return current
        self.document_text = answer.document
        return document

    def _apply_permits(
        self,
        answer: SyncAnswer,
        requested_at: float,
        problems: list[OriolearchError],
    ) -> dict[AuthorityKey, float]:
        ends = dict(self.view.permit_ends)
        for permit in answer.permits:
            authority, revision = permit.authority, permit.revision
            current = self.revisions.get(authority)
            if current is not None and revision < current:
                problems.append(_make_stale_error(revision, current))
                continue
            end = requested_at + subtract_clock_margin(permit.duration_s)
            # A permit covers one revision only: a later end of a permit for
            # an older revision does not extend the newer one.
            if revision == current:
                end = max(end, ends.get(authority, 0))
            ends[authority] = end
            self.revisions[authority] = revision
        return ends

    def _apply_segments(
        self,
        answer: SyncAnswer,
        permit_revisions: Mapping[AuthorityKey, Revision],
        problems: list[OriolearchError],
    ) -> Mapping[SegmentKey, Segment]:
        if not answer.segments:
            return self.view.segments
        segments = dict(self.view.segments)
        for segment in answer.segments:
            key = (segment.pool, segment.index)
            current = segments.get(key)
            revision = permit_revisions.get(segment.home)
            if current is not None:
                problems.extend(
                    _find_segment_problems(segment, current, revision)
                )
            if current is None or self._is_newer_segment(
                segment, current, revision
            ):
                segments[key] = segment
                self._mark_changed(segment.home, key)
                if current is not None and current.home != segment.home:
                    # A child that already has the new home's revision still
                    # receives the segment as a change of the former home.
                    self._mark_changed(current.home, key)
        return segments

    def _is_newer_segment(
        self,
        segment: Segment,
        current: Segment,
        permit_revision: Revision | None,
    ) -> bool:
        if current.home != segment.home:
            return segment.version > current.version
        newest = self.revisions.get(segment.home)
        if (
            permit_revision is None
            or newest is None
            or permit_revision < newest
        ):
            return False
        # A coordinator withdraws an owner (rule G4) before it writes the row,
        # so two contents of the same row version differ in revision only.
        return segment.version >= current.version and segment != current

    def _mark_changed(self, home: AuthorityKey, key: SegmentKey) -> None:
        revision = self.revisions.get(home, Revision(0, 0))
        self.segment_revisions.setdefault(home, {})[key] = revision

    def _apply_mandates(
        self,
        answer: SyncAnswer,
        requested_at: float,
        problems: list[OriolearchError],
    ) -> None:
        for mandate in answer.mandates:
            newest = self.revisions.get(mandate.authority)
            if newest is not None and mandate.term < newest.term:
                problems.append(StaleError('term', mandate.term, newest.term))
            elif mandate.renewer is None:
                reason = 'must be set'
                problems.append(
                    ValidationError(_SOURCE, 'renewer', None, reason)
                )
            else:
                end = requested_at + subtract_clock_margin(mandate.duration_s)
                self.mandates.update(mandate.renewer, mandate, end)
        self.mandates.remove_invalid(self.revisions, requested_at)

    def _apply_cold(self, answer: SyncAnswer) -> None:
        zone = answer.sender.zone
        is_own = answer.sender.ref == self.own.ref
        if zone == self.own.zone and not is_own:
            self.cold = answer.cold  # a parent reports on all zones
            return
        kept = {
            name: host
            for name, host in self.cold.items()
            if self._zone_of_upstream(name) != zone
        }
        received = {
            name: host
            for name, host in answer.cold.items()
            if self._zone_of_upstream(name) == zone
        }
        self.cold = {**kept, **received}

    def _zone_of_upstream(self, name: str) -> str | None:
        pool_name, _, upstream_name = name.partition('/')
        pool = self.view.document.pools.get(pool_name)
        upstream = pool.upstream(upstream_name) if pool else None
        return upstream.zone if upstream else None

    def _apply_members(
        self,
        answer: SyncAnswer,
        permit_revisions: Mapping[AuthorityKey, Revision],
    ) -> None:
        if not answer.members:
            return
        zones: dict[str, list[Member]] = {}
        for member in answer.members:
            zones.setdefault(member.zone, []).append(member)
        zone = answer.sender.zone
        members = {name: tuple(zones[name]) for name in zones}
        if zone != self.own.zone or answer.sender.ref == self.own.ref:
            # A host of another zone, and this host as coordinator, report on
            # their own zone only; a parent reports on all zones.
            members = {**self.members, zone: members.get(zone, ())}
        coordinators = dict(self.coordinators)
        for authority, holder in answer.coordinators.items():
            # Without this check the entry would alternate between the holders
            # named by an outdated sender and by an up-to-date one.
            if permit_revisions.get(authority) == self.revisions.get(authority):
                coordinators[authority] = holder
        if members == self.members and coordinators == self.coordinators:
            return
        self.members = members
        self.coordinators = coordinators
        everyone = [host for name in sorted(members) for host in members[name]]
        self.members_digest = digest_members(everyone, coordinators)
        self.view = replace(self.view, members=tuple(everyone))

    def _build_base_request(self) -> SyncRequest:
        oldest = {**self.revisions, **self.own_state.oldest_revisions}
        return SyncRequest(
            sender=self.own,
            document_version=self.view.document.version,
            known=dict(self.revisions),
            held=self.children.oldest_revisions(oldest),
            outstanding={},
            members_digest=self.members_digest,
        )

    def _remaining_permits(
        self,
        child_revisions: Mapping[AuthorityKey, Revision],
        now: float,
    ) -> Iterator[Permit]:
        for authority, revision in self.revisions.items():
            if child_revisions.get(authority, revision) <= revision:
                left_s = self.view.permit_ends.get(authority, 0) - now
                yield Permit(authority, revision, max(left_s, 0))

    def _mandates_for(
        self,
        renewers: Iterable[HostRef],
        now: float,
    ) -> Iterator[Mandate]:
        for renewer in renewers:
            for entry in self.mandates.valid_for(renewer, now):
                yield replace(entry.mandate, duration_s=entry.end - now)

    def _segments_since(
        self,
        child_revisions: Mapping[AuthorityKey, Revision],
    ) -> Iterator[Segment]:
        wanted: dict[SegmentKey, None] = {}
        for home, changes in self.segment_revisions.items():
            since = child_revisions.get(home)
            newest = self.revisions.get(home)
            if since is not None and newest is not None and since >= newest:
                continue
            for key, revision in changes.items():
                if since is None or revision > since:
                    wanted[key] = None
        for key in wanted:
            yield self.view.segments[key]

    def _group_outstanding(self, now: float) -> Mapping[str, int]:
        self.children.remove_silent_children(now)
        group = Counter(self.children.outstanding)
        group.update(self.own_state.outstanding)
        return group
