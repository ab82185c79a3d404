"""The administration API for operators: JSON over HTTP.

It listens on its own address, never on the one for callers. Every request
needs a bearer token or, when a client certificate authority is configured, a
client certificate.
"""

import hashlib
import hmac
import json
import ssl
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import parse_qs

from cheroot import wsgi
from cheroot.ssl.builtin import BuiltinSSLAdapter

from oriolearch.core.configuration import Change, Operation
from oriolearch.core.errors import (
    ConflictError,
    OriolearchError,
    OutcomeUnknownError,
    PlatformError,
    ValidationError,
)
from oriolearch.core.model import Document
from oriolearch.schema import EditModel, change_to_json, document_to_json, parse
from oriolearch.settings import AdminSettings
from oriolearch.stopping import StoppableServer

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
MAX_HISTORY_LIMIT = 1000
MAX_LIMIT_DIGITS = 6
JSON_TYPE = 'application/json'
PROBLEM_TYPE = 'application/problem+json'
TEXT_TYPE = 'text/plain; version=0.0.4'

Environ = Mapping[str, Any]


class Administration(Protocol):
    """The operations behind the API, implemented by the host."""

    def document(self) -> Document:
        """Return the configuration that this host currently applies."""

    def edit(
        self,
        version: int,
        operations: tuple[Operation, ...],
        author: str,
        *,
        dry_run: bool,
    ) -> tuple[Document, Mapping[str, Any]]:
        """Apply an edit; return the document and the effects of the edit."""

    def history(self, limit: int) -> Iterable[Change]:
        """Return the latest edits, newest first."""

    def status(self) -> Mapping[str, Any]:
        """Return the cluster state as this host sees it, with its age."""

    def metrics(self) -> str:
        """Return the metrics in the Prometheus text format."""


@dataclass(frozen=True, slots=True)
class Reply:
    """A response before it is written."""

    status: str
    body: bytes
    content_type: str = JSON_TYPE


def _json_reply(
    status: str, fields: Any, content_type: str = JSON_TYPE
) -> Reply:
    return Reply(status, json.dumps(fields, indent=1).encode(), content_type)


def _problem(status: str, title: str, **details: Any) -> Reply:
    fields = {'status': int(status[:3]), 'title': title, **details}
    return _json_reply(status, fields, PROBLEM_TYPE)


def _error_reply(error: OriolearchError) -> Reply:
    match error:
        case ConflictError():
            return _problem(
                '409 Conflict',
                str(error),
                given=error.given,
                current=error.current,
                changes=list(error.changes),
            )
        case ValidationError():
            return _problem(
                '422 Unprocessable Content',
                str(error),
                source=error.source,
                field=error.field,
                value=repr(error.value)[:200],
                reason=error.reason,
            )
        case OutcomeUnknownError():
            return _problem(
                '504 Gateway Timeout', str(error), outcome='unknown'
            )
        case PlatformError():
            return _problem(
                '503 Service Unavailable',
                str(error),
                outcome='not-run',
            )
        case _:
            return _problem('500 Internal Server Error', str(error))


class AdminApplication:
    """The API as a WSGI application.

    :param tokens: operator names by the SHA-256 digest of their tokens.
    """

    def __init__(
        self,
        administration: Administration,
        tokens: Mapping[str, str],
    ) -> None:
        self.administration = administration
        self.tokens = tokens
        self.endpoints: dict[
            tuple[str, str],
            Callable[[Environ, str], Reply],
        ] = {
            ('GET', '/v1/configuration'): self.show_configuration,
            ('POST', '/v1/configuration/edits'): self.apply_edit,
            ('GET', '/v1/configuration/history'): self.show_history,
            ('GET', '/v1/status'): self.show_status,
            ('GET', '/metrics'): self.show_metrics,
        }

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        reply = self._handle(environ)
        headers = [
            ('Content-Type', reply.content_type),
            ('Content-Length', str(len(reply.body))),
            ('Cache-Control', 'no-store'),
        ]
        if reply.status.startswith('401'):
            headers.append(('WWW-Authenticate', 'Bearer'))
        start_response(reply.status, headers)
        return [reply.body]

    def show_configuration(self, environ: Environ, author: str) -> Reply:
        """Return the pools, the routes and the names taken out of service."""
        return _json_reply(
            '200 OK', document_to_json(self.administration.document())
        )

    def apply_edit(self, environ: Environ, author: str) -> Reply:
        """Apply a conditional edit, or with ``dry_run`` return its effects."""
        edit = parse(EditModel, 'edit', _read_json(environ))
        document, effects = self.administration.edit(
            edit.version,
            tuple(operation.to_operation() for operation in edit.operations),
            author,
            dry_run=edit.dry_run,
        )
        return _json_reply(
            '200 OK',
            {
                'version': document.version,
                'dry_run': edit.dry_run,
                'effects': dict(effects),
            },
        )

    def show_history(self, environ: Environ, author: str) -> Reply:
        """Return the latest edits with their author and time."""
        query = parse_qs(environ.get('QUERY_STRING', ''))
        raw_limit = query.get('limit', ['20'])[0]
        is_number = raw_limit.isdecimal() and len(raw_limit) <= MAX_LIMIT_DIGITS
        if not is_number or not 1 <= int(raw_limit) <= MAX_HISTORY_LIMIT:
            raise ValidationError(
                'query',
                'limit',
                raw_limit[:20],
                f'must be a number from 1 to {MAX_HISTORY_LIMIT}',
            )
        changes = self.administration.history(int(raw_limit))
        return _json_reply(
            '200 OK', [change_to_json(change) for change in changes]
        )

    def show_status(self, environ: Environ, author: str) -> Reply:
        """Return the state of hosts, upstreams, shards and leases."""
        return _json_reply('200 OK', dict(self.administration.status()))

    def show_metrics(self, environ: Environ, author: str) -> Reply:
        """Return the metrics in the Prometheus text format."""
        text = self.administration.metrics()
        return Reply('200 OK', text.encode(), TEXT_TYPE)

    def _handle(self, environ: Environ) -> Reply:
        author = self._authenticate(environ)
        if author is None:
            return _problem('401 Unauthorized', 'a valid token is needed')
        path = environ['PATH_INFO']
        endpoint = self.endpoints.get((environ['REQUEST_METHOD'], path))
        if endpoint is None:
            if any(path == known_path for _, known_path in self.endpoints):
                return _problem('405 Method Not Allowed', 'wrong method')
            return _problem('404 Not Found', 'no such endpoint')
        try:
            return endpoint(environ, author)
        except OriolearchError as error:
            return _error_reply(error)

    def _authenticate(self, environ: Environ) -> str | None:
        if environ.get('SSL_CLIENT_VERIFY') == 'SUCCESS':
            return str(environ.get('SSL_CLIENT_S_DN_CN', 'certificate'))
        scheme, _, token = environ.get('HTTP_AUTHORIZATION', '').partition(' ')
        if scheme.lower() != 'bearer':
            return None
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        for token_digest, name in self.tokens.items():
            if hmac.compare_digest(digest, token_digest):
                return name
        return None


def _read_json(environ: Environ) -> Any:
    raw_length = environ.get('CONTENT_LENGTH') or ''
    if not raw_length.isdecimal():
        raise ValidationError(
            'request',
            'Content-Length',
            raw_length,
            'a length in bytes is needed',
        )
    if len(raw_length) > 9 or int(raw_length) > MAX_BODY_BYTES:
        raise ValidationError(
            'request',
            'Content-Length',
            raw_length[:20],
            f'at most {MAX_BODY_BYTES} bytes are read',
        )
    raw = environ['wsgi.input'].read(int(raw_length))
    try:
        return json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise ValidationError(
            'request', '(body)', raw[:80], str(error)
        ) from error


class ApiServer(StoppableServer, wsgi.Server):
    """A WSGI server that may be stopped while it answers."""


class AdminServer:
    """HTTP server of the API with its own socket and threads."""

    def __init__(
        self,
        settings: AdminSettings,
        administration: Administration,
    ) -> None:
        host, _, port = settings.address.rpartition(':')
        tokens = {token.sha256: token.name for token in settings.tokens}
        self.server = ApiServer(
            (host, int(port)),
            AdminApplication(administration, tokens),
            numthreads=2,
            max=8,
        )
        self.server.max_request_header_size = MAX_HEADER_BYTES
        self.server.max_request_body_size = MAX_BODY_BYTES
        if settings.tls is not None:
            self.server.ssl_adapter = BuiltinSSLAdapter(
                str(settings.tls.certificate),
                str(settings.tls.key),
                private_key_password=None,
            )
            if settings.tls.client_ca is not None:
                self._require_client_certificates(str(settings.tls.client_ca))

    def _require_client_certificates(self, ca_file: str) -> None:
        context = self.server.ssl_adapter.context
        context.load_verify_locations(ca_file)
        context.verify_mode = ssl.CERT_REQUIRED

    @property
    def address(self) -> str:
        """Return the listening ``host:port``, valid once prepared."""
        host, port = self.server.bind_addr[:2]
        return f'{host}:{port}'

    def prepare(self) -> None:
        """Bind the socket and start the threads."""
        self.server.prepare()

    def serve(self) -> None:
        """Serve until stopped; runs in a thread of its own."""
        self.server.serve()

    def stop(self) -> None:
        """Close the socket and wait for running requests."""
        self.server.stop()
