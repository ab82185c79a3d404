"""Orders kinds of requests that compete for the upstreams of a pool.

The more urgent kind is served first. When there isn't room for all, strict
order would leave the less urgent kinds of the pool without any. Each of them
is therefore served a part of the share that the more urgent ones get, as long
as most requests of those are served. In a worse shortage only urgency counts.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

HALF_LIFE_S = 3.0  # of the counts; a burst lasts a few seconds
RANK_PERIOD_S = 0.1  # between two computations of the order
# A kind goes before a more urgent one while its served share is less than this
# part of the other's.
MIN_SHARE_RATIO = 0.25
# Unless less than this share of the more urgent kind is served.
MIN_URGENT_SHARE = 0.7
MIN_COUNT = 3.0  # requests of a kind from which its share is significant


@dataclass(slots=True)
class _Demand:
    """Recent requests of one kind, with older ones counted for less."""

    asked: float = 0.0
    served: float = 0.0
    counted_at: float = 0.0

    def decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.counted_at) / HALF_LIFE_S)
        self.asked *= factor
        self.served *= factor
        self.counted_at = now

    def served_share(self) -> float:
        """Return the share of requests that got an upstream, 1 if unknown."""
        if self.asked < MIN_COUNT:
            return 1.0
        return min(self.served / self.asked, 1.0)


class FairOrder:
    """Ranks the kinds of requests of one pool, which differ in priority.

    :ivar demands: recent requests by priority; 0 is the most urgent.
    :ivar ranks: rank of each priority; the lowest is served first.
    """

    def __init__(self) -> None:
        self.demands: dict[int, _Demand] = {}
        self.ranks: dict[int, int] = {}
        self.ranked_at = -math.inf

    def record_asked(self, now: float, priority: int) -> None:
        """Count a request that arrived."""
        demand = self.demands.setdefault(priority, _Demand(counted_at=now))
        demand.decay(now)
        demand.asked += 1

    def record_served(self, now: float, priority: int) -> None:
        """Count a request that got an upstream."""
        demand = self.demands.setdefault(priority, _Demand(counted_at=now))
        demand.decay(now)
        demand.served += 1

    def served_shares(self) -> Iterable[tuple[int, float]]:
        """Return the share of each kind that was served, by priority."""
        return [
            (priority, demand.served_share())
            for priority, demand in sorted(self.demands.items())
        ]

    def rank(self, now: float, priority: int) -> int:
        """Return the rank of a kind; the lowest is served first."""
        if now - self.ranked_at >= RANK_PERIOD_S:
            self.ranked_at = now
            self.ranks = self._compute_ranks()
        return self.ranks.get(priority, priority)

    def _compute_ranks(self) -> dict[int, int]:
        """Return the rank of each kind.

        A kind with too small a served share ranks just before the first kind
        whose share it is compared with.
        """
        order: list[tuple[int, float]] = []
        for priority, share in self.served_shares():
            position = next(
                (
                    index
                    for index, (_, other) in enumerate(order)
                    if other >= MIN_URGENT_SHARE
                    and share < MIN_SHARE_RATIO * other
                ),
                len(order),
            )
            order.insert(position, (priority, share))
        return {
            priority: position for position, (priority, _) in enumerate(order)
        }
