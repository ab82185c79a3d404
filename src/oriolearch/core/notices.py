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
# A faulty upstream that announces more is asked again after this.
MAX_PAUSE_S = 60.0
# A late message may name an upstream that this host has already forgotten.
MAX_NOTICES = 10_000

Encoded = list[list[Any]]


@dataclass(frozen=True, slots=True)
class Facts:
    """What an upstream reported.

    :param rate_limit: requests per second that it takes from all hosts
        together.
    :param is_leaving: whether it is about to end and takes nothing more.
    """

    rate_limit: float = NO_LIMIT
    is_leaving: bool = False


NO_FACTS = Facts()


@dataclass(frozen=True, slots=True)
class Notice:
    """What an upstream reported in an answer.

    :param observed_at: monotonic time of the answer, at this host.
    """

    facts: Facts
    observed_at: float


_NO_NOTICE = Notice(NO_FACTS, -math.inf)


def _observation_time(notice: Notice) -> float:
    return notice.observed_at


class NoticeBoard:
    """The notices of all upstreams that are known at one host.

    :ivar rate_limits: those of the upstreams that have one.
    :ivar pauses: until when an upstream wants no requests of this host alone.
    """

    def __init__(self) -> None:
        self.notices: dict[Incarnation, Notice] = {}
        self.rate_limits: dict[Incarnation, float] = {}
        self.pauses: dict[Incarnation, float] = {}

    def facts_of(self, ref: Incarnation) -> Facts:
        """Return what an upstream reported last."""
        notice = self.notices.get(ref)
        return notice.facts if notice else NO_FACTS

    def record(self, ref: Incarnation, notice: Notice) -> bool:
        """Include a notice in what is known.

        The latest rate limit counts. An upstream that leaves does so for good.

        :returns: whether it changed what is known.
        """
        present = self.notices.get(ref, _NO_NOTICE)
        latest = max(present, notice, key=_observation_time)
        facts = Facts(
            latest.facts.rate_limit,
            present.facts.is_leaving or notice.facts.is_leaving,
        )
        if present is _NO_NOTICE:
            if facts == NO_FACTS:
                return False
            self._make_room()
        self.notices[ref] = Notice(facts, latest.observed_at)
        if facts == present.facts:
            return False
        if facts.rate_limit == NO_LIMIT:
            self.rate_limits.pop(ref, None)
        else:
            self.rate_limits[ref] = max(facts.rate_limit, MIN_RATE_LIMIT)
        return True

    def pause(self, now: float, ref: Incarnation, pause_s: float) -> None:
        """Record that an upstream wants nothing from this host for a while."""
        until = now + min(pause_s, MAX_PAUSE_S)
        self.pauses[ref] = max(self.pauses.get(ref, 0.0), until)

    def paused(self, now: float) -> frozenset[Incarnation]:
        """Return the upstreams that want nothing from this host now."""
        if not self.pauses:
            return frozenset()
        self.pauses = {
            ref: until for ref, until in self.pauses.items() if until > now
        }
        return frozenset(self.pauses)

    def pause_left_s(self, now: float, ref: Incarnation) -> float:
        """Return for how long an upstream wants nothing from this host."""
        return max(self.pauses.get(ref, now) - now, 0.0)

    def forget(self, ref: Incarnation) -> None:
        """Forget the notice of an upstream that has ended."""
        self.notices.pop(ref, None)
        self.rate_limits.pop(ref, None)
        self.pauses.pop(ref, None)

    def _make_room(self) -> None:
        """Forget the upstream that was noticed first if there are too many."""
        if len(self.notices) >= MAX_NOTICES:
            self.forget(next(iter(self.notices)))


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
                notice.facts.is_leaving,
            ]
            for ref, notice in self._unknown(refs)
        ]

    def receive(self, now: float, encoded: object) -> None:
        """Record notices that the other host sent.

        :raises ValueError: when they are malformed.
        """
        notices = decode_notices(now, encoded)
        for ref, notice in notices:
            self._remember(ref, notice.facts)
        self.record(notices, self.peer)

    def _unknown(
        self, refs: Iterable[Incarnation]
    ) -> Iterator[tuple[Incarnation, Notice]]:
        if not self.board.notices:
            return
        for ref in refs:
            notice = self.board.notices.get(ref)
            if notice and self.known.get(ref, NO_FACTS) != notice.facts:
                self._remember(ref, notice.facts)
                yield ref, notice

    def _remember(self, ref: Incarnation, facts: Facts) -> None:
        if len(self.known) >= MAX_NOTICES:
            self.known.clear()
        self.known[ref] = facts


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
                    Facts(_decode_limit(rate_limit), bool(is_leaving)),
                    now - _not_negative(float(age_s)),
                ),
            )
            for ref, rate_limit, age_s, is_leaving in encoded
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
