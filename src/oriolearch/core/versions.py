"""Finds changes of a store that a silent poll has not delivered.

The store numbers its transactions in sequence, and each answer names the
newest number. A number that belongs to no known change may be a change of a
table that is followed.
"""

from collections.abc import Iterable


class VersionLedger:
    """The versions of a store whose changes are known.

    :ivar newest: newest version that the store has named.
    :ivar named_at: when the store last named its newest version, in seconds.
    :ivar settled: up to this version all changes are known.
    :ivar known: later versions whose changes are known.
    """

    def __init__(self) -> None:
        self.newest = 0
        self.named_at = float('-inf')
        self.settled = 0
        self.known: set[int] = set()

    def record_changes(self, versions: Iterable[int]) -> None:
        """Record versions whose changes have been read or written."""
        self.known.update(
            version for version in versions if version > self.settled
        )
        self._settle_known()

    def record_newest(self, now: float, version: int) -> None:
        """Record the newest version that an answer of the store names."""
        self.newest = max(self.newest, version)
        self.named_at = now

    def settle(self, version: int) -> None:
        """Record that all followed tables are known up to a version."""
        if version <= self.settled:
            return
        self.settled = version
        self.known = {later for later in self.known if later > version}
        self._settle_known()

    def has_unknown(self) -> bool:
        """Return whether a followed table may have changed unnoticed."""
        return self.settled < self.newest

    def _settle_known(self) -> None:
        while self.settled + 1 in self.known:
            self.settled += 1
            self.known.remove(self.settled)
