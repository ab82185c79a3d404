"""Checks of what an upstream asks for in its answers: LIMIT and DRAIN."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

# From CONTACT_S after a limit was first named, WINDOW_S bring at most SHARE of
# what it allows, and SLACK requests, from hosts told TOLD_S before.
CONTACT_S = 3.0
WINDOW_S = 4.0
TOLD_S = 0.5
SHARE = 1.5
SLACK = 5
LEAVING_S = 2.0  # from an answer that says so to the last request


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request at an upstream, with the host that sent it.

    :ivar sent_at: when the caller sent it.
    """

    at: float
    host: str
    sent_at: float


@dataclass
class NoticeRecord:
    """What an upstream got while it named a limit, or left.

    :ivar told: by host, when it first passed on an answer that said so.
    :ivar is_disturbed: whether a fault of its links held up requests.
    """

    begun_at: float
    arrivals: list[Arrival] = field(default_factory=list)
    told: dict[str, float] = field(default_factory=dict)
    is_disturbed: bool = False

    def record_answer(self, now: float, host: str, forgot_at: float) -> None:
        """Record that a host passed on an answer.

        :param forgot_at: when the host was last restarted or frozen.
        """
        if self.told.get(host, float('-inf')) <= forgot_at:
            self.told[host] = now

    def broken_limits(
        self, rate_limit: float, has_fault: Callable[[str], bool]
    ) -> Iterator[str]:
        """Yield a report if the hosts sent more than the limit.

        :param has_fault: whether a host was restarted, frozen or cut off since
            the limit was named, which excuses it.
        """
        counted = [
            arrival.at
            for arrival in self.arrivals
            if arrival.at >= self.begun_at + CONTACT_S
            and self._was_told(arrival)
            and not has_fault(arrival.host)
        ]
        most = max(
            (
                sum(begin <= at < begin + WINDOW_S for at in counted)
                for begin in counted
            ),
            default=0,
        )
        if most > SHARE * rate_limit * WINDOW_S + SLACK:
            if not self.is_disturbed:
                yield f'LIMIT {rate_limit}: {most} in {WINDOW_S} s'

    def late_requests(self, forgot_at: Callable[[str], float]) -> Iterator[str]:
        """Yield a report for each request that came after the leaving."""
        for arrival in self.arrivals:
            told_at = self.told.get(arrival.host, float('inf'))
            is_late = arrival.sent_at > told_at + LEAVING_S
            if is_late and forgot_at(arrival.host) < told_at:
                late_s = arrival.sent_at - told_at
                yield f'DRAIN from {arrival.host}, {late_s:.3f} s after told'

    def _was_told(self, arrival: Arrival) -> bool:
        told_at = self.told.get(arrival.host, float('inf'))
        return told_at + TOLD_S <= arrival.at
