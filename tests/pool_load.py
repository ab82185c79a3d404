"""A keyed pool under load, without a network."""

import heapq
import random
from collections.abc import Mapping
from dataclasses import dataclass

from oriolearch.core.directory import Incarnation


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Requests for the keys of a pool whose upstreams differ in speed.

    :param service_times: mean service time of each upstream, in seconds.
    :param rate: requests per second.
    :param spread: standard deviation of the logarithm of the work.
    :param stalled_share: share of the time in which a machine is stalled.
    :param stall_factor: work takes that many times as long then.
    """

    service_times: tuple[float, ...]
    rate: float
    objective_s: float = 0.6
    slots: int = 3
    spread: float = 0.3
    stalled_share: float = 0.2
    stall_factor: float = 3.0
    seconds: float = 60.0

    def refs(self) -> list[Incarnation]:
        """Return the upstreams, in the order of their service times."""
        return [
            Incarnation(f'u{number:03}')
            for number in range(len(self.service_times))
        ]

    def late_share(self, shares: Mapping[Incarnation, float]) -> float:
        """Return the share of the answers that miss the objective.

        :param shares: share of the requests of each upstream, in any unit.
        """
        total = sum(shares.values())
        late = count = 0
        for number, ref in enumerate(self.refs()):
            rate = self.rate * shares[ref] / total
            rng = random.Random(number)
            for waited_s in self._answer_times(rng, number, rate):
                count += 1
                late += waited_s > self.objective_s
        return late / max(count, 1)

    def _answer_times(
        self, rng: random.Random, number: int, rate: float
    ) -> list[float]:
        """Return the times from arrival to answer at one upstream."""
        free_at = [0.0 for _ in range(self.slots)]
        mean_s = self.service_times[number]
        usual_factor = 1 + self.stalled_share * (self.stall_factor - 1)
        times = []
        now = rng.expovariate(rate) if rate else self.seconds
        while now < self.seconds:
            work = rng.lognormvariate(-(self.spread**2) / 2, self.spread)
            is_stalled = rng.random() < self.stalled_share
            factor = self.stall_factor if is_stalled else 1.0
            started_at = max(now, heapq.heappop(free_at))
            ended_at = started_at + mean_s / usual_factor * factor * work
            heapq.heappush(free_at, ended_at)
            times.append(ended_at - now)
            now += rng.expovariate(rate)
        return times
