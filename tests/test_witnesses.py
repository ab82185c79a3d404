"""The end of a coordinator's authority, as it and its successor see it."""

import random

import pytest

from oriolearch.core.witnesses import (
    LONG_AUTHORITY_S,
    SHORT_AUTHORITY_S,
    WITNESSED_S,
    Authority,
    PredecessorEnd,
    Promise,
    Witness,
    WitnessRow,
    choose_witnesses,
    decode_witnesses,
)

A, B, C, D = (Witness(f'h{name}:1', name) for name in 'abcd')
GROUP = (A, B, C)
TERM = 4
ROUNDING_S = 1e-9


def witnessed(*times: float, confirmed_at: float = 0.0) -> Authority:
    authority = Authority(confirmed_at)
    authority.propose(GROUP)
    authority.adopt(GROUP)
    for witness, at in zip(GROUP, times, strict=False):
        authority.acknowledged(witness.run, at)
    return authority


def test_without_witnesses_the_store_counts_for_long() -> None:
    """A single host that stops granting in a short outage of the store."""
    assert Authority(3).until() == pytest.approx(3 + LONG_AUTHORITY_S)


@pytest.mark.parametrize(
    ('times', 'until'),
    [
        ((), SHORT_AUTHORITY_S),
        ((5.0,), SHORT_AUTHORITY_S),
        ((5.0, 4.0), 4.0 + WITNESSED_S),
        ((5.0, 4.0, 6.0), 5.0 + WITNESSED_S),
        ((50.0, 50.0, 50.0), LONG_AUTHORITY_S),
    ],
)
def test_a_majority_of_witnesses_counts(
    times: tuple[float, ...],
    until: float,
) -> None:
    """A coordinator that goes on although a successor thinks it ended."""
    assert witnessed(*times).until() == until


def test_both_groups_are_needed_while_a_change_may_be_stored() -> None:
    """A successor that asks one group while the other still answers."""
    authority = witnessed(5.0, 5.0, 5.0)
    authority.propose((B, C, D))
    assert authority.until() == pytest.approx(5 + WITNESSED_S)
    authority.acknowledged(A.run, 7.0)
    authority.acknowledged(B.run, 7.0)
    assert authority.until() == pytest.approx(5 + WITNESSED_S)
    authority.adopt((B, C, D))
    authority.acknowledged(D.run, 6.0)
    assert authority.until() == pytest.approx(6 + WITNESSED_S)


def test_word_of_another_run_does_not_count() -> None:
    """A host that started anew and has forgotten its promise."""
    authority = witnessed(5.0)
    authority.acknowledged('another run', 5.0)
    assert authority.until() == SHORT_AUTHORITY_S


def test_promise_covers_earlier_terms() -> None:
    """A delayed question that brings an old coordinator back."""
    promise = Promise()
    assert promise.may_acknowledge(1)
    promise.withhold(3)
    promise.withhold(2)
    assert not promise.may_acknowledge(3)
    assert promise.may_acknowledge(4)


@pytest.mark.parametrize(
    ('answers', 'over_at'),
    [
        ([], 10 + LONG_AUTHORITY_S),
        ([(A, 'a', 4)], 10 + LONG_AUTHORITY_S),
        ([(A, 'a', 4), (A, 'a', 4)], 10 + LONG_AUTHORITY_S),
        ([(A, 'a', 4), (B, 'b', 3)], 10 + LONG_AUTHORITY_S),
        ([(A, 'a', 4), (B, 'b', 4)], 11 + WITNESSED_S),
        ([(A, 'a', 4), (B, 'new', 0)], 11 + WITNESSED_S),
    ],
    ids=['none', 'one', 'twice-one', 'older-term', 'two', 'runs-anew'],
)
def test_majority_that_promised_ends_the_doubt(
    answers: list[tuple[Witness, str, int]],
    over_at: float,
) -> None:
    """Keys that are freed while the predecessor may still renew them."""
    end = PredecessorEnd(GROUP, taken_at=10.0)
    for witness, run, promised in answers:
        end.answered(11.0, witness, run, promised, 4)
    assert end.over_at == pytest.approx(max(over_at, 10 + SHORT_AUTHORITY_S))


def test_without_a_row_the_long_authority_is_waited_for() -> None:
    """A predecessor that never named witnesses and needs none."""
    end = PredecessorEnd((), taken_at=10.0)
    assert end.over_at == pytest.approx(10 + LONG_AUTHORITY_S)
    end.proven(12.0)
    assert end.over_at == pytest.approx(12)


@pytest.mark.parametrize(
    'row',
    [
        None,
        b'',
        b'[]',
        b'{"term": 4}',
        b'{"term": 4, "witnesses": 3}',
        b'{"term": 4, "witnesses": [["a"]]}',
        b'\xff',
        WitnessRow(3, GROUP).encode(),
    ],
)
def test_row_that_is_not_of_the_term_names_nobody(row: bytes | None) -> None:
    """Promises of hosts that did not acknowledge the predecessor."""
    assert decode_witnesses(row, 4) == ()


def test_row_is_read_as_it_was_written() -> None:
    """A successor that asks other hosts than those that acknowledge."""
    assert decode_witnesses(WitnessRow(4, GROUP).encode(), 4) == GROUP


def test_witnesses_are_kept_and_of_different_zones() -> None:
    """A zone whose loss silences all witnesses, or writes at each change."""
    hosts = {A: 'z1', B: 'z1', C: 'z2', D: 'z3'}
    chosen = choose_witnesses(hosts, (), 'z1')
    assert {hosts[witness] for witness in chosen} == {'z1', 'z2', 'z3'}
    assert choose_witnesses(hosts, (B, C, D), 'z1') == (B, C, D)
    assert choose_witnesses({A: 'z1'}, (B,), 'z1') == (A,)


class Chance:
    """A predecessor, its witnesses and its successor, at random.

    Acknowledgements are delayed and lost, changes of the witnesses are stored with and
    without an answer, and the takeover comes at any time.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.hosts = [Witness(f'h{num}:1', str(num)) for num in range(5)]
        self.promises = {host: Promise() for host in self.hosts}
        self.authority = Authority(0.0)
        self.stored: tuple[Witness, ...] = ()
        self.late: list[tuple[float, str, float]] = []
        self.taken_at = self.rng.uniform(1, 6)
        self.end: PredecessorEnd | None = None

    def step(self, now: float) -> None:
        if now < self.taken_at:
            self.lead(now)
        self.acknowledge(now)
        if now >= self.taken_at:
            self.succeed(now)

    def lead(self, now: float) -> None:
        if self.draw(0.2):
            self.authority.confirm(now - self.rng.uniform(0, 0.3))
        if self.draw(0.1):
            group = tuple(self.rng.sample(self.hosts, 3))
            self.authority.propose(group)
            if self.draw(0.7):
                self.stored = group
                if self.draw(0.5):
                    self.authority.adopt(group)

    def acknowledge(self, now: float) -> None:
        for host in self.hosts:
            if self.draw(0.6) and self.promises[host].may_acknowledge(TERM):
                due = now + self.rng.uniform(0, 3)
                self.late.append((due, host.run, now))
        for sent in list(self.late):
            if sent[0] <= now:
                self.late.remove(sent)
                self.authority.acknowledged(sent[1], sent[2])

    def succeed(self, now: float) -> None:
        if self.end is None:
            self.end = PredecessorEnd(self.stored, now)
        asked = self.rng.choice(self.hosts)
        if self.draw(0.3):
            self.promises[asked].withhold(TERM)
            if asked in self.stored and self.draw(0.7):
                term = self.promises[asked].term
                self.end.answered(now, asked, asked.run, term, TERM)

    def draw(self, share: float) -> bool:
        return self.rng.random() < share


@pytest.mark.parametrize('seed', range(300))
def test_successor_never_ends_the_doubt_too_early(seed: int) -> None:
    """A predecessor that still acts when it is taken for ended."""
    chance = Chance(seed)
    for tick in range(250):
        now = tick / 10
        chance.step(now)
        if chance.end is not None and now >= chance.end.over_at:
            assert chance.authority.until() <= now + ROUNDING_S


def test_early_end_would_be_noticed() -> None:
    """A random test that passes whatever the code does."""
    early = 0
    for seed in range(100):
        chance = Chance(seed)
        for tick in range(250):
            chance.step(tick / 10)
            if chance.end is not None:
                early += chance.authority.until() > tick / 10
    assert early
