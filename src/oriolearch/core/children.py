"""The state that a host received from the hosts that sync with it."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from oriolearch.core.membership import CONTACT_TIMEOUT_S
from oriolearch.core.messages import (
    AuthorityKey,
    Heard,
    HotKey,
    RenewalReport,
    Revision,
    SyncRequest,
)
from oriolearch.core.model import HostRef, add_clock_margin

# Time for which a report of hot keys is used; hosts report them every 5 s.
HOT_KEYS_TTL_S = 7.5
_ReportKey = tuple[AuthorityKey, str, str, HostRef | None]


@dataclass(frozen=True, slots=True)
class _Child:
    """The last request of a child.

    :param received_at: time at which the request was received.
    :param hot_keys: the last report of hot keys that was not empty.
    :param hot_keys_received_at: time at which that report was received.
    """

    request: SyncRequest
    received_at: float
    hot_keys: tuple[HotKey, ...]
    hot_keys_received_at: float


def _report_key(report: RenewalReport) -> _ReportKey:
    return (report.authority, report.pool, report.server, report.renewer)


def _report_rank(report: RenewalReport) -> tuple[int, int, bool]:
    return (report.term, report.mandate_version, report.stopped)


class Children:
    """The last request of each child, until the child times out.

    A child is a host that syncs with this host.

    :param outstanding: outstanding requests of all children by upstream.
    """

    def __init__(self) -> None:
        self.by_host: dict[str, _Child] = {}
        self.outstanding: Counter[str] = Counter()

    def record_request(self, request: SyncRequest, now: float) -> None:
        """Record a request in place of the child's previous one."""
        host = request.sender.ref.host
        previous = self.by_host.pop(host, None)
        hot_keys, hot_keys_received_at = request.hot_keys, now
        if previous is not None:
            self._subtract(previous.request)
            if not hot_keys:
                hot_keys, hot_keys_received_at = (
                    previous.hot_keys,
                    previous.hot_keys_received_at,
                )
        self.outstanding.update(request.outstanding)
        self.by_host[host] = _Child(
            request, now, hot_keys, hot_keys_received_at
        )

    def remove_silent_children(self, now: float) -> None:
        """Remove the children whose last request is too old."""
        for host, child in list(self.by_host.items()):
            if child.received_at < now - CONTACT_TIMEOUT_S:
                del self.by_host[host]
                self._subtract(child.request)

    def oldest_revisions(
        self,
        own: Mapping[AuthorityKey, Revision],
    ) -> dict[AuthorityKey, Revision]:
        """Return each authority's oldest revision on this host or a child."""
        oldest = dict(own)
        for child in self.by_host.values():
            for authority, revision in child.request.held.items():
                oldest[authority] = min(
                    oldest.get(authority, revision), revision
                )
        return oldest

    def hot_keys(self, now: float) -> list[tuple[HotKey, ...]]:
        """Return the children's recent reports of hot keys."""
        oldest_time = now - HOT_KEYS_TTL_S
        children = self.by_host.values()
        return [
            child.hot_keys
            for child in children
            if child.hot_keys_received_at >= oldest_time
        ]

    def cold(self) -> set[str]:
        """Return the upstreams that any child reported as cold."""
        children = self.by_host.values()
        return {name for child in children for name in child.request.cold}

    def reports(
        self,
        own: Iterable[RenewalReport],
        now: float,
    ) -> tuple[RenewalReport, ...]:
        """Return the newest report of each renewer on each server."""
        newest = {_report_key(report): report for report in own}
        for report in self._child_reports(now):
            key = _report_key(report)
            earlier = newest.get(key)
            if earlier is None or _report_rank(report) > _report_rank(earlier):
                newest[key] = report
        return tuple(newest.values())

    def below(self, own: HostRef, now: float) -> Iterator[Heard]:
        """Return the hosts that sync here, directly or through a child."""
        for child in self.by_host.values():
            request = child.request
            age_s = now - child.received_at
            yield Heard(request.sender, age_s, request.leaving)
            for entry in request.below:
                if entry.member.ref != own:
                    yield replace(entry, age_s=entry.age_s + age_s)

    def _subtract(self, request: SyncRequest) -> None:
        self.outstanding.subtract(request.outstanding)
        for name in request.outstanding:
            if self.outstanding[name] <= 0:
                del self.outstanding[name]

    def _child_reports(self, now: float) -> Iterator[RenewalReport]:
        for child in self.by_host.values():
            for report in child.request.reports:
                # The computed end of the grant is an upper bound: it counts
                # from the arrival of the report and allows for a local clock
                # that is faster than the child's.
                end = child.received_at + add_clock_margin(report.ends_in_s)
                yield replace(report, ends_in_s=max(end - now, 0))
