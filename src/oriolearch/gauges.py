"""Gauges of a host's queues, limits and coordination state."""

from collections.abc import Callable, Iterator, Mapping
from typing import TypeVar

from oriolearch.adapters.metrics import render_gauges
from oriolearch.clock import lease_clock, loop_clock
from oriolearch.coordination import Coordination
from oriolearch.core.directory import KEY_COUNT
from oriolearch.core.dispatching import Dispatcher
from oriolearch.core.keyranges import OwnerMap
from oriolearch.core.notices import NoticeBoard
from oriolearch.core.ownership import KeyOwnership
from oriolearch.core.retries import Budget

MIN_SLOWDOWN = 1.5  # of a machine that counts as slowed down

Sample = tuple[dict[str, str], float]
Gauge = tuple[str, str, list[Sample]]  # name, help text and samples
Value = TypeVar('Value')


def render_host_gauges(coordination: Coordination) -> list[str]:
    """Return the gauges of a host as lines of the text format."""
    forwarder = coordination.forwarder
    dispatchers = forwarder.local_dispatch.dispatchers
    pooled = (
        (
            'waiting_requests',
            'Requests that wait for a place here.',
            _each(dispatchers, _waiting),
        ),
        (
            'running_requests',
            'Requests that have a place here.',
            _each(dispatchers, _running),
        ),
        (
            'cold_upstreams',
            'Upstreams in their cold start.',
            _each(dispatchers, _cold),
        ),
        (
            'limited_upstreams',
            'Upstreams that named a limit on the rate of requests.',
            _each(
                dispatchers,
                lambda dispatcher: _limited(dispatcher, forwarder.notices),
            ),
        ),
        (
            'slowed_upstreams',
            'Upstreams whose machines are slowed down at the moment.',
            _each(dispatchers, _slowed),
        ),
        (
            'served_ratio',
            'Recent requests of a priority that got an upstream, of all.',
            list(_served(dispatchers)),
        ),
        (
            'second_sends_left',
            'Second sends that may be made now.',
            _each(forwarder.retries, _retries_left),
        ),
        (
            'keys_owned_ratio',
            'Keys that have an owner, of all.',
            _each(forwarder.owners, _owned),
        ),
    )
    return [
        line
        for name, help_text, samples in (*pooled, *_coordination(coordination))
        for line in render_gauges(f'oriolearch_{name}', help_text, samples)
    ]


def _coordination(coordination: Coordination) -> list[Gauge]:
    now = lease_clock()
    leadership = coordination.leadership
    memory = coordination.forwarder.response_memory
    left_s = leadership.authority.ends_at() - now if leadership else 0.0
    confirmed = _each(leadership.pools, _confirmed) if leadership else []
    versions = coordination.relay.versions().items()
    return [
        (
            'is_coordinator',
            'Whether this host coordinates.',
            [({}, float(leadership is not None))],
        ),
        (
            'authority_left_seconds',
            'How long the coordinator may act without further acknowledgements.',
            [({}, max(left_s, 0))],
        ),
        (
            'coordinator_heard_age_seconds',
            'Time since the coordinator was heard.',
            [({}, 0.0 if leadership else now - coordination.last_contact_at)],
        ),
        (
            'hosts',
            'Hosts that share the work.',
            [({}, coordination.host_count)],
        ),
        (
            'held_answer_bytes',
            'Bytes of incomplete answers of upstreams.',
            [({}, memory.held_bytes)],
        ),
        (
            'held_bytes',
            'Bytes that are held for callers and upstreams.',
            [
                ({'kind': kind.name.lower()}, held_bytes)
                for kind, held_bytes in memory.account.held_bytes().items()
            ],
        ),
        (
            'paused_upstreams',
            'Upstreams that want no requests of this host for a while.',
            [({}, len(coordination.forwarder.notices.paused(loop_clock())))],
        ),
        (
            'leaving_upstreams',
            'Upstreams that said in an answer that they leave.',
            [({}, len(coordination.registry.leaving_until))],
        ),
        (
            'granted_ratio',
            'Keys that their owner has confirmed, of all.',
            confirmed,
        ),
        (
            'table_version',
            'Version of the store up to which a table is known.',
            [({'table': table}, version.number) for table, version in versions],
        ),
        (
            'store_era',
            'Grows each time the store comes back from an earlier copy.',
            [({}, coordination.relay.ledger.era)],
        ),
        (
            'table_age_seconds',
            'Time since a table was known to be up to date.',
            [
                ({'table': table}, age_s)
                for table, age_s in coordination.table_ages().items()
            ],
        ),
    ]


def _each(
    pools: Mapping[str, Value],
    measure: Callable[[Value], float],
) -> list[Sample]:
    """Return a sample for each pool."""
    return [({'pool': pool}, measure(value)) for pool, value in pools.items()]


def _waiting(dispatcher: Dispatcher) -> int:
    return len(dispatcher.waiting)


def _running(dispatcher: Dispatcher) -> int:
    return sum(
        len(upstream.running) for upstream in dispatcher.upstreams.values()
    )


def _cold(dispatcher: Dispatcher) -> int:
    now = loop_clock()
    return sum(
        now < upstream.cold_until for upstream in dispatcher.upstreams.values()
    )


def _slowed(dispatcher: Dispatcher) -> int:
    now = loop_clock()
    return sum(
        upstream.slowdown.relative(now) > MIN_SLOWDOWN
        for upstream in dispatcher.upstreams.values()
    )


def _served(dispatchers: Mapping[str, Dispatcher]) -> Iterator[Sample]:
    """Yield a sample for each pool and priority with recent requests."""
    for pool, dispatcher in dispatchers.items():
        for priority, share in dispatcher.fair_order.served_shares():
            yield {'pool': pool, 'priority': str(priority)}, round(share, 3)


def _limited(dispatcher: Dispatcher, notices: NoticeBoard) -> int:
    return sum(ref in notices.rate_limits for ref in dispatcher.upstreams)


def _retries_left(budget: Budget) -> float:
    return round(budget.tokens, 3)


def _owned(owners: OwnerMap) -> float:
    owned = (keys for keys in owners.ranges if keys.owner is not None)
    return sum(keys.last - keys.first + 1 for keys in owned) / KEY_COUNT


def _confirmed(ownership: KeyOwnership) -> float:
    confirmed = (keys for keys in ownership.ranges if keys.is_held)
    return sum(keys.size for keys in confirmed) / KEY_COUNT
