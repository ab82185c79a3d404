"""Malformed input at every interface.

Readers and clients must raise only subclasses of ``OriolearchError``, and a
server must still answer a valid request after receiving arbitrary bytes.
"""

import asyncio
import copy
import json
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from google.protobuf.message import DecodeError
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from oriolearch.adapters import peer_messages as convert
from oriolearch.adapters import peer_pb2 as wire
from oriolearch.adapters.admin import AdminServer
from oriolearch.adapters.admin_client import AdminClient, Credentials
from oriolearch.adapters.config_table import ConfigTable
from oriolearch.adapters.grants import GrantClient
from oriolearch.adapters.peers import PeerClient, PeerServer
from oriolearch.adapters.platform import HttpPlatform
from oriolearch.clock import ManualClock
from oriolearch.core import configuration, rows, segments
from oriolearch.core.errors import (
    OriolearchError,
    OutcomeUnknownError,
    PlatformError,
    ValidationError,
)
from oriolearch.core.messages import SyncAnswer
from oriolearch.core.model import Document
from oriolearch.ports import Condition, Write
from oriolearch.schema import (
    DocumentModel,
    EditModel,
    document_to_json,
    parse,
    read_document,
)
from oriolearch.settings import Settings, read_settings
from tests.conftest import StartedEntry
from tests.entries import call, make_view
from tests.test_admin import TOKEN, server
from tests.test_configuration import (
    PUT_POOL,
    PUT_ROUTE,
    FixedClock,
    MemoryTables,
    operations,
)
from tests.test_grant_client import MANDATE
from tests.test_peers import (
    ANSWER,
    HOME,
    MEMBER,
    PROMISE_ANSWER,
    PROMISE_REQUEST,
    REF,
    REQUEST,
    Handler,
)

__all__ = ('server',)  # a fixture

WAIT_S = 10
SECRET = 'ab' * 32
deterministic = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=120,
    suppress_health_check=list(HealthCheck),
)
few_examples = settings(deterministic, max_examples=40)

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([-1, -2, 2**53 + 1, 2**64])
    | st.floats()
    | st.text(st.characters(), max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)
SETTINGS = {
    'host': {'name': 'a1', 'zone': 'a'},
    'entry': {'address': '127.0.0.1:8080'},
    'peers': {'address': '127.0.0.1:8081', 'seeds': ['127.0.0.1:8082']},
    'admin': {
        'address': '127.0.0.1:8083',
        'tokens': [{'name': 'ann', 'sha256': SECRET}],
    },
    'platform': {'address': '127.0.0.1:9000'},
    'zones': [{'name': 'a', 'region': 'r1', 'adopter': 'a'}],
}
EDIT = {'version': 1, 'operations': [PUT_POOL, PUT_ROUTE]}
CHANGE = {**EDIT, 'author': 'ann', 'time_s': 1.5, 'nonce': 'n'}
DOCUMENT = document_to_json(
    configuration.apply_operations(Document(), operations(PUT_POOL, PUT_ROUTE)),
)
AUTHORITY = rows.encode_authority(rows.AuthorityRow(REF, 3, (REF,), 'n'))
SEGMENT = segments.encode_segment(segments.new_segment(('p', 4), HOME), 'n')


def _paths(node: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    yield path
    if isinstance(node, dict):
        for name, part in node.items():
            yield from _paths(part, (*path, name))
    elif isinstance(node, list):
        for index, part in enumerate(node[:2]):
            yield from _paths(part, (*path, index))


@st.composite
def _mutated(draw: st.DrawFn, sample: Any) -> Any:
    """Draw a copy of a valid value with one part replaced, removed or added."""
    path = draw(st.sampled_from(list(_paths(sample))))
    if not path:
        return draw(JSON)
    changed = copy.deepcopy(sample)
    node = changed
    for name in path[:-1]:
        node = node[name]
    match draw(st.sampled_from(['replace', 'remove', 'add'])):
        case 'remove':
            del node[path[-1]]
        case 'add' if isinstance(node, dict):
            node[draw(st.text(max_size=5))] = draw(JSON)
        case _:
            node[path[-1]] = draw(JSON)
    return changed


def _config(**stored: Any) -> ConfigTable:
    tables = MemoryTables()
    tables.put_row('config', 'head', stored.get('head', {'version': 1}))
    tables.put_row('config.changes', f'{1:012d}', stored.get('change', CHANGE))
    return ConfigTable(tables, tables, FixedClock())


def _read_edit(raw: Any) -> None:
    edit = parse(EditModel, 'edit', raw)
    changes = tuple(part.to_operation() for part in edit.operations)
    after = configuration.apply_operations(Document(), changes)
    configuration.validate(Document(), after)


def _read_authority(raw: Any) -> None:
    row = rows.decode_authority('row', raw)
    _check_encodable(coordinators={HOME: row.holder})


def _read_segment(raw: Any) -> None:
    _check_encodable(segments=(segments.decode_segment(('p', 4), 1, raw),))


def _check_encodable(**fields: Any) -> None:
    """Check that accepted input can be encoded for other hosts."""
    parts = {'outstanding': {}, 'cold': {}, 'members': (MEMBER,)}
    parts |= dict.fromkeys(('permits', 'mandates', 'segments'), ())
    answer = SyncAnswer(MEMBER, 1, None, **{**parts, **fields})
    convert.encode_sync_answer(answer).SerializeToString()


READERS: dict[str, tuple[Callable[[Any], object], Any]] = {
    'settings': (lambda raw: parse(Settings, 'file', raw), SETTINGS),
    'document': (
        lambda raw: document_to_json(
            parse(DocumentModel, 'document', raw).to_document()
        ),
        DOCUMENT,
    ),
    'edit': (_read_edit, EDIT),
    'head': (
        lambda raw: _config(head=raw).load(Document()),
        {'version': 1},
    ),
    'change': (
        lambda raw: json.dumps(
            document_to_json(_config(change=raw).load(Document())),
            allow_nan=False,
        ),
        CHANGE,
    ),
    'authority': (_read_authority, AUTHORITY),
    'lease': (lambda raw: rows.decode_lease('row', raw), {'renewal': 'n'}),
    'segment': (_read_segment, SEGMENT),
}


@pytest.mark.parametrize('name', READERS)
@deterministic
@given(st.data())
def test_only_typed_errors_leave_a_reader_of_json(
    name: str, data: st.DataObject
) -> None:
    """A KeyError or OverflowError would end the task that reads a row."""
    read, sample = READERS[name]
    read(sample)
    raw = data.draw(_mutated(sample).filter(lambda raw: isinstance(raw, dict)))
    try:
        read(raw)
    except OriolearchError as error:
        assert len(str(error)) < 20000
        assert SECRET not in str(error)


@pytest.mark.parametrize('read', [read_document, read_settings])
@deterministic
@given(st.binary(max_size=60) | JSON.map(lambda raw: json.dumps(raw).encode()))
def test_only_typed_errors_leave_a_reader_of_bytes(
    tmp_path_factory: pytest.TempPathFactory,
    read: Callable[..., object],
    raw: bytes,
) -> None:
    """Settings files and snapshots may contain arbitrary bytes."""
    with suppress(OriolearchError):
        if read is read_document:
            read_document('snapshot', raw)
        else:
            path = Path(tmp_path_factory.getbasetemp()) / 'settings'
            path.write_bytes(raw)
            read_settings(path)


@pytest.mark.parametrize('blob', [b'[' * 100000, b'{"version": 500}', b'\xff'])
def test_corrupt_snapshot_is_skipped(blob: bytes) -> None:
    """A corrupt snapshot must not hide edits whose rows still exist."""
    tables = MemoryTables()
    table = ConfigTable(tables, tables, FixedClock())
    zone_out = operations({'kind': 'zone-out', 'name': 'a'})
    for version in range(101):
        table.edit(version, zone_out, 'ann')
    tables.blobs[next(iter(tables.blobs))] = blob
    assert table.load(Document()).version == 101


@pytest.mark.parametrize('text', ['', 'p', 'p/', 'p/x', 'p/-0001', 'p/1', '/²'])
def test_malformed_row_key_is_a_validation_error(text: str) -> None:
    """A malformed row key must not end the scan of a coordinator."""
    with pytest.raises(ValidationError):
        segments.parse_segment_row_key(text)
    with pytest.raises(ValidationError):
        rows.parse_row_key(text)


@pytest.mark.parametrize(
    ('field', 'raw'),
    [
        ('shards', [-2 for _ in range(256)]),
        ('epochs', list(range(255))),
        ('keys', {'k': [True, 1]}),
    ],
)
def test_segment_row_with_a_wrong_owner_is_refused(
    field: str, raw: Any
) -> None:
    """Owner -2 must not be used as an index from the end of the list."""
    with pytest.raises(ValidationError, match=field):
        _read_segment({**SEGMENT, 'owners': ['s'], field: raw})


@pytest.mark.parametrize(
    'admin',
    [
        {'address': '10.0.0.1:1', 'tokens': [{'name': 'a', 'sha256': SECRET}]},
        {'address': '127.0.0.1:1', 'tokens': [{'sha256': SECRET}]},
        {'address': '127.0.0.1:1', 'tokens': [{'text': SECRET}]},
        {'address': '127.0.0.1:1', 'tokens': SECRET},
        {'address': '127.0.0.1:1', 'token': SECRET, 'tokens': []},
    ],
)
def test_secrets_stay_out_of_errors(admin: Any) -> None:
    """An error next to a token must not show its digest, nor its cause."""
    with pytest.raises(ValidationError) as caught:
        parse(Settings, 'file', {**SETTINGS, 'admin': admin})
    assert SECRET not in str(caught.value)
    assert SECRET not in repr(caught.value.value)
    assert caught.value.__cause__ is None
    assert caught.value.__suppress_context__


PEER_READERS: list[tuple[Any, Callable[[Any], object], Any]] = [
    (wire.SyncRequest, convert.decode_sync_request, REQUEST),
    (wire.SyncAnswer, convert.decode_sync_answer, ANSWER),
    (wire.PromiseRequest, convert.decode_promise_request, PROMISE_REQUEST),
    (wire.PromiseAnswer, convert.decode_promise_answer, PROMISE_ANSWER),
]
WRITERS = (
    convert.encode_sync_request,
    convert.encode_sync_answer,
    convert.encode_promise_request,
    convert.encode_promise_answer,
)


@pytest.mark.parametrize('number', range(4))
@settings(deterministic, max_examples=400)
@given(st.data())
def test_only_typed_errors_leave_a_reader_of_peers(
    number: int, data: st.DataObject
) -> None:
    """A corrupt message must not end the task of its stream."""
    message_type, read, sample = PEER_READERS[number]
    write: Any = WRITERS[number]
    valid = write(sample).SerializeToString()
    offset = data.draw(st.integers(0, len(valid)))
    removed = data.draw(st.integers(0, 4))
    raw = (
        valid[:offset]
        + data.draw(st.binary(max_size=6))
        + valid[offset + removed :]
    )
    if data.draw(st.booleans()):
        raw = data.draw(st.binary(max_size=80))
    message = message_type()
    with suppress(DecodeError, OriolearchError):
        message.ParseFromString(raw)
        write(read(message)).SerializeToString()


HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b'


def _as_answer(body: bytes) -> bytes:
    return HEAD % (len(body), body)


ANSWERS = (
    st.binary(max_size=80)
    | st.binary(max_size=40).map(lambda tail: b'HTTP/1.1 200 OK\r\n' + tail)
    | st.binary(max_size=40).map(_as_answer)
    | JSON.map(lambda raw: _as_answer(repr(raw).encode('utf-8', 'replace')))
    | st.sampled_from(
        [
            _as_answer(b'{"version": %d, "value": {}}' % 2**64),
            _as_answer(b'{"version": 1, "value": {"a": NaN}}'),
            _as_answer(b'{"clock": 1e999, "incarnation": 1}'),
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}',
            b'HTTP/1.1 200 OK\r\nContent-Length: -9\r\n\r\n{}',
            b'HTTP/1.1 200 OK\r\nContent-Length: 1, 2\r\n\r\n{}',
            b'HTTP/1.1 503 X\r\nContent-Encoding: gzip\r\n\r\nxx',
            b'HTTP/1.1 409 X\r\nContent-Length: 2\r\n\r\n{}',
        ],
    )
)


class ByteServer:
    """Sends the same bytes on each connection and closes it."""

    def __init__(self) -> None:
        self.answer = b''
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                with suppress(OSError), sock:
                    sock.settimeout(WAIT_S)
                    sock.recv(65536)
                    sock.sendall(self.answer)
                    sock.shutdown(socket.SHUT_WR)
                    sock.recv(65536)


@pytest.fixture(scope='module')
def byte_server() -> Iterator[ByteServer]:
    """Provide a server that sends arbitrary bytes."""
    server = ByteServer()
    yield server
    server.listener.close()


@few_examples
@given(ANSWERS)
def test_platform_client_survives_any_response(
    byte_server: ByteServer, raw: bytes
) -> None:
    """An error of another type would end the calling task."""
    byte_server.answer = raw
    platform = HttpPlatform(byte_server.address, 'a', WAIT_S)
    writes = [Write('t', 'k', {})]
    for request in (
        partial(platform.read, 't', 'k'),
        partial(platform.scan, 't'),
        partial(platform.commit, [Condition('t', 'k', 1)], writes),
        partial(platform.get, 'o'),
        partial(platform.put, 'o', b''),
        platform.hosts,
    ):
        with suppress(PlatformError):
            request()
    platform.close()


def test_too_large_answer_is_not_read(
    byte_server: ByteServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An endless response must not exhaust the memory."""
    monkeypatch.setattr('oriolearch.adapters.platform.MAX_ANSWER_BYTES', 1000)
    byte_server.answer = b'HTTP/1.1 200 OK\r\n\r\n' + b' ' * 2000
    platform = HttpPlatform(byte_server.address, 'a', WAIT_S)
    with pytest.raises(OutcomeUnknownError, match='more than 1000 bytes'):
        platform.hosts()
    platform.close()


@few_examples
@given(ANSWERS)
def test_grant_client_survives_any_response(
    byte_server: ByteServer, raw: bytes
) -> None:
    """A malformed response must not stop the renewal at other servers."""
    byte_server.answer = raw
    client = GrantClient(byte_server.address, ManualClock(), 0.7, WAIT_S)
    client.read_clock()
    client.probe(1)
    client.send_list(MANDATE)
    client.revoke(MANDATE, [7])
    client.close()


@few_examples
@given(st.binary(max_size=80))
def test_peer_client_survives_any_response(
    byte_server: ByteServer, raw: bytes
) -> None:
    """A parent that sends garbage must lead to the next candidate."""
    byte_server.answer = raw

    async def run() -> None:
        for method in ('sync', 'promise'):
            client = PeerClient(byte_server.address, 0.05)
            with suppress(OriolearchError):
                message = REQUEST if method == 'sync' else PROMISE_REQUEST
                await getattr(client, method)(message)
            client.close()

    asyncio.run(run())


def _send_raw(address: tuple[str, int], raw: bytes) -> None:
    """Send bytes and wait until the server closes the connection."""
    with suppress(OSError), socket.create_connection(address, WAIT_S) as sock:
        sock.sendall(raw)
        sock.shutdown(socket.SHUT_WR)
        while sock.recv(65536):
            continue


@contextmanager
def _peer_server() -> Iterator[tuple[str, int]]:
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()

    async def begin() -> PeerServer:
        peers = PeerServer(Handler(ANSWER))
        await peers.start('127.0.0.1', 0)
        return peers

    peers = asyncio.run_coroutine_threadsafe(begin(), loop).result(WAIT_S)
    yield '127.0.0.1', peers.port
    asyncio.run_coroutine_threadsafe(peers.stop(), loop).result(WAIT_S)
    loop.call_soon_threadsafe(loop.stop)
    thread.join(WAIT_S)
    loop.close()


PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
REQUESTS = st.binary(max_size=200) | st.binary(max_size=60).map(
    lambda tail: b'POST /v1/configuration/edits HTTP/1.1\r\nHost: a\r\n' + tail
)


def test_peer_server_survives_any_bytes() -> None:
    """A malformed connection must not stop the syncs of other hosts."""

    async def sync(address: tuple[str, int]) -> None:
        client = PeerClient(f'{address[0]}:{address[1]}', WAIT_S)
        assert await client.sync(REQUEST) == ANSWER
        client.close()

    with _peer_server() as address:

        @few_examples
        @given(REQUESTS | st.binary(max_size=80).map(lambda raw: PREFACE + raw))
        def send_raw(raw: bytes) -> None:
            _send_raw(address, raw)

        send_raw()
        asyncio.run(sync(address))


def test_administration_survives_any_bytes(server: AdminServer) -> None:
    """A server thread that ends on an error would block the admin API."""
    host, _, port = server.address.rpartition(':')
    client = AdminClient(f'http://{server.address}', Credentials(TOKEN))

    @few_examples
    @given(REQUESTS, _mutated(EDIT))
    def send_raw(raw: bytes, edit: Any) -> None:
        _send_raw((host, int(port)), raw)
        with suppress(OriolearchError):
            client._call('POST', '/v1/configuration/edits', edit)

    send_raw()
    for limit in ('000010000000', '9' * 5000, '²', '-1'):
        with pytest.raises(ValidationError):
            client.get(f'/v1/configuration/history?limit={limit}&x=')
    assert client.get('/v1/status')


def test_entry_survives_any_bytes(start: Callable[..., StartedEntry]) -> None:
    """A malformed request must not end a thread or the process."""
    _, address = start(make_view())

    @few_examples
    @given(REQUESTS)
    def send_raw(raw: bytes) -> None:
        _send_raw(address, raw)

    send_raw()
    assert call(address, 'GET', '/none').status == 404


@pytest.mark.parametrize(
    'given',
    [10**5000, 'x' * 10**6, [list(range(9999))]],
    ids=['digits', 'text', 'list'],
)
def test_errors_are_short(given: object) -> None:
    """Formatting an int of over 4300 digits must not raise ValueError."""
    assert len(str(ValidationError('row', 'term', given, 'bad'))) < 5000
