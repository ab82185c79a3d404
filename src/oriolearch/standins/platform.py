"""Stand-in for the platform: tables, objects, host list and faults."""

import random
import threading
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from oriolearch.clock import RealClock, wait_on
from oriolearch.ports import Clock
from oriolearch.standins.server import (
    LoopbackServer,
    Request,
    Response,
)

ZONE_HEADER = 'oriolearch-zone'


class ZoneFaults(BaseModel):
    """Faults for clients of one zone; ``None`` uses the value for all zones.

    :param down: calls are refused with 503 before they take effect.
    :param cut: connections are closed before the call takes effect.
    :param slow_ms: delay before each call takes effect.
    :param lose_answers: share of calls that take effect without an answer.
    :param lose_after_delay_ms: delay after which writes take effect; they are
        not answered.
    :param stale_hosts_s: age of the host list.
    """

    model_config = ConfigDict(extra='forbid')

    down: bool | None = None
    cut: bool | None = None
    slow_ms: float | None = Field(default=None, ge=0)
    lose_answers: float | None = Field(default=None, ge=0, le=1)
    lose_after_delay_ms: float | None = Field(default=None, ge=0)
    stale_hosts_s: float | None = Field(default=None, ge=0)


class FaultsBody(ZoneFaults):
    """Body of ``POST /faults``.

    :param zones: client zones that the faults apply to; ``None`` for all.
    """

    zones: list[str] | None = None


class _ConditionBody(BaseModel):
    table: str
    key: str
    version: int


class _WriteBody(BaseModel):
    table: str
    key: str
    value: dict[str, Any] | None


class _Transaction(BaseModel):
    conditions: list[_ConditionBody] = []
    writes: list[_WriteBody]


class _HostBody(BaseModel):
    zone: str
    address: str
    state: str = 'live'


@dataclass(slots=True)
class _Row:
    version: int = 0
    value: dict[str, Any] | None = None


@dataclass(slots=True)
class Tables:
    """Rows by table and key; a deleted row keeps its version."""

    rows: dict[tuple[str, str], _Row] = field(
        default_factory=lambda: defaultdict(_Row),
    )

    def failed_conditions(
        self, transaction: _Transaction
    ) -> list[dict[str, Any]]:
        """Return the failed conditions with the actual versions."""
        return [
            {'table': cond.table, 'key': cond.key, 'version': actual}
            for cond in transaction.conditions
            if (actual := self.version(cond.table, cond.key)) != cond.version
        ]

    def version(self, table: str, key: str) -> int:
        """Return the version of a row; 0 when the row never existed."""
        row = self.rows.get((table, key))
        return row.version if row else 0

    def apply(self, transaction: _Transaction) -> list[int]:
        """Write all rows and return their new versions."""
        versions = []
        for write in transaction.writes:
            row = self.rows[write.table, write.key]
            row.version += 1
            row.value = write.value
            versions.append(row.version)
        return versions

    def scan(self, table: str, prefix: str) -> list[dict[str, Any]]:
        """Return the rows of a table whose key has a prefix."""
        return [
            {'key': key, 'version': row.version, 'value': row.value}
            for (name, key), row in sorted(self.rows.items())
            if name == table
            and key.startswith(prefix)
            and row.value is not None
        ]


class PlatformStandin:
    """The platform on a loopback port.

    :param clock: clock for delays and for the age of the host list.
    :param seed: seed of the random choice of lost answers.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        port: int = 0,
        seed: int = 0,
    ) -> None:
        self.clock: Clock = clock or RealClock()
        self.server = LoopbackServer(self.respond, port)
        self.random = random.Random(seed)
        self.condition = threading.Condition()
        self.tables = Tables()
        self.objects: dict[str, bytes] = {}
        self.host_history: list[tuple[float, dict[str, dict[str, str]]]] = []
        self.delayed: list[tuple[float, Callable[[], object]]] = []
        self.faults: dict[str | None, ZoneFaults] = {}
        self.counts: Counter[str] = Counter()
        self.is_stopping = False

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return self.server.address

    def start(self) -> None:
        """Start to serve, with the tables and objects of an earlier run."""
        self.is_stopping = False
        self.server.start()

    def stop(self) -> None:
        """Close the port and all connections."""
        with self.condition:
            self.is_stopping = True
            self.condition.notify_all()
        self.server.stop()

    def set_faults(self, body: FaultsBody) -> None:
        """Set the faults in the body and leave others unchanged."""
        changes = body.model_dump(exclude={'zones'}, exclude_none=True)
        with self.condition:
            for zone in [None] if body.zones is None else body.zones:
                current = self.faults.get(zone, ZoneFaults())
                self.faults[zone] = current.model_copy(update=changes)
            self.condition.notify_all()

    def set_host(self, host: str, entry: Mapping[str, str] | None) -> None:
        """Set a host in the host list, or remove it with ``None``."""
        with self.condition:
            hosts = dict(self.host_history[-1][1]) if self.host_history else {}
            hosts.pop(host, None)
            if entry is not None:
                hosts[host] = {'host': host, **entry}
            self.host_history.append((self.clock.monotonic(), hosts))

    def fault_value(self, zone: str, name: str) -> Any:
        """Return the value of a fault for a client zone; 0 when unset."""
        for key in (zone, None):
            faults = self.faults.get(key)
            if faults is not None and getattr(faults, name) is not None:
                return getattr(faults, name)
        return 0

    def respond(self, request: Request) -> Response:
        """Answer one call."""
        try:
            return self._control(request) or self._serve(request)
        except (ValidationError, ValueError) as invalid:
            return Response.from_json(
                {'error': str(invalid)},
                HTTPStatus.BAD_REQUEST,
            )

    def _control(self, request: Request) -> Response | None:
        """Answer a control call, which no fault affects.

        Return ``None`` for a call of the platform itself.
        """
        match request.method, request.segments:
            case 'POST', ('faults',):
                self.set_faults(FaultsBody.model_validate(request.json()))
            case 'DELETE', ('faults',):
                with self.condition:
                    self.faults.clear()
                    self.condition.notify_all()
            case 'GET', ('stats',):
                return Response.from_json(dict(self.counts))
            case 'PUT', ('hosts', host):
                entry = _HostBody.model_validate(request.json())
                self.set_host(host, entry.model_dump())
            case 'DELETE', ('hosts', host):
                self.set_host(host, None)
            case _:
                return None
        return Response.from_json({})

    def _serve(self, request: Request) -> Response:
        zone = request.headers.get(ZONE_HEADER, '')
        body = request.body()
        if body is None:
            return Response.without_answer()
        with self.condition:
            self._wait_slow_ms(zone)
            if self.is_stopping or self.fault_value(zone, 'cut'):
                self._count('cut', zone)
                return Response.without_answer()
            if self.fault_value(zone, 'down'):
                self._count('refused', zone)
                return Response.from_json(
                    {'error': 'down'},
                    HTTPStatus.SERVICE_UNAVAILABLE,
                )
            self._apply_delayed()
            return self._answer(request, zone, body)

    def _wait_slow_ms(self, zone: str) -> None:
        received_at = self.clock.monotonic()
        while not self.is_stopping:
            until = received_at + self.fault_value(zone, 'slow_ms') / 1000
            if self.clock.monotonic() >= until:
                return
            wait_on(self.clock, self.condition, until)

    def _apply_delayed(self) -> None:
        """Apply delayed writes that are due, before a call can see them."""
        now = self.clock.monotonic()
        due = [entry for entry in self.delayed if entry[0] <= now]
        self.delayed = [entry for entry in self.delayed if entry[0] > now]
        for _, effect in sorted(due, key=lambda entry: entry[0]):
            effect()

    def _answer(self, request: Request, zone: str, body: bytes) -> Response:
        is_read = request.method == 'GET'
        self._count('reads' if is_read else 'writes', zone)
        if is_read:
            response = self._read(request, zone)
        else:
            effect = self._write_function(request, body)
            delay_ms = self.fault_value(zone, 'lose_after_delay_ms')
            if delay_ms:
                due = self.clock.monotonic() + delay_ms / 1000
                self.delayed.append((due, effect))
                self._count('lost', zone)
                return Response.without_answer()
            response = effect()
        share = self.fault_value(zone, 'lose_answers')
        if share and self.random.random() < share:
            self._count('lost', zone)
            return Response.without_answer()
        return response

    def _count(self, name: str, zone: str) -> None:
        self.counts[name] += 1
        self.counts[f'{name}/{zone}'] += 1

    def _read(self, request: Request, zone: str) -> Response:
        match request.segments:
            case 'tables', table, 'rows', key:
                row = self.tables.rows.get((table, key), _Row())
                if row.value is None:
                    return Response.from_json(
                        {'version': row.version},
                        HTTPStatus.NOT_FOUND,
                    )
                return Response.from_json(
                    {'version': row.version, 'value': row.value},
                )
            case 'tables', table, 'rows':
                prefix = request.query.get('prefix', '')
                return Response.from_json(self.tables.scan(table, prefix))
            case 'objects', name:
                blob = self.objects.get(name)
                if blob is None:
                    return _not_found()
                return Response.from_bytes(blob)
            case ('hosts',):
                return Response.from_json(self._hosts(zone))
        return _not_found()

    def _hosts(self, zone: str) -> list[dict[str, str]]:
        as_of = self.clock.monotonic() - self.fault_value(zone, 'stale_hosts_s')
        hosts: dict[str, dict[str, str]] = {}
        for changed_at, snapshot in self.host_history:
            if changed_at <= as_of:
                hosts = snapshot
        return [entry for _, entry in sorted(hosts.items())]

    def _write_function(
        self,
        request: Request,
        body: bytes,
    ) -> Callable[[], Response]:
        """Return the function that performs a write."""
        match request.method, request.segments:
            case 'POST', ('tables:commit',):
                transaction = _Transaction.model_validate_json(body)
                return lambda: self._commit(transaction)
            case 'PUT', ('objects', name):
                return lambda: self._put(name, body)
        return _not_found

    def _commit(self, transaction: _Transaction) -> Response:
        failed = self.tables.failed_conditions(transaction)
        if failed:
            return Response.from_json({'failed': failed}, HTTPStatus.CONFLICT)
        self.counts['rows_written'] += len(transaction.writes)
        return Response.from_json({'versions': self.tables.apply(transaction)})

    def _put(self, name: str, blob: bytes) -> Response:
        self.objects[name] = blob
        return Response.from_json({})


def _not_found() -> Response:
    return Response.from_json({'error': 'not found'}, HTTPStatus.NOT_FOUND)
