"""Limits the rate of requests to an upstream."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Tokens for requests, whose rate and capacity may change at any time.

    :ivar refilled_at: monotonic time; 0 before the first refill.
    """

    tokens: float = 0.0
    refilled_at: float = 0.0

    @property
    def is_empty(self) -> bool:
        """Return whether there is no token for another request."""
        return self.tokens < 1

    def reset(self) -> None:
        """Begin anew with the next refill."""
        self.refilled_at = 0.0

    def refill(
        self,
        now: float,
        rate: float,
        burst: float,
        recent: int,
        start: float | None = None,
    ) -> None:
        """Add the tokens of the time since the last refill.

        :param rate: tokens per second.
        :param burst: capacity; the bucket holds one token at least.
        :param recent: requests of the last second, which count at the start.
        :param start: tokens at the start; ``None`` for a full bucket.
        """
        if self.refilled_at:
            earned = (now - self.refilled_at) * rate
            self.tokens = min(self.tokens + earned, max(burst, 1.0))
        else:
            tokens = burst if start is None else start
            excess = max(recent - rate, 0)
            # At most a second later there is a token.
            self.tokens = max(tokens - excess, min(1 - rate, tokens))
        self.refilled_at = now

    def spend(self) -> None:
        """Take a token."""
        self.tokens -= 1

    def wait_s(self, rate: float) -> float:
        """Return after how many seconds there is a token."""
        return max(1 - self.tokens, 0.0) / rate
