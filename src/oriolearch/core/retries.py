"""Budget that limits retries and hedges to a share of the requests."""


class Budget:
    """A token bucket that each request fills by a share of a token.

    :param share: tokens added for each request.
    :param burst: capacity of the bucket in tokens.
    :param start: tokens at the start.
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
        """Add the tokens for one request."""
        tokens = self.tokens + self.share
        self.tokens = tokens if tokens < self.burst else self.burst

    def spend(self, reserve: float = 0) -> bool:
        """Take a token unless fewer than ``reserve`` would remain.

        Return whether a token was taken.
        """
        if self.tokens < 1 + reserve:
            return False
        self.tokens -= 1
        return True
