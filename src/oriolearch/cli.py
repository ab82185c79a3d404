"""The command line."""

import asyncio
import json
import logging
import os
import signal
import sys
import threading
from collections.abc import Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal, NoReturn

import cappa

from oriolearch import demo
from oriolearch.adapters.admin_client import AdminClient, Credentials
from oriolearch.core import configuration
from oriolearch.core.config_review import FindingKind, review
from oriolearch.core.errors import ConflictError, OriolearchError
from oriolearch.core.model import Fencing
from oriolearch.eventlog import configure_logging
from oriolearch.explaining import LogLine, explain, read_lines
from oriolearch.host import Host
from oriolearch.platform.documents import decode_directory
from oriolearch.platform.settings import load_settings
from oriolearch.schema import EditModel, parse, read_document
from oriolearch.settings import Settings, read_json, read_settings
from oriolearch.standins.keyed import KeyedStandin
from oriolearch.standins.plain import PlainStandin
from oriolearch.standins.platform import PlatformStandin
from oriolearch.standins.upstream import UpstreamStandin

TOKEN_VARIABLE = 'ORIOLEARCH_TOKEN'  # noqa: S105
URL_VARIABLE = 'ORIOLEARCH_URL'
DEFAULT_URL = 'https://127.0.0.1:8083'
USAGE_STATUS = 2  # exit status for invalid input


def _exit_with_error(error: OriolearchError, status: int = 1) -> NoReturn:
    print(f'error: {error}', file=sys.stderr)
    if isinstance(error, ConflictError):
        for line in error.changes:
            print(f'  {line}', file=sys.stderr)
    raise cappa.Exit(code=status)


@dataclass(kw_only=True)
class AdminOptions:
    """Options of every command that calls a host's administration API."""

    url: Annotated[
        str,
        cappa.Arg(
            long='--url',
            default=cappa.Env(URL_VARIABLE, default=DEFAULT_URL),
            help='address of the API',
        ),
    ] = DEFAULT_URL
    authority: Annotated[
        Path | None,
        cappa.Arg(
            long='--authority', help='PEM file of the certificate authority'
        ),
    ] = None
    certificate: Annotated[
        Path | None,
        cappa.Arg(
            long='--certificate',
            help='PEM file with the client certificate and key',
        ),
    ] = None

    def client(self) -> AdminClient:
        """Build a client with the token from the environment."""
        token = os.environ.get(TOKEN_VARIABLE, '')
        credentials = Credentials(token, self.authority, self.certificate)
        return AdminClient(self.url, credentials)


@cappa.command(name='check', help='Check a settings or configuration file')
@dataclass
class Check:
    """Exits with status 2 and prints the field if the file is invalid."""

    path: Path
    tables: Annotated[
        bool,
        cappa.Arg(
            long='--tables', help='check a configuration of routes and pools'
        ),
    ] = False
    platform: Annotated[
        bool,
        cappa.Arg(
            long='--platform', help='check settings that the platform wrote'
        ),
    ] = False
    document: Annotated[
        bool,
        cappa.Arg(
            long='--document',
            help="check the operator's document of the platform",
        ),
    ] = False
    in_force: Annotated[
        Path | None,
        cappa.Arg(
            long='--in-force', help='the document to compare with, if any'
        ),
    ] = None

    def __call__(self) -> None:
        """Run the command."""
        try:
            self._check()
        except OriolearchError as error:
            _exit_with_error(error, USAGE_STATUS)
        print(f'{self.path}: ok')

    def _check(self) -> None:
        if self.platform:
            load_settings(str(self.path))
            return
        if self.document:
            self._review_document()
            return
        if not self.tables:
            read_settings(self.path)
            return
        document = read_document(str(self.path), read_json(self.path))
        for problem in configuration.problems(document):
            raise problem

    def _review_document(self) -> None:
        in_force = None
        if self.in_force is not None:
            in_force = decode_directory(self.in_force.read_bytes())
        directory = decode_directory(self.path.read_bytes())
        findings = list(review(directory, in_force))
        for finding in findings:
            print(finding)
        if any(finding.kind is FindingKind.ERROR for finding in findings):
            raise cappa.Exit(f'{self.path}: has errors', code=USAGE_STATUS)


@cappa.command(
    name='show', help='Show routes, pools and what is out of service'
)
@dataclass
class Show(AdminOptions):
    """Prints the configuration as JSON."""

    def __call__(self) -> None:
        """Run the command."""
        _print_json(self, '/v1/configuration')


@cappa.command(name='history', help='Show the latest edits, newest first')
@dataclass
class History(AdminOptions):
    """Prints one line per operation."""

    limit: Annotated[int, cappa.Arg(long='--limit')] = 20

    def __call__(self) -> None:
        """Run the command."""
        try:
            changes = self.client().get(
                f'/v1/configuration/history?limit={self.limit}',
            )
        except OriolearchError as error:
            _exit_with_error(error)
        for change in changes:
            for operation in change['operations']:
                print(
                    change['version'],
                    f'{change["time_s"]:.0f}',
                    change['author'],
                    operation['kind'],
                    operation['name'],
                )


@cappa.command(name='status', help='Show hosts, upstreams, shards and leases')
@dataclass
class Status(AdminOptions):
    """Prints tables, or JSON with ``--json``."""

    as_json: Annotated[bool, cappa.Arg(long='--json')] = False

    def __call__(self) -> None:
        """Run the command."""
        if self.as_json:
            _print_json(self, '/v1/status')
            return
        try:
            status = self.client().get('/v1/status')
        except OriolearchError as error:
            _exit_with_error(error)
        for line in _status_lines(status):
            print(line)


@cappa.command(
    name='edit', help='Apply an edit from a file if the version matches'
)
@dataclass(kw_only=True)
class Edit(AdminOptions):
    """Reads ``version`` and ``operations`` from JSON with comments."""

    path: Path
    dry_run: Annotated[bool, cappa.Arg(long='--dry-run')] = False

    def __call__(self) -> None:
        """Run the command."""
        try:
            fields = read_json(self.path)
            edit = parse(EditModel, str(self.path), fields)
        except OriolearchError as error:
            _exit_with_error(error, USAGE_STATUS)
        dry_run = self.dry_run or edit.dry_run
        _submit_edit(self, edit.version, fields['operations'], dry_run)


@dataclass(kw_only=True)
class ServiceCommand(AdminOptions):
    """Options of the commands that take a zone or host out of service."""

    name: str
    back: Annotated[
        bool,
        cappa.Arg(long='--back', help='return it to service'),
    ] = False
    dry_run: Annotated[bool, cappa.Arg(long='--dry-run')] = False

    def change_service(self, subject: str) -> None:
        """Edit the current version of the configuration.

        :param subject: ``zone`` or ``host``.
        """
        kind = f'{subject}-back' if self.back else f'{subject}-out'
        try:
            version = self.client().get('/v1/configuration')['version']
        except OriolearchError as error:
            _exit_with_error(error)
        _submit_edit(
            self, version, [{'kind': kind, 'name': self.name}], self.dry_run
        )


@cappa.command(name='zone', help='Take a zone out of service or return it')
@dataclass(kw_only=True)
class ZoneServiceCommand(ServiceCommand):
    """``oriolearch zone NAME [--back]``."""

    def __call__(self) -> None:
        """Run the command."""
        self.change_service('zone')


@cappa.command(name='host', help='Take a host out of service or return it')
@dataclass(kw_only=True)
class HostServiceCommand(ServiceCommand):
    """``oriolearch host NAME [--back]``."""

    def __call__(self) -> None:
        """Run the command."""
        self.change_service('host')


def _submit_edit(
    options: AdminOptions,
    version: int,
    operations: list[Mapping[str, Any]],
    dry_run: bool,
) -> None:
    try:
        accepted = options.client().edit(version, operations, dry_run=dry_run)
    except OriolearchError as error:
        _exit_with_error(error)
    action = 'would make' if dry_run else 'made'
    print(f'{action} version {accepted["version"]}')
    for name, count in accepted['effects'].items():
        print(f'  {name}: {count}')


def _print_json(options: AdminOptions, path: str) -> None:
    try:
        content = options.client().get(path)
    except OriolearchError as error:
        _exit_with_error(error)
    print(json.dumps(content, indent=1))


def _status_lines(status: Mapping[str, Any]) -> list[str]:
    lines = [
        f'{name}: {field}'
        for name, field in status.items()
        if not isinstance(field, list)
    ]
    for name, rows in status.items():
        if isinstance(rows, list) and rows:
            lines.extend(_table_lines(name, rows))
    return lines


def _table_lines(name: str, rows: list[Mapping[str, Any]]) -> list[str]:
    columns = list(rows[0])
    cells = [columns] + [
        [str(row.get(column, '')) for column in columns] for row in rows
    ]
    widths = [
        max(len(cell) for cell in column) for column in zip(*cells, strict=True)
    ]
    lines = [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
    return ['', name.upper(), *lines]


@cappa.command(name='demo', help='Run a demonstration on loopback')
@dataclass
class Demo:
    """Exits with status 1 on a double run or a wrong or missing answer."""

    seed: Annotated[int, cappa.Arg(long='--seed')] = 1

    def __call__(self) -> None:
        """Run the command."""
        raise cappa.Exit(code=demo.run(self.seed))


@cappa.command(name='serve', help='Run a cluster on loopback')
@dataclass
class Serve:
    """Prints addresses and runs until interrupted."""

    seed: Annotated[int, cappa.Arg(long='--seed')] = 1

    def __call__(self) -> None:
        """Run the command."""
        demo.serve(self.seed)


@cappa.command(name='run', help='Run one host from a settings file')
@dataclass
class RunHost:
    """Shuts down gracefully on SIGTERM or SIGINT."""

    path: Path

    def __call__(self) -> None:
        """Run the command."""
        try:
            settings = read_settings(self.path)
        except OriolearchError as error:
            _exit_with_error(error, USAGE_STATUS)
        configure_logging(logging.getLevelName(settings.telemetry.level))
        asyncio.run(_run_host(settings))


async def _run_host(settings: Settings) -> None:
    host = Host(settings)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await host.start()
    stop_task = asyncio.create_task(stop_requested.wait())
    failure_task = asyncio.create_task(host.wait_for_failure())
    await asyncio.wait(
        (stop_task, failure_task), return_when=asyncio.FIRST_COMPLETED
    )
    if failure_task.done():
        await host.kill()
        raise cappa.Exit(str(failure_task.exception()), code=1)
    failure_task.cancel()
    await host.stop()


@cappa.command(name='standin', help='Run a stand-in until interrupted')
@dataclass
class Standin:
    """Prints its address; ``POST /faults`` configures its faults."""

    kind: Annotated[
        Literal['platform', 'keyed', 'keyed-unchecked', 'plain'],
        cappa.Arg(help='the system to imitate'),
    ]
    port: Annotated[
        int,
        cappa.Arg(
            long='--port', help='port to listen on; 0 chooses a free one'
        ),
    ] = 0

    def __call__(self) -> None:
        """Run the command."""
        server = _make_standin(self.kind, self.port)
        server.start()
        print(f'{self.kind} {server.address}', flush=True)
        with suppress(KeyboardInterrupt):
            threading.Event().wait()
        server.stop()


def _make_standin(kind: str, port: int) -> PlatformStandin | UpstreamStandin:
    match kind:
        case 'platform':
            return PlatformStandin(port=port)
        case 'keyed':
            return KeyedStandin(port=port)
        case 'keyed-unchecked':
            return KeyedStandin(port=port, fencing=Fencing.NONE)
        case _:
            return PlainStandin(port=port)


@cappa.command(name='explain', help='Show what happened to a request')
@dataclass
class Explain:
    """Reads logs of hosts; exits with status 1 if none has the request."""

    request: Annotated[str, cappa.Arg(help='id of the request')]
    logs: Annotated[
        list[Path],
        cappa.Arg(help='logs of hosts on the platform', num_args=-1),
    ]

    def __call__(self) -> None:
        """Run the command."""
        lines: list[LogLine] = []
        for path in self.logs:
            with path.open(encoding='utf-8', errors='replace') as log:
                lines.extend(read_lines(path.stem, log))
        report = explain(lines, self.request)
        for line in report:
            print(line)
        if not report:
            raise cappa.Exit(
                f'no log line mentions request {self.request}', code=1
            )


@cappa.command(name='oriolearch', help='A router for servers that own keys')
@dataclass
class Oriolearch:
    """The root command."""

    command: cappa.Subcommands[
        RunHost
        | Check
        | Show
        | History
        | Status
        | Edit
        | ZoneServiceCommand
        | HostServiceCommand
        | Demo
        | Serve
        | Standin
        | Explain
    ]


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line.

    :param arguments: arguments after the program name; ``None`` uses
        those of the process.
    """
    cappa.invoke(
        Oriolearch, argv=None if arguments is None else list(arguments)
    )
