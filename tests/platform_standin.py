"""Stand-ins for the users' platform: its store and a keyed server."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from oriolearch.addresses import split_address

Headers = dict[str, str]
Answer = tuple[int, Headers, bytes]


@dataclass(frozen=True, slots=True)
class Request:
    """A request with its header names in lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes


Handler = Callable[[Request], Awaitable[Answer]]


def make_rule(name: str, kind: str, timeout_s: float) -> dict[str, Any]:
    """Return a route of the operator's document to the pool ``orders``."""
    return {
        'name': name,
        'kind': kind,
        'target_latency_s': 0.4,
        'priority': 1,
        'match': {'prefix': f'/{name}/'},
        'action': {
            'service': 'orders',
            'timeout_s': timeout_s,
            'max_attempts': 2,
        },
    }


def make_document(
    version: int,
    rules: list[dict[str, Any]],
    cold_start_s: float = 3.0,
    cold_rate: float = 5,
) -> dict[str, Any]:
    """Return the operator's document with one keyed pool."""
    return {
        'version': f'r{version}',
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 100000,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
        'listeners': [{'host': 'shop.example', 'rules': rules}],
        'clusters': [
            {
                'name': 'orders',
                'health_path': '/health',
                'max_conns': 100,
                'warmup_s': cold_start_s,
                'warmup_per_s': cold_rate,
                'sharded': True,
                'warm_s': 2.0,
            },
        ],
    }


def make_settings(
    name: str,
    store: str,
    ip: str,
    ports: Iterator[int],
) -> dict[str, Any]:
    """Return the fields of a host's settings file."""
    return {
        'node': name,
        'ip': ip,
        'zone': 'z1',
        'zones': {'z1': 'r', 'z2': 'r'},
        'port_range': [next(ports), 1],
        'metrics_port': next(ports),
        'listen': {
            'front': f'{ip}:{next(ports)}',
            'ready': f'{ip}:{next(ports)}',
        },
        'platform': {'address': store},
        'bounds': {'retry_ratio': 0.2, 'grace_s': 6},
    }


class Server:
    """An HTTP server that passes each request to a handler."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.address = ''
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, handler: Handler) -> None:
        self.handler = handler
        await self.bind()

    async def bind(self, port: int = 0) -> None:
        """Listen on a port, or on any free one."""
        self.server = await asyncio.start_server(
            self.accept,
            '127.0.0.1',
            port,
        )
        host, bound_port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{bound_port}'

    async def listen_again(self) -> None:
        """Listen on the previous address again."""
        await self.bind(split_address(self.address)[1])

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.writers.add(writer)
        try:
            with suppress(ConnectionError, asyncio.IncompleteReadError):
                while True:
                    await self.serve(reader, writer)
        finally:
            # Also when the event loop ends: a writer that is still open then
            # raises an error in its finalizer, in whichever test runs next.
            writer.close()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        first, *lines = head.strip().split('\r\n')
        method, target, _ = first.split(' ')
        pairs = [line.split(':', 1) for line in lines]
        headers = {name.lower(): text.strip() for name, text in pairs}
        length = int(headers.get('content-length', 0))
        body = await reader.readexactly(length)
        request = Request(method, target, headers, body)
        status, extra, content = await self.handler(request)
        extra = {**extra, 'Content-Length': str(len(content))}
        rendered = ''.join(f'{key}: {text}\r\n' for key, text in extra.items())
        answer = f'HTTP/1.1 {status} X\r\n{rendered}\r\n'.encode()
        await self.write_answer(writer, answer + content)

    async def write_answer(
        self,
        writer: asyncio.StreamWriter,
        answer: bytes,
    ) -> None:
        writer.write(answer)
        await writer.drain()


LONG_POLL_MS = 10_000
# Tables of the operator and the servers, who write again what a store lost.
OUTSIDE_TABLES = frozenset(('op', 'servers'))

Rows = dict[tuple[str, str], tuple[bytes | None, int]]


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The rows of a store at some moment."""

    rows: Rows
    version: int


class Store(Server):
    """The platform's store, with switches for faults.

    :ivar era: rises when the store comes back from a copy; ``None`` if its
        answers do not name it.
    :ivar oldest: oldest version from which changes can be followed.
    :ivar is_down: every call is answered with status 503.
    :ivar is_closing: the connection of every call is closed unanswered.
    :ivar lost_writes: number of next writes that take effect unanswered.
    :ivar commit_delay_s: time from a write to its answer, in seconds.
    :ivar silent_at: long polls that were sent earlier are never answered.
    :ivar is_silent: no call is ever answered.
    :ivar calls: paths of all calls.
    :ivar polls: tables of the long polls.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rows: Rows = {}
        self.version = 1
        self.era: int | None = None
        self.oldest = 0
        self.is_down = False
        self.is_closing = False
        self.lost_writes = 0
        self.commit_delay_s = 0.0
        self.silent_at = float('-inf')
        self.is_silent = False
        self.changed = asyncio.Event()
        self.lost_rows: dict[tuple[str, str], bytes | None] = {}
        self.calls: list[str] = []
        self.polls: list[str] = []

    async def listen(self) -> None:
        await self.start(self.handle)

    def put(self, table: str, key: str, value: object) -> None:
        encoded = value if isinstance(value, bytes) else _dump(value)
        self.write({(table, key): encoded})

    def remove(self, table: str, key: str) -> None:
        self.write({(table, key): None})

    def write(self, values: dict[tuple[str, str], bytes | None]) -> None:
        self.version += 1
        for name, value in values.items():
            self.rows[name] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self) -> StoreCopy:
        return StoreCopy(dict(self.rows), self.version)

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy; :meth:`refill` writes what others lost."""
        self.lost_rows = {
            name: value
            for name, (value, version) in self.rows.items()
            if name[0] in OUTSIDE_TABLES
            and copy.rows.get(name) != (value, version)
        }
        self.rows = dict(copy.rows)
        self.version = copy.version
        self.oldest = min(self.oldest, copy.version)
        self.era = (self.era or 0) + 1
        self.changed.set()
        self.changed = asyncio.Event()

    def refill(self) -> None:
        """Write what the operator and the servers wrote since the copy."""
        for name, value in self.lost_rows.items():
            self.write({name: value})
        self.lost_rows = {}

    def swallow_long_polls(self) -> None:
        """Never answer the long polls that are open now; serve all others."""
        self.silent_at = asyncio.get_running_loop().time()

    async def handle(self, request: Request) -> Answer:
        status, headers, body = await self.answer(request)
        named = {} if self.era is None else {'Store-Era': str(self.era)}
        return status, {**headers, **named}, body

    async def answer(self, request: Request) -> Answer:
        parts = urlsplit(request.target)
        self.calls.append(parts.path)
        if self.is_silent:
            await asyncio.Event().wait()
        if self.is_closing:
            raise ConnectionError
        if self.is_down:
            return 503, {}, b''
        query = {
            key: values[0] for key, values in parse_qs(parts.query).items()
        }
        if parts.path == '/rows-get':
            return self.read(query)
        if parts.path == '/rows-feed':
            return await self.feed(query)
        return await self.commit(json.loads(request.body))

    def read(self, query: dict[str, str]) -> Answer:
        limit = int(query.get('limit', 500))
        rows = [
            self.render(table, key)
            for table, key in sorted(self.rows)
            if table == query['table']
            and key >= query.get('from', '')
            and self.rows[table, key][0] is not None
        ]
        return self.reply(rows=rows[:limit], more_pages=len(rows) > limit)

    async def feed(self, query: dict[str, str]) -> Answer:
        self.polls.append(query['table'])
        sent_at = asyncio.get_running_loop().time()
        after = int(query['after'])
        if not self.oldest <= after <= self.version:
            return 410, {}, b''
        era = self.era
        with suppress(TimeoutError):
            async with asyncio.timeout(int(query['wait_ms']) / 1000):
                while era == self.era and not self.newer(query['table'], after):
                    await self.changed.wait()
        is_long = int(query['wait_ms']) >= LONG_POLL_MS
        if self.is_silent or (is_long and sent_at <= self.silent_at):
            await asyncio.Event().wait()
        if self.is_down:
            return 503, {}, b''
        if era != self.era:
            raise ConnectionError
        return self.reply(rows=self.newer(query['table'], after))

    async def commit(self, call: dict[str, Any]) -> Answer:
        for condition in call['expected_revision']:
            name = (condition['table'], condition['key'])
            if self.rows.get(name, (None, 0))[1] != condition['ver']:
                rows = [self.render(*name)]
                return 412, {}, _dump({'rows': rows, 'ver': self.version})
        self.write(
            {
                (row['table'], row['key']): base64.b64decode(row['value'])
                for row in call['writes']
            },
        )
        if self.lost_writes:
            self.lost_writes -= 1
            raise ConnectionError
        await asyncio.sleep(self.commit_delay_s)
        return self.reply()

    def newer(self, table: str, after: int) -> list[dict[str, Any]]:
        changed = sorted(
            (version, key)
            for (row_table, key), (_, version) in self.rows.items()
            if row_table == table and version > after
        )
        return [self.render(table, key) for _, key in changed]

    def render(self, table: str, key: str) -> dict[str, Any]:
        value, version = self.rows.get((table, key), (None, 0))
        row = {'table': table, 'part': '', 'key': key, 'ver': version}
        if value is None:
            return {**row, 'removed': True}
        return {**row, 'value': base64.b64encode(value).decode()}

    def reply(self, **fields: object) -> Answer:
        body = {**fields, 'ver': self.version, 'now_s': 1.0}
        return 200, {}, _dump(body)


class KeyedServer(Server):
    """A server that runs requests for the keys that it was granted.

    :ivar grants: last key, fencing token and expiry by first key.
    :ivar fences: first key, last key and fencing token of all grants so far.
    :ivar ran: ids of the requests that it ran.
    :ivar misdirected: number of requests for keys that it did not hold.
    :ivar arrivals: times at which requests arrived.
    :ivar cold_ms: remaining cold start that it reports.
    :ivar rate_limit: requests per second from all hosts that it names in its
        answers.
    :ivar is_leaving: whether its answers say that it leaves.
    :ivar retry_after: with this it refuses all requests, if not empty.
    :ivar is_plain: whether its service has no keys and rejects grants.
    """

    def __init__(self, name: str, zone: str = 'z1') -> None:
        super().__init__()
        self.name = name
        self.zone = zone
        self.grants: dict[int, tuple[int, int, float]] = {}
        self.fences: list[tuple[int, int, int]] = []
        self.ran: list[str] = []
        self.misdirected = 0
        self.arrivals: list[float] = []
        self.cold_ms = 0
        self.rate_limit = ''
        self.is_leaving = False
        self.retry_after = ''
        self.is_plain = False
        self.loop = asyncio.get_running_loop()

    async def listen(self) -> None:
        await self.start(self.handle)

    def entry(self, state: str = 'ready', **status: object) -> dict[str, Any]:
        return {
            'address': self.address,
            'born': 1000,
            'info': {
                'service': 'orders',
                'version': 'v1',
                'zone': self.zone,
                'slots': 2,
            },
            'status': {'state': state, 'seq': 1, 'warmup_left_s': 0, **status},
        }

    def holds(self, key: int) -> bool:
        now = self.loop.time()
        return any(
            first <= key <= last and until > now
            for first, (last, _, until) in self.grants.items()
        )

    async def handle(self, request: Request) -> Answer:
        target = request.target
        if self.is_plain and target in {'/grant', '/release'}:
            return 400, {}, b''
        if target == '/health':
            reported = {'Warmup-Ms': str(self.cold_ms)} if self.cold_ms else {}
            return 200, {'Instance-Id': self.name, **reported}, b''
        if request.headers.get('target-instance', self.name) != self.name:
            return 421, {'Instance-Id': self.name, 'Not-Executed': '1'}, b''
        if target == '/grant':
            return self.grant(json.loads(request.body))
        if target == '/release':
            return self.release(json.loads(request.body))
        return self.run(request)

    def grant(self, call: dict[str, Any]) -> Answer:
        first, last, fence = call['from'], call['target'], call['fence']
        for start, end, seen in self.fences:
            if start <= last and end >= first and seen > fence:
                return 409, {}, b''
        self.fences.append((first, last, fence))
        until = self.loop.time() + call['hold_s']
        self.remove_grants(first, last)
        self.grants[first] = (last, fence, until)
        return 200, {}, b''

    def remove_grants(self, first: int, last: int) -> None:
        """Remove the keys from all grants; the other keys stay granted."""
        kept: dict[int, tuple[int, int, float]] = {}
        for start, (end, fence, until) in self.grants.items():
            if start < first:
                kept[start] = (min(end, first - 1), fence, until)
            if end > last:
                kept[max(start, last + 1)] = (end, fence, until)
        self.grants = kept

    def release(self, call: dict[str, Any]) -> Answer:
        self.remove_grants(call['from'], call['target'])
        return 200, {'Handover': f'from-{self.name}'}, b''

    def notice_headers(self) -> Headers:
        """Return the headers by which it tells hosts about itself."""
        limit = {'Server-Limit': self.rate_limit} if self.rate_limit else {}
        leaving = {'Server-Leaving': '1'} if self.is_leaving else {}
        return {**limit, **leaving}

    def run(self, request: Request) -> Answer:
        self.arrivals.append(self.loop.time())
        request_id = request.headers['attempt-id']
        echoed = {'Attempt-Id': request_id, **self.notice_headers()}
        if self.retry_after:
            echoed['Retry-After'] = self.retry_after
            return 503, {**echoed, 'Not-Executed': '1'}, b''
        if not self.holds(int(request.headers['shard-key'])):
            self.misdirected += 1
            return 421, {**echoed, 'Not-Executed': '1'}, b''
        self.ran.append(request_id)
        signed = {**echoed, 'Server-Signature': f's-{self.name}-{request_id}'}
        return 200, signed, b'ran:' + request.body


def _dump(value: object) -> bytes:
    return json.dumps(value).encode()
