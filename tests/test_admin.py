"""The administration API over real sockets."""

import hashlib
import http.client
import json
import ssl
import threading
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import pytest
import trustme

from oriolearch.adapters.admin import AdminServer
from oriolearch.adapters.admin_client import (
    AdminClient,
    Credentials,
    RefusedByApiError,
)
from oriolearch.adapters.config_table import ConfigTable
from oriolearch.core import errors
from oriolearch.core.configuration import Change, Operation
from oriolearch.core.model import Document
from oriolearch.settings import AdminSettings
from tests.test_configuration import (
    PUT_POOL,
    PUT_ROUTE,
    FixedClock,
    MemoryTables,
)

TOKEN = 'correct horse'
DIGEST = hashlib.sha256(TOKEN.encode()).hexdigest()
ZONE_OUT = {'kind': 'zone-out', 'name': 'a'}


class TableAdministration:
    """Administration that edits a configuration table without a host."""

    def __init__(self) -> None:
        memory = MemoryTables()
        self.table = ConfigTable(memory, memory, FixedClock())

    def document(self) -> Document:
        return self.table.load(Document())

    def edit(
        self,
        version: int,
        operations: tuple[Operation, ...],
        author: str,
        *,
        dry_run: bool,
    ) -> tuple[Document, Mapping[str, Any]]:
        document = self.table.edit(version, operations, author, dry_run=dry_run)
        return document, {'operations': len(operations)}

    def history(self, limit: int) -> list[Change]:
        return list(self.table.history(limit))

    def status(self) -> Mapping[str, Any]:
        return {'age_s': 0.1}

    def metrics(self) -> str:
        return ''


def _serve(settings: dict[str, Any]) -> Iterator[AdminServer]:
    tokens = [{'name': 'ann', 'sha256': DIGEST}]
    checked = AdminSettings.model_validate(
        {'address': '127.0.0.1:0', 'tokens': tokens, **settings},
    )
    server = AdminServer(checked, TableAdministration())
    server.prepare()
    thread = threading.Thread(target=server.serve)
    thread.start()
    yield server
    server.stop()
    thread.join()


@pytest.fixture
def server() -> Iterator[AdminServer]:
    """Return a server of the API without TLS on loopback."""
    yield from _serve({})


@pytest.fixture
def client(server: AdminServer) -> AdminClient:
    """Return the client of an operator with a valid token."""
    return AdminClient(f'http://{server.address}', Credentials(TOKEN))


def test_edit_conflict_and_history(client: AdminClient) -> None:
    """Two operators edit at once: the second must get the first's changes."""
    client.edit(0, [PUT_POOL, PUT_ROUTE])
    assert client.edit(1, [ZONE_OUT], dry_run=True)['version'] == 2
    client.edit(1, [ZONE_OUT])
    with pytest.raises(errors.ConflictError) as caught:
        client.edit(1, [{'kind': 'zone-back', 'name': 'a'}])
    assert caught.value.changes == ('2: zone-out a by ann',)
    shown = client.get('/v1/configuration')
    assert (shown['version'], shown['zones_out']) == (2, ['a'])
    history = client.get('/v1/configuration/history?limit=5')
    assert [change['author'] for change in history] == ['ann', 'ann']


def test_client_raises_the_validation_error_of_the_api(
    client: AdminClient,
) -> None:
    """The command line needs the field at fault, as the API reports it."""
    with pytest.raises(errors.ValidationError) as caught:
        client.edit(0, [PUT_ROUTE])
    assert caught.value.field == 'orders.pool'


@pytest.mark.parametrize(
    ('path', 'token', 'status'),
    [
        ('/v1/status', '', 401),
        ('/v1/status', 'wrong', 401),
        ('/v1/none', TOKEN, 404),
        ('/v1/configuration/edits', TOKEN, 405),
    ],
)
def test_refusals(
    server: AdminServer, path: str, token: str, status: int
) -> None:
    """Without a token the API reveals nothing, not even its endpoints."""
    unauthorized_client = AdminClient(
        f'http://{server.address}', Credentials(token)
    )
    with pytest.raises(RefusedByApiError) as caught:
        unauthorized_client.get(path)
    assert caught.value.status == status


@pytest.mark.parametrize(
    ('body', 'headers', 'status'),
    [
        (b'{', {}, 422),
        (b'\xff\x00', {}, 422),
        (b'[' * 100000, {}, 422),
        (b'{"version": 0, "operations": []}', {}, 422),
        (b'', {'Content-Length': 'many'}, 400),
        (b'', {'Content-Length': str(10**12)}, 413),
        (b'', {'X-Long': 'x' * 100000}, 413),
    ],
)
def test_hostile_requests_are_refused_and_the_server_keeps_running(
    server: AdminServer,
    client: AdminClient,
    body: bytes,
    headers: dict[str, str],
    status: int,
) -> None:
    """A malformed request must not stop the server or change anything."""
    connection = http.client.HTTPConnection(server.address, timeout=10)
    authorization = {'Authorization': f'Bearer {TOKEN}'}
    connection.request(
        'POST',
        '/v1/configuration/edits',
        body,
        authorization | headers,
    )
    assert connection.getresponse().status == status
    connection.close()
    assert client.get('/v1/configuration')['version'] == 0


@pytest.mark.parametrize('has_certificate', [True, False])
def test_client_certificate(tmp_path: Path, has_certificate: bool) -> None:
    """With a client CA set, callers without a certificate are refused."""
    authority = trustme.CA()
    certificate = authority.issue_cert('127.0.0.1')
    authority.cert_pem.write_to_path(tmp_path / 'ca.pem')
    certificate.cert_chain_pems[0].write_to_path(tmp_path / 'cert.pem')
    certificate.private_key_pem.write_to_path(tmp_path / 'key.pem')
    client_file = tmp_path / 'client.pem'
    certificate.private_key_and_cert_chain_pem.write_to_path(client_file)
    tls = {
        'certificate': str(tmp_path / 'cert.pem'),
        'key': str(tmp_path / 'key.pem'),
        'client_ca': str(tmp_path / 'ca.pem'),
    }
    servers = _serve({'tls': tls})
    server = next(servers)
    credentials = Credentials(
        '',
        tmp_path / 'ca.pem',
        client_file if has_certificate else None,
    )
    operator = AdminClient(f'https://{server.address}', credentials)
    if has_certificate:
        assert operator.get('/v1/status') == {'age_s': 0.1}
    else:
        with pytest.raises((RefusedByApiError, ssl.SSLError)):
            operator.get('/v1/status')
    assert next(servers, None) is None


def test_refusal_is_a_problem_document(server: AdminServer) -> None:
    """Tools parse refusals as RFC 9457 problem details."""
    connection = http.client.HTTPConnection(server.address, timeout=10)
    connection.request('GET', '/v1/status')
    answer = connection.getresponse()
    assert answer.headers['Content-Type'] == 'application/problem+json'
    assert json.load(answer)['status'] == 401
    connection.close()
