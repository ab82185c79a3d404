"""The bounded queue of requests that no upstream has room for."""

from bisect import bisect_left, insort

from oriolearch.core.attempts import Ticket
from oriolearch.core.model import RequestClass

RANKS = {
    RequestClass.INTERACTIVE: 0,
    RequestClass.UPLOAD: 1,
    RequestClass.BACKGROUND: 2,
}
# Each eighth grant goes to the earliest deadline of any class, so that
# interactive requests cannot starve the others.
FAIR_EVERY = 8

Entry = tuple[float, int, Ticket]  # deadline, serial number, ticket


class DeadlineQueue:
    """Waiting tickets by class, and by deadline within a class."""

    def __init__(self) -> None:
        self.ranks: tuple[list[Entry], ...] = ([], [], [])
        self.size = 0
        self.serial = 0
        self.grants = 0

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        self.serial += 1
        entry = (ticket.facts.deadline, self.serial, ticket)
        insort(self.ranks[RANKS[ticket.facts.request_class]], entry)
        ticket.queued = True
        self.size += 1

    def ahead(self, ticket: Ticket) -> int:
        """Count the tickets to be granted before this one."""
        rank = RANKS[ticket.facts.request_class]
        before = sum(len(entries) for entries in self.ranks[:rank])
        place = bisect_left(self.ranks[rank], (ticket.facts.deadline, 0))
        return before + place

    def peek(self) -> Ticket | None:
        """Give the next ticket to grant."""
        filled = [entries for entries in self.ranks if entries]
        if not filled:
            return None
        if (self.grants + 1) % FAIR_EVERY == 0:
            return min(filled, key=_first)[0][2]
        return filled[0][0][2]

    def evict_below(self, request_class: RequestClass) -> Ticket | None:
        """Take out the last ticket of the least class below another."""
        for entries in self.ranks[: RANKS[request_class] : -1]:
            if entries:
                return self._take(entries, len(entries) - 1)
        return None

    def remove(self, ticket: Ticket) -> None:
        """Take out a given ticket, if it is queued."""
        entries = self.ranks[RANKS[ticket.facts.request_class]]
        place = bisect_left(entries, (ticket.facts.deadline, 0))
        for index, entry in enumerate(entries[place:], place):
            if entry[2] is ticket:
                self._take(entries, index)
                return

    def _take(self, entries: list[Entry], index: int) -> Ticket:
        ticket = entries.pop(index)[2]
        ticket.queued = False
        self.size -= 1
        return ticket


def _first(entries: list[Entry]) -> tuple[float, int]:
    return entries[0][:2]
