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
from oriolearch.eventlog import configure_logging
from oriolearch.core import configuration
from oriolearch.core.errors import ConflictError, OriolearchError
from oriolearch.core.model import Fencing
from oriolearch.explaining import LogLine, explain, read_lines
from oriolearch.host import Host
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
USAGE_STATUS = 2  # exit status for faulty input


def _fail(error: OriolearchError, status: int = 1) -> NoReturn:
    print(f'error: {error}', file=sys.stderr)
    if isinstance(error, ConflictError):
        for line in error.changes:
            print(f'  {line}', file=sys.stderr)
    raise cappa.Exit(code=status)


@dataclass(kw_only=True)
class Api:
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
        cappa.Arg(long='--authority', help='PEM file of its authority'),
    ] = None
    certificate: Annotated[
        Path | None,
        cappa.Arg(long='--certificate', help='PEM file: certificate and key'),
    ] = None

    def client(self) -> AdminClient:
        """Build the client; the token comes from the environment."""
        token = os.environ.get(TOKEN_VARIABLE, '')
        credentials = Credentials(token, self.authority, self.certificate)
        return AdminClient(self.url, credentials)


@cappa.command(name='check', help='Check a settings or configuration file')
@dataclass
class Check:
    """Ends with status 2 and names the field when the file is faulty."""

    path: Path
    tables: Annotated[
        bool,
        cappa.Arg(long='--tables', help='the file holds routes and pools'),
    ] = False
    platform: Annotated[
        bool,
        cappa.Arg(long='--platform', help="the users' platform wrote the file"),
    ] = False

    def __call__(self) -> None:
        """Run the command."""
        try:
            self._check()
        except OriolearchError as error:
            _fail(error, USAGE_STATUS)
        print(f'{self.path}: ok')

    def _check(self) -> None:
        if self.platform:
            load_settings(str(self.path))
            return
        if not self.tables:
            read_settings(self.path)
            return
        document = read_document(str(self.path), read_json(self.path))
        for problem in configuration.problems(document):
            raise problem


@cappa.command(name='show', help='Show both tables and the service marks')
@dataclass
class Show(Api):
    """Prints the configuration as JSON."""

    def __call__(self) -> None:
        """Run the command."""
        _print_json(self, '/v1/configuration')


@cappa.command(name='history', help='Show the latest edits, newest first')
@dataclass
class History(Api):
    """Prints a line for each operation."""

    limit: Annotated[int, cappa.Arg(long='--limit')] = 20

    def __call__(self) -> None:
        """Run the command."""
        try:
            changes = self.client().get(
                f'/v1/configuration/history?limit={self.limit}',
            )
        except OriolearchError as error:
            _fail(error)
        for change in changes:
            for part in change['operations']:
                print(
                    change['version'],
                    f'{change["time_s"]:.0f}',
                    change['author'],
                    part['kind'],
                    part['name'],
                )


@cappa.command(name='status', help='Show hosts, upstreams, shards and leases')
@dataclass
class Status(Api):
    """Prints a table, or JSON."""

    as_json: Annotated[bool, cappa.Arg(long='--json')] = False

    def __call__(self) -> None:
        """Run the command."""
        if self.as_json:
            _print_json(self, '/v1/status')
            return
        try:
            status = self.client().get('/v1/status')
        except OriolearchError as error:
            _fail(error)
        for line in _status_lines(status):
            print(line)


@cappa.command(name='edit', help='Make a conditional edit from a file')
@dataclass(kw_only=True)
class Edit(Api):
    """The file holds ``version`` and ``operations`` as JSON with comments."""

    path: Path
    dry_run: Annotated[bool, cappa.Arg(long='--dry-run')] = False

    def __call__(self) -> None:
        """Run the command."""
        try:
            fields = read_json(self.path)
            edit = parse(EditModel, str(self.path), fields)
        except OriolearchError as error:
            _fail(error, USAGE_STATUS)
        dry_run = self.dry_run or edit.dry_run
        _edit(self, edit.version, fields['operations'], dry_run)


@dataclass(kw_only=True)
class Mark(Api):
    """Takes a zone or host out of service, or brings it back."""

    name: str
    back: Annotated[
        bool,
        cappa.Arg(long='--back', help='bring it back into service'),
    ] = False
    dry_run: Annotated[bool, cappa.Arg(long='--dry-run')] = False

    def mark(self, subject: str) -> None:
        """Edit the version in force."""
        kind = f'{subject}-back' if self.back else f'{subject}-out'
        try:
            version = self.client().get('/v1/configuration')['version']
        except OriolearchError as error:
            _fail(error)
        _edit(self, version, [{'kind': kind, 'name': self.name}], self.dry_run)


@cappa.command(name='zone', help='Take a zone out of service, or back')
@dataclass(kw_only=True)
class ZoneMark(Mark):
    """``oriolearch zone NAME [--back]``."""

    def __call__(self) -> None:
        """Run the command."""
        self.mark('zone')


@cappa.command(name='host', help='Take a host out of service, or back')
@dataclass(kw_only=True)
class HostMark(Mark):
    """``oriolearch host NAME [--back]``."""

    def __call__(self) -> None:
        """Run the command."""
        self.mark('host')


def _edit(
    api: Api,
    version: int,
    operations: list[Mapping[str, Any]],
    dry_run: bool,
) -> None:
    try:
        accepted = api.client().edit(version, operations, dry_run=dry_run)
    except OriolearchError as error:
        _fail(error)
    verb = 'would make' if dry_run else 'made'
    print(f'{verb} version {accepted["version"]}')
    for name, count in accepted['effects'].items():
        print(f'  {name}: {count}')


def _print_json(api: Api, path: str) -> None:
    try:
        content = api.client().get(path)
    except OriolearchError as error:
        _fail(error)
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
    """Ends with status 1 when an answer was wrong, doubled or missing."""

    seed: Annotated[int, cappa.Arg(long='--seed')] = 1

    def __call__(self) -> None:
        """Run the command."""
        raise cappa.Exit(code=demo.run(self.seed))


@cappa.command(name='serve', help='Run an installation on loopback')
@dataclass
class Serve:
    """Prints addresses and runs until interrupted."""

    seed: Annotated[int, cappa.Arg(long='--seed')] = 1

    def __call__(self) -> None:
        """Run the command."""
        demo.serve(self.seed)


@cappa.command(name='run', help='Run one host by its settings')
@dataclass
class RunHost:
    """Stops as planned on SIGTERM or SIGINT."""

    path: Path

    def __call__(self) -> None:
        """Run the command."""
        try:
            settings = read_settings(self.path)
        except OriolearchError as error:
            _fail(error, USAGE_STATUS)
        configure_logging(logging.getLevelName(settings.telemetry.level))
        asyncio.run(_run_host(settings))


async def _run_host(settings: Settings) -> None:
    host = Host(settings)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await host.start()
    stopping = asyncio.create_task(stopped.wait())
    failing = asyncio.create_task(host.wait_failed())
    await asyncio.wait((stopping, failing), return_when=asyncio.FIRST_COMPLETED)
    if failing.done():
        await host.kill()
        raise cappa.Exit(str(failing.exception()), code=1)
    failing.cancel()
    await host.stop()


@cappa.command(name='standin', help='Run a stand-in until interrupted')
@dataclass
class Standin:
    """Prints its address; faults are set by ``POST /faults``."""

    kind: Annotated[
        Literal['platform', 'keyed', 'keyed-unchecked', 'plain'],
        cappa.Arg(help='what it takes the place of'),
    ]
    port: Annotated[int, cappa.Arg(long='--port', help='0 takes any')] = 0

    def __call__(self) -> None:
        """Run the command."""
        server = _standin(self.kind, self.port)
        server.start()
        print(f'{self.kind} {server.address}', flush=True)
        with suppress(KeyboardInterrupt):
            threading.Event().wait()
        server.stop()


def _standin(kind: str, port: int) -> PlatformStandin | UpstreamStandin:
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
    """Reads the logs of hosts; ends with status 1 when none has the id."""

    request: Annotated[str, cappa.Arg(help='its id')]
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
        found = explain(lines, self.request)
        for line in found:
            print(line)
        if not found:
            raise cappa.Exit(f'no line of {self.request}', code=1)


@cappa.command(name='oriolearch', help='A router for servers that own keys')
@dataclass
class Oriolearch:
    """The root of the commands."""

    command: cappa.Subcommands[
        RunHost
        | Check
        | Show
        | History
        | Status
        | Edit
        | ZoneMark
        | HostMark
        | Demo
        | Serve
        | Standin
        | Explain
    ]


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line.

    :param arguments: words after the program's name; those of the process
        when it is ``None``.
    """
    cappa.invoke(
        Oriolearch, argv=None if arguments is None else list(arguments)
    )
