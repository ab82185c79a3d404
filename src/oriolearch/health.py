"""Health checks of plain upstreams.

One host of its zone polls each upstream. The reports are delayed and may be
wrong, so the policy uses them only as hints.
"""

import asyncio
import json
from collections.abc import Collection, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import urllib3

from oriolearch.core.membership import Rendezvous
from oriolearch.core.model import Document, Member, PoolKind, Upstream

CALL_TIMEOUT_S = 0.5
THREADS = 4
COLD = 'cold'

Report = Mapping[str, Any]


def _fetch_report(http: urllib3.PoolManager, address: str) -> Report | None:
    """Fetch the report of an upstream; ``None`` without a valid response."""
    try:
        response = http.request('GET', f'http://{address}/health')
        report = json.loads(response.data)
    except (urllib3.exceptions.HTTPError, ValueError):
        return None
    return report if isinstance(report, dict) else None


class HealthReports:
    """Latest reports of the upstreams that this host polls.

    :ivar hints: report by upstream, by pool.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self.rendezvous = Rendezvous('health')
        self.hints: dict[str, dict[str, Report]] = {}
        self.threads = ThreadPoolExecutor(THREADS, 'health')
        self.http = urllib3.PoolManager(
            num_pools=256,
            retries=False,
            timeout=CALL_TIMEOUT_S,
        )

    def cold(self) -> frozenset[str]:
        """Return ``pool/upstream`` of each that reports a cold start."""
        return frozenset(
            f'{pool}/{name}'
            for pool, reports in self.hints.items()
            for name, report in reports.items()
            if report.get('state') == COLD
        )

    async def poll(
        self,
        document: Document,
        members: Collection[Member],
    ) -> None:
        """Poll each upstream assigned to this host, and replace the reports.

        :param members: live hosts of the zone, which share the upstreams.
        """
        self.rendezvous.update(member.ref.host for member in members)
        polled = [
            (pool.name, upstream)
            for pool in document.pools.values()
            if pool.kind is PoolKind.PLAIN
            for upstream in pool.upstreams
            if upstream.zone == self.own.zone
            and self._is_assigned_here(pool.name, upstream)
        ]
        loop = asyncio.get_running_loop()
        reports = await asyncio.gather(
            *(
                loop.run_in_executor(
                    self.threads,
                    _fetch_report,
                    self.http,
                    upstream.address,
                )
                for _, upstream in polled
            ),
        )
        hints: dict[str, dict[str, Report]] = {}
        for (pool_name, upstream), report in zip(polled, reports, strict=True):
            if report is not None:
                hints.setdefault(pool_name, {})[upstream.name] = report
        self.hints = hints

    def close(self) -> None:
        """Accept no further calls; running calls end on their own."""
        self.threads.shutdown(wait=False, cancel_futures=True)
        self.http.clear()

    def _is_assigned_here(self, pool: str, upstream: Upstream) -> bool:
        chosen = self.rendezvous.choose(f'{pool}/{upstream.name}')
        return chosen == self.own.ref.host
