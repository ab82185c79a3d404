"""Adaptive limit of concurrent requests to one upstream."""

DECREASE = 0.9
MEAN_SHARE = 0.1  # weight of a new latency in the mean


class ConcurrencyLimit:
    """Grows while requests do not queue at the upstream.

    The queue is estimated from the mean latency against the latency without
    queueing, as TCP Vegas does.

    :ivar level: limit as a fraction; requests stay below it.
    """

    __slots__ = ('ceiling', 'changed', 'level', 'mean', 'slots')

    def __init__(self, slots: int, ceiling: int) -> None:
        self.slots = max(slots, 1)
        self.ceiling = max(ceiling, 1)
        self.level = float(min(self.slots, self.ceiling))
        self.mean = 0.0
        self.changed = 0.0

    def answered(
        self,
        now: float,
        latency: float,
        running: int,
        base: float,
    ) -> None:
        """Take an answer.

        :param running: own requests at the upstream, this one included.
        :param base: latency without queueing.
        """
        self.mean += (latency - self.mean) * (MEAN_SHARE if self.mean else 1)
        queued = running * (1 - base / self.mean) if self.mean > base else 0
        if queued > self.slots:
            self.reduce(now, DECREASE)
        elif running + 1 > self.level and queued < self.slots / 2:
            self.level = min(self.level + 1 / self.level, self.ceiling)

    def reduce(self, now: float, factor: float) -> None:
        """Lower the limit, at most once for each round of answers."""
        if now - self.changed >= self.mean:
            self.level = max(self.level * factor, 1)
            self.changed = now

    def restart(self) -> None:
        """Begin anew with one request, as for an upstream that returned."""
        self.level = 1.0
        self.mean = 0.0
