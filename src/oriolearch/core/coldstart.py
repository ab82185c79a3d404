"""Slow start of an upstream that is cold.

Only the dispatching host of a cold upstream sends it requests, in growing
numbers. The coordinator's list names that host. An upstream that sheds like
a cold one but is not listed gets no requests until it is listed or AVOID_S
have passed. Requests for a key that the upstream owns are exempt, see
``Fleet.owner``.
"""

from oriolearch.core.errors import InvariantError

COLD_AFTER_SHEDS = 2  # consecutive sheds that show a cold upstream
AVOID_S = 1.0  # two syncs and a health check, until the coordinator lists it
# An answer that takes more than this many pool medians resets the count of
# good answers.
GOOD_LATENCY_FACTOR = 4
INITIAL_ANSWERS_NEEDED = 10  # good answers before the first increase
MAX_ANSWERS_NEEDED = 200  # after repeated shedding
WARM_ANSWERS = 20  # consecutive good answers at full load


class ColdStart:
    """Slow start state of one upstream.

    :ivar dispatching_host: host that the coordinator's list names; ``None``
        if the upstream is not listed as cold.
    :ivar allowed_running: requests that may run there at once.
    :ivar good_answers: good answers since the last increase.
    :ivar answers_needed: good answers before one more request is allowed;
        doubles when the upstream sheds after an increase.
    :ivar avoided_until: end of the time in which it is avoided as cold.
    """

    __slots__ = (
        'allowed_running',
        'dispatching_host',
        'good_answers',
        'avoided_until',
        'answers_needed',
        'consecutive_sheds',
    )

    def __init__(self) -> None:
        self.dispatching_host: str | None = None
        self.allowed_running = 1
        self.good_answers = 0
        self.answers_needed = INITIAL_ANSWERS_NEEDED
        self.consecutive_sheds = 0
        self.avoided_until = 0.0

    def set_dispatching_host(self, dispatching_host: str | None) -> None:
        """Set the dispatching host; ``None`` ends the cold start."""
        if self.dispatching_host is None and dispatching_host is not None:
            self.allowed_running = 1
            self.good_answers = 0
            self.answers_needed = INITIAL_ANSWERS_NEEDED
        if dispatching_host is not None or self.dispatching_host is not None:
            self.avoided_until = 0.0
        self.dispatching_host = dispatching_host

    def record_shed(self, now: float, running: int) -> bool:
        """Record a shed request; return whether the upstream seems cold.

        An upstream that sheds the only request of this host is cold.

        :param running: requests of this host at the upstream, including the
            shed one.
        """
        if self.allowed_running > 1:
            self.answers_needed = min(
                self.answers_needed * 2, MAX_ANSWERS_NEEDED
            )
        self.allowed_running = 1
        self.good_answers = 0
        self.consecutive_sheds += 1
        if self.dispatching_host is None and (
            running <= 1 or self.consecutive_sheds >= COLD_AFTER_SHEDS
        ):
            self.avoided_until = now + AVOID_S
            return True
        return False

    def record_answer(self, latency: float, median: float, slots: int) -> None:
        """Record an answer; allow one more request after enough good ones."""
        self.consecutive_sheds = 0
        if self.dispatching_host is None:
            return
        if latency > GOOD_LATENCY_FACTOR * median:
            self.good_answers = 0
            return
        self.good_answers += 1
        if (
            self.good_answers >= self.answers_needed
            and self.allowed_running < slots
        ):
            self.allowed_running += 1
            self.good_answers = 0

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is in its slow start."""
        return self.dispatching_host is not None or now < self.avoided_until

    def is_warm(self, slots: int) -> bool:
        """Return whether answers show that the cold start has ended."""
        return (
            self.allowed_running >= slots and self.good_answers >= WARM_ANSWERS
        )

    def free_capacity(self, host: str, total: int) -> int:
        """Return the number of requests that this host may still send.

        :param total: running requests of all hosts at the upstream.
        """
        return (
            self.allowed_running - total if self.dispatching_host == host else 0
        )


def check_cold_limit(
    cold_start: ColdStart, upstream: str, host: str, total: int
) -> None:
    """Verify that a cold upstream gets no more requests than allowed.

    :raises InvariantError: if this host may not send it another request.
    """
    if cold_start.free_capacity(host, total) <= 0:
        raise InvariantError(
            'cold-limit',
            f'{upstream} with the dispatching host '
            f'{cold_start.dispatching_host} runs {total} of '
            f'{cold_start.allowed_running} allowed requests, '
            f'but {host} sends one more',
        )
