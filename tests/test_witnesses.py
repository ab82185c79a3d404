"""End of a coordinator's authority, as computed by it and its successor."""

import random

import pytest

from oriolearch.core.witnesses import (
    ACKNOWLEDGED_S,
    LONG_AUTHORITY_S,
    SHORT_AUTHORITY_S,
    Authority,
    EarlierTerms,
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


def make_authority(*times: float, confirmed_at: float = 0.0) -> Authority:
    authority = Authority(confirmed_at)
    authority.record_proposed_group(GROUP)
    authority.record_stored_group(GROUP)
    for witness, at in zip(GROUP, times, strict=False):
        authority.record_acknowledgement(witness.run, at)
    return authority


def test_confirmation_by_the_store_lasts_long_without_witnesses() -> None:
    """Fails if a single host stops granting in a short store outage."""
    assert Authority(3).ends_at() == pytest.approx(3 + LONG_AUTHORITY_S)


@pytest.mark.parametrize(
    ('times', 'until'),
    [
        ((), SHORT_AUTHORITY_S),
        ((5.0,), SHORT_AUTHORITY_S),
        ((5.0, 4.0), 4.0 + ACKNOWLEDGED_S),
        ((5.0, 4.0, 6.0), 5.0 + ACKNOWLEDGED_S),
        ((50.0, 50.0, 50.0), LONG_AUTHORITY_S),
    ],
)
def test_majority_of_witnesses_is_needed(
    times: tuple[float, ...],
    until: float,
) -> None:
    """Fails if a coordinator acts after a majority promised a successor."""
    assert make_authority(*times).ends_at() == until


def test_both_groups_are_needed_while_a_change_may_be_stored() -> None:
    """Fails if one group suffices while a successor may ask the other."""
    authority = make_authority(5.0, 5.0, 5.0)
    authority.record_proposed_group((B, C, D))
    assert authority.ends_at() == pytest.approx(5 + ACKNOWLEDGED_S)
    authority.record_acknowledgement(A.run, 7.0)
    authority.record_acknowledgement(B.run, 7.0)
    assert authority.ends_at() == pytest.approx(5 + ACKNOWLEDGED_S)
    authority.record_stored_group((B, C, D))
    authority.record_acknowledgement(D.run, 6.0)
    assert authority.ends_at() == pytest.approx(6 + ACKNOWLEDGED_S)


def test_acknowledgement_of_another_run_does_not_count() -> None:
    """Fails if a restarted host, which lost its promise, counts."""
    authority = make_authority(5.0)
    authority.record_acknowledgement('another run', 5.0)
    assert authority.ends_at() == SHORT_AUTHORITY_S


def test_promise_covers_earlier_terms() -> None:
    """Fails if a delayed request revives an old coordinator."""
    promise = Promise()
    assert promise.may_acknowledge(1)
    promise.refuse_up_to(3)
    promise.refuse_up_to(2)
    assert not promise.may_acknowledge(3)
    assert promise.may_acknowledge(4)


@pytest.mark.parametrize(
    ('answers', 'over_at'),
    [
        ([], 10 + LONG_AUTHORITY_S),
        ([(A, 'a', 4)], 10 + LONG_AUTHORITY_S),
        ([(A, 'a', 4), (A, 'a', 4)], 10 + LONG_AUTHORITY_S),
        ([(A, 'a', 4), (B, 'b', 3)], 10 + LONG_AUTHORITY_S),
        ([(A, 'a', 4), (B, 'b', 4)], 11 + ACKNOWLEDGED_S),
        ([(A, 'a', 4), (B, 'new', 0)], 11 + ACKNOWLEDGED_S),
    ],
    ids=['none', 'one', 'twice-one', 'older-term', 'two', 'restarted'],
)
def test_majority_of_promises_ends_the_predecessors_authority(
    answers: list[tuple[Witness, str, int]],
    over_at: float,
) -> None:
    """Fails if keys are freed while the predecessor may still renew them."""
    end = PredecessorEnd(GROUP, took_over_at=10.0)
    for witness, run, promised in answers:
        end.record_answer(11.0, witness, run, promised, 4)
    assert end.over_at == pytest.approx(max(over_at, 10 + SHORT_AUTHORITY_S))


def test_successor_waits_for_the_longest_authority_without_a_row() -> None:
    """Fails if the wait is too short for a predecessor without witnesses."""
    end = PredecessorEnd((), took_over_at=10.0)
    assert end.over_at == pytest.approx(10 + LONG_AUTHORITY_S)
    end.record_proven_end(12.0)
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
def test_row_of_another_term_names_no_witnesses(row: bytes | None) -> None:
    """Fails if hosts count that did not acknowledge the predecessor."""
    assert decode_witnesses(row).of_term(4) == ()


def test_row_is_read_as_it_was_written() -> None:
    """Fails if a successor reads other witnesses than were written."""
    row = WitnessRow(4, GROUP, over_before=2, earlier={3: (A, D), 2: ()})
    assert decode_witnesses(row.encode()) == row
    assert row.of_term(4) == GROUP
    assert row.of_term(3) == (A, D)
    assert row.of_term(1) == ()


def test_witnesses_are_kept_and_of_different_zones() -> None:
    """Fails if one zone has all witnesses, or they change without need."""
    hosts = {A: 'z1', B: 'z1', C: 'z2', D: 'z3'}
    chosen = choose_witnesses(hosts, (), 'z1')
    assert {hosts[witness] for witness in chosen} == {'z1', 'z2', 'z3'}
    assert choose_witnesses(hosts, (B, C, D), 'z1') == (B, C, D)
    assert choose_witnesses({A: 'z1'}, (B,), 'z1') == (A,)


class RandomTakeover:
    """Random takeover with a predecessor, its witnesses and a successor.

    Acknowledgements are delayed and lost, changes of the witnesses are stored
    with and without an answer, and the takeover happens at any time.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.hosts = [Witness(f'h{num}:1', str(num)) for num in range(5)]
        self.promises = {host: Promise() for host in self.hosts}
        self.authority = Authority(0.0)
        self.stored: tuple[Witness, ...] = ()
        self.delayed: list[tuple[float, str, float]] = []
        self.took_over_at = self.rng.uniform(1, 6)
        self.end: PredecessorEnd | None = None

    def step(self, now: float) -> None:
        if now < self.took_over_at:
            self.act_as_predecessor(now)
        self.deliver_acknowledgements(now)
        if now >= self.took_over_at:
            self.act_as_successor(now)

    def act_as_predecessor(self, now: float) -> None:
        if self.happens(0.2):
            self.authority.record_confirmation(now - self.rng.uniform(0, 0.3))
        if self.happens(0.1):
            group = tuple(self.rng.sample(self.hosts, 3))
            self.authority.record_proposed_group(group)
            if self.happens(0.7):
                self.stored = group
                if self.happens(0.5):
                    self.authority.record_stored_group(group)

    def deliver_acknowledgements(self, now: float) -> None:
        for host in self.hosts:
            if self.happens(0.6) and self.promises[host].may_acknowledge(TERM):
                due = now + self.rng.uniform(0, 3)
                self.delayed.append((due, host.run, now))
        for sent in list(self.delayed):
            if sent[0] <= now:
                self.delayed.remove(sent)
                self.authority.record_acknowledgement(sent[1], sent[2])

    def act_as_successor(self, now: float) -> None:
        if self.end is None:
            self.end = PredecessorEnd(self.stored, now)
        self.ask_a_host(now, self.end)

    def ask_a_host(self, now: float, end: PredecessorEnd) -> None:
        """Have a host promise to acknowledge the term no more, or not."""
        asked = self.rng.choice(self.hosts)
        if self.happens(0.3):
            self.promises[asked].refuse_up_to(TERM)
            if asked in end.witnesses and self.happens(0.7):
                term = self.promises[asked].term
                end.record_answer(now, asked, asked.run, term, TERM)

    def happens(self, share: float) -> bool:
        return self.rng.random() < share


@pytest.mark.parametrize('seed', range(300))
def test_successor_never_assumes_the_end_too_early(seed: int) -> None:
    """Fails if a predecessor may still act after its assumed end."""
    takeover = RandomTakeover(seed)
    for tick in range(250):
        now = tick / 10
        takeover.step(now)
        if takeover.end is not None and now >= takeover.end.over_at:
            assert takeover.authority.ends_at() <= now + ROUNDING_S


def test_random_takeovers_detect_an_early_end() -> None:
    """Fails if the random test cannot detect an end that is too early."""
    early_ends = 0
    for seed in range(100):
        takeover = RandomTakeover(seed)
        for tick in range(250):
            takeover.step(tick / 10)
            if takeover.end is not None:
                early_ends += takeover.authority.ends_at() > tick / 10
    assert early_ends


@pytest.mark.parametrize(
    ('terms', 'row', 'pending', 'has_others'),
    [
        ((5,), WitnessRow(5, GROUP, over_before=5), {5: GROUP}, False),
        ((5, 4, 3), WitnessRow(5, GROUP, over_before=5), {5: GROUP}, False),
        (
            (5, 4),
            WitnessRow(4, GROUP, over_before=4),
            {5: (), 4: GROUP},
            False,
        ),
        (
            (5, 4, 3),
            WitnessRow(5, GROUP, earlier={4: (A, D)}),
            {5: GROUP, 4: (A, D), 3: ()},
            True,
        ),
        ((5,), WitnessRow(4, GROUP, over_before=4), {5: ()}, True),
        (
            (5, 4, 3),
            WitnessRow(5, GROUP, 4, {4: (A, D)}),
            {5: GROUP, 4: (A, D)},
            False,
        ),
        ((5, 4), WitnessRow(0), {5: (), 4: ()}, True),
        ((2, 1), WitnessRow(1, GROUP), {2: (), 1: GROUP}, False),
        (
            (1005, 4, 3),
            WitnessRow(1005, GROUP, over_before=4),
            {1005: GROUP, 4: ()},
            True,
        ),
        (
            (1005, 4),
            WitnessRow(1005, GROUP, over_before=1005),
            {1005: GROUP},
            False,
        ),
    ],
    ids=[
        'settled',
        'older-terms-over',
        'no-row-of-the-last',
        'not-settled',
        'unknown-term',
        'settled-up-to-the-last-but-one',
        'no-row',
        'from-the-first',
        'terms-that-a-store-lost',
        'lost-terms-are-over',
    ],
)
def test_terms_that_may_not_be_over(
    terms: tuple[int, ...],
    row: WitnessRow,
    pending: dict[int, tuple[Witness, ...]],
    has_others: bool,
) -> None:
    """Fails if a term before the predecessor's is forgotten."""
    earlier = EarlierTerms(terms, row, took_over_at=10.0)
    assert {
        term: end.witnesses for term, end in earlier.ends.items()
    } == pending
    for end in earlier.ends.values():
        end.record_proven_end(11.0)
    wait_s = LONG_AUTHORITY_S if has_others else 1.0
    assert earlier.over_at == pytest.approx(10 + wait_s)


def test_terms_that_the_store_lost_may_act_for_a_while() -> None:
    """Fails if a successor grants keys beside one that the store lost."""
    row = WitnessRow(5, GROUP, over_before=5)
    earlier = EarlierTerms((5,), row, took_over_at=10.0, lost_over_at=17.0)
    earlier.ends[5].record_proven_end(11.0)
    assert earlier.over_at == pytest.approx(17)


@pytest.mark.parametrize(
    ('terms', 'over_at'),
    [((5, 1006), 14.0), ((5, 6), 11.0), ((1006,), 22.0)],
    ids=['gap', 'no-gap', 'earlier-ones-unknown'],
)
def test_terms_between_known_ones_are_over_with_their_era(
    terms: tuple[int, ...], over_at: float
) -> None:
    """Guard against a gap in service after each of several takeovers.

    The store had come back 8 s before the takeover. The numbers that a new era
    leaves out counted as terms that had been confirmed until the takeover.
    """
    row = WitnessRow(5, GROUP, over_before=5)
    earlier = EarlierTerms(terms, row, took_over_at=10.0, gaps_over_at=14.0)
    for end in earlier.ends.values():
        end.record_proven_end(11.0)
    assert earlier.over_at == pytest.approx(over_at)


@pytest.mark.parametrize(
    ('era', 'witnesses'), [(1, GROUP), (2, GROUP), (3, ())]
)
def test_witnesses_of_an_earlier_era_prove_nothing(
    era: int, witnesses: tuple[Witness, ...]
) -> None:
    """Fails if promises of witnesses count that were replaced since."""
    written = WitnessRow(4, GROUP, 3, {3: GROUP}, era=2)
    row = decode_witnesses(written.encode()).in_era(era)
    assert row.over_before == 3
    assert row.of_term(4) == row.of_term(3) == witnesses


class RandomRestoredTakeover(RandomTakeover):
    """A takeover that the store loses as it comes back from a copy.

    The predecessor learns of the new era and writes its row again once it is
    acknowledged; the successor learns later that the store names it no more.
    """

    def __init__(self, seed: int, *, ignores_era: bool = False) -> None:
        super().__init__(seed)
        self.ignores_era = ignores_era
        self.restored_at = self.took_over_at + self.rng.uniform(0, 5)
        self.noticed_at = self.restored_at + self.rng.uniform(0, 3)
        self.successor_ends_at = self.restored_at + self.rng.uniform(
            0, LONG_AUTHORITY_S
        )
        self.aware: set[Witness] = set()
        self.is_written = False

    def deliver_acknowledgements(self, now: float) -> None:
        """Tell the era with each request, when the predecessor knows it."""
        super().deliver_acknowledgements(now)
        if now >= self.noticed_at and not self.ignores_era:
            runs = {run for _, run, asked_at in self.delayed if asked_at == now}
            self.aware.update(host for host in self.hosts if host.run in runs)

    def ask_a_host(self, now: float, end: PredecessorEnd) -> None:
        """Ask a host that does not know of the new era."""
        hosts = self.hosts
        self.hosts = [host for host in hosts if host not in self.aware]
        if self.hosts:
            super().ask_a_host(now, end)
        self.hosts = hosts

    def act_as_successor(self, now: float) -> None:
        if now < self.successor_ends_at:
            super().act_as_successor(now)
        if now >= self.noticed_at:
            self.act_in_new_era(now)

    def act_in_new_era(self, now: float) -> None:
        if self.is_written:
            self.act_as_predecessor(now)
            return
        if self.authority.is_acknowledged_since(self.noticed_at):
            self.is_written = True
            self.authority.record_confirmation(now)

    def acts_twice(self, now: float) -> bool:
        """Return whether both act, after promises of the witnesses."""
        if self.end is None or now >= self.successor_ends_at:
            return False
        has_promises = self.end.over_at < self.took_over_at + LONG_AUTHORITY_S
        is_free = has_promises and now >= self.end.over_at
        return is_free and self.authority.ends_at() > now + ROUNDING_S


@pytest.mark.parametrize('seed', range(300))
def test_predecessor_in_a_new_era_respects_a_lost_takeover(seed: int) -> None:
    """Fails if two coordinators act since the store lost a takeover."""
    takeover = RandomRestoredTakeover(seed)
    for tick in range(300):
        takeover.step(tick / 10)
        assert not takeover.acts_twice(tick / 10)


def test_random_restored_takeovers_detect_an_ignored_era() -> None:
    """Fails if the random test cannot detect two coordinators that act."""
    found = written = 0
    for seed in range(200):
        takeover = RandomRestoredTakeover(seed, ignores_era=True)
        for tick in range(300):
            takeover.step(tick / 10)
            found += takeover.acts_twice(tick / 10)
        written += takeover.is_written
    assert found
    assert written


class RandomSecondTakeover(RandomTakeover):
    """A successor that is lost soon, and a second one.

    The first one may have stored its own witnesses, and that it knows the
    predecessor's term to be over. The second one learns at once that the first
    one has ended.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.lost_at = self.took_over_at + self.rng.uniform(0, 4)
        self.row: WitnessRow | None = None
        self.earlier: EarlierTerms | None = None

    def act_as_successor(self, now: float) -> None:
        if now >= self.lost_at:
            self.act_as_second_successor(now)
            return
        super().act_as_successor(now)
        assert self.end is not None
        if self.row is None or self.happens(0.1):
            is_settled = now >= self.end.over_at
            group = self.end.witnesses
            self.row = WitnessRow(TERM, group, over_before=TERM)
            if self.happens(0.5):
                self.row = WitnessRow(
                    TERM + 1,
                    tuple(self.rng.sample(self.hosts, 3)),
                    TERM + 1 if is_settled else TERM,
                    {} if is_settled else {TERM: group},
                )

    def act_as_second_successor(self, now: float) -> None:
        if self.earlier is None:
            row = self.row or WitnessRow(TERM, self.stored, over_before=TERM)
            self.earlier = EarlierTerms((TERM + 1, TERM), row, now)
            self.earlier.ends[TERM + 1].record_proven_end(now)
        end = self.earlier.ends.get(TERM)
        if end is not None:
            self.ask_a_host(now, end)


@pytest.mark.parametrize('seed', range(300))
def test_second_successor_never_assumes_the_end_too_early(seed: int) -> None:
    """Fails if a coordinator may act after the loss of its successor."""
    takeover = RandomSecondTakeover(seed)
    for tick in range(250):
        now = tick / 10
        takeover.step(now)
        if takeover.earlier is not None and now >= takeover.earlier.over_at:
            assert takeover.authority.ends_at() <= now + ROUNDING_S


def test_random_second_takeovers_detect_a_forgotten_term() -> None:
    """Fails if the random test cannot detect a term that is left out."""
    early_ends = 0
    for seed in range(100):
        takeover = RandomSecondTakeover(seed)
        for tick in range(250):
            now = tick / 10
            takeover.step(now)
            if takeover.earlier is not None:
                takeover.earlier.ends.pop(TERM, None)
                if now >= takeover.earlier.over_at:
                    early_ends += takeover.authority.ends_at() > now
    assert early_ends
