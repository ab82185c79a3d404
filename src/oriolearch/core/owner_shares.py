"""Divides the load of a keyed pool among its upstreams.

Upstreams differ in speed, and at equal utilisation the slow ones answer late
far more often than the fast ones. The load is divided so that as few answers
as possible miss the latency objective: slow upstreams own little while fast
ones have capacity left, and more when they don't.
"""

import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import chain, groupby, pairwise
from statistics import fmean

from oriolearch.core.balance import REPORT_WEIGHT, is_steady, smooth
from oriolearch.core.directory import Directory, Incarnation, UpstreamEntry
from oriolearch.core.service_times import (
    INITIAL_SPREAD,
    MAX_SPREAD,
    Capability,
)
from oriolearch.core.upstream_state import INITIAL_SERVICE_TIME_S

# Late answers, as a share of the requests, that a fully used upstream has to
# save to be worth its lost headroom. Without it the fastest upstreams would get
# all of a small load, with no capacity left for a surge of some keys.
HEADROOM_WEIGHT = 0.3
# Utilisations between which the load is divided in one step.
UTILISATIONS = (
    *(0.01, 0.02, 0.035, 0.05, 0.075),
    *(percentage / 100 for percentage in range(10, 100, 5)),
)
COST_DECIMALS = 6  # steps whose costs differ by less share the load
# Service times that differ by less count as equal.
CLASS_RATIO = 1.1
COLD_SPEED_FACTOR = 0.3  # speed of an upstream in its cold start
SPREAD_REPORT_WEIGHT = 0.02  # of a host's report in the spread of a pool
# Of the peak rate from one division of the load to the next, 0.4 s later: it
# halves in 20 s.
PEAK_DECAY = 0.986
# An upstream keeps at least this part of the mean share, so that its speed
# stays known and it is of use as soon as the load rises.
MIN_SHARE = 0.05


class PoolSpeeds:
    """What hosts report on the speed of the upstreams of one pool.

    :ivar service_times: mean service time by upstream, in seconds.
    :ivar spread: standard deviation of the logarithm of service times.
    :ivar shares: of the load, smoothed over the times it was divided.
    :ivar divided_for: speed of each upstream when its share last changed at
        once.
    :ivar peak_rate: requests per second for which the load is divided.
    """

    def __init__(self) -> None:
        self.service_times: dict[str, float] = {}
        self.shares: dict[Incarnation, float] = {}
        self.divided_for: dict[Incarnation, Capability] = {}
        self.division_count = 0
        self.peak_rate = 0.0
        self.spread = INITIAL_SPREAD

    def record(self, service_times: Mapping[str, float]) -> None:
        """Include the service times that one host reports."""
        for name, reported_s in service_times.items():
            if reported_s > 0:
                self.service_times[name] = smooth(
                    self.service_times.get(name), reported_s
                )

    def record_spread(self, spread: float) -> None:
        """Include the spread that one host reports."""
        if 0 < spread <= MAX_SPREAD:
            self.spread += (spread - self.spread) * SPREAD_REPORT_WEIGHT

    def find_capabilities(
        self,
        usable: Mapping[Incarnation, UpstreamEntry],
        is_cold: Callable[[Incarnation], bool],
    ) -> dict[Incarnation, Capability]:
        """Return the capability of usable upstreams; forget the others.

        An upstream that no host has reported yet counts as an average one.
        """
        names = {ref.text() for ref in usable}
        known = {
            name: time_s
            for name, time_s in self.service_times.items()
            if name in names
        }
        self.service_times = known
        average_s = fmean(known.values()) if known else INITIAL_SERVICE_TIME_S
        capabilities = {}
        for ref, entry in usable.items():
            mean_s = known.get(ref.text(), average_s)
            if is_cold(ref):
                mean_s /= COLD_SPEED_FACTOR
            capabilities[ref] = Capability(
                max(entry.slots, 1), mean_s, self.spread
            )
        return capabilities

    def update_shares(
        self,
        total_rate: float,
        capabilities: Mapping[Incarnation, Capability],
        objective_s: float,
    ) -> dict[Incarnation, float]:
        """Divide the load anew, and smooth the shares, so that keys stay.

        Shares are those of the recent peak. If they followed a load that rises
        and falls, keys would move to slow upstreams and back.
        """
        self.peak_rate = max(total_rate, self.peak_rate * PEAK_DECAY)
        divided = divide_load(self.peak_rate, capabilities, objective_s)
        self.division_count += 1
        weight = max(REPORT_WEIGHT, 1 / self.division_count)
        changed = {
            ref: capability
            for ref, capability in capabilities.items()
            if ref not in self.divided_for
            or not is_steady(self.divided_for[ref].mean_s, capability.mean_s)
        }
        self.shares = {
            ref: share
            if ref in changed
            else self.shares[ref] + (share - self.shares[ref]) * weight
            for ref, share in divided.items()
        }
        self.divided_for = {
            ref: changed.get(ref) or self.divided_for[ref]
            for ref in capabilities
        }
        return self.shares


def find_objective(directory: Directory | None, pool: str) -> float:
    """Return the tightest latency objective of the routes to a pool.

    It is infinite without a route. The load is then divided by speed alone.
    """
    if directory is None:
        return math.inf
    objectives = (
        route.latency_objective_s
        for route in chain.from_iterable(directory.routes.values())
        if any(
            destination.pool == pool and destination.weight > 0
            for destination in route.destinations
        )
    )
    return min(objectives, default=math.inf)


@dataclass(frozen=True, slots=True)
class _Step:
    """A step by which the utilisation of a class of upstreams rises.

    :param cost: late answers per request of the step, and headroom lost.
    :param rate: requests per second of the step, of each upstream.
    """

    cost: float
    members: tuple[Incarnation, ...]
    rate: float


def divide_load(
    total_rate: float,
    capabilities: Mapping[Incarnation, Capability],
    objective_s: float,
) -> dict[Incarnation, float]:
    """Return the share of each upstream, as a multiple of the mean share.

    :param total_rate: requests per second of all upstreams together.
    """
    if not capabilities:
        return {}
    shares = dict.fromkeys(capabilities, 0.0)
    remaining = max(total_rate, 1.0)
    steps = [
        step
        for members in _classes(capabilities)
        for step in _steps(members, capabilities, objective_s)
    ]
    steps.sort(key=_cost)
    for _, group in groupby(steps, key=_cost):
        equal = tuple(group)
        room = sum(step.rate * len(step.members) for step in equal)
        part = min(remaining / room, 1.0)
        for step in equal:
            for ref in step.members:
                shares[ref] += step.rate * part
        remaining -= room * part
    if remaining > 0:
        # More than all can serve: nothing is gained by favouring any.
        return _relative({ref: capabilities[ref].rate for ref in shares})
    return _relative(shares)


def _cost(step: _Step) -> float:
    return step.cost


def _relative(
    shares: Mapping[Incarnation, float],
) -> dict[Incarnation, float]:
    mean = fmean(shares.values())
    return {ref: max(share / mean, MIN_SHARE) for ref, share in shares.items()}


def _classes(
    capabilities: Mapping[Incarnation, Capability],
) -> Iterable[tuple[Incarnation, ...]]:
    """Return groups of upstreams that are about equally fast."""
    groups: dict[tuple[int, int], list[Incarnation]] = {}
    for ref, capability in capabilities.items():
        speed_class = round(math.log(capability.mean_s, CLASS_RATIO))
        groups.setdefault((capability.slots, speed_class), []).append(ref)
    return [tuple(refs) for refs in groups.values()]


def _steps(
    members: tuple[Incarnation, ...],
    capabilities: Mapping[Incarnation, Capability],
    objective_s: float,
) -> Iterator[_Step]:
    """Yield the steps of a class, each at least as costly as the one before."""
    capability = capabilities[members[0]]
    late_before = cost = 0.0
    for before, utilisation in pairwise((0.0, *UTILISATIONS)):
        late = utilisation * capability.late_share(utilisation, objective_s)
        marginal = (late - late_before) / (utilisation - before)
        cost = max(cost, marginal + HEADROOM_WEIGHT * utilisation)
        yield _Step(
            round(cost, COST_DECIMALS),
            members,
            capability.rate * (utilisation - before),
        )
        late_before = late
