"""The hosts that hear a coordinator, and what each of them does for it."""

from collections.abc import Callable
from dataclasses import dataclass

from oriolearch.adapters.host_links import HostLink, Message, encode_line
from oriolearch.core.witnesses import Witness
from oriolearch.ports import StoredRow
from oriolearch.relaying import encode_rows

WATCHERS = 2  # hosts beside the coordinator that follow the tables


@dataclass(frozen=True, slots=True)
class Member:
    """A host that hears the coordinator.

    :param capacity: share of a processor that it has.
    :param run: unique to this run of the host.
    """

    address: str
    zone: str
    capacity: float
    run: str


class Members:
    """Connections of the hosts that hear a coordinator.

    :param own: the coordinator's own host.
    :param beat: gives the message that each of its messages about hosts
        extends.
    :param take_hosts: told the hosts that share the work, with their capacity.
    """

    def __init__(
        self,
        own: Member,
        beat: Callable[[], Message],
        take_hosts: Callable[[dict[str, float]], None],
    ) -> None:
        self.own = own
        self.beat = beat
        self.links: dict[HostLink, Member] = {}
        self.ready: set[HostLink] = set()
        self.leaving: set[HostLink] = set()
        self.watchers: list[HostLink] = []
        self.is_own_host_leaving = False
        self.sent_hosts: dict[str, float] = {}
        self.take_hosts = take_hosts

    def add(self, link: HostLink, member: Member) -> None:
        """Take the connection of a host; it shares the work once it is ready."""
        self.links[link] = member
        link.send(self._hosts_message(self._hosts()))

    def drop(self, link: HostLink) -> None:
        """Forget the connection of a host."""
        self.links.pop(link, None)
        self.ready.discard(link)
        self.leaving.discard(link)
        if link in self.watchers:
            self._choose_watchers()

    def staying(self) -> dict[HostLink, Member]:
        """Give the hosts that do not stop."""
        return {
            link: member
            for link, member in self.links.items()
            if link not in self.leaving
        }

    def largest(self) -> HostLink | None:
        """Give the connection of the host with the most capacity."""
        staying = self.staying()
        return max(
            staying,
            key=lambda link: staying[link].capacity,
            default=None,
        )

    def witnesses(self) -> dict[Witness, str]:
        """Give the hosts that can be witnesses, with their zones."""
        return {
            Witness(member.address, member.run): member.zone
            for member in self.staying().values()
        }

    def tell_all(self, message: Message) -> None:
        """Send a message to all hosts."""
        line = encode_line(message)
        for link in list(self.links):
            link.send_line(line)

    def tell_runs(self, runs: set[str], message: Message) -> None:
        """Send a message to some hosts, by their runs."""
        line = encode_line(message)
        for link, member in list(self.links.items()):
            if member.run in runs:
                link.send_line(line)

    def send_rows(
        self,
        table: str,
        rows: list[StoredRow],
        version: int,
    ) -> None:
        """Tell all hosts of changed rows."""
        self.tell_all(encode_rows(table, rows, version))

    def send_watchers(self, link: HostLink) -> None:
        """Tell a new host who follows the tables, and choose more of them."""
        if len(self.watchers) < WATCHERS:
            self._choose_watchers()
        else:
            link.send(self._watchers_message())

    def _choose_watchers(self) -> None:
        """Have hosts of other zones follow the tables, if there are any."""
        kept = [link for link in self.watchers if link in self.links]
        zones = {self.own.zone, *(self.links[link].zone for link in kept)}
        others = [link for link in self.staying() if link not in kept]
        others.sort(key=lambda link: self._watcher_rank(link, zones))
        self.watchers = [*kept, *others][:WATCHERS]
        self.tell_all(self._watchers_message())

    def _watcher_rank(
        self,
        link: HostLink,
        zones: set[str],
    ) -> tuple[bool, float]:
        member = self.links[link]
        return member.zone in zones, -member.capacity

    def _watchers_message(self) -> Message:
        addresses = [self.links[link].address for link in self.watchers]
        return {**self.beat(), 'watchers': addresses}

    def set_ready(self, link: HostLink) -> None:
        """Take that a host knows routes and upstreams.

        A host without them would refuse the requests that it is in charge of.
        """
        self.ready.add(link)

    def set_leaving(self, link: HostLink) -> None:
        """Take that a host stops."""
        self.leaving.add(link)

    def _hosts(self) -> dict[str, float]:
        """Give the hosts that share the work, with their capacity."""
        found = {
            member.address: member.capacity
            for link, member in self.staying().items()
            if link in self.ready
        }
        if not self.is_own_host_leaving:
            found[self.own.address] = self.own.capacity
        return found

    def _hosts_message(self, hosts: dict[str, float]) -> Message:
        return {**self.beat(), 'hosts': list(hosts.items())}

    def send_hosts(self) -> None:
        """Tell which hosts share the work, if that changed."""
        hosts = self._hosts()
        if hosts == self.sent_hosts:
            return
        self.sent_hosts = hosts
        self.take_hosts(hosts)
        self.tell_all(self._hosts_message(hosts))
