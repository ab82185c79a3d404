"""Tests of live hosts, their roles and their places in the sync tree."""

from collections import Counter

import pytest

from oriolearch.core import membership
from oriolearch.core.errors import StaleError
from oriolearch.core.membership import Membership, RoleAssignments, SyncTree
from oriolearch.core.messages import Heard, SyncRequest
from oriolearch.core.model import HostRef, Member


def member(host: str, incarnation: int = 1, zone: str = 'z1') -> Member:
    return Member(HostRef(host, incarnation), zone, f'{host}:1')


def zone_of(count: int) -> tuple[Member, ...]:
    return tuple(member(f'host-{number:04}') for number in range(count))


def names(live: Membership, now: float) -> list[str]:
    return [f'{m.ref.host}.{m.ref.incarnation}' for m in live.live(now)]


@pytest.fixture
def live() -> Membership:
    """Return a membership with hosts a.1 and b.1 that synced at 100 s."""
    created = Membership('z1')
    created.assume_live([member('a'), member('b')], 100)
    return created


def test_silent_host_is_lost_and_returns(live: Membership) -> None:
    """A frozen host must lose its roles and may return unchanged."""
    live.record_contact(member('a'), 101)
    assert names(live, 101) == ['a.1']
    live.record_contact(member('b'), 101.1)
    assert names(live, 101.1) == ['a.1', 'b.1']


def test_old_incarnation_is_refused_after_replacement(live: Membership) -> None:
    """A frozen process must not act in place of its successor."""
    live.record_contact(member('a', 2), 100.1)
    assert names(live, 100.2) == ['a.2', 'b.1']
    live.apply_host_list({'a': 'live'}, 9000)
    with pytest.raises(StaleError) as caught:
        live.record_contact(member('a', 1), 9000)
    assert (caught.value.given, caught.value.known) == (1, 2)
    assert set(live.records) == {'a'}
    live.assume_live([member('a', 1), member('b')], 9000)
    assert names(live, 9000) == ['b.1']


def test_leaving_host_gets_no_role_but_is_live(live: Membership) -> None:
    """A host in a planned stop must not be assigned grants to renew."""
    live.record_contact(member('a'), 100.1, leaving=True)
    live.record_contact(member('a'), 100.2)
    assert names(live, 100.2) == ['b.1']
    assert live.is_live(HostRef('a', 1), 100.2)
    assert not live.is_live(HostRef('a', 2), 100.2)
    live.record_contact(member('a', 2), 100.3)
    assert names(live, 100.3) == ['a.2', 'b.1']


@pytest.mark.parametrize(
    ('incarnation', 'last_contact_at', 'expected'),
    [(1, 100, ['b.1']), (2, 139.9, ['a.2', 'b.1'])],
    ids=['listed host leaves', 'entry of the previous incarnation'],
)
def test_platform_list_names_leaving_hosts(
    live: Membership,
    incarnation: int,
    last_contact_at: float,
    expected: list[str],
) -> None:
    """A lagging list must not deprive a replaced host of its roles."""
    live.record_contact(member('a', incarnation), last_contact_at)
    live.assume_live([member('a', incarnation), member('b')], 140)
    live.apply_host_list({'a': 'leaving', 'b': 'live'}, 140)
    assert names(live, 140) == expected


def test_relay_request_covers_hosts_below_it(live: Membership) -> None:
    """Leaves do not sync with the coordinator and must not count as lost."""
    live.record_contact(member('b', 2), 100.5)
    below = (
        Heard(member('c'), 0.1),
        Heard(member('d'), 0.1, leaving=True),
        Heard(member('e'), 0.7),
        Heard(member('b', 1), 0.1),
        Heard(member('x', zone='z2'), 0.1),
    )
    request = SyncRequest(member('a'), 0, {}, {}, {}, below=below)
    live.record_request(request, 101)
    assert names(live, 101) == ['a.1', 'b.2', 'c.1']


@pytest.mark.parametrize('count', [1, 2, 17, 18, 100, 383])
def test_tree_reaches_every_host(count: int) -> None:
    """A host without a path to the coordinator would get no permits."""
    members = zone_of(count)
    tree = SyncTree(members, 'host-0000')
    again = SyncTree(tuple(reversed(members)), 'host-0000')
    children = Counter(tree.parents.values())
    assert max(children.values(), default=0) <= membership.MAX_CHILDREN
    for host in members[1:]:
        path = tree.candidates(host.ref.host)
        assert path == again.candidates(host.ref.host)
        assert members[0] in path
        assert host not in path
    for index, relay in enumerate(tree.relays):
        later = {tree.by_host[name] for name in tree.relays[index:]}
        assert later.isdisjoint(tree.candidates(relay))


@pytest.mark.parametrize('kind', ['leaf', 'relay', 'join'])
def test_one_member_changes_few_parents(kind: str) -> None:
    """A different tree at each restart would delay syncs of a whole zone."""
    members = zone_of(381)
    tree = SyncTree(members, 'host-0000')
    before = {**tree.parents, **dict.fromkeys(tree.relays)}
    hosts = tree.relays if kind == 'relay' else sorted(tree.parents)
    for changed in hosts[:5]:
        others = [m for m in members if m.ref.host != changed]
        if kind == 'join':
            others = [*members, member(f'new-{changed}')]
        after = SyncTree(tuple(others), 'host-0000').parents
        moved = sum(before.get(host) != after[host] for host in after)
        orphans = sum(parent == changed for parent in before.values())
        # A lost relay promotes one leaf too; other moved hosts are displaced.
        assert moved <= (orphans + 14 if kind == 'relay' else 4)


def test_roles_move_only_with_their_host() -> None:
    """A needless change of renewer delays grants by a mandate's length."""
    members = zone_of(40)
    servers = [f'p/s{number}' for number in range(300)]

    def renewers(
        roles: RoleAssignments, hosts: tuple[Member, ...]
    ) -> list[object]:
        roles.update(hosts)
        return [roles.renewer(server) for server in servers]

    roles = RoleAssignments()
    assert roles.renewer('p/s1') is None
    before = renewers(roles, members)
    after = renewers(roles, members[1:])
    lost = [renewer == 'host-0000' for renewer in before]
    assert [old != new for old, new in zip(before, after)] == lost
    assert 0 < sum(lost) < 30
    assert renewers(RoleAssignments(), members[1:]) == after
    assert renewers(roles, members) == before
    assert set(roles.cold(servers)) == set(servers)
