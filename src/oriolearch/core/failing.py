"""Takes keys from upstreams that fail nearly all of their requests.

Such an upstream may answer health checks and renew its leases. Nobody else can
serve its keys, so that they move to other upstreams for a while. When many
upstreams of a pool fail, the cause is probably elsewhere, and moving keys
would only add to it.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from oriolearch.core.directory import Incarnation

FAILURE_WEIGHT = 0.2  # of a request in the share of failures
MIN_REQUESTS = 5  # before an upstream can count as failing
FAILING_SHARE = 0.7
# Time without keys after the last report. Only requests show whether the
# upstream has recovered.
EXCLUSION_S = 5.0
MAX_EXCLUDED_SHARE = 0.25  # of the upstreams of a pool


@dataclass(slots=True)
class FailureShare:
    """Share of the recent requests to one upstream that failed."""

    share: float = 0.0
    count: int = 0

    def record(self, *, has_failed: bool) -> None:
        """Include the outcome of a request."""
        self.count += 1
        self.share += (has_failed - self.share) * FAILURE_WEIGHT

    @property
    def is_failing(self) -> bool:
        """Return whether nearly all requests fail."""
        return self.count >= MIN_REQUESTS and self.share > FAILING_SHARE


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
