"""Order what a store says, and find changes that a silent poll has missed.

The store numbers its transactions in sequence, and each answer names the
newest number. A number that belongs to no known change may be a change of a
table that is followed.

A store that comes back from an earlier copy has lost its latest transactions
and gives out their numbers again. It begins a new era then, so numbers are
only comparable within an era.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple


class StoreVersion(NamedTuple):
    """A position in the history of a store, ordered by era first.

    :param era: grows each time the store comes back from an earlier copy; 0
        for a store that names none.
    :param number: number of the store's transaction; 0 is before the first.
    """

    era: int = 0
    number: int = 0

    def __str__(self) -> str:
        """Return the text for logs."""
        return f'{self.era}.{self.number}'


ABSENT = StoreVersion()  # version of a row that does not exist


class VersionLedger:
    """The versions of a store whose changes are known.

    :ivar known_era: era that the store named last; ``None`` before that.
    :ivar on_era: called when an era becomes known, with whether the store has
        come back from an earlier copy since another one was.
    :ivar newest: newest version that the store has named.
    :ivar named_at: when the store last named its newest version, in seconds.
    :ivar settled: up to this version all changes are known.
    :ivar known: later numbers of the present era whose changes are known.
    """

    def __init__(self) -> None:
        self.known_era: int | None = None
        self.on_era: Callable[[bool], None] = _ignore_era
        self.newest = StoreVersion()
        self.named_at = float('-inf')
        self.settled = StoreVersion()
        self.known: set[int] = set()

    @property
    def era(self) -> int:
        """Return the present era of the store."""
        return self.known_era or 0

    def record_era(self, era: int) -> None:
        """Record the era that the store or another host names."""
        is_first = self.known_era is None
        if not is_first and era <= self.era:
            return
        self.known_era = era
        self.newest = self.settled = StoreVersion(era)
        self.known.clear()
        self.on_era(not is_first)

    def record_changes(self, versions: Iterable[StoreVersion]) -> None:
        """Record versions whose changes have been read or written."""
        self.known.update(
            version.number
            for version in versions
            if version.era == self.era and version > self.settled
        )
        self._settle_known()

    def record_newest(self, now: float, version: StoreVersion) -> None:
        """Record the newest version that an answer of the store names."""
        self.newest = max(self.newest, version)
        self.named_at = now

    def settle(self, version: StoreVersion) -> None:
        """Record that all followed tables are known up to a version."""
        if version <= self.settled:
            return
        self.settled = version
        self.known = {later for later in self.known if later > version.number}
        self._settle_known()

    def has_unknown(self) -> bool:
        """Return whether a followed table may have changed unnoticed."""
        return self.settled < self.newest

    def _settle_known(self) -> None:
        while self.settled.number + 1 in self.known:
            number = self.settled.number + 1
            self.settled = StoreVersion(self.era, number)
            self.known.remove(number)


def _ignore_era(is_restored: bool) -> None:
    """Do nothing when an era becomes known."""
