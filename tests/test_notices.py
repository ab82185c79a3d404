"""Tests of what upstreams report about themselves, as hosts exchange it."""

from collections.abc import Iterable

import pytest

from oriolearch.core.directory import Incarnation
from oriolearch.core.notices import (
    MAX_NOTICES,
    MAX_PAUSE_S,
    MIN_RATE_LIMIT,
    NO_LIMIT,
    Facts,
    Notice,
    NoticeBoard,
    NoticeChannel,
)

A, B = Incarnation('a', 1), Incarnation('b', 1)


def limit(rate_limit: float, observed_at: float) -> Notice:
    return Notice(Facts(rate_limit), observed_at)


@pytest.mark.parametrize(
    ('notices', 'expected'),
    [
        ([limit(5, 1.0)], 5),
        ([limit(5, 1.0), limit(3, 2.0)], 3),
        ([limit(5, 1.0), limit(NO_LIMIT, 2.0)], NO_LIMIT),
        ([limit(5, 2.0), limit(NO_LIMIT, 1.0)], 5),
        ([limit(NO_LIMIT, 2.0), limit(5, 3.0)], 5),
        ([limit(0, 1.0)], MIN_RATE_LIMIT),
    ],
    ids=['first', 'later', 'lifted', 'late-lift', 'named-again', 'none-taken'],
)
def test_latest_observation_counts(
    notices: list[Notice], expected: float
) -> None:
    """Guard against a limit that is kept or lifted by an older answer."""
    board = NoticeBoard()
    for notice in notices:
        board.record(A, notice)
    assert board.rate_limits.get(A, NO_LIMIT) == expected


def test_upstream_that_ended_leaves_no_notice() -> None:
    """Guard against a limit of an upstream's earlier run, and growth."""
    board = NoticeBoard()
    board.record(A, limit(5, 1.0))
    board.forget(A)
    assert not board.notices
    assert not board.rate_limits


class Host:
    """A host's notices, and its channel to another host."""

    def __init__(self, name: str) -> None:
        self.board = NoticeBoard()
        self.channel = NoticeChannel(self.board, self.record, name)

    def record(
        self, notices: Iterable[tuple[Incarnation, Notice]], source: str
    ) -> None:
        for ref, notice in notices:
            self.board.record(ref, notice)

    def send(self, now: float, other: 'Host') -> int:
        """Send what the other host lacks; return the number of notices."""
        encoded = self.channel.encode(now, [A, B])
        other.channel.receive(now, encoded)
        return len(encoded)


def test_hosts_tell_each_other_each_change_once() -> None:
    """Guard against a host that never learns a limit, and needless bytes."""
    near, far = Host('near'), Host('far')
    near.board.record(A, limit(5, 1.0))
    near.board.record(A, limit(5, 1.5))
    assert [near.send(2.0, far) for _ in range(3)] == [1, 0, 0]
    assert far.board.rate_limits == {A: 5}
    assert far.send(2.0, near) == 0
    near.board.record(A, limit(NO_LIMIT, 3.0))
    assert near.send(3.5, far) == 1
    assert not far.board.rate_limits


def test_host_with_the_later_answer_corrects_the_other() -> None:
    """Guard against two hosts that believe different limits for good.

    The later answer named the same limit as before, so it was not sent; the
    other host read an earlier answer without a limit meanwhile.
    """
    near, far = Host('near'), Host('far')
    near.board.record(A, limit(5, 1.0))
    near.send(1.0, far)
    near.board.record(A, limit(5, 3.0))
    far.board.record(A, limit(NO_LIMIT, 2.0))
    far.send(3.1, near)
    near.send(3.2, far)
    assert near.board.rate_limits == far.board.rate_limits == {A: 5}


@pytest.mark.parametrize(
    'encoded',
    [
        None,
        'a@1',
        [['a@1', 5.0, 0.1]],
        [['a@1', 5.0, 'soon', False]],
        [['a', 5.0, 0.1, False]],
        [['a@1', -1.0, 0.1, False]],
        [['a@1', float('nan'), 0.1, False]],
        [['a@1', 5.0, float('nan'), False]],
        [['a@1', [], 0.1, False]],
        [['a@1', 10**400, 0.1, False]],
        [5],
    ],
)
def test_malformed_notices_are_rejected(encoded: object) -> None:
    """Guard against a damaged message that ends a task or sets a limit."""
    host = Host('h')
    with pytest.raises(ValueError, match='malformed'):
        host.channel.receive(1.0, encoded)
    assert not host.board.notices


@pytest.mark.parametrize('observed_at', [1.0, 3.0])
def test_upstream_that_leaves_does_so_for_good(observed_at: float) -> None:
    """Guard against requests to an upstream after an answer that is late.

    A request that it began before may be answered without the notice.
    """
    near, far = Host('near'), Host('far')
    near.board.record(A, limit(5, 2.0))
    near.board.record(A, Notice(Facts(is_leaving=True), observed_at))
    near.board.record(A, limit(5, 4.0))
    assert near.board.facts_of(A) == Facts(5, is_leaving=True)
    far.board.record(A, limit(5, 6.0))
    near.send(5.0, far)
    assert far.board.facts_of(A).is_leaving


def test_pause_is_bounded_and_ends() -> None:
    """Guard against an upstream that is lost to its own odd answer."""
    board = NoticeBoard()
    board.pause(1.0, A, 10**6)
    board.pause(1.0, B, 2.0)
    board.pause(1.5, B, 0.1)
    assert board.paused(2.9) == {A, B}
    assert board.pause_left_s(2.0, B) == pytest.approx(1.0)
    assert board.paused(3.1) == {A}
    assert not board.paused(1.1 + MAX_PAUSE_S)


def test_notices_of_forgotten_upstreams_leave_room_for_others() -> None:
    """Guard against a host that takes no notices any more after weeks.

    Late messages of other hosts name upstreams that have ended.
    """
    near, far = Host('near'), Host('far')
    for number in range(MAX_NOTICES + 5):
        ended = Incarnation('ended', number)
        near.board.record(ended, limit(5, 1.0))
        far.channel.receive(1.0, near.channel.encode(1.0, [ended]))
    near.board.record(A, limit(3, 2.0))
    near.send(2.0, far)
    assert far.board.rate_limits[A] == 3
    for host in (near, far):
        assert len(host.board.notices) <= MAX_NOTICES
        assert len(host.channel.known) <= MAX_NOTICES
