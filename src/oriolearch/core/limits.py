"""Adaptive limit of concurrent requests to one upstream."""

DECREASE_FACTOR = 0.9
MEAN_WEIGHT = 0.1  # of a new latency in the mean


class ConcurrencyLimit:
    """Concurrency limit that grows while the upstream doesn't queue requests.

    As in TCP Vegas, the length of the upstream's queue is estimated from the
    mean latency and the latency without queueing.

    :param slots: requests that the upstream runs at once.
    :param ceiling: upper bound of the limit.
    :ivar level: the limit, which may be fractional; a request is admitted
        while fewer are running.
    """

    __slots__ = ('ceiling', 'reduced_at', 'level', 'mean_latency', 'slots')

    def __init__(self, slots: int, ceiling: int) -> None:
        self.slots = max(slots, 1)
        self.ceiling = max(ceiling, 1)
        self.level = float(min(self.slots, self.ceiling))
        self.mean_latency = 0.0
        self.reduced_at = 0.0

    def record_answer(
        self,
        now: float,
        latency: float,
        running: int,
        base: float,
    ) -> None:
        """Record the latency of an answer and adapt the limit.

        :param running: requests of this host at the upstream, including the
            answered one.
        :param base: latency without queueing.
        """
        self.mean_latency += (latency - self.mean_latency) * (
            MEAN_WEIGHT if self.mean_latency else 1
        )
        queued = (
            running * (1 - base / self.mean_latency)
            if self.mean_latency > base
            else 0
        )
        if queued > self.slots:
            self.reduce(now, DECREASE_FACTOR)
        elif running + 1 > self.level and queued < self.slots / 2:
            self.level = min(self.level + 1 / self.level, self.ceiling)

    def reduce(self, now: float, factor: float) -> None:
        """Reduce the limit, at most once per mean latency."""
        if now - self.reduced_at >= self.mean_latency:
            self.level = max(self.level * factor, 1)
            self.reduced_at = now

    def restart(self) -> None:
        """Reset the limit to one request, as for an upstream that returned."""
        self.level = 1.0
        self.mean_latency = 0.0
