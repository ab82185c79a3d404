"""Takes upstreams out for a while on the evidence of live requests."""

FAILURES_IN_A_ROW = 4
SLOW_FACTOR = 5  # against the pool's median
SLOW_FOR_S = 0.4  # shorter slow moments are left to the choice
SLOW_ANSWERS = 4
EJECTION_S = 0.5  # doubles with each ejection in a row
MAX_EJECTION_S = 20


class Evidence:
    """What live requests show of one upstream."""

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

    def answered(self, now: float, latency: float, median: float) -> bool:
        """Take an answer; tell whether it calls for an ejection."""
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
        return self.slow_answers >= SLOW_ANSWERS and slow_for >= SLOW_FOR_S

    def failed(self) -> bool:
        """Take a failure; tell whether it calls for an ejection."""
        self.failures += 1
        return self.failures >= FAILURES_IN_A_ROW

    def eject(self, now: float) -> float:
        """Start an ejection; give its end."""
        duration = EJECTION_S * 2 ** min(self.ejections, 10)
        self.ejected_until = now + min(duration, MAX_EJECTION_S)
        self.ejections += 1
        # One more failure after the return is enough to eject again.
        self.failures = FAILURES_IN_A_ROW - 1
        self.slow_answers = 0
        return self.ejected_until


def may_eject(ejected: int, available: int) -> bool:
    """Tell whether one more may go: at least half of the pool stays in."""
    return 2 * (ejected + 1) <= available
