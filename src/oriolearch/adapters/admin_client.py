"""A client of the administration API, used by the command line."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import urllib3

from oriolearch.core.errors import (
    ConflictError,
    OriolearchError,
    OutcomeUnknownError,
    PlatformRefusedError,
    ValidationError,
)

TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class Credentials:
    """Credentials with which an operator authenticates.

    :param token: bearer token, never logged.
    :param authority: PEM file of the CA that issued the API's certificate.
    :param certificate: PEM file with client certificate and key.
    """

    token: str = ''
    authority: Path | None = None
    certificate: Path | None = None


class RefusedByApiError(OriolearchError):
    """The API refused a request for a reason without its own exception.

    :param status: HTTP status; 0 when no response arrived.
    """

    def __init__(self, status: int, title: str) -> None:
        super().__init__(f'{title} (status {status})')
        self.status = status


def _error_from_problem(
    status: int, problem: Mapping[str, Any]
) -> OriolearchError:
    title = str(problem.get('title', 'the response has no problem title'))
    match status:
        case 409 if 'current' in problem:
            return ConflictError(
                problem['given'],
                problem['current'],
                tuple(problem.get('changes', ())),
            )
        case 422:
            return ValidationError(
                str(problem.get('source')),
                str(problem.get('field')),
                problem.get('value'),
                str(problem.get('reason')),
            )
        case 503:
            return PlatformRefusedError(title)
        case 504:
            return OutcomeUnknownError(title)
        case _:
            return RefusedByApiError(status, title)


class AdminClient:
    """Calls one host's administration API.

    :param url: for example ``https://127.0.0.1:8083``.
    """

    def __init__(self, url: str, credentials: Credentials) -> None:
        self.url = url.rstrip('/')
        authority = credentials.authority
        certificate = credentials.certificate
        self.pool = urllib3.PoolManager(
            retries=False,
            timeout=TIMEOUT_S,
            ca_certs=str(authority) if authority else None,
            cert_file=str(certificate) if certificate else None,
        )
        self.headers = {'Authorization': f'Bearer {credentials.token}'}

    def get(self, path: str) -> Any:
        """Read a resource.

        :raises OriolearchError: the error that the API reports.
        """
        return self._call('GET', path, None)

    def edit(
        self,
        version: int,
        operations: list[Mapping[str, Any]],
        *,
        dry_run: bool = False,
    ) -> Any:
        """Apply an edit, on condition that the version is current.

        :raises ConflictError: when another edit was accepted since.
        """
        fields = {
            'version': version,
            'operations': operations,
            'dry_run': dry_run,
        }
        return self._call('POST', '/v1/configuration/edits', fields)

    def _call(self, method: str, path: str, fields: Any) -> Any:
        body = None if fields is None else json.dumps(fields).encode()
        try:
            response = self.pool.request(
                method,
                self.url + path,
                body=body,
                headers=self.headers,
            )
        except urllib3.exceptions.HTTPError as error:
            raise RefusedByApiError(
                0,
                f'{self.url} did not answer: {error}',
            ) from error
        try:
            content = json.loads(response.data)
        except ValueError:
            content = {'title': 'the response body is not JSON'}
        if response.status != 200:
            raise _error_from_problem(response.status, content)
        return content
