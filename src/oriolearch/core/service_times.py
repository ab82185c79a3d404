"""Estimates of the time in which an upstream answers a request.

The dispatcher, the plan of owners and refusals ask the same question, when a
request gets its answer. It is answered here from what is known of an upstream:
its mean service time, how much service times vary, its queue, and how much its
machine is slowed down at the moment.
"""

import math
from dataclasses import dataclass

# Standard deviation of the logarithm of service times, before any answer.
INITIAL_SPREAD = 0.6
MAX_SPREAD = 1.5
SPREAD_WEIGHT = 0.02  # of a new answer in the spread
MEAN_SLOWDOWN_WEIGHT = 0.05  # of a new report in the mean slowdown
# A machine's load changes several times a second, so that a report has lost
# most of its significance after this.
SLOWDOWN_DECAY_S = 0.3
# A report of more than this, in either direction, says that the machine is slow
# or not, and no number that estimates should follow.
MAX_RELATIVE_SLOWDOWN = 5.0
# At higher utilisations the wait in the queue depends on each burst.
MAX_UTILISATION = 0.95

_SQRT_2 = math.sqrt(2)


@dataclass(slots=True)
class Slowdown:
    """How much the machine of an upstream slows down its work.

    :ivar latest: service time as a multiple of the usual one, as reported last.
    :ivar mean: mean of the reports.
    :ivar reported_at: time of the last report.
    """

    latest: float = 1.0
    mean: float = 1.0
    reported_at: float = -math.inf

    def record(self, now: float, factor: float) -> None:
        """Record a report, which came with an answer."""
        if self.reported_at == -math.inf:
            self.mean = factor
        self.mean += (factor - self.mean) * MEAN_SLOWDOWN_WEIGHT
        self.latest = factor
        self.reported_at = now

    def relative(self, now: float) -> float:
        """Return the expected slowdown now, as a multiple of the mean."""
        age_s = now - self.reported_at
        if age_s > 10 * SLOWDOWN_DECAY_S:
            return 1.0
        significance = math.exp(-age_s / SLOWDOWN_DECAY_S)
        relative = min(
            max(self.latest / self.mean, 1 / MAX_RELATIVE_SLOWDOWN),
            MAX_RELATIVE_SLOWDOWN,
        )
        return 1 + (relative - 1) * significance


@dataclass(slots=True)
class Spread:
    """How much the service times of a pool vary.

    :ivar variance: of the logarithm of a service time divided by the mean
        service time of its upstream.
    """

    variance: float = INITIAL_SPREAD**2

    def record(self, service_s: float, mean_s: float) -> None:
        """Include a service time."""
        if service_s <= 0 or mean_s <= 0:
            return
        # The logarithm of a service time is below that of the mean by half of
        # its variance.
        deviation = math.log(service_s / mean_s) + self.variance / 2
        deviation = min(max(deviation, -2 * MAX_SPREAD), 2 * MAX_SPREAD)
        self.variance += (deviation**2 - self.variance) * SPREAD_WEIGHT


def late_probability(mean_s: float, spread: float, left_s: float) -> float:
    """Return the probability that a time exceeds what is left.

    :param mean_s: mean of the time, in seconds.
    :param spread: standard deviation of its logarithm.
    :param left_s: seconds that are left.
    """
    if left_s <= 0:
        return 1.0
    log_left = math.log(left_s / mean_s) + spread**2 / 2
    return math.erfc(log_left / spread / _SQRT_2) / 2


@dataclass(frozen=True, slots=True)
class Capability:
    """How fast an upstream answers, as far as it is known.

    :param mean_s: mean service time, in seconds.
    :param spread: standard deviation of the logarithm of service times.
    """

    slots: int
    mean_s: float
    spread: float = INITIAL_SPREAD

    @property
    def rate(self) -> float:
        """Return the requests per second that it can serve."""
        return self.slots / self.mean_s

    def late_share(self, utilisation: float, objective_s: float) -> float:
        """Return the share of answers that miss a latency objective.

        :param utilisation: share of the time in which its slots are busy.
        """
        left_s = objective_s - self.queue_s(utilisation)
        return late_probability(self.mean_s, self.spread, left_s)

    def queue_s(self, utilisation: float) -> float:
        """Return the mean wait for a slot, in seconds.

        This is the approximation of Sakasegawa for a queue with several
        servers and arrivals at random.
        """
        busy = min(utilisation, MAX_UTILISATION)
        exponent = math.sqrt(2 * (self.slots + 1)) - 1
        variation = (1 + math.expm1(self.spread**2)) / 2
        queue = math.pow(busy, exponent) / self.slots / (1 - busy)
        return self.mean_s * variation * queue
