"""Tells refused callers when to come back.

A queue that is only long for a moment has room again once it is shorter. While
more requests arrive than are served it gets no shorter, and callers who come
back at once are refused again. They are asked to stay away until such a
shortage has usually passed, and at different times, so that they do not return
together.
"""

import math
import random
from dataclasses import dataclass, field

from oriolearch.core.directory import Incarnation

ARRIVALS_HALF_LIFE_S = 1.0
MIN_RETURN_S = 0.05
# Bursts of demand and hot keys last a few seconds. Callers with less time
# return sooner anyway.
SHORTAGE_RETURN_S = 1.0
# A queue whose upstreams are used more than this hardly gets shorter.
MAX_UTILISATION = 0.95
# Up to this, callers who come back in time for their objective may find room.
SEVERE_UTILISATION = 1.5
SPREAD_SHARE = 0.5  # of the time by which returns are spread


@dataclass(slots=True)
class _Arrivals:
    """Recent requests for one owner, or for a whole plain pool."""

    count: float = 0.0
    counted_at: float = 0.0

    def decay(self, now: float) -> None:
        self.count *= 0.5 ** ((now - self.counted_at) / ARRIVALS_HALF_LIFE_S)
        self.counted_at = now


@dataclass(slots=True)
class ReturnTimes:
    """When the refused callers of one pool should come back.

    :ivar arrivals: recent requests by owner, also the refused ones.
    """

    rng: random.Random
    arrivals: dict[Incarnation | None, _Arrivals] = field(default_factory=dict)

    def record_arrival(self, now: float, owner: Incarnation | None) -> None:
        """Count a request that arrived."""
        arrivals = self.arrivals.setdefault(owner, _Arrivals(counted_at=now))
        arrivals.decay(now)
        arrivals.count += 1

    def forget(self, owner: Incarnation) -> None:
        """Discard what is known of an upstream that is gone."""
        self.arrivals.pop(owner, None)

    def find(
        self,
        now: float,
        owner: Incarnation | None,
        late_s: float,
        rate: float,
        slack_s: float,
    ) -> float:
        """Return after how many seconds a refused caller should come back.

        :param late_s: by how much the answer would miss its deadline.
        :param rate: requests per second that can be served.
        :param slack_s: time in which the caller can come back and still get
            an answer that meets its latency objective.
        """
        utilisation = self._arrival_rate(now, owner) / rate
        if utilisation < MAX_UTILISATION:
            drained_s = late_s / (1 - utilisation)
            expected_s = min(max(drained_s, MIN_RETURN_S), SHORTAGE_RETURN_S)
        else:
            expected_s = SHORTAGE_RETURN_S
        is_severe = utilisation >= SEVERE_UTILISATION
        latest_s = slack_s / (1 + SPREAD_SHARE)
        if not is_severe and MIN_RETURN_S < latest_s < expected_s:
            expected_s = latest_s
        return self.spread(max(expected_s, late_s))

    def spread(self, expected_s: float) -> float:
        """Return a random time from an expected one on."""
        return expected_s * (1 + SPREAD_SHARE * self.rng.random())

    def _arrival_rate(self, now: float, owner: Incarnation | None) -> float:
        arrivals = self.arrivals.get(owner)
        if arrivals is None:
            return 0.0
        arrivals.decay(now)
        return arrivals.count * math.log(2) / ARRIVALS_HALF_LIFE_S
