"""Maps keys to the upstreams that own them, as last reported to a host."""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, replace

from oriolearch.core.directory import KEY_COUNT, Incarnation


@dataclass(frozen=True, slots=True)
class OwnedRange:
    """Consecutive keys with one owner.

    :param last: the last key, inclusive.
    :param owner: ``None`` while no upstream owns the keys.
    :param expected_at: time at which the keys should have an owner again.
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
        """Return the range of a key."""
        return self.ranges[bisect_right(self.starts, key) - 1]

    def update(self, changes: Iterable[OwnedRange]) -> None:
        """Replace the owners of the changed ranges."""
        for change in changes:
            self._replace_range(change)

    def reset(self, ranges: Iterable[OwnedRange]) -> None:
        """Replace the owners of all keys."""
        self.ranges = [OwnedRange(0, KEY_COUNT - 1, None)]
        self.starts = [0]
        self.update(ranges)

    def _replace_range(self, change: OwnedRange) -> None:
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
