"""Decides when the keys of a new pool are divided among its upstreams.

The upstreams of a new installation register one after another, within some
seconds. Keys that are divided among the first of them have to move again, and
the first requests meet a few upstreams that own all keys.
"""

from collections.abc import Collection
from dataclasses import dataclass

from oriolearch.core.directory import Incarnation

SETTLED_AFTER_S = 1.0  # registrations of one start follow each other faster
MAX_WAIT_S = 5.0  # for upstreams that keep coming and going


@dataclass(slots=True)
class PoolOpening:
    """Waits until the upstreams of a pool without owners have registered.

    :ivar began_at: time at which the first upstream was seen.
    :ivar changed_at: time of the last change of the upstreams.
    """

    upstreams: frozenset[Incarnation] = frozenset()
    began_at: float = 0.0
    changed_at: float = 0.0

    def is_due(
        self,
        now: float,
        upstreams: Collection[Incarnation],
        *,
        has_requests: bool,
    ) -> bool:
        """Return whether to divide the keys among the upstreams now.

        Requests do not wait for further upstreams.
        """
        if not upstreams:
            self.upstreams = frozenset()
            return False
        if not self.upstreams:
            self.began_at = now
        if self.upstreams != frozenset(upstreams):
            self.upstreams = frozenset(upstreams)
            self.changed_at = now
        return (
            has_requests
            or now - self.changed_at >= SETTLED_AFTER_S
            or now - self.began_at >= MAX_WAIT_S
        )
