"""Outlier detection: temporary ejection of failing or slow upstreams."""

MAX_CONSECUTIVE_FAILURES = 4
SLOW_FACTOR = 5  # an answer that takes more pool medians is slow
# An upstream that is slow for a shorter time is not ejected, since the choice
# of upstreams avoids it anyway.
MIN_SLOW_S = 0.4
MIN_SLOW_ANSWERS = 4
EJECTION_S = 0.5  # doubles with each consecutive ejection
MAX_EJECTION_S = 20


class OutlierDetector:
    """Detects from live requests when to eject one upstream.

    :ivar failures: consecutive failures.
    :ivar slow_answers: consecutive slow answers.
    :ivar ejections: consecutive ejections.
    """

    __slots__ = (
        'ejected_until',
        'ejections',
        'failures',
        'slow_answers',
        'slow_since',
    )

    def __init__(self) -> None:
        self.failures = 0
        self.slow_answers = 0
        self.slow_since = 0.0
        self.ejected_until = 0.0
        self.ejections = 0

    def record_answer(self, now: float, latency: float, median: float) -> bool:
        """Record an answer; return whether to eject the upstream."""
        self.failures = 0
        if latency < median * SLOW_FACTOR:
            self.slow_answers = 0
            if now > self.ejected_until + 2 * EJECTION_S:
                self.ejections = 0
            return False
        if not self.slow_answers:
            self.slow_since = now
        self.slow_answers += 1
        slow_for = now - self.slow_since
        return self.slow_answers >= MIN_SLOW_ANSWERS and slow_for >= MIN_SLOW_S

    def record_failure(self) -> bool:
        """Record a failure; return whether to eject the upstream."""
        self.failures += 1
        return self.failures >= MAX_CONSECUTIVE_FAILURES

    def eject(self, now: float) -> float:
        """Start an ejection and return its end."""
        duration = EJECTION_S * 2 ** min(self.ejections, 10)
        self.ejected_until = now + min(duration, MAX_EJECTION_S)
        self.ejections += 1
        # A single failure after the ejection is enough to eject again.
        self.failures = MAX_CONSECUTIVE_FAILURES - 1
        self.slow_answers = 0
        return self.ejected_until


def may_eject(ejected: int, available: int) -> bool:
    """Return whether half of the pool remains after one more ejection."""
    return 2 * (ejected + 1) <= available
