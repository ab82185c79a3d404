"""Probes of upstreams during an outage of the store.

The entries of upstreams, which tell that they are cold, do not change then.
"""

import asyncio
from collections.abc import Callable, Iterator

from oriolearch.adapters.upstream_links import LinkError
from oriolearch.clock import loop_clock
from oriolearch.core.directory import PoolPlan, UpstreamEntry
from oriolearch.core.errors import GrantRefusedError
from oriolearch.core.ownership import Probe
from oriolearch.eventlog import Event, EventLog
from oriolearch.granting import GrantPort
from oriolearch.placing import ReservationRouter
from oriolearch.registry import Registry

# A cold upstream bears about its usual requests of one second.
PROBE_PERIOD_S = 0.4


class ColdProbes:
    """Finds cold upstreams among those that this host dispatches.

    :param is_store_lost: returns whether the store does not answer.
    """

    def __init__(
        self,
        grants: GrantPort,
        registry: Registry,
        router: ReservationRouter,
        log: EventLog,
        is_store_lost: Callable[[], bool],
    ) -> None:
        self.grants = grants
        self.registry = registry
        self.router = router
        self.log = log
        self.is_store_lost = is_store_lost

    async def run(self) -> None:
        """Probe periodically while the store does not answer."""
        while True:
            await asyncio.sleep(PROBE_PERIOD_S)
            if self.is_store_lost():
                await asyncio.gather(
                    *(
                        self._probe(plan, entry)
                        for plan, entry in self._dispatched()
                    ),
                )

    def _dispatched(self) -> Iterator[tuple[PoolPlan, UpstreamEntry]]:
        """Yield the upstreams that this host dispatches and that look warm."""
        now = loop_clock()
        router = self.router
        for pool, dispatcher in router.local_dispatch.dispatchers.items():
            for ref, upstream in dispatcher.upstreams.items():
                owner = ref if dispatcher.plan.is_keyed else None
                host = router.find_dispatching_host(pool, owner)
                is_warm = upstream.is_usable and now >= upstream.cold_until
                if is_warm and host == router.address:
                    yield dispatcher.plan, upstream.entry

    async def _probe(self, plan: PoolPlan, entry: UpstreamEntry) -> None:
        try:
            cold_s = await self.grants.probe(Probe(entry), plan.health_path)
        except (LinkError, GrantRefusedError):
            # Requests and grants find out, and log, what is wrong with it.
            return
        if cold_s:
            self.registry.record_cold(loop_clock(), entry.ref, cold_s)
            self.log.emit(
                Event.COLD_PROBED,
                upstream=entry.ref.text(),
                cold_for_s=cold_s,
            )
