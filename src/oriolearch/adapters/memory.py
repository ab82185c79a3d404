"""The account of the bytes that a host holds for callers and upstreams."""

from collections.abc import Callable, Iterator

from oriolearch.core.memory_budget import HeldKind, Holding, choose_dropped

# The account is checked each time it may have grown by this much, so that a
# check costs little for each request.
CHECK_BYTES = 256 * 1024
DEFAULT_LIMIT_BYTES = 96 * 1024 * 1024

HeldBy = Callable[[], Iterator[Holding]]
OnDropped = Callable[[Holding, int], None]


class MemoryAccount:
    """Bounds all bytes that a host holds for its connections.

    :param limit_bytes: beyond that, something is dropped.
    :ivar sources: each returns what a part of the host holds now.
    :ivar on_dropped: called with what was dropped, and the bytes that all held.
    :ivar unchecked_bytes: most bytes that were added since the last check.
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.sources: list[HeldBy] = []
        self.on_dropped: OnDropped = _ignore
        self.unchecked_bytes = 0

    def grow(self, size: int) -> None:
        """Count bytes that a connection holds from now on."""
        self.unchecked_bytes += size
        if self.unchecked_bytes >= CHECK_BYTES:
            self.check()

    def check(self) -> None:
        """Drop what exceeds the limit."""
        self.unchecked_bytes = 0
        holdings = list(self.holdings())
        held_bytes = sum(holding.held_bytes for holding in holdings)
        if held_bytes <= self.limit_bytes:
            return
        for holding in choose_dropped(holdings, self.limit_bytes):
            holding.drop('the host holds too many bytes')
            self.on_dropped(holding, held_bytes)

    def holdings(self) -> Iterator[Holding]:
        """Yield what all parts of the host hold now."""
        for source in self.sources:
            yield from source()

    def held_bytes(self) -> dict[HeldKind, int]:
        """Return the bytes held of each kind."""
        held = dict.fromkeys(HeldKind, 0)
        for holding in self.holdings():
            held[holding.kind] += holding.held_bytes
        return held


def _ignore(holding: Holding, held_bytes: int) -> None:
    """Report nothing."""
