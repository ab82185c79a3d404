"""What a host reports of its queues, limits and beliefs when it is scraped."""

import asyncio
from collections.abc import Iterator

from oriolearch.adapters.metrics import render_gauges
from oriolearch.clock import lease_clock
from oriolearch.coordination import Coordination
from oriolearch.core.directory import KEY_COUNT
from oriolearch.core.ownership import KeyRange
from oriolearch.forwarding import Forwarder

Sample = tuple[dict[str, str], float]


def render_state(coordination: Coordination) -> list[str]:
    """Give lines of the text format for the state of a host."""
    forwarder = coordination.forwarder
    pooled = (
        ('waiting_requests', 'Requests that wait for a place here.', _waiting),
        ('running_requests', 'Requests that have a place here.', _running),
        ('cold_upstreams', 'Upstreams in their cold start.', _cold),
        ('second_sends_left', 'Second sends that may be made now.', _sends),
        ('keys_owned_ratio', 'Keys that have an owner, of all.', _owned),
    )
    lines: list[str] = []
    for name, meaning, samples in pooled:
        found = samples(forwarder)
        lines.extend(render_gauges(f'oriolearch_{name}', meaning, found))
    return [*lines, *_render_coordination(coordination)]


def _render_coordination(coordination: Coordination) -> Iterator[str]:
    now = lease_clock()
    leadership = coordination.leadership
    left_s = leadership.authority.until() - now if leadership else 0.0
    held = (
        [
            ({'pool': pool}, _held_ratio(ownership.ranges))
            for pool, ownership in leadership.pools.items()
        ]
        if leadership
        else []
    )
    versions = coordination.relay.versions().items()
    samples: tuple[tuple[str, str, list[Sample]], ...] = (
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
            [({}, 0.0 if leadership else now - coordination.heard_at)],
        ),
        ('hosts', 'Hosts that share the work.', [({}, coordination.hosts)]),
        (
            'granted_ratio',
            'Keys that their owner has confirmed, of all.',
            held,
        ),
        (
            'table_version',
            'Version of the store up to which a table is known.',
            [({'table': table}, version) for table, version in versions],
        ),
    )
    for name, meaning, found in samples:
        yield from render_gauges(f'oriolearch_{name}', meaning, found)


def _held_ratio(ranges: list[KeyRange]) -> float:
    return sum(keys.size for keys in ranges if keys.is_held) / KEY_COUNT


def _waiting(forwarder: Forwarder) -> list[Sample]:
    return [
        ({'pool': pool}, len(found.waiting))
        for pool, found in forwarder.desk.dispatchers.items()
    ]


def _running(forwarder: Forwarder) -> list[Sample]:
    return [
        (
            {'pool': pool},
            sum(len(lane.running) for lane in found.lanes.values()),
        )
        for pool, found in forwarder.desk.dispatchers.items()
    ]


def _cold(forwarder: Forwarder) -> list[Sample]:
    now = asyncio.get_running_loop().time()
    return [
        (
            {'pool': pool},
            sum(now < lane.cold_until for lane in found.lanes.values()),
        )
        for pool, found in forwarder.desk.dispatchers.items()
    ]


def _sends(forwarder: Forwarder) -> list[Sample]:
    return [
        ({'pool': pool}, round(budget.tokens, 3))
        for pool, budget in forwarder.retries.items()
    ]


def _owned(forwarder: Forwarder) -> list[Sample]:
    return [
        (
            {'pool': pool},
            sum(
                keys.last - keys.first + 1
                for keys in owners.ranges
                if keys.owner is not None
            )
            / KEY_COUNT,
        )
        for pool, owners in forwarder.owners.items()
    ]
