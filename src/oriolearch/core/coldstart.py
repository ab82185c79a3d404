"""Shares the little work that a cold upstream bears.

One host is in charge of a cold upstream and ramps its work up; all others
send nothing. The coordinator's list names it; an upstream that answers show
to be cold is left alone until that list names a host or the hold ends.
"""

from oriolearch.core.errors import InvariantError

SHEDS_IN_A_ROW = 2
HOLD_S = 1.0  # the coordinator's list needs two syncs and a health check
GOOD_FACTOR = 4  # against the pool's median: later answers stop the ramp
WARM_ANSWERS = 20  # good answers in a row at full work


class Ramp:
    """State of one upstream that is cold, or may be.

    :ivar charged: host that the coordinator's list names, if any.
    :ivar allowed: requests that the host in charge may have running.
    """

    __slots__ = ('allowed', 'charged', 'good', 'held_until', 'sheds')

    def __init__(self) -> None:
        self.charged: str | None = None
        self.allowed = 1
        self.good = 0
        self.sheds = 0
        self.held_until = 0.0

    def announce(self, charged: str | None) -> None:
        """Take the coordinator's word; ``None`` ends the cold start."""
        if self.charged is None and charged is not None:
            self.allowed = 1
            self.good = 0
        if charged is not None or self.charged is not None:
            self.held_until = 0.0
        self.charged = charged

    def shed(self, now: float, running: int) -> bool:
        """Take a proof of shedding; tell whether it shows a cold start.

        An upstream that sheds the only request that it has is cold.

        :param running: own requests at the upstream, this one included.
        """
        self.allowed = 1
        self.good = 0
        self.sheds += 1
        if self.charged is None and (
            running <= 1 or self.sheds >= SHEDS_IN_A_ROW
        ):
            self.held_until = now + HOLD_S
            return True
        return False

    def answered(self, latency: float, median: float, slots: int) -> None:
        """Take an answer; enough good ones let the work grow."""
        self.sheds = 0
        if self.charged is None:
            return
        if latency > GOOD_FACTOR * median:
            self.good = 0
            return
        self.good += 1
        if self.good >= self.allowed * 2 and self.allowed < slots:
            self.allowed += 1
            self.good = 0

    def is_cold(self, now: float) -> bool:
        """Tell whether the upstream takes only ramped work."""
        return self.charged is not None or now < self.held_until

    def is_warm(self, slots: int) -> bool:
        """Tell whether live requests show the end of the cold start."""
        return self.allowed >= slots and self.good >= WARM_ANSWERS

    def room(self, host: str, total: int) -> int:
        """Count the requests that this host may still send.

        :param total: requests of all hosts that still run there.
        """
        return self.allowed - total if self.charged == host else 0


def check_cold(ramp: Ramp, upstream: str, host: str, total: int) -> None:
    """Verify that a cold upstream gets no more than it bears.

    :raises InvariantError: when this host has no room there.
    """
    if ramp.room(host, total) <= 0:
        raise InvariantError(
            'cold-limit',
            f'{upstream} in charge of {ramp.charged} has {total} requests '
            f'of {ramp.allowed}, {host} sends one more',
        )
