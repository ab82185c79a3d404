"""Plans which keys of a pool the coordinator moves.

The request rates of keys and the speeds of upstreams come from the reports of
all hosts. They are not stored: a new coordinator learns them within a second,
and until then it keeps the owners that its predecessor chose.
"""

import math
from collections.abc import Iterator

from oriolearch.clock import lease_clock, loop_clock
from oriolearch.core.balance import (
    KeyRates,
    Move,
    OwnerCandidate,
    plan_balance,
    plan_evacuation,
    plan_hot_keys,
    plan_merge,
)
from oriolearch.core.directory import Incarnation, UpstreamEntry
from oriolearch.core.failing import FailingUpstreams
from oriolearch.core.owner_shares import PoolSpeeds, find_objective
from oriolearch.core.ownership import KeyOwnership
from oriolearch.eventlog import Event, EventLog
from oriolearch.registry import Registry

BALANCE_PERIOD_S = 0.4  # the effect of a move is in the reports by then
RATE_HALF_LIFE_S = 1.5  # of the request count of a key
DIVISIONS_PER_EVENT = 5
MIN_COUNTED_S = 0.4  # a report covers 0.2 s
MIN_KEY_RATE = 0.02  # requests a second; lower rates are dropped
# A new coordinator balances inherited keys once it has counted requests for a
# while and this part of the upstreams has been reported, and after the longer
# time anyway.
MIN_LEARNING_S = 1.5
MIN_REPORTED_SHARE = 0.5
MAX_LEARNING_S = 3.0

_LN_2 = math.log(2)
_RATE_PER_COUNT = _LN_2 / RATE_HALF_LIFE_S  # exact for a steady rate
_DECAY = 0.5 ** (BALANCE_PERIOD_S / RATE_HALF_LIFE_S)
_VARIANCE = _LN_2 / RATE_HALF_LIFE_S / 2


class KeyBalancer:
    """Plans the moves of one pool's keys during a term.

    :ivar rates: requests per second of the keys with recent requests.
    :ivar speeds: what is known of the speeds of the upstreams.
    :ivar failing: upstreams that fail all of their requests.
    :ivar counted_since: when the first requests were counted.
    :ivar inherited_at: when the owners that a predecessor chose were read, if
        there were any.
    """

    def __init__(self, pool: str, registry: Registry, log: EventLog) -> None:
        self.pool = pool
        self.registry = registry
        self.log = log
        self.rates: dict[int, float] = {}
        self.speeds = PoolSpeeds()
        self.failing = FailingUpstreams()
        self.counted_since: float | None = None
        self.inherited_at = -math.inf

    def count_keys(self, counts: dict[int, int]) -> None:
        """Add the request counts of keys since a host's last report."""
        if counts and self.counted_since is None:
            self.counted_since = lease_clock()
        for key, count in counts.items():
            added = count * _RATE_PER_COUNT
            self.rates[key] = self.rates.get(key, 0.0) + added

    def total_rate(self) -> float:
        """Return the requests per second for all keys.

        The decayed counts of keys lack the requests before the first count.
        """
        if self.counted_since is None:
            return 0.0
        counted_s = max(lease_clock() - self.counted_since, MIN_COUNTED_S)
        counted_share = 1 - math.pow(0.5, counted_s / RATE_HALF_LIFE_S)
        return sum(self.rates.values()) / counted_share

    def usable_upstreams(
        self, ownership: KeyOwnership
    ) -> dict[Incarnation, UpstreamEntry]:
        """Return the upstreams that may own keys."""
        now = lease_clock()
        usable = self.registry.usable_upstreams(self.pool)
        excluded = self.failing.find_excluded(now, usable)
        return {
            ref: entry
            for ref, entry in usable.items()
            if ref not in excluded and not ownership.is_lost(now, ref)
        }

    def record_failing(self, ref: Incarnation) -> None:
        """Record that an upstream fails all of its requests."""
        if self.failing.record(lease_clock(), ref):
            self.log.emit(
                Event.OWNER_FAILING,
                pool=self.pool,
                upstream=ref.text(),
                failing=len(self.failing.excluded_until),
                usable=len(self.registry.usable_upstreams(self.pool)),
            )

    def plan_evacuation(self, ownership: KeyOwnership) -> list[Move]:
        """Plan to move the keys of upstreams that may not own any."""
        usable = self.usable_upstreams(ownership)
        if {keys.owner for keys in ownership.ranges} <= usable.keys():
            return []
        shares = self.speeds.shares
        candidates = [
            OwnerCandidate(ref, shares.get(ref, 1.0)) for ref in sorted(usable)
        ]
        return plan_evacuation(
            ownership.ranges, candidates, KeyRates(self.rates)
        )

    def plan(self, ownership: KeyOwnership) -> Iterator[tuple[Move, str]]:
        """Yield moves for balance with their causes; call it periodically.

        Each move has to begin before the next one is planned.
        """
        self._decay_rates()
        candidates = self._candidates(self.usable_upstreams(ownership))
        ownership.merge()
        if self._is_learning(candidates):
            return
        rates = KeyRates(self.rates, _VARIANCE)
        for move in plan_hot_keys(ownership.ranges, candidates, rates):
            yield move, 'hot key'
        for move in plan_balance(ownership.ranges, candidates, rates):
            yield move, 'balance'
        for move in plan_merge(ownership.ranges, candidates, rates):
            yield move, 'merge'

    def _decay_rates(self) -> None:
        for key in list(self.rates):
            self.rates[key] *= _DECAY
            if self.rates[key] < MIN_KEY_RATE:
                del self.rates[key]

    def _is_learning(self, candidates: list[OwnerCandidate]) -> bool:
        """Return whether too little is known to improve inherited owners."""
        learned_s = lease_clock() - self.inherited_at
        if learned_s < MIN_LEARNING_S:
            return True
        if learned_s >= MAX_LEARNING_S:
            return False
        reported = len(self.speeds.service_times)
        return reported < MIN_REPORTED_SHARE * len(candidates)

    def _candidates(
        self, usable: dict[Incarnation, UpstreamEntry]
    ) -> list[OwnerCandidate]:
        """Return the upstreams that may own keys, with their shares."""
        now = loop_clock()
        capabilities = self.speeds.find_capabilities(
            usable, lambda ref: self.registry.is_cold(now, ref)
        )
        objective_s = find_objective(self.registry.directory, self.pool)
        shares = self.speeds.update_shares(
            self.total_rate(), capabilities, objective_s
        )
        if shares and self.speeds.division_count % DIVISIONS_PER_EVENT == 0:
            self.log.emit(
                Event.LOAD_DIVIDED,
                pool=self.pool,
                rate=round(self.speeds.peak_rate, 1),
                objective_s=objective_s,
                spread=round(self.speeds.spread, 3),
                upstreams=len(shares),
                reported=len(self.speeds.service_times),
                least_share=round(min(shares.values()), 3),
                most_share=round(max(shares.values()), 3),
            )
        return [
            OwnerCandidate(ref, shares[ref], capabilities[ref].rate)
            for ref in sorted(shares)
        ]
