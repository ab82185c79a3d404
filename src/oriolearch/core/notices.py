"""What upstreams report about themselves, as known to one host.

An upstream tells it in an answer to one host, but it holds for all of them.
Hosts exchange their notices, and the most recent observation of an upstream
counts. A notice is sent where it matters, and only once:

* with a reservation, its decision and its release, so that the dispatching
  host of an upstream and the hosts that send to it know the same, also while
  there is no coordinator;
* to the coordinator, and from it to all hosts, so that a host knows it before
  its first request.
"""

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from oriolearch.core.directory import Incarnation, parse_incarnation

NO_LIMIT = math.inf
# An upstream that takes no requests at all gets one in two seconds, whose
# answer tells when it takes more.
MIN_RATE_LIMIT = 0.5
MAX_NOTICES = 10_000  # of upstreams that this host may not know yet

Encoded = list[list[Any]]


@dataclass(frozen=True, slots=True)
class Facts:
    """What an upstream reported.

    :param rate_limit: requests per second that it takes from all hosts
        together.
    """

    rate_limit: float = NO_LIMIT


NO_FACTS = Facts()


@dataclass(frozen=True, slots=True)
class Notice:
    """What an upstream reported in an answer.

    :param observed_at: monotonic time of the answer, at this host.
    """

    facts: Facts
    observed_at: float


class NoticeBoard:
    """The notices of all upstreams that are known at one host.

    :ivar rate_limits: those of the upstreams that have one.
    """

    def __init__(self) -> None:
        self.notices: dict[Incarnation, Notice] = {}
        self.rate_limits: dict[Incarnation, float] = {}

    def facts_of(self, ref: Incarnation) -> Facts:
        """Return what an upstream reported last."""
        notice = self.notices.get(ref)
        return notice.facts if notice else NO_FACTS

    def record(self, ref: Incarnation, notice: Notice) -> bool:
        """Record a notice unless a later one is known.

        :returns: whether it changed what is known.
        """
        present = self.notices.get(ref)
        previous = present.facts if present else NO_FACTS
        if present is not None and notice.observed_at < present.observed_at:
            return False
        if present is None and not self._is_worth_keeping(notice.facts):
            return False
        self.notices[ref] = notice
        if notice.facts == previous:
            return False
        if notice.facts.rate_limit == NO_LIMIT:
            self.rate_limits.pop(ref, None)
        else:
            self.rate_limits[ref] = max(notice.facts.rate_limit, MIN_RATE_LIMIT)
        return True

    def forget(self, ref: Incarnation) -> None:
        """Forget the notice of an upstream that has ended."""
        self.notices.pop(ref, None)
        self.rate_limits.pop(ref, None)

    def _is_worth_keeping(self, facts: Facts) -> bool:
        return facts != NO_FACTS and len(self.notices) < MAX_NOTICES


RecordNotices = Callable[[Iterable[tuple[Incarnation, Notice]], str], None]


class NoticeChannel:
    """Exchanges notices with one other host.

    :param record: records received notices, with their source.
    :ivar known: what the other host is known to have.
    """

    def __init__(
        self, board: NoticeBoard, record: RecordNotices, peer: str
    ) -> None:
        self.board = board
        self.record = record
        self.peer = peer
        self.known: dict[Incarnation, Facts] = {}

    def encode(self, now: float, refs: Iterable[Incarnation]) -> Encoded:
        """Return the notices of some upstreams that the other host lacks."""
        return [
            [
                ref.text(),
                _encode_limit(notice.facts.rate_limit),
                round(now - notice.observed_at, 4),
            ]
            for ref, notice in self._unknown(refs)
        ]

    def receive(self, now: float, encoded: object) -> None:
        """Record notices that the other host sent.

        :raises ValueError: when they are malformed.
        """
        notices = decode_notices(now, encoded)
        self.known.update((ref, notice.facts) for ref, notice in notices)
        self.record(notices, self.peer)

    def _unknown(
        self, refs: Iterable[Incarnation]
    ) -> Iterator[tuple[Incarnation, Notice]]:
        if not self.board.notices:
            return
        for ref in refs:
            notice = self.board.notices.get(ref)
            if notice and self.known.get(ref, NO_FACTS) != notice.facts:
                self.known[ref] = notice.facts
                yield ref, notice


def decode_notices(
    now: float, encoded: object
) -> list[tuple[Incarnation, Notice]]:
    """Decode the notices of another host.

    :raises ValueError: when they are malformed.
    """
    if not isinstance(encoded, list):
        raise ValueError(f'malformed notices: {encoded!r}')
    try:
        return [
            (
                parse_incarnation(str(ref)),
                Notice(
                    Facts(_decode_limit(rate_limit)),
                    now - _not_negative(float(age_s)),
                ),
            )
            for ref, rate_limit, age_s in encoded
        ]
    except (TypeError, ValueError, OverflowError) as error:
        raise ValueError(f'malformed notices: {error}') from error


def _encode_limit(rate_limit: float) -> float | None:
    return None if rate_limit == NO_LIMIT else rate_limit


def _decode_limit(encoded: float | None) -> float:
    return NO_LIMIT if encoded is None else _not_negative(float(encoded))


def _not_negative(number: float) -> float:
    if number >= 0:
        return number
    raise ValueError(f'not a number of 0 or more: {number}')
