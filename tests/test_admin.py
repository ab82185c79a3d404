"""The administration API through real sockets."""

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
    MemoryTables,
    StoppedClock,
)

TOKEN = 'correct horse'
DIGEST = hashlib.sha256(TOKEN.encode()).hexdigest()
OUT = {'kind': 'zone-out', 'name': 'a'}


class TableAdministration:
    """Edits a table without a host behind it."""

    def __init__(self) -> None:
        memory = MemoryTables()
        self.table = ConfigTable(memory, memory, StoppedClock())

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
    """The API in the clear on loopback."""
    yield from _serve({})


@pytest.fixture
def client(server: AdminServer) -> AdminClient:
    """An operator with the right token."""
    return AdminClient(f'http://{server.address}', Credentials(TOKEN))


def test_edit_conflict_and_history(client: AdminClient) -> None:
    """Two operators at once: the second must see what the first did."""
    client.edit(0, [PUT_POOL, PUT_ROUTE])
    assert client.edit(1, [OUT], dry_run=True)['version'] == 2
    client.edit(1, [OUT])
    with pytest.raises(errors.ConflictError) as caught:
        client.edit(1, [{'kind': 'zone-back', 'name': 'a'}])
    assert caught.value.changes == ('2: zone-out a by ann',)
    shown = client.get('/v1/configuration')
    assert (shown['version'], shown['zones_out']) == (2, ['a'])
    history = client.get('/v1/configuration/history?limit=5')
    assert [change['author'] for change in history] == ['ann', 'ann']


def test_validation_error_is_restored(client: AdminClient) -> None:
    """The command line shows the field, as the API does."""
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
    """Nothing is shown without a token, not even which endpoints exist."""
    stranger = AdminClient(f'http://{server.address}', Credentials(token))
    with pytest.raises(RefusedByApiError) as caught:
        stranger.get(path)
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
def test_hostile_input_is_refused_and_service_goes_on(
    server: AdminServer,
    client: AdminClient,
    body: bytes,
    headers: dict[str, str],
    status: int,
) -> None:
    """A malformed request must not stop the API or change anything."""
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
    """With a client authority set, a caller without a certificate is cut."""
    authority = trustme.CA()
    issued = authority.issue_cert('127.0.0.1')
    authority.cert_pem.write_to_path(tmp_path / 'ca.pem')
    issued.cert_chain_pems[0].write_to_path(tmp_path / 'cert.pem')
    issued.private_key_pem.write_to_path(tmp_path / 'key.pem')
    both = tmp_path / 'client.pem'
    issued.private_key_and_cert_chain_pem.write_to_path(both)
    tls = {
        'certificate': str(tmp_path / 'cert.pem'),
        'key': str(tmp_path / 'key.pem'),
        'client_ca': str(tmp_path / 'ca.pem'),
    }
    serving = _serve({'tls': tls})
    server = next(serving)
    credentials = Credentials(
        '',
        tmp_path / 'ca.pem',
        both if has_certificate else None,
    )
    operator = AdminClient(f'https://{server.address}', credentials)
    if has_certificate:
        assert operator.get('/v1/status') == {'age_s': 0.1}
    else:
        with pytest.raises((RefusedByApiError, ssl.SSLError)):
            operator.get('/v1/status')
    assert next(serving, None) is None


def test_answer_is_a_problem_document(server: AdminServer) -> None:
    """Tools read refusals by the standard form."""
    connection = http.client.HTTPConnection(server.address, timeout=10)
    connection.request('GET', '/v1/status')
    answer = connection.getresponse()
    assert answer.headers['Content-Type'] == 'application/problem+json'
    assert json.load(answer)['status'] == 401
    connection.close()
