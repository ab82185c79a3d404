"""Tests of the sync state of hosts in a tree of root, relay and leaf."""

import random
from dataclasses import replace
from typing import Any

import pytest

from oriolearch.core.errors import StaleError, ValidationError
from oriolearch.core.membership import CONTACT_TIMEOUT_S
from oriolearch.core.messages import (
    AuthorityKey,
    HotKey,
    Mandate,
    Permit,
    RenewalReport,
    Revision,
    Segment,
    SyncAnswer,
)
from oriolearch.core.model import (
    Assignment,
    Document,
    HostRef,
    Member,
    Mobility,
)
from oriolearch.core.syncing import OwnState, SyncState

HOME = AuthorityKey('z1', Mobility.MOVABLE)
AWAY = AuthorityKey('z2', Mobility.MOVABLE)


def member(host: str, zone: str = 'z1') -> Member:
    return Member(HostRef(host, 2), zone, f'{host}:1')


def segment(index: int, version: int) -> Segment:
    return Segment('p', index, HOME, version, (Assignment(f's{version}', 1),))


def mandate(host: str, term: int = 1, version: int = 1) -> Mandate:
    renewer = HostRef(host, 2)
    return Mandate(HOME, term, 'p', 's', version, 0.6, ((1, 1),), (), renewer)


def make_answer(
    host: str = 'root', number: int = 1, **changes: Any
) -> SyncAnswer:
    permit = Permit(HOME, Revision(changes.pop('term', 1), number), 0.7)
    fields: dict[str, Any] = {
        'document_version': 0,
        'document': None,
        'mandates': (),
    }
    fields |= {'segments': (), 'outstanding': {}, 'members': (), 'cold': {}}
    fields |= {'sender': member(host), 'permits': (permit,)}
    return SyncAnswer(**(fields | changes))


def make_sync_state(host: str) -> SyncState:
    return SyncState(member(host), lambda text: Document(version=int(text)))


def sync(
    child: SyncState,
    parent: SyncState,
    now: float,
    own: OwnState | None = None,
) -> SyncAnswer:
    request = child.request(own or OwnState(), now)
    parent.record_request(request, now)
    answer = parent.answer(request, now)
    assert child.apply_answer(answer, now) == ()
    return answer


@pytest.fixture
def chain() -> list[SyncState]:
    """Return a root with two segments, a relay and a leaf."""
    hosts = [
        make_sync_state('root'),
        make_sync_state('relay'),
        make_sync_state('leaf'),
    ]
    both = (segment(0, 5), segment(1, 6))
    hosts[0].apply_answer(
        make_answer(segments=both, document='4', document_version=4), 0
    )
    for child, parent in ((2, 1), (1, 0), (2, 1)):
        sync(hosts[child], hosts[parent], 0)
    return hosts


def test_permits_do_not_outlast_those_of_the_parent(
    chain: list[SyncState],
) -> None:
    """A relay without contact to its parent must not prolong a permit."""
    root, relay, leaf = chain
    ends = [host.view.permit_ends[HOME] for host in chain]
    assert ends == sorted(ends, reverse=True)
    assert (ends[0], ends[2]) == pytest.approx((0.683, 0.65), abs=0.001)
    sync(leaf, relay, 0.4)
    assert ends[2] <= leaf.view.permit_ends[HOME] < ends[1]
    assert sync(leaf, relay, 0.8).permits[0].duration_s == 0
    assert leaf.view.refreshed == 0
    root.apply_answer(make_answer(), 0.8)
    sync(relay, root, 0.8)
    sync(leaf, relay, 0.9)
    assert leaf.view.permit_ends[HOME] == pytest.approx(1.46, abs=0.01)
    assert leaf.view.refreshed == pytest.approx(0.8)


def test_permit_does_not_outlive_its_revision(chain: list[SyncState]) -> None:
    """The later end of an older permit must not cover newer assignments."""
    short = replace(make_answer(number=2).permits[0], duration_s=0.2)
    chain[2].apply_answer(make_answer(permits=(short,)), 0.1)
    assert chain[2].view.permit_ends[HOME] == pytest.approx(0.288)


@pytest.mark.parametrize(
    ('answer', 'problem'),
    [
        (
            make_answer(term=0, segments=(segment(0, 9),)),
            'term: got 0, known 1',
        ),
        (
            make_answer(number=0, segments=(segment(0, 9),)),
            'revision: got 0, known 1',
        ),
        (make_answer(segments=(segment(0, 4),)), 'segment: got 4, known 5'),
        (
            make_answer(document='3', document_version=3),
            'document: got 3, known 4',
        ),
        (make_answer(document='6', document_version=5), 'must be 5'),
        (make_answer(permits=(), segments=(segment(0, 9),)), 'no revision'),
        (make_answer(mandates=(mandate('leaf', 0),)), 'term: got 0, known 1'),
        (
            make_answer(mandates=(replace(mandate('a'), renewer=None),)),
            'must be set',
        ),
    ],
)
def test_outdated_answer_reverts_nothing(
    chain: list[SyncState], answer: SyncAnswer, problem: str
) -> None:
    """An answer of an outdated parent must not revert applied changes."""
    leaf = chain[2]
    before = leaf.view
    problems = leaf.apply_answer(answer, 0)
    assert [problem in str(error) for error in problems] == [True]
    assert leaf.view.segments == before.segments
    assert leaf.view.document == before.document
    assert leaf.revisions == {HOME: Revision(1, 1)}
    assert leaf.own_mandates(0) == ()


def test_answers_contain_changed_segments_only(chain: list[SyncState]) -> None:
    """Sending all segments with each sync would exceed the traffic limit."""
    root, relay, leaf = chain
    assert sync(leaf, relay, 0).segments == ()
    root.apply_answer(make_answer(number=2, segments=(segment(1, 7),)), 0.1)
    root.apply_answer(
        make_answer(term=2, number=0, segments=(segment(0, 5),)), 0.2
    )
    assert sync(relay, root, 0.2).segments == (segment(1, 7),)
    answer = sync(leaf, relay, 0.2)
    assert (answer.segments, answer.document) == ((segment(1, 7),), None)
    assert len(sync(make_sync_state('new'), relay, 0.2).segments) == 2


def test_withdrawal_without_new_row_version_is_applied(
    chain: list[SyncState],
) -> None:
    """Rule G4: hosts skipped a withdrawal with an unchanged row version."""
    root, relay, leaf = chain
    withdrawn = replace(segment(0, 5), shards=(Assignment(None, 1),))
    root.apply_answer(make_answer(number=2, segments=(withdrawn,)), 0.1)
    sync(relay, root, 0.1)
    sync(leaf, relay, 0.1)
    assert (
        len(leaf.apply_answer(make_answer(segments=(segment(0, 5),)), 0.1)) == 1
    )
    assert leaf.view.segments['p', 0] == withdrawn


@pytest.mark.parametrize('known', [False, True], ids=['new home', 'known home'])
def test_segment_with_new_home_reaches_all_hosts(
    chain: list[SyncState], known: bool
) -> None:
    """A host that missed the change would keep the old owner in use."""
    root, relay, leaf = chain
    if known:
        ahead = replace(make_answer().permits[0], authority=AWAY)
        leaf.apply_answer(make_answer(permits=(ahead,)), 0.1)
        behind = replace(ahead, revision=Revision(1, 0))
        root.apply_answer(make_answer(permits=(behind,)), 0.1)
    moved = replace(segment(0, 9), home=AWAY)
    assert (
        root.apply_answer(make_answer(number=2, segments=(moved,)), 0.1) == ()
    )
    sync(relay, root, 0.1)
    sync(leaf, relay, 0.1)
    assert leaf.view.segments['p', 0] == moved


def test_mandates_reach_only_their_renewers(chain: list[SyncState]) -> None:
    """A host without a mandate could renew grants that were withdrawn."""
    root, relay, leaf = chain
    mandates = (mandate('leaf'), mandate('relay'), mandate('other'))
    root.apply_answer(make_answer(mandates=mandates), 0.1)
    assert len(sync(relay, root, 0.1).mandates) == 2
    sync(leaf, relay, 0.2)
    timed = leaf.own_mandates(0.2)[0]
    assert timed.mandate.renewer == leaf.own.ref
    assert timed.end == pytest.approx(0.66, abs=0.01)
    assert leaf.own_mandates(0.7) == ()
    leaf.apply_answer(make_answer(mandates=(mandate('leaf', version=0),)), 0.2)
    assert leaf.own_mandates(0.2) == (timed,)
    leaf.apply_answer(make_answer(term=2), 0.2)
    assert leaf.own_mandates(0.2) == ()


def report(ends_in_s: float, version: int, stopped: bool) -> RenewalReport:
    host = HostRef('leaf', 2)
    return RenewalReport(
        HOME, 1, 'p', 's', 1, stopped, ends_in_s, 0, host, version
    )


def test_relay_merges_the_state_of_its_group(chain: list[SyncState]) -> None:
    """State that a relay omits would never reach the coordinator."""
    root, relay, leaf = chain
    moved = Revision(1, 0)
    hot = (HotKey('p', 'k', 2),)
    state = OwnState(
        {'p/a': 1, 'p/b': 2},
        {HOME: moved},
        hot,
        (report(0.5, 2, True),),
        ('p/c',),
    )
    sync(leaf, relay, 1, replace(state, leaving=True))
    sync(leaf, relay, 1.1, replace(state, hot_keys=None, leaving=True))
    other = make_sync_state('other')
    sync(other, relay, 1.1, replace(state, reports=(report(0.1, 1, False),)))
    request = relay.request(OwnState({'p/a': 1}, hot_keys=()), 1.2)
    assert request.outstanding == {'p/a': 3, 'p/b': 4}
    assert request.hot_keys == (HotKey('p', 'k', 4),)
    assert request.held == {HOME: moved}
    assert request.known == {HOME: Revision(1, 1)}
    assert request.cold == ('p/c',)
    merged = request.reports[0]
    assert len(request.reports) == 1
    assert (merged.mandate_version, merged.stopped) == (2, True)
    # Not less than the remaining time: the clock margin is added.
    assert merged.ends_in_s == pytest.approx(0.415)
    ages = {entry.member.ref.host: entry.age_s for entry in request.below}
    assert ages == pytest.approx({'leaf': 0.1, 'other': 0.1})
    assert [entry.leaving for entry in request.below] == [True, False]
    root.record_request(request, 1.2)
    assert root.answer(request, 1.2).outstanding == {}
    assert relay.others_outstanding(1.2) == {'p/a': 2, 'p/b': 4}
    sync(leaf, relay, 1.2, state)
    assert leaf.others_outstanding(1.2) == {'p/a': 2, 'p/b': 2}
    late = relay.request(OwnState(), 1.3 + CONTACT_TIMEOUT_S)
    assert (late.below, late.outstanding) == ((), {})
    assert late.held == {HOME: Revision(1, 1)}


def test_members_are_sent_only_after_a_change(chain: list[SyncState]) -> None:
    """Sending 2,300 members with each sync would exceed the traffic limit."""
    root, relay, _ = chain
    zone = (member('root'), member('leaf'))
    holders = {HOME: HostRef('root', 2)}
    root.apply_answer(make_answer(members=zone, coordinators=holders), 1)
    far = member('far', 'z2')
    wrong = {HOME: HostRef('far', 2)}
    root.apply_answer(
        make_answer(
            sender=far, members=(zone[1], far), permits=(), coordinators=wrong
        ),
        1,
    )
    assert {host.ref.host for host in root.view.members} == {
        'root',
        'leaf',
        'far',
    }
    assert root.coordinators == holders
    assert len(sync(relay, root, 1).members) == 3
    assert relay.coordinators == holders
    assert sync(relay, root, 1).members == ()
    request = root.exchange_request([AWAY], 1)
    assert request.below == ()
    assert len(root.exchange_request([HOME], 1).below) == 1


def test_old_incarnation_is_refused(chain: list[SyncState]) -> None:
    """A frozen host may have state that its successor has withdrawn."""
    old = replace(member('leaf'), ref=HostRef('leaf', 1))
    request = replace(chain[2].request(OwnState(), 0), sender=old)
    with pytest.raises(StaleError):
        chain[1].record_request(request, 0)
    with pytest.raises(StaleError):
        chain[1].apply_answer(replace(make_answer(), sender=old), 0)


def test_invalid_document_does_not_block_permits() -> None:
    """A document that an older release cannot read must not cost permits."""

    def reject(text: str) -> Document:
        raise ValidationError('document', 'x', text, 'unknown')

    host = SyncState(member('a'), reject)
    assert (
        len(host.apply_answer(make_answer(document='?', document_version=9), 5))
        == 1
    )
    assert host.view.permit_ends[HOME] == pytest.approx(5.683)


def test_random_order_of_syncs_reverts_no_host() -> None:
    """Late answers, or those of other parents, must not revert a host."""
    rng = random.Random(7)
    hosts = [make_sync_state(f'h{number}') for number in range(6)]
    late: list[tuple[SyncState, SyncAnswer, float]] = []
    for step in range(2000):
        now = step / 50
        if step % 5 == 0:
            fresh = segment(rng.randrange(4), step)
            hosts[0].apply_answer(
                make_answer('h0', step, segments=(fresh,)), now
            )
        child, parent = rng.sample(hosts, 2)
        if child is not hosts[0]:
            answer = parent.answer(child.request(OwnState(), now), now)
            late.append((child, answer, now))
        rng.shuffle(late)
        while len(late) > 4:
            target, answer, requested_at = late.pop()
            before = target.revisions.get(HOME, Revision(0, 0))
            target.apply_answer(answer, requested_at)
            assert target.revisions.get(HOME, before) >= before
        bound = max(hosts[0].view.permit_ends[HOME], now)
        assert all(
            host.view.permit_ends.get(HOME, 0) <= bound for host in hosts
        )
    for host in hosts[1:]:
        sync(host, hosts[0], now)
        assert host.view.segments == hosts[0].view.segments
