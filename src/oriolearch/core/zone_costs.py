"""Decides when a request leaves its availability zone.

Traffic between zones is slower and costs money, yet the upstreams of a zone are
sometimes too few. A request leaves its zone when that makes its answer in time
more probable, by more than a price that grows with the bytes it moves. Because
the price is due in each direction, two zones never send each other the requests
that they could serve themselves.
"""

from dataclasses import dataclass

from oriolearch.core.service_times import late_probability

# Probability of an answer in time that has to be gained by leaving the zone.
LEAVE_PRICE = 0.03
UPLOAD_LEAVE_PRICE = 0.3  # uploads move about a hundred times the bytes
# Part of the objective that an answer has to come earlier to be worth as much
# as a gain of one in time: among answers in time, the faster one is better.
TIME_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class RequestTiming:
    """Where a request comes from, and when its answer is due.

    :param zone: zone of the host that forwards it.
    :param left_s: seconds until its latency objective.
    :param objective_s: scale of the time that counts, in seconds.
    :param spread: standard deviation of the logarithm of service times.
    """

    zone: str
    left_s: float
    objective_s: float
    spread: float
    is_upload: bool

    def price(self, zone: str) -> float:
        """Return what an upstream's zone costs, as a probability."""
        if zone == self.zone:
            return 0.0
        return UPLOAD_LEAVE_PRICE if self.is_upload else LEAVE_PRICE

    def cost(self, zone: str, answer_s: float) -> float:
        """Return the cost of an upstream; the lowest is chosen.

        :param answer_s: expected time until its answer, in seconds.
        """
        late = late_probability(answer_s, self.spread, self.left_s)
        return (
            late + TIME_WEIGHT * answer_s / self.objective_s + self.price(zone)
        )
