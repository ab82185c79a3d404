"""Recent latencies of a pool, and when to hedge a request."""

from oriolearch.core.retries import Budget
from oriolearch.core.targets import Target

# A step of 3 % follows a doubling of the latency within about 25 slow answers
# and keeps the estimate within about 15 % in a steady state.
QUANTILE_STEP = 0.03
EARLY_HEDGE_MEDIANS = 1.5  # age at which a hedge is first considered
LATE_RESERVE_SHARE = 0.5  # of the budget's burst, reserved for late requests
LATE_FACTOR = 1.2  # a request that runs for more than this many p95 is late
INITIAL_LATENCY_S = 0.02  # assumed until the first answer
INITIAL_SAMPLES = 20  # samples that use a larger step


class Quantile:
    """Estimate of a quantile of recent samples, updated in constant time.

    :param share: the quantile, such as 0.95.
    :ivar level: the estimate.
    """

    __slots__ = ('down', 'level', 'samples', 'up')

    def __init__(self, share: float, level: float = INITIAL_LATENCY_S) -> None:
        self.up = 1 + QUANTILE_STEP * share
        self.down = 1 - QUANTILE_STEP * (1 - share)
        self.level = level
        self.samples = 0

    def observe(self, sample: float) -> None:
        """Move the estimate towards a sample."""
        if not self.samples:
            self.level *= sample / INITIAL_LATENCY_S
        factor = self.up if sample > self.level else self.down
        if self.samples < INITIAL_SAMPLES:
            self.samples += 1
            factor = factor**4
        self.level *= factor


class PoolLatency:
    """Median and 95th percentile of a pool's recent latencies.

    :ivar tail: the 95th percentile.
    :ivar base: latency without queueing: the lowest mean latency of an
        upstream, which rises slowly while it is exceeded.
    """

    __slots__ = ('base', 'median', 'tail')

    def __init__(self) -> None:
        self.median = Quantile(0.5)
        self.tail = Quantile(0.95, 2 * INITIAL_LATENCY_S)
        self.base = INITIAL_LATENCY_S

    def observe(self, latency: float) -> None:
        """Record the latency of an answer."""
        self.median.observe(latency)
        self.tail.observe(latency)

    def observe_mean(self, mean: float) -> None:
        """Record the mean latency of one upstream."""
        if mean < self.base or self.median.samples < INITIAL_SAMPLES:
            self.base = mean
        else:
            self.base += (mean - self.base) * 0.0005


class HedgePolicy:
    """Decides when a request is hedged.

    :ivar budget: limits hedges to a share of the requests.
    """

    __slots__ = ('budget',)

    def __init__(self, budget: Budget) -> None:
        self.budget = budget

    def hedge_at(
        self,
        now: float,
        started_at: float,
        target: Target,
        pool_latency: PoolLatency,
    ) -> float:
        """Return the time at which to hedge a request.

        It is the pool's p95 after the start of the first attempt, or earlier
        if older requests show that the upstream is stuck.

        :param started_at: start of the first attempt.
        :param target: upstream of the first attempt.
        """
        tail = pool_latency.tail.level
        early = started_at + min(
            pool_latency.median.level * EARLY_HEDGE_MEDIANS, tail
        )
        if now < early:
            return early
        return now if target.oldest_age(now) > tail else started_at + tail

    def try_spend(self, age: float, pool_latency: PoolLatency) -> bool:
        """Take a token for a hedge; return whether the budget had one.

        A part of the budget is reserved for late requests, so that it
        suffices when an upstream becomes slow.

        :param age: seconds since the start of the first attempt.
        """
        is_late = age > LATE_FACTOR * pool_latency.tail.level
        reserve = 0 if is_late else self.budget.burst * LATE_RESERVE_SHARE
        return self.budget.spend(reserve)
