"""The hosts connected to a coordinator, without a network."""

import random
from typing import Any

import pytest

from oriolearch.adapters.host_links import Message, decode_line
from oriolearch.members import (
    MAX_PEERS_ASKED,
    WATCHERS,
    Member,
    Members,
    choose_peers,
    is_isolated,
)

OWN = Member('h0:1', 'z1', 1.0, 'r0')


class Link:
    """Records the messages that are sent."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        self.sent.append(message)

    def send_line(self, line: bytes) -> None:
        self.sent.append(decode_line(line))

    def last(self, field: str) -> Any:
        return [message[field] for message in self.sent if field in message][-1]


def heartbeat() -> Message:
    return {'kind': 'beat', 'term': 1}


def ignore_hosts(hosts: dict[str, float], zones: dict[str, str]) -> None:
    """Stand in for the coordinator's own host."""


def members(*hosts: Member) -> tuple[Members, dict[str, Any]]:
    group = Members(OWN, heartbeat, ignore_hosts)
    links: dict[str, Any] = {}
    for host in hosts:
        links[host.address] = Link()
        group.add(links[host.address], host)
        group.send_watchers(links[host.address])
    return group, links


def host(number: int, zone: str = 'z1', capacity: float = 1.0) -> Member:
    return Member(f'h{number}:1', zone, capacity, f'r{number}')


def listed(group: Members, link: Any) -> set[str]:
    group.send_hosts()
    return {address for address, _ in link.last('hosts')}


def test_host_dispatches_once_it_has_read_the_tables() -> None:
    """A dispatching host must have read the upstreams.

    One without them refused the requests of all hosts while it read the
    configuration.
    """
    group, links = members(host(1), host(2))
    group.set_ready(links['h1:1'])
    assert listed(group, links['h1:1']) == {'h0:1', 'h1:1'}
    group.set_ready(links['h2:1'])
    assert listed(group, links['h1:1']) == {'h0:1', 'h1:1', 'h2:1'}


def test_host_that_shuts_down_does_not_dispatch() -> None:
    """A host must stop dispatching before its connection ends."""
    group, links = members(host(1), host(2))
    for link in links.values():
        group.set_ready(link)
    group.set_leaving(links['h1:1'])
    group.is_own_host_leaving = True
    assert listed(group, links['h2:1']) == {'h2:1'}
    assert {witness.address for witness in group.witnesses()} == {'h2:1'}


def test_disconnected_host_is_not_listed() -> None:
    """Hosts must not send requests to a host that is gone."""
    group, links = members(host(1), host(2))
    for link in links.values():
        group.set_ready(link)
    group.drop(links['h1:1'])
    assert listed(group, links['h2:1']) == {'h0:1', 'h2:1'}


def test_watchers_have_capacity_and_are_in_other_zones() -> None:
    """The loss of one zone must leave a host that polls the tables."""
    group, links = members(
        host(1),
        host(2, 'z2', 0.5),
        host(3, 'z2', 2.0),
        host(4, 'z3'),
    )
    for address in ('h1:1', 'h2:1'):
        group.drop(links[address])
    watchers = links['h4:1'].last('watchers')
    assert set(watchers) == {'h3:1', 'h4:1'}
    assert len(watchers) == WATCHERS


@pytest.mark.parametrize('capacity', [0.2, 3.0])
def test_largest_host(capacity: float) -> None:
    """A host with little capacity must not be asked to take over."""
    group, links = members(host(1), host(2, capacity=capacity))
    expected = links['h2:1'] if capacity > 1 else links['h1:1']
    assert group.largest() is expected


def test_peers_of_a_fleet_whose_coordinator_is_cut_off_with_its_zone() -> None:
    """Guard against a majority that takes itself for the isolated part.

    All hosts asked the same eight peers, the first that had connected to the
    coordinator. They were in its zone and could not be reached, so 156 hosts
    waited for 8 s before one of them took over.
    """
    hosts = [f'd{number}:1' for number in range(39)]
    hosts += [f'{zone}{number}:1' for zone in 'abce' for number in range(39)]
    isolated = 0
    for seed in range(1000):
        peers = choose_peers(hosts, 'a0:1', random.Random(seed))
        assert len(set(peers)) == MAX_PEERS_ASKED
        assert 'a0:1' not in peers
        cut_off = sum(peer.startswith('d') for peer in peers)
        isolated += 2 * cut_off > len(peers)
    assert isolated < 50
    assert choose_peers(['a0:1'], 'a0:1', random.Random(1)) == []


@pytest.mark.parametrize(
    ('answers', 'expected'),
    [
        ({}, False),
        ({'c:1': None}, False),
        ({'c:1': None, 'h1:1': False}, False),
        ({'c:1': None, 'h1:1': None}, True),
        ({'c:1': False, 'h1:1': None}, True),
        ({'c:1': None, 'h1:1': None, 'h2:1': False}, False),
        ({'c:1': False, 'h1:1': None, 'h2:1': None, 'h3:1': False}, True),
    ],
)
def test_lost_coordinator_does_not_make_a_host_isolated(
    answers: dict[str, bool | None], expected: bool
) -> None:
    """Guard against a late takeover in an installation of two hosts.

    The coordinator's host lost power. It was the only peer of the other one,
    which took itself to be cut off and waited for eight seconds.
    """
    assert is_isolated(answers, 'c:1') is expected
