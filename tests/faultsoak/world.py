"""The cluster under test: host processes, and stand-ins for the rest."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.faultsoak.notices import NoticeRecord
from tests.faultsoak.promises import Lease, PromiseChecker
from tests.faultsoak.proxy import FaultProxy
from tests.platform_standin import (
    Answer,
    KeyedServer,
    Request,
    Store,
    make_document,
    make_rule,
)

SLOTS = 2  # concurrent requests of an upstream
QUEUE_LIMIT = 4  # queued requests of an upstream before it sheds
SERVICE_S = 0.03
# An upstream whose clock is slow keeps its leases longer by this factor.
CLOCK_SLOWNESS = 1.02
STOP_S = 6.0  # from SIGTERM to SIGKILL, as on the platform
RESTART_S = 0.3  # delay before a process that exited is restarted


def configuration(version: int) -> dict[str, Any]:
    """Return a configuration whose timeout depends on its version."""
    timeout_s = 1.2 + version % 3 / 10
    rules = [
        make_rule(name, kind, timeout_s)
        for name, kind in (('order', 'unsafe'), ('look', 'safe'))
    ]
    return make_document(version, rules, cold_start_s=0.5, cold_rate=50)


class SoakStore(Store):
    """A store with faults.

    :ivar delay_s: delay of each answer.
    :ivar late_writes: number of the next writes that are applied late and
        not answered.
    """

    def __init__(self) -> None:
        super().__init__()
        self.delay_s = 0.0
        self.late_writes = 0

    async def handle(self, request: Request) -> Answer:
        await asyncio.sleep(self.delay_s)
        if request.method == 'POST' and self.late_writes:
            self.late_writes -= 1
            await asyncio.sleep(1.5)
            await self.commit(json.loads(request.body))
            raise ConnectionError
        return await super().handle(request)

    def forget_history(self) -> None:
        self.oldest = self.version


class SoakServer(KeyedServer):
    """One incarnation of an upstream, with the slowest clock that is allowed.

    :param may_be_delayed: returns whether a fault may have delayed a call.
    :ivar notice: set while it names a limit or leaves.
    :ivar on_arrival: called with each request that it gets.
    :ivar delayed_tokens: fencing tokens of grants that a fault may have
        delayed.
    """

    def __init__(
        self,
        name: str,
        born: int,
        checker: PromiseChecker,
        clock: Callable[[], float],
        may_be_delayed: Callable[[], bool],
    ) -> None:
        super().__init__(name)
        self.born = born
        self.checker = checker
        self.clock = clock
        self.may_be_delayed = may_be_delayed
        self.incarnation = f'{name}@{born}'
        self.load = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.is_stopped = False
        self.is_draining = False
        self.proxy: FaultProxy | None = None
        self.delayed_tokens: set[int] = set()
        self.notice: NoticeRecord | None = None
        self.on_arrival: Callable[[SoakServer, str], None] | None = None

    async def open(self) -> None:
        await self.listen()
        self.proxy = FaultProxy(self.address)
        await self.proxy.listen()
        self.checker.leases[self.incarnation] = []

    def entry(self, state: str = 'ready', **status: object) -> dict[str, Any]:
        entry = super().entry(state, **status)
        address = self.proxy.address if self.proxy else ''
        return {**entry, 'born': self.born, 'address': address}

    def end(self) -> None:
        """Stop this incarnation and reset all connections."""
        self.is_stopped = True
        self.checker.leases.pop(self.incarnation, None)
        self.stop()
        if self.proxy is not None:
            self.proxy.stop()

    async def handle(self, request: Request) -> Answer:
        if request.target.startswith(('/order/', '/look/')):
            target = request.headers.get('target-instance', self.name)
            if target == self.name:
                return await self.serve_request(request)
        answer = await super().handle(request)
        self._publish_leases()
        return answer

    async def serve_request(self, request: Request) -> Answer:
        attempt = request.headers['attempt-id']
        body = request.body
        echoed = {'Attempt-Id': attempt, **self.notice_headers()}
        if self.on_arrival is not None:
            self.on_arrival(self, attempt)
        rejected = {**echoed, 'Not-Executed': '1'}
        if self.load >= SLOTS + QUEUE_LIMIT:
            return 503, rejected, b''
        self.load += 1
        try:
            async with self.slots:
                key = int(request.headers['shard-key'])
                if not self.holds(key) or self.is_stopped:
                    return 421, rejected, b''
                now = self.clock()
                self.checker.record_run_start(
                    now, self.incarnation, attempt, key, body
                )
                await asyncio.sleep(SERVICE_S)
        finally:
            self.load -= 1
        signature = f'{self.name}.{attempt}'
        return 200, {**echoed, 'Server-Signature': signature}, b'ran:' + body

    def grant(self, call: dict[str, Any]) -> Answer:
        extended = {**call, 'hold_s': call['hold_s'] * CLOCK_SLOWNESS}
        answer = super().grant(extended)
        if answer[0] == 200 and not self.is_stopped:
            expires_at = self.clock() + extended['hold_s']
            span = (call['from'], call['target'], call['fence'])
            is_excused = self.may_be_delayed()
            if is_excused:
                self.delayed_tokens.add(call['fence'])
            else:
                self.delayed_tokens.discard(call['fence'])
            lease = Lease(self.incarnation, *span, expires_at, is_excused)
            self.checker.record_grant(self.clock(), lease)
        return answer

    def _publish_leases(self) -> None:
        if self.is_stopped:
            return
        clock_offset = self.clock() - self.loop.time()
        self.checker.leases[self.incarnation] = [
            Lease(
                self.incarnation,
                first,
                last,
                fence,
                expires_at + clock_offset,
                fence in self.delayed_tokens,
            )
            for first, (last, fence, expires_at) in self.grants.items()
        ]


class HostProcess:
    """A host in a separate process, which is restarted when it exits.

    :ivar unexpected_exits: exits that no fault caused.
    """

    def __init__(self, fields: dict[str, Any], folder: Path) -> None:
        self.fields = fields
        self.name = str(fields['node'])
        self.settings = folder / f'{self.name}.toml'
        self.log = folder / f'{self.name}.log'
        self.process: asyncio.subprocess.Process | None = None
        self.is_stopped = False
        self.supervisor: asyncio.Task[None] | None = None
        self.unexpected_exits: list[str] = []
        self.is_stop_expected = False

    def start(self) -> None:
        self.supervisor = asyncio.get_running_loop().create_task(
            self._supervise()
        )

    def write_settings(self, *, is_first_start: bool) -> None:
        fields = {**self.fields, 'bootstrap': is_first_start}
        self.settings.write_text(render_toml(fields), 'utf-8')

    async def _supervise(self) -> None:
        environment = {
            **os.environ,
            'ORIOLEARCH_CONFIG': str(self.settings),
        }
        while not self.is_stopped:
            with self.log.open('ab') as output:
                self.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    '-m',
                    'oriolearch.platform',
                    env=environment,
                    stdout=output,
                    stderr=output,
                )
            status = await self.process.wait()
            self.write_settings(is_first_start=False)
            if not self.is_stop_expected and not self.is_stopped:
                self.unexpected_exits.append(
                    f'{self.name} exited unexpectedly with status {status}'
                )
            self.is_stop_expected = False
            await asyncio.sleep(RESTART_S)

    def send(self, number: signal.Signals) -> None:
        process = self.process
        if process is None or process.returncode is not None:
            return
        if number in {signal.SIGKILL, signal.SIGTERM}:
            self.is_stop_expected = True
        process.send_signal(number)

    async def terminate(self) -> None:
        """Stop the process like the platform: SIGTERM, then SIGKILL."""
        process = self.process
        self.send(signal.SIGTERM)
        if process is None:
            return
        try:
            async with asyncio.timeout(STOP_S):
                await process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)

    async def close(self) -> None:
        self.is_stopped = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.supervisor is not None:
            await self.supervisor


def render_toml(fields: dict[str, Any]) -> str:
    """Render settings as TOML: plain values, then a section per table."""
    lines = []
    for name, value in fields.items():
        if not isinstance(value, dict):
            lines.append(f'{name} = {json.dumps(value)}')
    for name, value in fields.items():
        if isinstance(value, dict):
            lines.append(f'[{name}]')
            lines += [
                f'{key} = {json.dumps(field)}' for key, field in value.items()
            ]
    return '\n'.join((*lines, ''))
