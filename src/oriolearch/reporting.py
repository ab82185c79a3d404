"""What a host reports to the coordinator about the upstreams it dispatches."""

import math
from collections.abc import Iterator, Mapping

from oriolearch.adapters.host_links import Message
from oriolearch.core.directory import Incarnation, parse_incarnation
from oriolearch.core.dispatching import Dispatcher
from oriolearch.leadership import Leadership

Dispatchers = Mapping[str, Dispatcher]


def describe_upstreams(dispatchers: Dispatchers, now: float) -> Message:
    """Return the fields of a report on the keyed pools.

    Upstreams without recent requests are left out, as another host may dispatch
    them by now.
    """
    keyed = {
        pool: dispatcher
        for pool, dispatcher in dispatchers.items()
        if dispatcher.plan.is_keyed
    }
    service_times = {
        pool: dispatcher.recent_service_times(now)
        for pool, dispatcher in keyed.items()
    }
    return {
        'works': service_times,
        'spreads': {
            pool: round(math.sqrt(dispatcher.spread.variance), 4)
            for pool, dispatcher in keyed.items()
            if service_times[pool]
        },
        'failing': {
            pool: [ref.text() for ref in dispatcher.failing_refs(now)]
            for pool, dispatcher in keyed.items()
        },
    }


def refs_with_recent_requests(
    dispatchers: Dispatchers, now: float
) -> Iterator[Incarnation]:
    """Yield the upstreams to which this host dispatched recently."""
    for dispatcher in dispatchers.values():
        yield from dispatcher.refs_with_recent_requests(now)


def apply_report(leadership: Leadership, report: Message) -> None:
    """Include a host's report in what the coordinator knows.

    :raises ValueError: when the report is malformed.
    """
    for pool, counts in report['keys'].items():
        leadership.count_keys(pool, {int(key): n for key, n in counts})
    for pool, service_times in report['works'].items():
        leadership.balancer_of(pool).speeds.record(service_times)
    for pool, spread in report.get('spreads', {}).items():
        leadership.balancer_of(pool).speeds.record_spread(float(spread))
    for pool, names in report.get('failing', {}).items():
        for name in names:
            ref = parse_incarnation(str(name))
            leadership.balancer_of(pool).record_failing(ref)
