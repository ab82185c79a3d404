"""Grants, mandates and permits: rules G1 to G4 of docs/design.md.

:class:`Renewer` runs on the host that renews the grants of one server.
:class:`Granter` runs on the coordinator and determines when a server can no
longer serve a shard that was withdrawn from it.
"""

from dataclasses import dataclass, field, replace

from oriolearch.core.messages import AuthorityKey, Mandate, RenewalReport
from oriolearch.core.model import (
    HostRef,
    add_clock_margin,
    subtract_clock_margin,
)

GRANT_S = 0.7
MANDATE_S = 0.6
PERMIT_S = 0.7
RENEW_PERIOD_S = 0.2
PROBE_PERIOD_S = 0.5  # probe period of a server whose renewals have stopped
MAX_FAILURES = 3  # consecutive failures after which renewals stop

ServerKey = tuple[str, str]  # names of the pool and the server


@dataclass(frozen=True, slots=True)
class Probe:
    """Effect: read the server's clock and incarnation."""

    pool: str
    server: str


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Effect: extend the server's grant.

    :param incarnation: the incarnation for which the grant is meant. A server
        with another one refuses it, because its clock may have restarted and
        ``expires_at`` may lie years ahead.
    :param expires_at: expiry in seconds of the server's clock.
    :param shards: shards and epochs of the whole list, or ``None`` to renew
        the list that the server has.
    """

    authority: AuthorityKey
    pool: str
    server: str
    term: int
    version: int
    incarnation: int
    expires_at: float
    shards: tuple[tuple[int, int], ...] | None
    keys: tuple[tuple[str, int], ...] = ()


RenewerEffect = Probe | SendGrant


@dataclass(frozen=True, slots=True)
class ServerAnswer:
    """Event: a server answered.

    :param sent: the renewer's time before it sent the message.
    :param version: version of the server's present list; ``None`` after a
        probe.
    :param is_settled: the server runs no order for a shard that is not in the
        list.
    """

    sent: float
    incarnation: int
    clock: float
    version: int | None = None
    is_settled: bool = True


@dataclass(frozen=True, slots=True)
class ServerRefusal:
    """Event: a server refused a grant.

    :param reason: ``'version'``, ``'term'`` or ``'incarnation'``.
    """

    sent: float
    reason: str


@dataclass(frozen=True, slots=True)
class _ClockReading:
    """A reading of the server's clock."""

    incarnation: int
    clock: float
    read_at: float

    def lower_bound(self, now: float) -> float:
        return self.clock + subtract_clock_margin(now - self.read_at)


class Renewer:
    """Renews the grants of one server while a mandate is in force.

    After a failure it only probes the server until it answers, so that the
    grant of a lost server expires as early as possible.

    :param is_checked: the server supports grants; others are only probed.
    """

    def __init__(self, pool: str, server: str, *, is_checked: bool) -> None:
        self.pool = pool
        self.server = server
        self.is_checked = is_checked
        self.mandate: Mandate | None = None
        self.mandate_end = 0.0
        self.grant_end = 0.0
        self.earlier_grants_end = 0.0
        self.confirmed_version = 0
        self.failures = 0
        self.has_stopped = False
        self._clock: _ClockReading | None = None
        self._next_send_at = 0.0
        # Send time of the message whose answer is awaited. The answer to a
        # message from before a change of mandate must not confirm the new one.
        self._awaited_send_at: float | None = None

    def record_mandate(self, mandate: Mandate, requested_at: float) -> None:
        """Record a mandate, whose duration counts from before its request."""
        current = self.mandate
        end = requested_at + subtract_clock_margin(mandate.duration_s)
        if current is None or _mandate_rank(mandate) > _mandate_rank(current):
            self.mandate = mandate
            self.mandate_end = end
            self.earlier_grants_end = self.grant_end
            self.confirmed_version = 0
            self.has_stopped = False
            self._next_send_at = 0
            self._awaited_send_at = None
        elif _mandate_rank(mandate) == _mandate_rank(current):
            self.mandate_end = max(self.mandate_end, end)

    def may_renew(self, now: float) -> bool:
        """Return whether a grant may be sent now."""
        return now < self.mandate_end and not self.has_stopped

    def tick(self, now: float) -> RenewerEffect | None:
        """Return the message that is due to be sent to the server."""
        if self.mandate is None or now >= self.mandate_end:
            return None
        if now < self._next_send_at:
            return None
        if self._awaited_send_at is not None:
            self.failures += 1
            self.has_stopped = self.failures >= MAX_FAILURES
        period = PROBE_PERIOD_S if self.has_stopped else RENEW_PERIOD_S
        self._next_send_at = now + period
        self._awaited_send_at = now
        if self._clock is None or self.failures or not self._is_granting(now):
            return Probe(self.pool, self.server)
        return self._grant(self.mandate, self._clock, now)

    def receive_answer(self, event: ServerAnswer, now: float) -> None:
        """Apply an answer; answers to earlier messages are ignored."""
        if event.sent != self._awaited_send_at or self.mandate is None:
            return
        if self._clock and self._clock.incarnation != event.incarnation:
            self.confirmed_version = 0
        self._clock = _ClockReading(event.incarnation, event.clock, now)
        self._awaited_send_at = None
        if self.failures:
            self._next_send_at = now
        self.failures = 0
        is_confirmed = (
            event.version == self.mandate.version and event.is_settled
        )
        if is_confirmed or not self.is_checked:
            self.confirmed_version = self.mandate.version

    def receive_refusal(self, event: ServerRefusal) -> None:
        """Apply a refusal; the server is reachable but rejected the grant."""
        if event.sent != self._awaited_send_at:
            return
        self._awaited_send_at = None
        self._next_send_at = event.sent
        self.confirmed_version = 0
        if event.reason == 'term':
            self.has_stopped = True
            self._next_send_at = event.sent + PROBE_PERIOD_S
        elif event.reason == 'incarnation':
            self._clock = None

    def report(self, now: float) -> RenewalReport | None:
        """Return the report for the coordinator."""
        if self.mandate is None:
            return None
        end = self.grant_end if self.has_stopped else self.earlier_grants_end
        return RenewalReport(
            self.mandate.authority,
            self.mandate.term,
            self.pool,
            self.server,
            self.confirmed_version,
            self.has_stopped,
            max(end - now, 0),
            self.failures,
            mandate_version=self.mandate.version,
        )

    def _is_granting(self, now: float) -> bool:
        return self.is_checked and self.may_renew(now)

    def _grant(
        self,
        mandate: Mandate,
        reading: _ClockReading,
        now: float,
    ) -> SendGrant:
        self.grant_end = max(self.grant_end, now + GRANT_S)
        has_list = self.confirmed_version == mandate.version
        return SendGrant(
            mandate.authority,
            self.pool,
            self.server,
            mandate.term,
            mandate.version,
            reading.incarnation,
            reading.lower_bound(now) + subtract_clock_margin(GRANT_S),
            None if has_list else mandate.shards,
            () if has_list else mandate.keys,
        )


def _mandate_rank(mandate: Mandate) -> tuple[int, int]:
    return mandate.term, mandate.version


@dataclass(slots=True)
class _RenewerState:
    """What one renewer may still grant under earlier lists of a server.

    :param mandated_at: by list version, the last time at which the renewer was
        given a mandate for it.
    :param floor: the renewer never again sends a list of an earlier version.
    :param earlier_grants_end: end of the grants that it sent under those
        versions.
    """

    mandated_at: dict[int, float] = field(default_factory=dict)
    floor: int = 0
    earlier_grants_end: float = 0.0

    def is_over(self, version: int, now: float) -> bool:
        wait = add_clock_margin(MANDATE_S) + add_clock_margin(GRANT_S)
        return now >= self.earlier_grants_end and not any(
            number < version and now < start + wait
            for number, start in self.mandated_at.items()
        )


class Granter:
    """Tracks the grants of a term for the coordinator.

    :param started_at: start of the authority (G3).
    """

    def __init__(self, term: int, started_at: float) -> None:
        self.term = term
        self.started_at = started_at
        self._renewers: dict[ServerKey, dict[HostRef, _RenewerState]] = {}

    def record_mandate(
        self,
        host: HostRef,
        mandate: Mandate,
        now: float,
    ) -> Mandate:
        """Record that a renewer is given a mandate, and set its duration."""
        server = mandate.pool, mandate.server
        by_host = self._renewers.setdefault(server, {})
        renewer = by_host.setdefault(host, _RenewerState())
        renewer.mandated_at[mandate.version] = now
        return replace(mandate, duration_s=MANDATE_S)

    def apply_report(
        self,
        host: HostRef,
        report: RenewalReport,
        now: float,
    ) -> None:
        """Apply the report of a renewer."""
        server = report.pool, report.server
        renewer = self._renewers.get(server, {}).get(host)
        if renewer is None or report.term != self.term:
            return
        floor = (
            report.mandate_version + 1
            if report.stopped
            else report.mandate_version
        )
        end = now + add_clock_margin(report.ends_in_s)
        if (
            report.confirmed_version == report.mandate_version
            and not report.stopped
        ):
            end = 0  # the new list has replaced all earlier ones
        if floor < renewer.floor:
            return
        is_same = floor == renewer.floor
        renewer.earlier_grants_end = (
            min(renewer.earlier_grants_end, end) if is_same else end
        )
        renewer.floor = floor
        renewer.mandated_at = {
            number: start
            for number, start in renewer.mandated_at.items()
            if number >= floor
        }

    def takeover_wait_s(self) -> float:
        """Return the wait until grants of earlier terms have expired (G3)."""
        return add_clock_margin(MANDATE_S) + add_clock_margin(GRANT_S)

    def is_over(self, server: ServerKey, version: int, now: float) -> bool:
        """Return whether no list before this version can be in force (G2)."""
        if now < self.started_at + self.takeover_wait_s():
            return False
        by_host = self._renewers.get(server, {})
        return all(
            renewer.is_over(version, now) for renewer in by_host.values()
        )

    def is_drained(self, withdrawn: float, limit_s: float, now: float) -> bool:
        """Return whether no order can run under an earlier revision (G4).

        Permits of an earlier term may still be in force, so the wait starts
        no earlier than this authority.

        :param withdrawn: time from which permits are only for revisions in
            which the shard has no owner.
        """
        start = max(withdrawn, self.started_at)
        return now >= start + add_clock_margin(PERMIT_S) + add_clock_margin(
            limit_s
        )
