"""The installation that a soak plays against: processes and stand-ins."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.faultsoak.promises import Hold, Promises
from tests.faultsoak.proxy import FaultProxy
from tests.platform_standin import (
    Answer,
    KeyedServer,
    Request,
    Store,
    make_document,
    make_rule,
)

SLOTS = 2  # requests that an upstream works on at once
QUEUE = 4  # requests that wait at an upstream before it sheds
WORK_S = 0.03
CLOCK_SHARE = 1.02  # a slow upstream clock holds keys this much longer
STOP_S = 6.0  # from SIGTERM to SIGKILL, as the platform does it
RESTART_S = 0.3  # pause before a process that ended runs again


def configuration(version: int) -> dict[str, Any]:
    """Give the operator's document; later versions have another time-out."""
    timeout_s = 1.2 + version % 3 / 10
    rules = [
        make_rule(name, kind, timeout_s)
        for name, kind in (('order', 'unsafe'), ('look', 'safe'))
    ]
    return make_document(version, rules, cold_start_s=0.5, cold_rate=50)


class SoakStore(Store):
    """A store whose storage and connections misbehave.

    :ivar delay_s: of each answer.
    :ivar late_writes: so many writes are done late and not answered.
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
    """One life of an upstream; its clock is the slowest allowed.

    :param is_held_up: tells whether a call may have been held up by a fault.
    """

    def __init__(
        self,
        name: str,
        born: int,
        promises: Promises,
        clock: Callable[[], float],
        is_held_up: Callable[[], bool],
    ) -> None:
        super().__init__(name)
        self.born = born
        self.promises = promises
        self.clock = clock
        self.is_held_up = is_held_up
        self.life = f'{name}@{born}'
        self.load = 0
        self.work = asyncio.Semaphore(SLOTS)
        self.is_over = False
        self.is_leaving = False
        self.proxy: FaultProxy | None = None
        self.excused: set[int] = set()

    async def open(self) -> None:
        await self.listen()
        self.proxy = FaultProxy(self.address)
        await self.proxy.listen()
        self.promises.holds[self.life] = []

    def entry(self, state: str = 'ready', **status: object) -> dict[str, Any]:
        found = super().entry(state, **status)
        address = self.proxy.address if self.proxy else ''
        return {**found, 'born': self.born, 'address': address}

    def end(self) -> None:
        """End this life with a reset of all connections."""
        self.is_over = True
        self.promises.holds.pop(self.life, None)
        self.stop()
        if self.proxy is not None:
            self.proxy.stop()

    async def handle(self, request: Request) -> Answer:
        if request.target.startswith(('/order/', '/look/')):
            wanted = request.headers.get('target-instance', self.name)
            if wanted == self.name:
                return await self.serve_request(request)
        answer = await super().handle(request)
        self._publish_holds()
        return answer

    async def serve_request(self, request: Request) -> Answer:
        attempt = request.headers['attempt-id']
        body = request.body
        echoed = {'Attempt-Id': attempt}
        rejected = {**echoed, 'Not-Executed': '1'}
        if self.load >= SLOTS + QUEUE:
            return 503, rejected, b''
        self.load += 1
        try:
            async with self.work:
                key = int(request.headers['shard-key'])
                if not self.holds(key) or self.is_over:
                    return 421, rejected, b''
                now = self.clock()
                self.promises.began(now, self.life, attempt, key, body)
                await asyncio.sleep(WORK_S)
        finally:
            self.load -= 1
        signature = f'{self.name}.{attempt}'
        return 200, {**echoed, 'Server-Signature': signature}, b'ran:' + body

    def grant(self, call: dict[str, Any]) -> Answer:
        held = {**call, 'hold_s': call['hold_s'] * CLOCK_SHARE}
        answer = super().grant(held)
        if answer[0] == 200 and not self.is_over:
            until = self.clock() + held['hold_s']
            span = (call['from'], call['target'], call['fence'])
            is_excused = self.is_held_up()
            if is_excused:
                self.excused.add(call['fence'])
            else:
                self.excused.discard(call['fence'])
            hold = Hold(self.life, *span, until, is_excused)
            self.promises.granted(self.clock(), hold)
        return answer

    def _publish_holds(self) -> None:
        if self.is_over:
            return
        shift = self.clock() - self.loop.time()
        self.promises.holds[self.life] = [
            Hold(
                self.life,
                first,
                last,
                fence,
                until + shift,
                fence in self.excused,
            )
            for first, (last, fence, until) in self.grants.items()
        ]


class HostProcess:
    """One host as a process of its own, started again when it ends."""

    def __init__(self, fields: dict[str, Any], folder: Path) -> None:
        self.fields = fields
        self.name = str(fields['node'])
        self.settings = folder / f'{self.name}.toml'
        self.settings.write_text(render_toml(fields), 'utf-8')
        self.log = folder / f'{self.name}.log'
        self.process: asyncio.subprocess.Process | None = None
        self.is_over = False
        self.keeper: asyncio.Task[None] | None = None
        self.unplanned_ends: list[str] = []
        self.is_ending = False

    def start(self) -> None:
        self.keeper = asyncio.get_running_loop().create_task(self._keep())

    async def _keep(self) -> None:
        environment = {
            **os.environ,
            'ORIOLEARCH_CONFIG': str(self.settings),
        }
        while not self.is_over:
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
            if not self.is_ending and not self.is_over:
                self.unplanned_ends.append(f'{self.name} ended with {status}')
            self.is_ending = False
            await asyncio.sleep(RESTART_S)

    def send(self, number: signal.Signals) -> None:
        process = self.process
        if process is None or process.returncode is not None:
            return
        if number in {signal.SIGKILL, signal.SIGTERM}:
            self.is_ending = True
        process.send_signal(number)

    async def terminate(self) -> None:
        """Stop as the platform does; kill what takes too long."""
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
        self.is_over = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.keeper is not None:
            await self.keeper


def render_toml(fields: dict[str, Any]) -> str:
    """Write plain values, then one section for each table."""
    lines = []
    for name, value in fields.items():
        if not isinstance(value, dict):
            lines.append(f'{name} = {json.dumps(value)}')
    for name, value in fields.items():
        if isinstance(value, dict):
            lines.append(f'[{name}]')
            lines += [f'{key} = {json.dumps(v)}' for key, v in value.items()]
    return '\n'.join((*lines, ''))
