"""Grants, mandates and permits: rules G1 to G4 of docs/design.md.

:class:`Renewer` runs on the host that is charged with one server.
:class:`Granter` runs on the coordinator and tells when a shard that was taken
from a server can no longer be served by it.
"""

from dataclasses import dataclass, field, replace

from oriolearch.core.messages import AuthorityKey, Mandate, RenewalReport
from oriolearch.core.model import HostRef, lengthened, shortened

GRANT_S = 0.7
MANDATE_S = 0.6
PERMIT_S = 0.7
RENEW_PERIOD_S = 0.2
PROBE_PERIOD_S = 0.5  # of a server whose renewals have stopped
MAX_FAILURES = 3

ServerKey = tuple[str, str]  # pool and server


@dataclass(frozen=True, slots=True)
class Probe:
    """Effect: read the server's clock and incarnation."""

    pool: str
    server: str


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Effect: extend the server's grant.

    :param incarnation: the server refuses if it has another one, because its
        clock may have restarted and ``expires_at`` may lie years ahead.
    :param expires_at: in seconds of the server's clock.
    :param shards: the whole list, or ``None`` to renew what it holds.
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

    :param sent: time of the renewer before it sent.
    :param version: list that the server now holds; ``None`` after a probe.
    :param is_settled: no order for a shard outside of the list is running.
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
class _Reading:
    incarnation: int
    clock: float
    taken: float

    def lower_bound(self, now: float) -> float:
        return self.clock + shortened(now - self.taken)


class Renewer:
    """Renews the grants of one server while a mandate lasts.

    After one failure it only probes, so that the grant of a lost server ends
    as early as possible.

    :param is_checked: the server takes grants; otherwise it is only probed.
    """

    def __init__(self, pool: str, server: str, *, is_checked: bool) -> None:
        self.pool = pool
        self.server = server
        self.is_checked = is_checked
        self.mandate: Mandate | None = None
        self.mandate_end = 0.0
        self.grant_end = 0.0
        self.earlier_end = 0.0
        self.confirmed = 0
        self.failures = 0
        self.has_stopped = False
        self._reading: _Reading | None = None
        self._due = 0.0
        # Time of the send whose answer counts. Answers to sends from before
        # a change of the mandate must not confirm the new one.
        self._awaited: float | None = None

    def charge(self, mandate: Mandate, asked: float) -> None:
        """Take in a mandate, counted from before it was asked for."""
        known = self.mandate
        end = asked + shortened(mandate.duration_s)
        if known is None or _order(mandate) > _order(known):
            self.mandate = mandate
            self.mandate_end = end
            self.earlier_end = self.grant_end
            self.confirmed = 0
            self.has_stopped = False
            self._due = 0
            self._awaited = None
        elif _order(mandate) == _order(known):
            self.mandate_end = max(self.mandate_end, end)

    def may_renew(self, now: float) -> bool:
        """Tell whether a grant may be sent now."""
        return now < self.mandate_end and not self.has_stopped

    def tick(self, now: float) -> RenewerEffect | None:
        """Give what is due to be sent to the server."""
        if self.mandate is None or now >= self.mandate_end:
            return None
        if now < self._due:
            return None
        if self._awaited is not None:
            self.failures += 1
            self.has_stopped = self.failures >= MAX_FAILURES
        period = PROBE_PERIOD_S if self.has_stopped else RENEW_PERIOD_S
        self._due = now + period
        self._awaited = now
        if self._reading is None or self.failures or not self._is_granting(now):
            return Probe(self.pool, self.server)
        return self._grant(self.mandate, self._reading, now)

    def answered(self, event: ServerAnswer, now: float) -> None:
        """Take in an answer; one to an earlier message is ignored."""
        if event.sent != self._awaited or self.mandate is None:
            return
        if self._reading and self._reading.incarnation != event.incarnation:
            self.confirmed = 0
        self._reading = _Reading(event.incarnation, event.clock, now)
        self._awaited = None
        if self.failures:
            self._due = now
        self.failures = 0
        is_held = event.version == self.mandate.version and event.is_settled
        if is_held or not self.is_checked:
            self.confirmed = self.mandate.version

    def refused(self, event: ServerRefusal) -> None:
        """Take in a refusal; the server lives but needs something else."""
        if event.sent != self._awaited:
            return
        self._awaited = None
        self._due = event.sent
        self.confirmed = 0
        if event.reason == 'term':
            self.has_stopped = True
            self._due = event.sent + PROBE_PERIOD_S
        elif event.reason == 'incarnation':
            self._reading = None

    def report(self, now: float) -> RenewalReport | None:
        """Give what the coordinator should know."""
        if self.mandate is None:
            return None
        end = self.grant_end if self.has_stopped else self.earlier_end
        return RenewalReport(
            self.mandate.authority,
            self.mandate.term,
            self.pool,
            self.server,
            self.confirmed,
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
        reading: _Reading,
        now: float,
    ) -> SendGrant:
        self.grant_end = max(self.grant_end, now + GRANT_S)
        is_known = self.confirmed == mandate.version
        return SendGrant(
            mandate.authority,
            self.pool,
            self.server,
            mandate.term,
            mandate.version,
            reading.incarnation,
            reading.lower_bound(now) + shortened(GRANT_S),
            None if is_known else mandate.shards,
            () if is_known else mandate.keys,
        )


def _order(mandate: Mandate) -> tuple[int, int]:
    return mandate.term, mandate.version


@dataclass(slots=True)
class _Charged:
    """What one renewer may still do with earlier lists of a server.

    :param given: last time at which each version was given to it.
    :param floor: it never again sends a list of an earlier version.
    :param earlier_end: end of what it granted under those.
    """

    given: dict[int, float] = field(default_factory=dict)
    floor: int = 0
    earlier_end: float = 0.0

    def is_over(self, version: int, now: float) -> bool:
        wait = lengthened(MANDATE_S) + lengthened(GRANT_S)
        return now >= self.earlier_end and not any(
            number < version and now < given + wait
            for number, given in self.given.items()
        )


class Granter:
    """What a coordinator knows of the grants given in its term.

    :param began: time at which the authority began (G3).
    """

    def __init__(self, term: int, began: float) -> None:
        self.term = term
        self.began = began
        self._charged: dict[ServerKey, dict[HostRef, _Charged]] = {}

    def charge(
        self,
        host: HostRef,
        mandate: Mandate,
        now: float,
    ) -> Mandate:
        """Note that a host is given a mandate."""
        server = mandate.pool, mandate.server
        charged = self._charged.setdefault(server, {})
        known = charged.setdefault(host, _Charged())
        known.given[mandate.version] = now
        return replace(mandate, duration_s=MANDATE_S)

    def reported(
        self,
        host: HostRef,
        report: RenewalReport,
        now: float,
    ) -> None:
        """Take in a renewer's report."""
        server = report.pool, report.server
        charged = self._charged.get(server, {}).get(host)
        if charged is None or report.term != self.term:
            return
        floor = (
            report.mandate_version + 1
            if report.stopped
            else report.mandate_version
        )
        end = now + lengthened(report.ends_in_s)
        if (
            report.confirmed_version == report.mandate_version
            and not report.stopped
        ):
            end = 0  # the server has replaced every earlier list
        if floor < charged.floor:
            return
        is_same = floor == charged.floor
        charged.earlier_end = min(charged.earlier_end, end) if is_same else end
        charged.floor = floor
        charged.given = {
            number: given
            for number, given in charged.given.items()
            if number >= floor
        }

    def takeover_wait_s(self) -> float:
        """Give the wait for grants of earlier terms (G3)."""
        return lengthened(MANDATE_S) + lengthened(GRANT_S)

    def is_over(self, server: ServerKey, version: int, now: float) -> bool:
        """Tell whether no list before a version can be in force (G2)."""
        if now < self.began + self.takeover_wait_s():
            return False
        charged = self._charged.get(server, {})
        return all(known.is_over(version, now) for known in charged.values())

    def is_drained(self, withdrawn: float, limit_s: float, now: float) -> bool:
        """Tell whether no order can run by an earlier revision (G4).

        Permits of an earlier term count as well, so the wait starts no
        earlier than the authority.

        :param withdrawn: time from which permits name only revisions in which
            the shard has no owner.
        """
        start = max(withdrawn, self.began)
        return now >= start + lengthened(PERMIT_S) + lengthened(limit_s)
