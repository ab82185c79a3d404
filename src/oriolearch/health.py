"""The health task: asks plain upstreams how they are.

Each upstream is asked by one host of its zone. Reports lag and mislead, so
the policy takes them as hints only.
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


def _read(http: urllib3.PoolManager, address: str) -> Report | None:
    """Ask one upstream; ``None`` without a proper answer."""
    try:
        answer = http.request('GET', f'http://{address}/health')
        report = json.loads(answer.data)
    except (urllib3.exceptions.HTTPError, ValueError):
        return None
    return report if isinstance(report, dict) else None


class HealthReports:
    """The newest reports on the upstreams in this host's charge.

    :ivar hints: by pool and upstream, the report.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self.charges = Rendezvous('health')
        self.hints: dict[str, dict[str, Report]] = {}
        self.threads = ThreadPoolExecutor(THREADS, 'health')
        self.http = urllib3.PoolManager(
            num_pools=256,
            retries=False,
            timeout=CALL_TIMEOUT_S,
        )

    def cold(self) -> frozenset[str]:
        """Name each ``pool/upstream`` that says that it is cold."""
        return frozenset(
            f'{pool}/{name}'
            for pool, reports in self.hints.items()
            for name, report in reports.items()
            if report.get('state') == COLD
        )

    async def ask(
        self,
        document: Document,
        members: Collection[Member],
    ) -> None:
        """Ask every upstream in charge once, and replace the reports.

        :param members: live hosts of the zone.
        """
        self.charges.update(member.ref.host for member in members)
        asked = [
            (pool.name, upstream)
            for pool in document.pools.values()
            if pool.kind is PoolKind.PLAIN
            for upstream in pool.upstreams
            if upstream.zone == self.own.zone
            and self._is_mine(pool.name, upstream)
        ]
        loop = asyncio.get_running_loop()
        reports = await asyncio.gather(
            *(
                loop.run_in_executor(
                    self.threads,
                    _read,
                    self.http,
                    upstream.address,
                )
                for _, upstream in asked
            ),
        )
        hints: dict[str, dict[str, Report]] = {}
        for (pool_name, upstream), report in zip(asked, reports, strict=True):
            if report is not None:
                hints.setdefault(pool_name, {})[upstream.name] = report
        self.hints = hints

    def close(self) -> None:
        """Let running calls end and take no further ones."""
        self.threads.shutdown(wait=False, cancel_futures=True)
        self.http.clear()

    def _is_mine(self, pool: str, upstream: Upstream) -> bool:
        chosen = self.charges.choose(f'{pool}/{upstream.name}')
        return chosen == self.own.ref.host
