"""The hosts connected to a coordinator, and their duties for it."""

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from oriolearch.adapters.host_links import HostLink, Message, encode_line
from oriolearch.core.versions import StoreVersion
from oriolearch.core.witnesses import Witness
from oriolearch.ports import StoredRow
from oriolearch.relaying import encode_rows

MAX_PEERS_ASKED = 8
WATCHERS = 2  # hosts that poll the tables, besides the coordinator
# Further watchers while the store does not answer the coordinator. The store
# may turn away some hosts, the coordinator and both watchers among them.
SPARE_WATCHERS = 4


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """One run of the router on a host.

    :param address: address for connections of other hosts.
    :param nonce: unique to this run.
    :param capacity: share of a processor that the host has.
    :param is_first_start: whether the whole installation starts for the first
        time. No coordinator can exist then.
    """

    host: str
    address: str
    nonce: str
    zone: str
    capacity: float
    is_first_start: bool = False


@dataclass(frozen=True, slots=True)
class Member:
    """A host that is connected to the coordinator.

    :param capacity: share of a processor that the host has.
    :param run: unique to this run of the host.
    """

    address: str
    zone: str
    capacity: float
    run: str


def choose_peers(
    hosts: Iterable[str], own_address: str, rng: random.Random
) -> list[str]:
    """Choose the hosts that are asked about the coordinator before a takeover.

    The coordinator lists hosts of its own zone first, as they connect to it
    first. These are cut off together with it, so the choice is random.
    """
    others = [host for host in hosts if host != own_address]
    return rng.sample(others, min(len(others), MAX_PEERS_ASKED))


def is_isolated(answers: Mapping[str, bool | None], coordinator: str) -> bool:
    """Return whether a host can reach less than half of its peers.

    :param answers: of the peers by address, ``None`` where there is none.
    :param coordinator: address of the lost coordinator. That it does not
        answer says nothing about the other peers.
    """
    others = [answer for peer, answer in answers.items() if peer != coordinator]
    return 2 * others.count(None) > len(others)


class Members:
    """Connections of hosts to the coordinator.

    :param own_member: the coordinator's own host.
    :param heartbeat: returns the heartbeat, whose fields each message about
        hosts includes.
    :param on_hosts_changed: called with the hosts that dispatch requests, and
        their capacity.
    """

    def __init__(
        self,
        own_member: Member,
        heartbeat: Callable[[], Message],
        on_hosts_changed: Callable[[dict[str, float], dict[str, str]], None],
    ) -> None:
        self.own_member = own_member
        self.heartbeat = heartbeat
        self.links: dict[HostLink, Member] = {}
        self.ready: set[HostLink] = set()
        self.leaving: set[HostLink] = set()
        self.watchers: list[HostLink] = []
        self.is_own_host_leaving = False
        self.is_store_lost = False
        self.sent_hosts: dict[str, float] = {}
        self.on_hosts_changed = on_hosts_changed

    def add(self, link: HostLink, member: Member) -> None:
        """Add the connection of a host; it dispatches once it is ready."""
        self.links[link] = member
        link.send(self._hosts_message(self._hosts()))

    def drop(self, link: HostLink) -> None:
        """Remove the connection of a host."""
        self.links.pop(link, None)
        self.ready.discard(link)
        self.leaving.discard(link)
        if link in self.watchers:
            self._choose_watchers()

    def active(self) -> dict[HostLink, Member]:
        """Return the hosts that are not shutting down."""
        return {
            link: member
            for link, member in self.links.items()
            if link not in self.leaving
        }

    def largest(self) -> HostLink | None:
        """Return the connection of the host with the most capacity."""
        active = self.active()
        return max(
            active,
            key=lambda link: active[link].capacity,
            default=None,
        )

    def witnesses(self) -> dict[Witness, str]:
        """Return the hosts that can be witnesses, with their zones."""
        return {
            Witness(member.address, member.run): member.zone
            for member in self.active().values()
        }

    def send_to_all(self, message: Message) -> None:
        """Send a message to all hosts."""
        line = encode_line(message)
        for link in list(self.links):
            link.send_line(line)

    def send_to_runs(self, runs: set[str], message: Message) -> None:
        """Send a message to the hosts with the given runs."""
        line = encode_line(message)
        for link, member in list(self.links.items()):
            if member.run in runs:
                link.send_line(line)

    def send_rows(
        self,
        table: str,
        rows: list[StoredRow],
        version: StoreVersion,
    ) -> None:
        """Send changed rows to all hosts."""
        self.send_to_all(encode_rows(table, rows, version))

    def send_watchers(self, link: HostLink) -> None:
        """Send the watchers to a new host, or choose missing ones."""
        if len(self.watchers) < self._watcher_count():
            self._choose_watchers()
        else:
            link.send(self._watchers_message())

    def set_store_lost(self, is_lost: bool) -> None:
        """Add watchers while the store does not answer the coordinator."""
        if is_lost != self.is_store_lost:
            self.is_store_lost = is_lost
            self._choose_watchers()

    def _watcher_count(self) -> int:
        return WATCHERS + SPARE_WATCHERS * self.is_store_lost

    def _choose_watchers(self) -> None:
        """Choose watchers, from zones without one where possible."""
        kept = [link for link in self.watchers if link in self.links]
        zones = {
            self.own_member.zone,
            *(self.links[link].zone for link in kept),
        }
        others = [link for link in self.active() if link not in kept]
        others.sort(key=lambda link: self._watcher_rank(link, zones))
        self.watchers = [*kept, *others][: self._watcher_count()]
        self.send_to_all(self._watchers_message())

    def _watcher_rank(
        self,
        link: HostLink,
        zones: set[str],
    ) -> tuple[bool, float]:
        member = self.links[link]
        return member.zone in zones, -member.capacity

    def _watchers_message(self) -> Message:
        addresses = [self.links[link].address for link in self.watchers]
        return {**self.heartbeat(), 'watchers': addresses}

    def set_ready(self, link: HostLink) -> None:
        """Record that a host has read routes and upstreams.

        A host without them would refuse the requests that it dispatches.
        """
        self.ready.add(link)

    def set_leaving(self, link: HostLink) -> None:
        """Record that a host is shutting down."""
        self.leaving.add(link)

    def _hosts(self) -> dict[str, float]:
        """Return the hosts that dispatch requests, with their capacity."""
        hosts = {
            member.address: member.capacity
            for link, member in self.active().items()
            if link in self.ready
        }
        if not self.is_own_host_leaving:
            hosts[self.own_member.address] = self.own_member.capacity
        return hosts

    def _hosts_message(self, hosts: dict[str, float]) -> Message:
        return {
            **self.heartbeat(),
            'hosts': list(hosts.items()),
            'zones': self._zones(hosts),
        }

    def _zones(self, hosts: Mapping[str, float]) -> dict[str, str]:
        members = (self.own_member, *self.links.values())
        return {
            member.address: member.zone
            for member in members
            if member.address in hosts
        }

    def send_hosts(self) -> None:
        """Send the hosts that dispatch requests, if they changed."""
        hosts = self._hosts()
        if hosts == self.sent_hosts:
            return
        self.sent_hosts = hosts
        message = self._hosts_message(hosts)
        self.on_hosts_changed(hosts, message['zones'])
        self.send_to_all(message)
