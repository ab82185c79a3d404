"""What is usual in a pool at the moment, and when to send a second time."""

from oriolearch.core.retries import Budget
from oriolearch.core.targets import Target

# A step of 3 % follows a doubling of the latency within about 25 slow
# answers, and keeps the estimate within about 15 % in a steady state.
QUANTILE_STEP = 0.03
EARLY_FACTOR = 1.5  # first look at a running request, in medians
RESERVE = 0.5  # share of the saved budget kept for late requests
LATE_FACTOR = 1.2  # a later request is late, in p95
START_S = 0.02  # assumed until the first answers
FIRST_ANSWERS = 20  # averaged in with a larger step


class Quantile:
    """A quantile that follows the recent samples in constant time."""

    __slots__ = ('down', 'level', 'samples', 'up')

    def __init__(self, share: float, level: float = START_S) -> None:
        self.up = 1 + QUANTILE_STEP * share
        self.down = 1 - QUANTILE_STEP * (1 - share)
        self.level = level
        self.samples = 0

    def observe(self, sample: float) -> None:
        """Move towards a sample."""
        if not self.samples:
            self.level *= sample / START_S
        factor = self.up if sample > self.level else self.down
        if self.samples < FIRST_ANSWERS:
            self.samples += 1
            factor = factor**4
        self.level *= factor


class Norm:
    """The median and the 95th percentile of a pool's recent latencies.

    :ivar base: mean latency of the least loaded upstream, rises slowly.
    """

    __slots__ = ('base', 'median', 'tail')

    def __init__(self) -> None:
        self.median = Quantile(0.5)
        self.tail = Quantile(0.95, 2 * START_S)
        self.base = START_S

    def observe(self, latency: float) -> None:
        """Take the latency of an answer."""
        self.median.observe(latency)
        self.tail.observe(latency)

    def observe_mean(self, mean: float) -> None:
        """Take the smoothed latency of one upstream."""
        if mean < self.base or self.median.samples < FIRST_ANSWERS:
            self.base = mean
        else:
            self.base += (mean - self.base) * 0.0005


class HedgeTimes:
    """Decides when a request gets its second attempt.

    :ivar budget: hedges as a share of requests.
    """

    __slots__ = ('budget',)

    def __init__(self, budget: Budget) -> None:
        self.budget = budget

    def due(self, now: float, at: float, target: Target, norm: Norm) -> float:
        """Give the time at which the request should be sent again.

        It is the pool's p95 after the first attempt, or earlier when older
        requests show that the upstream is stuck.

        :param at: when the first attempt was decided.
        """
        tail = norm.tail.level
        early = at + min(norm.median.level * EARLY_FACTOR, tail)
        if now < early:
            return early
        return now if target.oldest_age(now) > tail else at + tail

    def allow(self, age: float, norm: Norm) -> bool:
        """Take a hedge from the budget.

        A part of it is kept for requests that are later than usual, so that
        there is enough when an upstream becomes slow.
        """
        is_late = age > LATE_FACTOR * norm.tail.level
        reserve = 0 if is_late else self.budget.burst * RESERVE
        return self.budget.spend(reserve)
