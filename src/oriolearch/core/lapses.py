"""Detects that the leases of a pool have lapsed.

A host that hears no coordinator does not learn that leases are not renewed,
for example when the coordinator is lost during an outage of the store and
nobody can replace it. The upstreams then refuse each request for the keys
that they owned. Requests that cannot be served are refused at once, except
for one from time to time that finds out whether keys are owned again.
"""

from dataclasses import dataclass, field

from oriolearch.core.directory import Incarnation

# A single owner may have lost its keys to another one, of which a host without
# contact to the coordinator does not hear.
MIN_REFUSING_OWNERS = 3
TRIAL_PERIOD_S = 0.3  # between requests that are sent although leases lapsed
# The end of an outage is not known. Callers are asked to return after as long
# as it has lasted, within these bounds.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 2.0


@dataclass(slots=True)
class _Refusals:
    """Refusals of a pool's upstreams since the last request that they ran."""

    began_at: float
    owners: set[Incarnation] = field(default_factory=set)
    next_trial_at: float = 0.0


class LapsedLeases:
    """The pools whose upstreams refuse requests for their own keys."""

    def __init__(self) -> None:
        self.refusals: dict[str, _Refusals] = {}

    def record_refusal(self, now: float, pool: str, owner: Incarnation) -> bool:
        """Record that the known owner of a key does not own it.

        :returns: whether this shows that the leases of the pool have lapsed.
        """
        refusals = self.refusals.setdefault(pool, _Refusals(now))
        was_known = len(refusals.owners) >= MIN_REFUSING_OWNERS
        refusals.owners.add(owner)
        refusals.next_trial_at = now + TRIAL_PERIOD_S
        return not was_known and len(refusals.owners) >= MIN_REFUSING_OWNERS

    def record_run(self, pool: str) -> None:
        """Record that an upstream ran a request for one of its keys."""
        self.refusals.pop(pool, None)

    def clear(self) -> None:
        """Record contact with a coordinator, which tells who owns keys."""
        self.refusals.clear()

    def find_retry_after(self, now: float, pool: str) -> float | None:
        """Return the delay of a retry if requests of a pool are pointless.

        Return ``None`` if the next request should be sent.
        """
        refusals = self.refusals.get(pool)
        if refusals is None or len(refusals.owners) < MIN_REFUSING_OWNERS:
            return None
        if now >= refusals.next_trial_at:
            refusals.next_trial_at = now + TRIAL_PERIOD_S
            return None
        lasted_s = now - refusals.began_at
        return min(max(lasted_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
