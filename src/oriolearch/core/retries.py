"""Budgets that bound extra requests to a share of the ordinary ones."""


class Budget:
    """A token bucket filled by requests.

    :param share: extra requests allowed for each request.
    :param burst: extra requests that may be saved up.
    """

    __slots__ = ('burst', 'share', 'tokens')

    def __init__(
        self,
        share: float,
        burst: float,
        start: float = 0,
    ) -> None:
        self.share = share
        self.burst = burst
        self.tokens = start if share else 0.0

    def earn(self) -> None:
        """Count an ordinary request."""
        tokens = self.tokens + self.share
        self.tokens = tokens if tokens < self.burst else self.burst

    def spend(self, reserve: float = 0) -> bool:
        """Take one extra request unless that cuts into a reserve."""
        if self.tokens < 1 + reserve:
            return False
        self.tokens -= 1
        return True
