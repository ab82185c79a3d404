"""What upstreams report about themselves, as known to one host.

An upstream tells it in an answer to one host, but it holds for all of them.
Hosts exchange their notices; the most recent observation of an upstream
counts.
"""

import math
from dataclasses import dataclass

from oriolearch.core.directory import Incarnation

NO_LIMIT = math.inf
# An upstream that takes no requests at all gets one in two seconds, whose
# answer tells when it takes more.
MIN_RATE_LIMIT = 0.5


@dataclass(frozen=True, slots=True)
class Notice:
    """What an upstream reported in an answer.

    :param observed_at: monotonic time of the answer at this host.
    :param rate_limit: requests per second that it takes from all hosts
        together.
    """

    observed_at: float
    rate_limit: float = NO_LIMIT


class NoticeBoard:
    """The notices of all upstreams that are known at one host.

    :ivar rate_limits: those of the upstreams that have one.
    """

    def __init__(self) -> None:
        self.notices: dict[Incarnation, Notice] = {}
        self.rate_limits: dict[Incarnation, float] = {}

    def record(self, ref: Incarnation, notice: Notice) -> bool:
        """Record a notice unless a later one is known.

        :returns: whether it changed what is known.
        """
        present = self.notices.get(ref)
        if present is None:
            if notice.rate_limit == NO_LIMIT:
                return False
        elif notice.observed_at < present.observed_at:
            return False
        self.notices[ref] = notice
        if present is not None and notice.rate_limit == present.rate_limit:
            return False
        if notice.rate_limit == NO_LIMIT:
            self.rate_limits.pop(ref, None)
        else:
            self.rate_limits[ref] = max(notice.rate_limit, MIN_RATE_LIMIT)
        return True

    def rate_limit(self, ref: Incarnation) -> float:
        """Return the requests per second that an upstream takes."""
        return self.rate_limits.get(ref, NO_LIMIT)

    def forget(self, ref: Incarnation) -> None:
        """Forget the notice of an upstream that has ended."""
        self.notices.pop(ref, None)
        self.rate_limits.pop(ref, None)
