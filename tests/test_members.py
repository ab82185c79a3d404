"""The hosts that hear a coordinator, without network."""

from typing import Any

import pytest

from oriolearch.adapters.host_links import Message, decode_line
from oriolearch.members import WATCHERS, Member, Members

OWN = Member('h0:1', 'z1', 1.0, 'r0')


class Link:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        self.sent.append(message)

    def send_line(self, line: bytes) -> None:
        self.sent.append(decode_line(line))

    def last(self, field: str) -> Any:
        return [found[field] for found in self.sent if field in found][-1]


def beat() -> Message:
    return {'kind': 'beat', 'term': 1}


def ignore_hosts(hosts: dict[str, float]) -> None:
    """Stand for the coordinator's own host, which these tests do not need."""


def members(*hosts: Member) -> tuple[Members, dict[str, Any]]:
    made = Members(OWN, beat, ignore_hosts)
    links: dict[str, Any] = {}
    for host in hosts:
        links[host.address] = Link()
        made.add(links[host.address], host)
        made.send_watchers(links[host.address])
    return made, links


def host(number: int, zone: str = 'z1', capacity: float = 1.0) -> Member:
    return Member(f'h{number}:1', zone, capacity, f'r{number}')


def listed(made: Members, link: Any) -> set[str]:
    made.send_hosts()
    return {address for address, _ in link.last('hosts')}


def test_host_shares_the_work_once_it_knows_the_tables() -> None:
    """A host that is in charge of upstreams and does not know them.

    It refused requests of all hosts while it read the configuration.
    """
    made, links = members(host(1), host(2))
    made.set_ready(links['h1:1'])
    assert listed(made, links['h1:1']) == {'h0:1', 'h1:1'}
    made.set_ready(links['h2:1'])
    assert listed(made, links['h1:1']) == {'h0:1', 'h1:1', 'h2:1'}


def test_host_that_stops_shares_no_work() -> None:
    """A host that is in charge until its connection ends."""
    made, links = members(host(1), host(2))
    for link in links.values():
        made.set_ready(link)
    made.set_leaving(links['h1:1'])
    made.is_own_host_leaving = True
    assert listed(made, links['h2:1']) == {'h2:1'}
    assert {witness.address for witness in made.witnesses()} == {'h2:1'}


def test_host_that_is_gone_is_not_listed() -> None:
    """Requests that ask a host which is not there."""
    made, links = members(host(1), host(2))
    for link in links.values():
        made.set_ready(link)
    made.drop(links['h1:1'])
    assert listed(made, links['h2:1']) == {'h0:1', 'h2:1'}


def test_watchers_are_large_and_of_other_zones() -> None:
    """A zone whose loss leaves nobody who follows the tables."""
    made, links = members(
        host(1),
        host(2, 'z2', 0.5),
        host(3, 'z2', 2.0),
        host(4, 'z3'),
    )
    for address in ('h1:1', 'h2:1'):
        made.drop(links[address])
    watchers = links['h4:1'].last('watchers')
    assert set(watchers) == {'h3:1', 'h4:1'}
    assert len(watchers) == WATCHERS


@pytest.mark.parametrize('capacity', [0.2, 3.0])
def test_largest_host(capacity: float) -> None:
    """A small host that is asked to lead."""
    made, links = members(host(1), host(2, capacity=capacity))
    expected = links['h2:1'] if capacity > 1 else links['h1:1']
    assert made.largest() is expected
