"""Tests the request policy with single requests."""

import random
from collections.abc import Callable
from typing import Any

import pytest

from oriolearch.core import model, policy
from oriolearch.core.attempts import AttemptState
from oriolearch.core.coldstart import ColdStart
from oriolearch.core.errors import InvariantError
from oriolearch.core.limits import ConcurrencyLimit
from oriolearch.core.model import RequestClass
from oriolearch.core.policy import Failure, Outcome, RefusalReason, Send, Wait

ZONES = ('a', 'b', 'c')


def make(
    count: int = 6,
    *,
    host: str = 'h0',
    slots: int = 2,
    connections: int = 110,
    **settings: Any,
) -> policy.PoolPolicy:
    upstreams = tuple(
        model.Upstream(f'u{index}', '', ZONES[index % 3], slots, connections)
        for index in range(count)
    )
    kind = settings.pop('kind', model.PoolKind.PLAIN)
    pool = model.Pool('pool', kind, upstreams, **settings)
    return policy.PoolPolicy(pool, 'a', host, random.Random(1))


def update(
    pool_policy: policy.PoolPolicy, now: float, **overrides: Any
) -> None:
    """Update the policy with an empty report and ``overrides``."""
    report: dict[str, Any] = {'pool': pool_policy.pool, 'hints': {}}
    report |= {'zones_out': frozenset(), 'cold': {}, 'group_outstanding': {}}
    pool_policy.update(now, **(report | overrides))


def facts(serial: object = 1, **overrides: Any) -> policy.RequestFacts:
    values: dict[str, Any] = {'idempotent': True, 'deadline': 1.0}
    values['owner'] = None
    values |= {'request_class': RequestClass.INTERACTIVE, 'replayable': True}
    return policy.RequestFacts(str(serial), **(values | overrides))


def begin(
    pool_policy: policy.PoolPolicy,
    now: float = 0,
    serial: object = 1,
    **overrides: Any,
) -> tuple[policy.Ticket, Any]:
    """Submit a request and return its ticket and first decision."""
    ticket = pool_policy.submit(now, facts(serial, **overrides))
    return ticket, pool_policy.poll(now, ticket)


def serve(
    pool_policy: policy.PoolPolicy,
    now: float,
    took_s: float,
    **overrides: Any,
) -> str:
    """Serve one request and return the name of its upstream."""
    ticket, send = begin(pool_policy, now, f's{now}', **overrides)
    attempt = send.attempt
    assert pool_policy.sent(now, attempt.attempt_id)
    pool_policy.answered(now + took_s, attempt.attempt_id, 200, not_run=False)
    pool_policy.close(now + took_s, ticket)
    return str(attempt.upstream.name)


def warm_up(pool_policy: policy.PoolPolicy, number: int = 200) -> float:
    """Serve requests of 10 ms and return the time after them."""
    for index in range(number):
        serve(pool_policy, index * 0.02, 0.01, deadline=100)
    return number * 0.02


@pytest.mark.parametrize(
    ('idempotent', 'replayable', 'was_sent', 'end', 'expected'),
    [
        (False, False, False, Failure.CONNECTION_REFUSED, 'send'),
        (False, True, True, Failure.RESET, Outcome.UNKNOWN),
        (False, True, True, Failure.CONNECTION_REFUSED, Outcome.UNKNOWN),
        (False, True, True, Failure.WRONG_ATTEMPT, Outcome.UNKNOWN),
        (False, True, True, Failure.CUT_ANSWER, Outcome.UNKNOWN),
        (False, True, True, (503, True), 'send'),
        (False, False, True, (503, True), Outcome.NOT_RUN),
        (False, True, True, (503, False), 'deliver'),
        (False, True, True, (421, False), 'deliver'),
        (False, True, True, (409, False), 'deliver'),
        (False, True, True, (500, True), 'deliver'),
        (True, True, True, Failure.RESET, 'send'),
        (True, False, True, Failure.RESET, Outcome.UNKNOWN),
        (True, False, False, Failure.RESET, 'send'),
        (True, True, True, Failure.CALLER_GONE, Outcome.UNKNOWN),
        (True, True, False, Failure.CALLER_GONE, Outcome.NOT_RUN),
    ],
)
def test_decision_after_an_attempt(
    idempotent: bool,
    replayable: bool,
    was_sent: bool,
    end: Any,
    expected: object,
) -> None:
    """Fails if a request that may have run is retried or reported not run."""
    pool_policy = make()
    _, send = begin(pool_policy, idempotent=idempotent, replayable=replayable)
    attempt_id = send.attempt.attempt_id
    if was_sent:
        assert pool_policy.sent(0, attempt_id)
    decision: Any
    if isinstance(end, Failure):
        decision = pool_policy.failed(0.1, attempt_id, end)
    else:
        decision = pool_policy.answered(0.1, attempt_id, *end)
    if isinstance(decision, policy.Refuse):
        assert decision.refusal.outcome is expected
    elif isinstance(decision, Send):
        assert expected == 'send'
        assert decision.attempt.upstream != send.attempt.upstream
    else:
        assert expected == 'deliver'
        assert isinstance(decision, policy.Deliver)


def test_refusal_counts_every_attempt() -> None:
    """Fails if the proof for one attempt hides that another may have run."""
    pool_policy = make(2)
    _, send = begin(pool_policy)
    pool_policy.sent(0, send.attempt.attempt_id)
    again = pool_policy.failed(0.1, send.attempt.attempt_id, Failure.RESET)
    assert isinstance(again, Send)
    pool_policy.sent(0.1, again.attempt.attempt_id)
    pool_policy.retries.tokens = 0
    last = pool_policy.answered(0.2, again.attempt.attempt_id, 503, True)
    assert isinstance(last, policy.Refuse)
    assert last.refusal.outcome is Outcome.UNKNOWN


def test_nothing_is_sent_after_a_refusal() -> None:
    """Fails if a slow thread sends a request that was refused meanwhile."""
    pool_policy = make()
    ticket, send = begin(pool_policy)
    pool_policy.close(2, ticket)
    assert not pool_policy.sent(2, send.attempt.attempt_id)
    late = pool_policy.answered(2, send.attempt.attempt_id, 200, False)
    assert late == Wait(2)
    assert pool_policy.outstanding() == {}


def test_hedge_uses_another_upstream_and_the_slower_attempt_is_cancelled() -> (
    None
):
    """Fails if a hedge uses the slow upstream, or two answers are delivered."""
    pool_policy = make()
    now = warm_up(pool_policy)
    ticket, send = begin(pool_policy, now, deadline=now + 1)
    first = pool_policy.hedge(now, ticket)
    assert isinstance(first, Wait)
    hedge = pool_policy.hedge(now + 0.05, ticket)
    assert isinstance(hedge, Send)
    assert hedge.attempt.hedge
    assert hedge.attempt.upstream != send.attempt.upstream
    won = pool_policy.answered(now + 0.06, hedge.attempt.attempt_id, 200, False)
    assert won == policy.Deliver()
    assert pool_policy.cancelled(ticket) == (send.attempt,)
    lost = pool_policy.answered(now + 0.07, send.attempt.attempt_id, 200, False)
    assert isinstance(lost, Wait)
    pool_policy.close(now + 0.08, ticket)
    assert pool_policy.outstanding() == {}


@pytest.mark.parametrize(
    'overrides',
    [
        {'idempotent': False},
        {'replayable': False},
        {'owner': 'u1'},
        {'deadline': 4.055},
        {'request_class': RequestClass.UPLOAD},
    ],
    ids=['once', 'no-replay', 'keyed', 'past-deadline', 'upload'],
)
def test_no_hedge(overrides: dict[str, Any]) -> None:
    """Fails if a request that must not be hedged gets a second attempt."""
    pool_policy = make()
    now = warm_up(pool_policy)
    ticket, _ = begin(pool_policy, now, **({'deadline': now + 1} | overrides))
    assert not isinstance(pool_policy.hedge(now + 0.05, ticket), Send)


def test_stuck_upstream_is_hedged_early_and_avoided() -> None:
    """Fails if requests are sent to an upstream that stopped answering."""
    pool_policy = make(2, slots=8)
    now = warm_up(pool_policy)
    _, stuck = begin(pool_policy, now, deadline=now + 1)
    name = stuck.attempt.upstream.name
    pool_policy.sent(now, stuck.attempt.attempt_id)
    pool_policy.pool_latency.tail.level = 0.05
    begun = [
        begin(pool_policy, now + 0.005, serial, deadline=9)
        for serial in range(10)
    ]
    same = [tk for tk, send in begun if send.attempt.upstream.name == name]
    for other in {tk for tk, _ in begun}.difference(same):
        pool_policy.close(now + 0.005, other)
    assert isinstance(pool_policy.hedge(now + 0.049, same[0]), Wait)
    assert isinstance(pool_policy.hedge(now + 0.051, same[0]), Send)
    names = {
        serve(pool_policy, now + 0.06 + step / 100, 0.01, deadline=now + 9)
        for step in range(20)
    }
    assert name not in names


def test_hedges_and_retries_keep_their_budgets() -> None:
    """Fails if a slow or failing pool gets a multiple of its load."""
    pool_policy = make(12, slots=100)
    counts = {'hedge': 0, 'retry': 0}
    now = warm_up(pool_policy)
    for serial in range(1000):
        now += 0.01
        ticket, send = begin(pool_policy, now, serial, deadline=now + 1)
        pool_policy.sent(now, send.attempt.attempt_id)
        hedge = pool_policy.hedge(now + 0.1, ticket)
        if isinstance(hedge, Send):
            counts['hedge'] += 1
            pool_policy.sent(now, hedge.attempt.attempt_id)
        for attempt in tuple(ticket.running.values()):
            identifier = attempt.attempt_id
            decision = pool_policy.failed(now + 0.1, identifier, Failure.RESET)
            counts['retry'] += isinstance(decision, Send)
        pool_policy.close(now + 0.1, ticket)
    assert 40 <= counts['hedge'] <= 0.05 * 1200
    assert 100 <= counts['retry'] <= 0.1 * 1200 + policy.RETRY_BURST


def test_queue_is_ordered_by_class_and_deadline() -> None:
    """Fails if an urgent request waits behind one that has time."""
    pool_policy = make(1, slots=1, connections=1, queue_limit=3)
    blocking, send = begin(pool_policy, deadline=50)
    order = [
        ('late', RequestClass.INTERACTIVE, 9),
        ('background', RequestClass.BACKGROUND, 5),
        ('upload', RequestClass.UPLOAD, 6),
        ('urgent', RequestClass.INTERACTIVE, 7),
    ]
    tickets = {}
    for name, request_class, deadline in order:
        ticket, decision = begin(
            pool_policy,
            0,
            name,
            request_class=request_class,
            deadline=deadline,
        )
        assert isinstance(decision, Wait)
        tickets[name] = ticket
    evicted = pool_policy.poll(0, tickets.pop('background'))
    assert isinstance(evicted, policy.Refuse)
    assert evicted.refusal.reason is RefusalReason.QUEUE_FULL
    assert evicted.refusal.outcome is Outcome.NOT_RUN
    pool_policy.answered(0.01, send.attempt.attempt_id, 200, not_run=False)
    pool_policy.close(0.01, blocking)
    served = []
    while tickets:
        ready = [tk for tk in pool_policy.take_ready() if not tk.refused]
        assert len(ready) == 1
        assert isinstance(pool_policy.poll(0.02, ready[0]), Send)
        served.append(ready[0].facts.request_id)
        pool_policy.close(0.02, tickets.pop(served[-1]))
    assert served == ['urgent', 'late', 'upload']
    assert pool_policy.waiting == 0


def test_request_that_would_miss_its_deadline_is_refused_early() -> None:
    """Fails if a request waits for its deadline behind too many others."""
    pool_policy = make(1, slots=1, connections=1)
    warm_up(pool_policy, 50)
    for serial in range(100):
        begin(pool_policy, 10, serial, deadline=20)
    _, decision = begin(pool_policy, 10, 'x', deadline=20.5)
    assert isinstance(decision, Wait)
    low = {'request_class': RequestClass.BACKGROUND, 'deadline': 10.05}
    _, decision = begin(pool_policy, 10, 'y', **low)
    assert isinstance(decision, policy.Refuse)
    assert decision.refusal.reason is RefusalReason.DEADLINE
    assert decision.refusal.outcome is Outcome.NOT_RUN
    assert decision.refusal.retry_after_s


def test_own_zone_is_preferred_until_it_is_slow() -> None:
    """Fails if requests cross zones without need or stay in a slow zone."""
    pool_policy = make(6)
    now = warm_up(pool_policy, 20)
    for step in range(20):
        name = serve(pool_policy, now + step / 50, 0.01, deadline=now + 9)
        assert name in {'u0', 'u3'}
    crossed = [
        serve(pool_policy, now + 1 + step / 100, 0.1, deadline=now + 9)
        for step in range(5)
    ]
    assert not {'u0', 'u3'}.issuperset(crossed)


@pytest.mark.parametrize(
    'report',
    [
        {'hints': {'u0': {'state': 'cold', 'running': 900, 'queued': 9000}}},
        {'hints': {'u0': {'state': 'nonsense'}}},
        {'hints': {name: {'state': 'draining'} for name in ('u0', 'u1')}},
        {'group_outstanding': {'u1': 1, 'ghost': 4}},
    ],
    ids=['wrong-load', 'unknown-state', 'all-draining', 'unknown-upstream'],
)
def test_reports_do_not_override_live_requests(report: Any) -> None:
    """Fails if a wrong report diverts requests from a good upstream."""
    pool_policy = make(3)
    update(pool_policy, 0, **report)
    names = [serve(pool_policy, step / 50, 0.01) for step in range(20)]
    assert set(names) == {'u0'}


@pytest.mark.parametrize(
    ('act', 'closed'),
    [
        (lambda pol: pol.leaving(0, 'u0'), {'u0'}),
        (
            lambda pol: update(pol, 0, hints={'u0': {'state': 'draining'}}),
            {'u0'},
        ),
        (lambda pol: update(pol, 0, zones_out=frozenset('a')), {'u0', 'u3'}),
        (lambda pol: update(pol, 0, cold={'u0': 'h1'}), {'u0'}),
    ],
    ids=['leaving', 'draining', 'zone-out', 'cold-elsewhere'],
)
def test_closed_upstream_gets_nothing_new(
    act: Callable[[policy.PoolPolicy], None],
    closed: set[str],
) -> None:
    """Fails if an upstream gets requests while it must not have any.

    It is leaving or out of service, or another host dispatches to it.
    """
    pool_policy = make(6)
    act(pool_policy)
    sends = [
        begin(pool_policy, 0, serial, deadline=100)[1] for serial in range(30)
    ]
    names = {
        send.attempt.upstream.name for send in sends if isinstance(send, Send)
    }
    assert names == {f'u{index}' for index in range(6)} - closed


def test_assignment_ends_when_its_upstream_leaves() -> None:
    """Fails if a queued request is sent to an upstream that has left."""
    pool_policy = make(2, slots=1, connections=1)
    running = [begin(pool_policy, 0, serial, deadline=9) for serial in 'ab']
    ticket, decision = begin(pool_policy, 0, 'c', deadline=9)
    assert isinstance(decision, Wait)
    pool_policy.close(0.1, running[0][0])
    pool_policy.leaving(0.2, running[0][1].attempt.upstream.name)
    assert isinstance(pool_policy.poll(0.3, ticket), Wait)
    pool_policy.close(0.4, running[1][0])
    assert isinstance(pool_policy.poll(0.5, ticket), Send)


def test_dispatching_host_ramps_up_a_cold_upstream() -> None:
    """Fails if a cold upstream is overloaded, or is never warmed up."""
    pool_policy = make(1, host='h0', slots=4)
    update(pool_policy, 0, cold={'u0': 'h0'}, group_outstanding={'u0': 1})
    assert isinstance(begin(pool_policy, 0)[1], Wait)
    update(pool_policy, 0.5, cold={'u0': 'h0'})
    ready = pool_policy.take_ready()
    assert len(ready) == 1
    pool_policy.close(0.5, ready[0])
    for step in range(80):
        serve(pool_policy, 0.6 + step / 50, 0.01, deadline=9)
    assert pool_policy.found_warm() == ('u0',)
    sends = [begin(pool_policy, 5, serial, deadline=9)[1] for serial in 'abcde']
    assert sum(isinstance(send, Send) for send in sends) == 4


def test_slow_start_waits_longer_after_shedding() -> None:
    """Fails if a cold upstream is overloaded again when it has recovered."""
    cold_start = ColdStart()
    cold_start.set_dispatching_host('h0')
    steps = []
    for _ in range(3):
        answers = 0
        while cold_start.allowed_running == 1:
            cold_start.record_answer(0.01, 0.01, slots=2)
            answers += 1
        steps.append(answers)
        cold_start.record_shed(0, running=2)
    assert steps == [10, 20, 40]


def test_late_request_is_refused() -> None:
    """Fails if an upstream works on an answer that is too late."""
    pool_policy = make(1, slots=1, connections=1)
    warm_up(pool_policy, 50)
    blocking, _ = begin(pool_policy, 10, 'x', deadline=99)
    late, _ = begin(pool_policy, 10, 'late', deadline=10.04)
    timely, _ = begin(pool_policy, 10, 'timely', deadline=11)
    pool_policy.close(10.03, blocking)
    assert isinstance(pool_policy.poll(10.03, late), policy.Refuse)
    assert isinstance(pool_policy.poll(10.03, timely), Send)


def test_shedding_shows_a_cold_start() -> None:
    """Fails if an upstream that became cold unannounced gets requests."""
    pool_policy = make(3)
    ticket, send = begin(pool_policy)
    pool_policy.sent(0, send.attempt.attempt_id)
    again = pool_policy.answered(0.01, send.attempt.attempt_id, 503, True)
    assert isinstance(again, Send)
    pool_policy.close(0.01, ticket)
    assert pool_policy.found_cold(0.01) == ('u0',)
    assert 'u0' not in {serve(pool_policy, 0.1, 0.01) for _ in range(20)}
    assert 'u0' in {serve(pool_policy, 1.5, 0.01, deadline=9) for _ in range(9)}


def test_failing_upstreams_are_ejected_down_to_half() -> None:
    """Fails if all upstreams of a failing pool are ejected, or none."""
    pool_policy = make(6, slots=100)
    for serial in range(400):
        now = serial / 1000
        ticket, send = begin(pool_policy, now, serial, deadline=9)
        pool_policy.failed(now, send.attempt.attempt_id, Failure.RESET)
        pool_policy.close(now, ticket)
    usable = len(pool_policy.fleet.near) + len(pool_policy.fleet.far)
    assert usable == 3


@pytest.mark.parametrize(
    ('latency', 'running', 'low', 'high'),
    [(0.01, 9, 8, 9), (0.1, 9, 1, 1), (0.1, 1, 1, 2)],
    ids=['grows-to-connections', 'falls-to-one', 'idle-stays'],
)
def test_limit_follows_queueing(
    latency: float,
    running: int,
    low: float,
    high: float,
) -> None:
    """Fails if a limit lets requests queue up or leaves connections idle."""
    limit = ConcurrencyLimit(2, 9)
    for step in range(99):
        limit.record_answer(step, latency, running, base=0.01)
    assert low <= limit.level <= high


@pytest.mark.parametrize('owner', ['u0', 'u5'])
def test_keyed_request_is_sent_only_to_its_owner(owner: str) -> None:
    """Fails if a key is served by a server that does not own it."""
    pool_policy = make(6, kind=model.PoolKind.KEYED)
    sends = [
        begin(pool_policy, 0, serial, owner=owner)[1] for serial in range(3)
    ]
    names = {
        send.attempt.upstream.name for send in sends if isinstance(send, Send)
    }
    assert names == {owner}
    assert isinstance(sends[2], Wait)


def test_request_waits_for_the_successor_of_a_lost_owner() -> None:
    """Fails if requests are refused before their key can have a new owner."""
    pool_policy = make(6, kind=model.PoolKind.KEYED)
    ticket, step = begin(pool_policy, owner='u0', deadline=3)
    now = 0.0
    while now < 2:
        if isinstance(step, Send):
            refused = Failure.CONNECTION_REFUSED
            step = pool_policy.failed(now, step.attempt.attempt_id, refused)
        else:
            assert isinstance(step, Wait)
            now = max(step.until, now + 0.001)
            step = pool_policy.poll(now, ticket)
    if isinstance(step, Send):
        pool_policy.failed(now, step.attempt.attempt_id, Failure.RESET)
    pool_policy.redirect(now, ticket, 'u1')
    again = pool_policy.poll(now, ticket)
    assert isinstance(again, Send)


def test_request_for_a_moved_key_is_sent_to_the_new_owner() -> None:
    """Fails if a rejected request is not sent to the key's new owner."""
    pool_policy = make(6, kind=model.PoolKind.KEYED, retry_share=0.0)
    ticket, send = begin(pool_policy, owner='u0', idempotent=False)
    pool_policy.sent(0, send.attempt.attempt_id)
    wait = pool_policy.answered(0.1, send.attempt.attempt_id, 421, True)
    assert isinstance(wait, Wait)
    pool_policy.redirect(0.1, ticket, 'u4')
    again = pool_policy.poll(0.1, ticket)
    assert isinstance(again, Send)
    assert again.attempt.upstream.name == 'u4'


def _retry_always(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(policy.Ticket, 'may_retry', lambda ticket: True)
    pool_policy = make()
    _, send = begin(pool_policy, idempotent=False)
    pool_policy.sent(0, send.attempt.attempt_id)
    pool_policy.failed(0, send.attempt.attempt_id, Failure.RESET)


def _forget_that_it_was_sent(patch: pytest.MonkeyPatch) -> None:
    pool_policy = make()
    ticket, send = begin(pool_policy, idempotent=False, deadline=1)
    pool_policy.sent(0, send.attempt.attempt_id)
    ticket.states[send.attempt.attempt_id] = AttemptState.NOT_SENT
    pool_policy.failed(2, send.attempt.attempt_id, Failure.RESET)


def _overload_cold_upstream(patch: pytest.MonkeyPatch) -> None:
    pool_policy = make(1)
    update(pool_policy, 0, cold={'u0': 'h0'})
    pool_policy.fleet.targets['u0'].capacity = 2
    begin(pool_policy, 0, 1)
    begin(pool_policy, 0, 2)


def _deliver_twice(patch: pytest.MonkeyPatch) -> None:
    pool_policy = make()
    now = warm_up(pool_policy)
    ticket, send = begin(pool_policy, now, deadline=now + 1)
    hedge = pool_policy.hedge(now + 0.05, ticket)
    assert isinstance(hedge, Send)
    pool_policy.answered(now + 0.1, hedge.attempt.attempt_id, 200, False)
    ticket.settled = False
    pool_policy.answered(now + 0.1, send.attempt.attempt_id, 200, False)


def _release_twice(patch: pytest.MonkeyPatch) -> None:
    pool_policy = make()
    ticket, send = begin(pool_policy)
    identifier = send.attempt.attempt_id
    record = pool_policy.attempts[identifier]
    pool_policy.body_done(0, identifier)
    pool_policy.attempts[identifier] = record
    ticket.running[identifier] = send.attempt
    pool_policy.body_done(0, identifier)


@pytest.mark.parametrize(
    ('fault', 'invariant'),
    [
        (_retry_always, 'at-most-once'),
        (_forget_that_it_was_sent, 'true-not-run'),
        (_overload_cold_upstream, 'cold-limit'),
        (_deliver_twice, 'single-delivery'),
        (_release_twice, 'outstanding'),
    ],
)
def test_invariants_catch_faults(
    fault: Callable[[pytest.MonkeyPatch], None],
    invariant: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fails if a fault inside the policy is not detected."""
    with pytest.raises(InvariantError) as caught:
        fault(monkeypatch)
    assert caught.value.invariant == invariant
