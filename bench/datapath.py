"""Compare the entry with a minimal relay under the same load.

Run with ``make bench-datapath``. The upstream, the relay and the entry each
run in a separate process. Rounds alternate between the relay and the entry,
so that other load on the machine affects both; the table shows medians.
"""

import asyncio
import json
import random
import statistics
import subprocess
import sys
import time
from pathlib import Path
from types import MappingProxyType

from bench.child import report_usage
from oriolearch.adapters.entry import Entry
from oriolearch.adapters.exchange import DataPathSettings, PublishedView
from oriolearch.core.messages import AuthorityKey, Segment
from oriolearch.core.model import (
    Assignment,
    Document,
    KeySource,
    Mobility,
    Pool,
    PoolKind,
    Route,
    Upstream,
)
from oriolearch.core.view import View

RESULT_PATH = Path(__file__).parent / 'results' / 'datapath.json'
RATE_PER_S = 200
ROUND_DURATION_S = 4
ROUNDS = 5
CONNECTIONS = 16
WARM_UP_S = 1
RESPONSE_BODY = b'x' * 1024
POST_BODY = b'y' * 2048
TARGET_CPU_RATIO = 1.3  # of the entry to the relay
TARGET_P99_RATIO = 1.5  # of the entry to the relay


class UpstreamProtocol(asyncio.Protocol):
    """Upstream that returns 1 KiB and the attempt id of each request."""

    def __init__(self) -> None:
        self.buffer = b''
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        if isinstance(transport, asyncio.Transport):
            self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Send the response once the request is complete."""
        self.buffer += data
        head, end, body = self.buffer.partition(b'\r\n\r\n')
        headers = {}
        for line in head.split(b'\r\n')[1:]:
            name, _, value = line.partition(b':')
            headers[name.lower()] = value.strip()
        if not end or len(body) < int(headers.get(b'content-length', 0)):
            return
        self.buffer = b''
        response = b''.join(
            (
                b'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n',
                b'date: Mon, 01 Jan 2024 00:00:00 GMT\r\n',
                b'oriolearch-attempt: ',
                headers.get(b'oriolearch-attempt', b''),
                b'\r\ncontent-length: %d\r\n\r\n' % len(RESPONSE_BODY),
                RESPONSE_BODY,
            ),
        )
        if self.transport is not None:
            self.transport.write(response)


async def _start_upstream() -> tuple[asyncio.Server, int]:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(UpstreamProtocol, '127.0.0.1', 0)
    return server, server.sockets[0].getsockname()[1]


def serve_upstream() -> None:
    """Run the upstream until the standard input is closed."""
    loop = asyncio.new_event_loop()
    _, port = loop.run_until_complete(_start_upstream())
    report_usage(port, loop.run_forever)


def make_view(address: str) -> View:
    """Return a view with a plain and a keyed pool of one upstream each."""
    upstream = Upstream('u', address, 'a', slots=64)
    pools = {
        'plain': Pool('plain', PoolKind.PLAIN, (upstream,)),
        'keyed': Pool('keyed', PoolKind.KEYED, (upstream,), shard_count=256),
    }
    routes = {
        'files': Route('files', '/files', 'plain'),
        'orders': Route(
            'orders',
            '/orders',
            'keyed',
            key=KeySource(path_segment=1),
        ),
    }
    authority = AuthorityKey('a', Mobility.MOVABLE)
    shards = (Assignment('u', 1),) * 256
    segment = Segment('keyed', 0, authority, 1, shards)
    return View(Document(1, routes, pools), {('keyed', 0): segment})


def serve_entry(address: str) -> None:
    """Run the entry until the standard input is closed."""
    entry = Entry(
        ('127.0.0.1', 0),
        PublishedView(make_view(address)),
        DataPathSettings('a', 'h'),
        random.Random(1),
    )
    _, port = entry.open()
    report_usage(port)
    entry.drain(0, 1)


class ChildProcess:
    """Child process of the benchmark that reports its processor time."""

    def __init__(self, module: str, *arguments: str) -> None:
        self.process = subprocess.Popen(
            (sys.executable, '-m', module, *arguments),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.port = int(self.read_line())

    def read_line(self) -> str:
        """Return the next line that the process prints."""
        if self.process.stdout is None:
            raise RuntimeError(
                'the child process was started without an output pipe'
            )
        return self.process.stdout.readline()

    def cpu_seconds(self) -> float:
        """Return the processor time that the process has used."""
        if self.process.stdin is None:
            raise RuntimeError(
                'the child process was started without an input pipe'
            )
        self.process.stdin.write('\n')
        self.process.stdin.flush()
        return float(json.loads(self.read_line())['seconds'])

    def stop(self) -> None:
        """Close the input of the process and wait until it exits."""
        if self.process.stdin is not None:
            self.process.stdin.close()
        self.process.wait(20)


def _make_request(number: int) -> bytes:
    common = 'host: bench\r\naccept: */*\r\nuser-agent: bench\r\n'
    if number % 5:
        return f'GET /files/{number} HTTP/1.1\r\n{common}\r\n'.encode()
    head = (
        f'POST /orders/{number} HTTP/1.1\r\n{common}'
        f'content-type: text/plain\r\ncontent-length: {len(POST_BODY)}\r\n\r\n'
    )
    return head.encode() + POST_BODY


async def _send_request(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    number: int,
) -> None:
    writer.write(_make_request(number))
    head = await reader.readuntil(b'\r\n\r\n')
    if not head.startswith(b'HTTP/1.1 200'):
        raise RuntimeError(
            f'request {number}: expected status 200, got {head!r}'
        )
    if b'chunked' in head:
        await reader.readuntil(b'\r\n0\r\n\r\n')
    else:
        await reader.readexactly(len(RESPONSE_BODY))


async def _worker(
    port: int,
    jobs: asyncio.Queue[tuple[int, float] | None],
    latencies: list[float],
) -> None:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    job = await jobs.get()
    while job is not None:
        number, due_at = job
        await _send_request(reader, writer, number)
        latencies.append(time.perf_counter() - due_at)
        job = await jobs.get()
    writer.close()


async def _generate_load(
    port: int, rate: float, duration_s: float
) -> list[float]:
    """Send requests at a fixed rate and return their latencies.

    A latency counts from the time at which the request was due, so that the
    wait for a free connection is part of it.
    """
    latencies: list[float] = []
    jobs: asyncio.Queue[tuple[int, float] | None] = asyncio.Queue()
    workers = [
        asyncio.create_task(_worker(port, jobs, latencies))
        for _ in range(CONNECTIONS)
    ]
    start = time.perf_counter()
    for number in range(int(rate * duration_s)):
        due = start + number / rate
        await asyncio.sleep(max(due - time.perf_counter(), 0))  # noqa: WPS476
        jobs.put_nowait((number, due))
    for _ in workers:
        jobs.put_nowait(None)
    await asyncio.gather(*workers)
    return latencies


def _measure(child: ChildProcess) -> dict[str, float]:
    cpu_before = child.cpu_seconds()
    latencies = sorted(
        asyncio.run(_generate_load(child.port, RATE_PER_S, ROUND_DURATION_S))
    )
    cpu_s = child.cpu_seconds() - cpu_before
    count = len(latencies)
    return {
        'processor_us': cpu_s / count * 1e6,
        'p50_ms': latencies[count // 2] * 1000,
        'p99_ms': latencies[count * 99 // 100] * 1000,
    }


def _summarize(
    rounds: dict[str, list[dict[str, float]]],
) -> dict[str, dict[str, float]]:
    summary = {
        name: {
            metric: statistics.median(result[metric] for result in results)
            for metric in results[0]
        }
        for name, results in rounds.items()
    }
    summary['ratio'] = {
        metric: summary['entry'][metric] / summary['relay'][metric]
        for metric in summary['relay']
    }
    return summary


def run() -> None:
    """Run the comparison, print the table and write the results."""
    upstream = ChildProcess('bench.datapath', 'upstream')
    address = f'127.0.0.1:{upstream.port}'
    children = MappingProxyType(
        {
            'relay': ChildProcess('bench.relay', address),
            'entry': ChildProcess('bench.datapath', 'entry', address),
        },
    )
    rounds: dict[str, list[dict[str, float]]] = {'relay': [], 'entry': []}
    for child in children.values():
        asyncio.run(_generate_load(child.port, RATE_PER_S, WARM_UP_S))
    for _ in range(ROUNDS):
        for name, child in children.items():
            rounds[name].append(_measure(child))
    for child in (*children.values(), upstream):
        child.stop()
    summary = _summarize(rounds)
    print(f'{"":8}{"processor µs":>14}{"p50 ms":>10}{"p99 ms":>10}')
    for name, row in summary.items():
        values = (row['processor_us'], row['p50_ms'], row['p99_ms'])
        print('{:8}{:14.2f}{:10.2f}{:10.2f}'.format(name, *values))
    print(
        f'target ratios: processor {TARGET_CPU_RATIO}, p99 {TARGET_P99_RATIO}'
    )
    load = {
        'rate_per_s': RATE_PER_S,
        'round_s': ROUND_DURATION_S,
        'rounds': ROUNDS,
    }
    RESULT_PATH.parent.mkdir(exist_ok=True)
    RESULT_PATH.write_text(
        json.dumps({'load': load, 'summary': summary, 'rounds': rounds}) + '\n',
    )


def main() -> None:
    """Run the benchmark or the child process that the argument names."""
    role = sys.argv[1] if len(sys.argv) > 1 else 'run'
    if role == 'upstream':
        serve_upstream()
    elif role == 'entry':
        serve_entry(sys.argv[2])
    else:
        run()


if __name__ == '__main__':
    main()
