"""Execute grants, releases and probes, and record their outcome."""

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
    """Calls upstreams to grant keys, release keys and probe."""

    async def grant(self, call: Grant) -> None:
        """Grant keys to an upstream.

        :raises LinkError: when the upstream does not answer.
        :raises GrantRefusedError: when the upstream refuses the grant.
        """

    async def release(self, call: Release) -> str | None:
        """Release keys and return the transfer token for the next owner."""

    async def probe(self, call: Probe, health_path: str) -> float:
        """Check that an upstream is alive.

        :returns: how much longer the upstream is cold, in seconds.
        :raises LinkError: when the upstream does not answer.
        """


class GrantExecutor:
    """Executes the upstream calls of a coordinator.

    :param report_cold: reports to all hosts how much longer an upstream is
        cold.
    """

    def __init__(
        self,
        grants: GrantPort,
        registry: Registry,
        log: EventLog,
        report_cold: Callable[[Incarnation, float], None],
    ) -> None:
        self.report_cold = report_cold
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
            transfer_token = await self._send_call(effect)
        except (LinkError, GrantRefusedError) as error:
            self._log_failure(effect, str(error))
            self._record_error(ownership, effect, error)
        else:
            ownership.record_answer(lease_clock(), upstream)
            if isinstance(effect, Grant):
                ownership.record_confirmation(
                    lease_clock(), effect.call, sent_at
                )
            else:
                ownership.record_release(
                    lease_clock(), effect.call, transfer_token
                )
        finally:
            ownership.record_call_end(upstream)

    async def _send_call(self, effect: Grant | Release) -> str | None:
        if isinstance(effect, Grant):
            await self.grants.grant(effect)
            return None
        return await self.grants.release(effect)

    def _record_error(
        self,
        ownership: KeyOwnership,
        effect: Grant | Release,
        error: LinkError | GrantRefusedError,
    ) -> None:
        now = lease_clock()
        if isinstance(error, LinkError):
            ownership.record_no_answer(now, effect.upstream.ref)
            if error.was_sent:
                ownership.record_unanswered_call(now, effect.call)
            else:
                ownership.record_unsent_call(now, effect.call)
        elif error.is_fenced:
            ownership.record_fence_refusal(now, effect.call)
        elif error.is_replaced:
            ownership.record_replacement(now, effect.call, effect.upstream.ref)
        else:
            # A probe shows whether the same run of the upstream still answers.
            ownership.record_no_answer(now, effect.upstream.ref)
            ownership.record_unanswered_call(now, effect.call)

    async def probe(
        self,
        pool: str,
        ownership: KeyOwnership,
        effect: Probe,
    ) -> None:
        """Check that an upstream that missed a call is alive."""
        directory = self.registry.directory
        plan = directory.pools.get(pool) if directory else None
        path = plan.health_path if plan else '/'
        try:
            cold_s = await self.grants.probe(effect, path)
        except LinkError:
            # The failed call was logged. The upstream still counts as silent.
            return
        except GrantRefusedError as error:
            if error.is_replaced:
                ownership.ended.add(effect.upstream.ref)
            return
        if cold_s:
            # The upstream may have restarted. During an outage of the store
            # its entry does not show the restart.
            self.report_cold(effect.upstream.ref, cold_s)
        ownership.record_answer(lease_clock(), effect.upstream.ref)

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
