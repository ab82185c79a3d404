"""Which upstream owns which keys, as a host sees it."""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, replace

from oriolearch.core.directory import KEY_COUNT, Incarnation


@dataclass(frozen=True, slots=True)
class OwnedRange:
    """Neighbouring keys with one owner.

    :param last: the last key, which belongs to the range.
    :param owner: ``None`` while no upstream holds the keys.
    :param expected_at: when they should have an owner again.
    """

    first: int
    last: int
    owner: Incarnation | None
    expected_at: float = 0.0


class OwnerMap:
    """Owners of all keys of a pool, updated range by range."""

    def __init__(self) -> None:
        self.ranges: list[OwnedRange] = [OwnedRange(0, KEY_COUNT - 1, None)]
        self.starts: list[int] = [0]

    def find(self, key: int) -> OwnedRange:
        """Give the range of a key."""
        return self.ranges[bisect_right(self.starts, key) - 1]

    def update(self, changes: Iterable[OwnedRange]) -> None:
        """Lay changed ranges over the known ones."""
        for change in changes:
            self.ranges = list(_overlay(self.ranges, change))
        self.starts = [found.first for found in self.ranges]

    def reset(self, ranges: Iterable[OwnedRange]) -> None:
        """Replace everything that is known."""
        self.ranges = [OwnedRange(0, KEY_COUNT - 1, None)]
        self.update(ranges)


def _overlay(
    ranges: Iterable[OwnedRange],
    change: OwnedRange,
) -> Iterable[OwnedRange]:
    is_placed = False
    for known in ranges:
        if known.last < change.first:
            yield known
            continue
        if known.first < change.first:
            yield replace(known, last=change.first - 1)
        if not is_placed:
            yield change
            is_placed = True
        if known.last > change.last:
            first = max(known.first, change.last + 1)
            yield replace(known, first=first)
