"""Takes keys from upstreams that fail all of their requests.

Such an upstream may answer health checks and renew its leases. Nobody else can
serve its keys, so that they move to other upstreams for a while. When many
upstreams of a pool fail, the cause is probably elsewhere, and moving keys
would only add to it.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from oriolearch.core.directory import Incarnation

# Failures in a row. Upstreams that fail half of their requests hardly ever fail
# so many, and still serve the others.
MIN_FAILURES = 10
# Time without keys after the last report. Only requests show whether the
# upstream has recovered.
EXCLUSION_S = 5.0
MAX_EXCLUDED_SHARE = 0.25  # of the upstreams of a pool


@dataclass(slots=True)
class FailingUpstreams:
    """The upstreams of one pool that hosts have reported as failing."""

    excluded_until: dict[Incarnation, float] = field(default_factory=dict)

    def record(self, now: float, ref: Incarnation) -> bool:
        """Record a report; return whether it is the first one in a while."""
        is_new = now >= self.excluded_until.get(ref, 0.0)
        self.excluded_until[ref] = now + EXCLUSION_S
        return is_new

    def find_excluded(
        self, now: float, usable: Collection[Incarnation]
    ) -> frozenset[Incarnation]:
        """Return the usable upstreams that are to own no keys."""
        self.excluded_until = {
            ref: until
            for ref, until in self.excluded_until.items()
            if now < until
        }
        excluded = self.excluded_until.keys() & set(usable)
        if len(excluded) > MAX_EXCLUDED_SHARE * len(usable):
            return frozenset()
        return frozenset(excluded)
