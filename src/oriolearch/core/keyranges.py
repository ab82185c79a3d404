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
            self._lay(change)

    def reset(self, ranges: Iterable[OwnedRange]) -> None:
        """Replace everything that is known."""
        self.ranges = [OwnedRange(0, KEY_COUNT - 1, None)]
        self.starts = [0]
        self.update(ranges)

    def _lay(self, change: OwnedRange) -> None:
        low = bisect_right(self.starts, change.first) - 1
        high = bisect_right(self.starts, change.last) - 1
        before = self.ranges[low]
        after = self.ranges[high]
        pieces = [change]
        if before.first < change.first:
            pieces.insert(0, replace(before, last=change.first - 1))
        if after.last > change.last:
            pieces.append(replace(after, first=change.last + 1))
        self.ranges[low : high + 1] = pieces
        self.starts[low : high + 1] = [piece.first for piece in pieces]
