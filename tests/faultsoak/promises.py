"""Checks of the promises against what callers and upstreams observe."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

# Statuses that promise that the request did not run.
NOT_RUN = frozenset((408, 421, 429, 503))
# A grant that arrives this soon after the end of a fault is excused, since the
# fault may have delayed it.
DELAYED_GRANT_S = 0.3
MAX_LEASE_OVERLAP_S = 0.5  # maximum overlap of two upstreams' leases of a key


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease of a range of keys that was granted to an upstream.

    :ivar fence: fencing token of the grant.
    :ivar is_excused: whether a fault may have delayed the grant.
    """

    owner: str
    first: int
    last: int
    fence: int
    expires_at: float
    is_excused: bool


@dataclass
class PromiseChecker:
    """Records events of a run, and reports broken promises.

    :ivar seconds: outcomes by second of the run.
    :ivar run_counts: runs by attempt.
    :ivar refused: the status of attempts that an answer said did not run.
    :ivar leases: current leases by upstream incarnation.
    :ivar granted_ranges: first key, last key and fencing token of each grant
        by upstream incarnation.
    """

    broken: list[str] = field(default_factory=list)
    seconds: dict[int, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter),
    )
    run_counts: Counter[str] = field(default_factory=Counter)
    refused: dict[str, int] = field(default_factory=dict)
    bodies: dict[str, bytes] = field(default_factory=dict)
    leases: dict[str, list[Lease]] = field(default_factory=dict)
    granted_ranges: dict[str, list[tuple[int, int, int]]] = field(
        default_factory=lambda: defaultdict(list),
    )

    def report(self, now: float, text: str) -> None:
        self.broken.append(f'{now:.3f} {text}')

    def record_request(self, attempt: str, body: bytes) -> None:
        self.bodies[attempt] = body

    def record_run_start(
        self,
        now: float,
        server: str,
        attempt: str,
        key: int,
        body: bytes,
    ) -> None:
        """Record that an upstream started to run a request."""
        self.run_counts[attempt] += 1
        is_safe = attempt.startswith('5afe')
        if self.bodies.get(attempt) != body:
            self.report(now, f'UNASKED {attempt} at {server}')
        if not is_safe and self.run_counts[attempt] > 1:
            self.report(now, f'TWICE {attempt} at {server}')
        if not is_safe and attempt in self.refused:
            status = self.refused[attempt]
            self.report(now, f'REFUSED {attempt} with {status}, at {server}')
        own_leases = self._leases_of(now, server, key)
        for other in self.leases:
            other_leases = (
                self._leases_of(now, other, key) if other != server else []
            )
            if (
                other_leases
                and own_leases
                and not own_leases[0].is_excused | other_leases[0].is_excused
            ):
                self.report(
                    now, f'OWNER {key}: {own_leases[0]}, {other_leases[0]}'
                )

    def _leases_of(self, now: float, server: str, key: int) -> list[Lease]:
        return [
            lease
            for lease in self.leases.get(server, [])
            if lease.first <= key <= lease.last and lease.expires_at > now
        ]

    def record_grant(self, now: float, lease: Lease) -> None:
        """Record a grant that an upstream accepted.

        Its fencing token must be above those of other upstreams' grants of
        the same keys.
        """
        for other, ranges in self.granted_ranges.items():
            if other == lease.owner:
                continue
            for first, last, fence in ranges:
                overlaps = first <= lease.last and last >= lease.first
                if overlaps and fence >= lease.fence and not lease.is_excused:
                    self.report(now, f'OWNER fence {fence} of {other}: {lease}')
        self.granted_ranges[lease.owner].append(
            (lease.first, lease.last, lease.fence)
        )

    def record_answer(
        self,
        now: float,
        attempt: str,
        status: int,
        signature: bytes | None,
        body: bytes,
    ) -> None:
        """Record an answer that a caller received."""
        problem = self._broken_promise(attempt, status, signature, body)
        if problem:
            self.report(now, f'{problem} {attempt}: {status} {body[:40]!r}')
        if status in NOT_RUN:
            self.refused[attempt] = status
            if self.run_counts[attempt] and not attempt.startswith('5afe'):
                self.report(now, f'REFUSED {attempt} with {status}, had run')
        outcome = 'failed'
        if status == 200:
            outcome = 'served'
        elif status in NOT_RUN:
            outcome = 'refused'
        self.seconds[int(now)][outcome] += 1

    def _broken_promise(
        self,
        attempt: str,
        status: int,
        signature: bytes | None,
        body: bytes,
    ) -> str:
        """Return the code of the broken promise, or an empty string."""
        if status == 200:
            is_whole = body == b'ran:' + self.bodies[attempt]
            is_own = (signature or b'').endswith(attempt.encode())
            return '' if is_whole and is_own else 'MIXED'
        if signature is not None:
            return 'MIXED'
        return 'DENIED' if status == 404 or status // 100 == 3 else ''

    def record_missing_answer(
        self, now: float, attempt: str, was_fault_free: bool
    ) -> None:
        """Record that a connection closed or timed out without an answer.

        :param was_fault_free: whether no fault affected the host, so that it
            should have answered.
        """
        self.seconds[int(now)]['failed'] += 1
        if was_fault_free:
            self.report(now, f'LOST {attempt}')
