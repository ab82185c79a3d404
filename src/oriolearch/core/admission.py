"""Queue of requests that no upstream has a free concurrency slot for."""

from bisect import bisect_left, insort

from oriolearch.core.attempts import Ticket
from oriolearch.core.model import RequestClass

CLASS_RANKS = {
    RequestClass.INTERACTIVE: 0,
    RequestClass.UPLOAD: 1,
    RequestClass.BACKGROUND: 2,
}
# Every eighth request served is the one with the earliest deadline of any
# class, so that interactive requests cannot starve the others.
FAIR_INTERVAL = 8

Entry = tuple[float, int, Ticket]  # deadline, serial number, ticket


class DeadlineQueue:
    """Queued tickets, ordered by class and by deadline within a class.

    :ivar served_count: number of tickets served so far.
    """

    def __init__(self) -> None:
        self.entries_by_rank: tuple[list[Entry], ...] = ([], [], [])
        self.size = 0
        self.serial = 0
        self.served_count = 0

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        self.serial += 1
        entry = (ticket.facts.deadline, self.serial, ticket)
        insort(
            self.entries_by_rank[CLASS_RANKS[ticket.facts.request_class]], entry
        )
        ticket.queued = True
        self.size += 1

    def count_ahead(self, ticket: Ticket) -> int:
        """Return the number of tickets to be served before this one."""
        rank = CLASS_RANKS[ticket.facts.request_class]
        before = sum(len(entries) for entries in self.entries_by_rank[:rank])
        position = bisect_left(
            self.entries_by_rank[rank], (ticket.facts.deadline, 0)
        )
        return before + position

    def peek(self) -> Ticket | None:
        """Return the next ticket to serve."""
        filled = [entries for entries in self.entries_by_rank if entries]
        if not filled:
            return None
        if (self.served_count + 1) % FAIR_INTERVAL == 0:
            return min(filled, key=_first)[0][2]
        return filled[0][0][2]

    def evict_below(self, request_class: RequestClass) -> Ticket | None:
        """Remove the last ticket of the lowest class below a given class."""
        for entries in self.entries_by_rank[: CLASS_RANKS[request_class] : -1]:
            if entries:
                return self._pop(entries, len(entries) - 1)
        return None

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket if it is queued."""
        entries = self.entries_by_rank[CLASS_RANKS[ticket.facts.request_class]]
        position = bisect_left(entries, (ticket.facts.deadline, 0))
        for index, entry in enumerate(entries[position:], position):
            if entry[2] is ticket:
                self._pop(entries, index)
                return

    def _pop(self, entries: list[Entry], index: int) -> Ticket:
        ticket = entries.pop(index)[2]
        ticket.queued = False
        self.size -= 1
        return ticket


def _first(entries: list[Entry]) -> tuple[float, int]:
    return entries[0][:2]
