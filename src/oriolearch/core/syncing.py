"""What a host keeps from its parent and hands on to its children.

A coordinator feeds its own statements in as a :class:`SyncAnswer` from
itself, so that it and every host below it answer alike. Its revision grows
with each change of a segment, and a new term begins with all segments: a host
that knows a revision holds every segment as of it.
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
from oriolearch.core.model import Document, HostRef, Member, shortened
from oriolearch.core.view import SegmentKey, View

_MandateKey = tuple[AuthorityKey, str, str]
_SOURCE = 'sync answer'


@dataclass(frozen=True, slots=True)
class OwnState:
    """What a host itself contributes to its request.

    :param held: oldest revision by which own orders still run, for each
        authority of which it is older than the revision in the view.
    :param hot_keys: ``None`` except once a window.
    """

    outstanding: Mapping[str, int] = field(
        default_factory=lambda: MappingProxyType({}),
    )
    held: Mapping[AuthorityKey, Revision] = field(
        default_factory=lambda: MappingProxyType({}),
    )
    hot_keys: tuple[HotKey, ...] | None = None
    reports: tuple[RenewalReport, ...] = ()
    cold: tuple[str, ...] = ()
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class HeldMandate:
    """A mandate with the monotonic time at which it ends here."""

    mandate: Mandate
    end: float


class _Mandates:
    """Mandates of this host and of those below it, by renewer."""

    def __init__(self) -> None:
        self.by_renewer: dict[HostRef, dict[_MandateKey, HeldMandate]] = {}

    def put(self, renewer: HostRef, mandate: Mandate, end: float) -> None:
        held = self.by_renewer.setdefault(renewer, {})
        key = (mandate.authority, mandate.pool, mandate.server)
        known = held.get(key)
        if known is not None:
            given = (mandate.term, mandate.version)
            present = (known.mandate.term, known.mandate.version)
            if given < present:
                return
            if given == present:
                end = max(end, known.end)
        held[key] = HeldMandate(mandate, end)

    def drop(self, terms: Mapping[AuthorityKey, Revision], now: float) -> None:
        """Drop what has ended or is of an older term."""
        for renewer, held in list(self.by_renewer.items()):
            for key, one in list(held.items()):
                known = terms.get(one.mandate.authority)
                is_stale = known is not None and one.mandate.term < known.term
                if is_stale or one.end <= now:
                    del held[key]
            if not held:
                del self.by_renewer[renewer]

    def of(self, renewer: HostRef, now: float) -> Iterator[HeldMandate]:
        for one in self.by_renewer.get(renewer, {}).values():
            if one.end > now:
                yield one


def digest_members(
    members: Iterable[Member],
    coordinators: Mapping[AuthorityKey, HostRef],
) -> int:
    """Give 64 bits by which two hosts compare the members they know."""
    lines = sorted(map(repr, members)) + sorted(map(repr, coordinators.items()))
    digest = hashlib.blake2b('\n'.join(lines).encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def _stale_revision(given: Revision, known: Revision) -> StaleError:
    if given.term < known.term:
        return StaleError('term', given.term, known.term)
    return StaleError('revision', given.number, known.number)


def _segment_problem(
    segment: Segment,
    known: Segment,
    stated: Revision | None,
) -> Iterator[OriolearchError]:
    if segment.version < known.version:
        yield StaleError('segment', segment.version, known.version)
    is_newer = segment.version > known.version
    if is_newer and stated is None and segment.home == known.home:
        reason = 'has no revision in the answer'
        yield ValidationError(_SOURCE, 'home', segment.home, reason)


class SyncKeeper:
    """The state of one host in the sync tree.

    :param own: this host.
    :param parse: reads a configuration document from its JSON text; raises
        :class:`ValidationError`.
    """

    def __init__(self, own: Member, parse: Callable[[str], Document]) -> None:
        self.own = own
        self.parse = parse
        self.view = View()
        self.own_state = OwnState()
        self.document_text: str | None = None
        self.revisions: dict[AuthorityKey, Revision] = {}
        self.changed: dict[AuthorityKey, dict[SegmentKey, Revision]] = {}
        self.mandates = _Mandates()
        self.members: dict[str, tuple[Member, ...]] = {}
        self.coordinators: dict[AuthorityKey, HostRef] = {}
        self.members_digest = 0
        self.cold: Mapping[str, str] = {}
        self.incarnations: dict[str, int] = {}
        self.children = Children()
        self.parent_group: Mapping[str, int] = {}

    def absorb(
        self,
        answer: SyncAnswer,
        asked: float,
    ) -> tuple[OriolearchError, ...]:
        """Merge an answer into the next view.

        Every remaining time is counted from before the parent was asked.

        :param asked: monotonic time before the request was sent.
        :returns: what was left out, as errors to log.
        :raises StaleError: for an answer of an old incarnation.
        """
        self._check_incarnation(answer.sender.ref)
        stated = {one.authority: one.revision for one in answer.permits}
        problems: list[OriolearchError] = []
        document = self._absorb_document(answer, problems)
        permit_ends = self._absorb_permits(answer, asked, problems)
        segments = self._absorb_segments(answer, stated, problems)
        self._absorb_mandates(answer, asked, problems)
        self._absorb_members(answer, stated)
        self._absorb_cold(answer)
        refreshed = self.view.refreshed
        if answer.sender.zone == self.own.zone:
            self.parent_group = answer.outstanding
            refreshed = max(refreshed, asked - answer.age_s)
        self.view = View(
            document=document,
            segments=segments,
            permit_ends=permit_ends,
            members=self.view.members,
            refreshed=refreshed,
        )
        return tuple(problems)

    def own_mandates(self, now: float) -> tuple[HeldMandate, ...]:
        """List the mandates by which this host renews grants now."""
        return tuple(self.mandates.of(self.own.ref, now))

    def others_outstanding(self, now: float) -> Mapping[str, int]:
        """Count the requests of the other hosts of the group.

        A host with children leads a group; any other is in its parent's.
        """
        self.children.forget_silent(now)
        if self.children.by_host:
            return Counter(self.children.outstanding)
        others = Counter(self.parent_group)
        others.subtract(self.own_state.outstanding)
        return +others

    def note_own(self, own_state: OwnState) -> None:
        """Replace what this host contributes; a root calls it by itself."""
        self.own_state = own_state

    def request(self, own_state: OwnState, now: float) -> SyncRequest:
        """Build the request to the parent, for this host and those below."""
        self.note_own(own_state)
        self.children.forget_silent(now)
        outstanding = Counter(own_state.outstanding)
        outstanding.update(self.children.outstanding)
        hot_keys: tuple[HotKey, ...] = ()
        if own_state.hot_keys is not None:
            reports = self.children.hot_keys(now)
            hot_keys = merge_hot_keys([own_state.hot_keys, *reports])
        return replace(
            self._brief_request(),
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

        :param authorities: those that the other holds. Where it has adopted
            shards of this zone, it needs the hosts and reports of the zone.
        """
        self.children.forget_silent(now)
        brief = self._brief_request()
        if all(one.zone != self.own.zone for one in authorities):
            return brief
        reports = self.children.reports(self.own_state.reports, now)
        return replace(
            brief,
            reports=tuple(
                one for one in reports if one.authority in authorities
            ),
            below=tuple(self.children.below(self.own.ref, now)),
        )

    def hear(self, request: SyncRequest, now: float) -> None:
        """Note the request of a child.

        :raises StaleError: for a request of an old incarnation.
        """
        self._check_incarnation(request.sender.ref)
        if request.sender.zone == self.own.zone:
            self.children.hear(request, now)

    def answer(self, request: SyncRequest, now: float) -> SyncAnswer:
        """Build the answer for a child from what this host holds.

        Permits and mandates carry the time that remains here.
        """
        sender, view = request.sender, self.view
        is_newer = view.document.version > request.document_version
        is_same = request.members_digest == self.members_digest
        below = [heard.member.ref for heard in request.below]
        outstanding: Mapping[str, int] = {}
        if not below and sender.zone == self.own.zone:
            # A relay shares within its own group instead.
            outstanding = self._group_outstanding(now)
        return SyncAnswer(
            sender=self.own,
            document_version=view.document.version,
            document=self.document_text if is_newer else None,
            permits=tuple(self._permits(request.known, now)),
            mandates=tuple(self._mandates_of([sender.ref, *below], now)),
            segments=tuple(self._segments_since(request.known)),
            outstanding=outstanding,
            members=() if is_same else view.members,
            cold=self.cold,
            members_digest=self.members_digest,
            coordinators={} if is_same else dict(self.coordinators),
            age_s=max(now - view.refreshed, 0),
        )

    def _check_incarnation(self, ref: HostRef) -> None:
        known = self.incarnations.get(ref.host, 0)
        if ref.incarnation < known:
            raise StaleError('incarnation', ref.incarnation, known)
        self.incarnations[ref.host] = ref.incarnation

    def _absorb_document(
        self,
        answer: SyncAnswer,
        problems: list[OriolearchError],
    ) -> Document:
        current, given = self.view.document, answer.document_version
        if answer.document is None or given == current.version:
            return current
        if given < current.version:
            problems.append(StaleError('document', given, current.version))
            return current
        try:
            document = self.parse(answer.document)
        except ValidationError as error:
            problems.append(error)
            return current
        if document.version != given:
            reason = f'must be {given} as announced'
            found = document.version
            problems.append(ValidationError(_SOURCE, 'document', found, reason))
            return current
        self.document_text = answer.document
        return document

    def _absorb_permits(
        self,
        answer: SyncAnswer,
        asked: float,
        problems: list[OriolearchError],
    ) -> dict[AuthorityKey, float]:
        ends = dict(self.view.permit_ends)
        for permit in answer.permits:
            authority, revision = permit.authority, permit.revision
            known = self.revisions.get(authority)
            if known is not None and revision < known:
                problems.append(_stale_revision(revision, known))
                continue
            end = asked + shortened(permit.duration_s)
            # A permit is for one revision: a later end that an older one had
            # does not count for a newer revision.
            if revision == known:
                end = max(end, ends.get(authority, 0))
            ends[authority] = end
            self.revisions[authority] = revision
        return ends

    def _absorb_segments(
        self,
        answer: SyncAnswer,
        stated: Mapping[AuthorityKey, Revision],
        problems: list[OriolearchError],
    ) -> Mapping[SegmentKey, Segment]:
        if not answer.segments:
            return self.view.segments
        segments = dict(self.view.segments)
        for segment in answer.segments:
            key = (segment.pool, segment.index)
            known = segments.get(key)
            revision = stated.get(segment.home)
            if known is not None:
                problems.extend(_segment_problem(segment, known, revision))
            if known is None or self._is_news(segment, known, revision):
                segments[key] = segment
                self._mark_changed(segment.home, key)
                if known is not None and known.home != segment.home:
                    # A child may know the new home's revision already, and
                    # then learns of the change by that of the earlier home.
                    self._mark_changed(known.home, key)
        return segments

    def _is_news(
        self,
        segment: Segment,
        known: Segment,
        stated: Revision | None,
    ) -> bool:
        if known.home != segment.home:
            return segment.version > known.version
        newest = self.revisions.get(segment.home)
        if stated is None or newest is None or stated < newest:
            return False
        # A coordinator withdraws an owner (rule G4) before it writes the row,
        # so that two contents of one version differ by their revision only.
        return segment.version >= known.version and segment != known

    def _mark_changed(self, home: AuthorityKey, key: SegmentKey) -> None:
        revision = self.revisions.get(home, Revision(0, 0))
        self.changed.setdefault(home, {})[key] = revision

    def _absorb_mandates(
        self,
        answer: SyncAnswer,
        asked: float,
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
                end = asked + shortened(mandate.duration_s)
                self.mandates.put(mandate.renewer, mandate, end)
        self.mandates.drop(self.revisions, asked)

    def _absorb_cold(self, answer: SyncAnswer) -> None:
        zone = answer.sender.zone
        is_own = answer.sender.ref == self.own.ref
        if zone == self.own.zone and not is_own:
            self.cold = answer.cold  # a parent speaks of all zones
            return
        kept = {
            name: host
            for name, host in self.cold.items()
            if self._zone_of(name) != zone
        }
        given = {
            name: host
            for name, host in answer.cold.items()
            if self._zone_of(name) == zone
        }
        self.cold = {**kept, **given}

    def _zone_of(self, name: str) -> str | None:
        pool_name, _, upstream_name = name.partition('/')
        pool = self.view.document.pools.get(pool_name)
        upstream = pool.upstream(upstream_name) if pool else None
        return upstream.zone if upstream else None

    def _absorb_members(
        self,
        answer: SyncAnswer,
        stated: Mapping[AuthorityKey, Revision],
    ) -> None:
        if not answer.members:
            return
        zones: dict[str, list[Member]] = {}
        for member in answer.members:
            zones.setdefault(member.zone, []).append(member)
        zone = answer.sender.zone
        members = {name: tuple(zones[name]) for name in zones}
        if zone != self.own.zone or answer.sender.ref == self.own.ref:
            # Another zone's host, and this one as coordinator, speak of their
            # own zone only; a parent speaks of all.
            members = {**self.members, zone: members.get(zone, ())}
        coordinators = dict(self.coordinators)
        for authority, holder in answer.coordinators.items():
            # Without this an outdated sender and a newer one would take turns.
            if stated.get(authority) == self.revisions.get(authority):
                coordinators[authority] = holder
        if members == self.members and coordinators == self.coordinators:
            return
        self.members = members
        self.coordinators = coordinators
        everyone = [one for name in sorted(members) for one in members[name]]
        self.members_digest = digest_members(everyone, coordinators)
        self.view = replace(self.view, members=tuple(everyone))

    def _brief_request(self) -> SyncRequest:
        held = {**self.revisions, **self.own_state.held}
        return SyncRequest(
            sender=self.own,
            document_version=self.view.document.version,
            known=dict(self.revisions),
            held=self.children.held(held),
            outstanding={},
            members_digest=self.members_digest,
        )

    def _permits(
        self,
        known: Mapping[AuthorityKey, Revision],
        now: float,
    ) -> Iterator[Permit]:
        for authority, revision in self.revisions.items():
            if known.get(authority, revision) <= revision:
                left_s = self.view.permit_ends.get(authority, 0) - now
                yield Permit(authority, revision, max(left_s, 0))

    def _mandates_of(
        self,
        renewers: Iterable[HostRef],
        now: float,
    ) -> Iterator[Mandate]:
        for renewer in renewers:
            for held in self.mandates.of(renewer, now):
                yield replace(held.mandate, duration_s=held.end - now)

    def _segments_since(
        self,
        known: Mapping[AuthorityKey, Revision],
    ) -> Iterator[Segment]:
        wanted: dict[SegmentKey, None] = {}
        for home, changes in self.changed.items():
            since = known.get(home)
            newest = self.revisions.get(home)
            if since is not None and newest is not None and since >= newest:
                continue
            for key, revision in changes.items():
                if since is None or revision > since:
                    wanted[key] = None
        for key in wanted:
            yield self.view.segments[key]

    def _group_outstanding(self, now: float) -> Mapping[str, int]:
        self.children.forget_silent(now)
        group = Counter(self.children.outstanding)
        group.update(self.own_state.outstanding)
        return group
