"""Carries out grants, releases and probes, and takes their outcome."""

from collections.abc import Callable
from typing import Protocol

from oriolearch.adapters.upstream_links import LinkError
from oriolearch.clock import lease_clock
from oriolearch.core.directory import Incarnation
from oriolearch.core.errors import GrantRefusedError
from oriolearch.core.ownership import Grant, KeyOwnership, Probe, Release
from oriolearch.eventlog import Event, EventLog
from oriolearch.registry import Registry


class GrantPort(Protocol):
    """Carries out grants and releases."""

    async def grant(self, call: Grant) -> None:
        """Grant keys; raises when that is not confirmed."""

    async def release(self, call: Release) -> str | None:
        """Take keys back; gives what the next owner is to be given."""

    async def probe(self, call: Probe, health_path: str) -> float:
        """Ask an upstream for a sign of life; raises without any.

        :returns: how much longer it is cold, in seconds.
        """


class Granting:
    """Calls upstreams for a coordinator.

    :param tell_cold: tells all hosts how much longer an upstream is cold.
    """

    def __init__(
        self,
        grants: GrantPort,
        registry: Registry,
        log: EventLog,
        tell_cold: Callable[[Incarnation, float], None],
    ) -> None:
        self.tell_cold = tell_cold
        self.grants = grants
        self.registry = registry
        self.log = log

    async def call(
        self,
        ownership: KeyOwnership,
        effect: Grant | Release,
    ) -> None:
        """Grant or release keys."""
        sent_at = lease_clock()
        upstream = effect.upstream.ref
        try:
            transfer_token = await self._order(effect)
        except (LinkError, GrantRefusedError) as error:
            self._log_failure(effect, str(error))
            self._take_error(ownership, effect, error)
        else:
            ownership.heard(lease_clock(), upstream)
            if isinstance(effect, Grant):
                ownership.granted(lease_clock(), effect.call, sent_at)
            else:
                ownership.released(lease_clock(), effect.call, transfer_token)
        finally:
            ownership.call_ended(upstream)

    async def _order(self, effect: Grant | Release) -> str | None:
        if isinstance(effect, Grant):
            await self.grants.grant(effect)
            return None
        return await self.grants.release(effect)

    def _take_error(
        self,
        ownership: KeyOwnership,
        effect: Grant | Release,
        error: LinkError | GrantRefusedError,
    ) -> None:
        now = lease_clock()
        if isinstance(error, LinkError):
            ownership.silent(now, effect.upstream.ref)
            if error.was_sent:
                ownership.unanswered(now, effect.call)
            else:
                ownership.unsent(now, effect.call)
        elif error.is_fenced:
            ownership.fenced(now, effect.call)
        elif error.is_replaced:
            ownership.replaced(now, effect.call, effect.upstream.ref)
        else:
            # A probe tells whether it is still the same upstream.
            ownership.silent(now, effect.upstream.ref)
            ownership.unanswered(now, effect.call)

    async def probe(
        self,
        pool: str,
        ownership: KeyOwnership,
        effect: Probe,
    ) -> None:
        """Ask an upstream that missed a call for a sign of life."""
        directory = self.registry.directory
        plan = directory.pools.get(pool) if directory else None
        path = plan.health_path if plan else '/'
        try:
            cold_s = await self.grants.probe(effect, path)
        except LinkError:
            # The first failure was logged; the upstream stays silent.
            return
        except GrantRefusedError as error:
            if error.is_replaced:
                ownership.ended.add(effect.upstream.ref)
            return
        if cold_s:
            # It may have started again, which its entry tells only once the
            # store is back.
            self.tell_cold(effect.upstream.ref, cold_s)
        ownership.heard(lease_clock(), effect.upstream.ref)

    def _log_failure(self, effect: Grant | Release, reason: str) -> None:
        self.log.emit(
            Event.GRANT_FAILED,
            upstream=effect.upstream.ref.text(),
            first=effect.first,
            last=effect.last,
            fence=effect.fence,
            call=type(effect).__name__.lower(),
            reason=reason,
        )
