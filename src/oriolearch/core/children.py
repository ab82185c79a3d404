"""What a host has heard from the hosts that sync with it."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from oriolearch.core.membership import SILENCE_S
from oriolearch.core.messages import (
    AuthorityKey,
    Heard,
    HotKey,
    RenewalReport,
    Revision,
    SyncRequest,
)
from oriolearch.core.model import HostRef, lengthened

HOT_KEYS_KEPT_S = 7.5  # hosts report hot keys every 5 s
_ReportKey = tuple[AuthorityKey, str, str, HostRef | None]


@dataclass(frozen=True, slots=True)
class _Child:
    request: SyncRequest
    heard: float
    hot_keys: tuple[HotKey, ...]
    hot_keys_heard: float


def _report_key(report: RenewalReport) -> _ReportKey:
    return (report.authority, report.pool, report.server, report.renewer)


def _report_rank(report: RenewalReport) -> tuple[int, int, bool]:
    return (report.term, report.mandate_version, report.stopped)


class Children:
    """The last request of each child heard within the silence limit."""

    def __init__(self) -> None:
        self.by_host: dict[str, _Child] = {}
        self.outstanding: Counter[str] = Counter()

    def hear(self, request: SyncRequest, now: float) -> None:
        """Note a request; it replaces the child's last one."""
        host = request.sender.ref.host
        before = self.by_host.pop(host, None)
        hot_keys, hot_keys_heard = request.hot_keys, now
        if before is not None:
            self._subtract(before.request)
            if not hot_keys:
                hot_keys, hot_keys_heard = (
                    before.hot_keys,
                    before.hot_keys_heard,
                )
        self.outstanding.update(request.outstanding)
        self.by_host[host] = _Child(request, now, hot_keys, hot_keys_heard)

    def forget_silent(self, now: float) -> None:
        """Drop children not heard lately."""
        for host, child in list(self.by_host.items()):
            if child.heard < now - SILENCE_S:
                del self.by_host[host]
                self._subtract(child.request)

    def held(
        self,
        own: Mapping[AuthorityKey, Revision],
    ) -> dict[AuthorityKey, Revision]:
        """Give the oldest revisions held here or by any child."""
        held = dict(own)
        for child in self.by_host.values():
            for authority, revision in child.request.held.items():
                held[authority] = min(held.get(authority, revision), revision)
        return held

    def hot_keys(self, now: float) -> list[tuple[HotKey, ...]]:
        """List the children's last reports of hot keys."""
        limit = now - HOT_KEYS_KEPT_S
        children = self.by_host.values()
        return [one.hot_keys for one in children if one.hot_keys_heard >= limit]

    def cold(self) -> set[str]:
        """Name the upstreams that a child found to be cold."""
        children = self.by_host.values()
        return {name for one in children for name in one.request.cold}

    def reports(
        self,
        own: Iterable[RenewalReport],
        now: float,
    ) -> tuple[RenewalReport, ...]:
        """Give the newest report on each server by each renewer."""
        newest = {_report_key(report): report for report in own}
        for report in self._child_reports(now):
            key = _report_key(report)
            known = newest.get(key)
            if known is None or _report_rank(report) > _report_rank(known):
                newest[key] = report
        return tuple(newest.values())

    def below(self, own: HostRef, now: float) -> Iterator[Heard]:
        """List the hosts that sync here, directly or by a child."""
        for child in self.by_host.values():
            request = child.request
            age_s = now - child.heard
            yield Heard(request.sender, age_s, request.leaving)
            for heard in request.below:
                if heard.member.ref != own:
                    yield replace(heard, age_s=heard.age_s + age_s)

    def _subtract(self, request: SyncRequest) -> None:
        self.outstanding.subtract(request.outstanding)
        for name in request.outstanding:
            if self.outstanding[name] <= 0:
                del self.outstanding[name]

    def _child_reports(self, now: float) -> Iterator[RenewalReport]:
        for child in self.by_host.values():
            for report in child.request.reports:
                # The grant's end is a bound from above: it counts from when
                # the report arrived, by a clock that may be the faster one.
                end = child.heard + lengthened(report.ends_in_s)
                yield replace(report, ends_in_s=max(end - now, 0))
