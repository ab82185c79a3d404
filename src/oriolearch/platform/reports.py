"""Reports of days that the users' bench has played."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from oriolearch.core.errors import ValidationError


@dataclass(frozen=True, slots=True)
class Outcomes:
    """What became of the requests of a period, a zone or a kind.

    :ivar name: of the zone or the kind; start of a period in seconds.
    :ivar timely: answered within the latency objective.
    :ivar late: answered after it.
    :ivar worth: share of the possible worth, 0 to 1.
    """

    name: str
    timely: int
    late: int
    refused: int
    failed: int
    worth: float


@dataclass(frozen=True, slots=True)
class Disruption:
    """A fault or planned work; times in seconds of the day."""

    name: str
    starts_at_s: float
    ends_at_s: float
    is_planned: bool


@dataclass(frozen=True, slots=True)
class DayReport:
    """A day that was played.

    :ivar worth: share of the possible worth less the prices.
    """

    worth: float
    periods: tuple[Outcomes, ...]
    zones: tuple[Outcomes, ...]
    kinds: tuple[Outcomes, ...]
    disruptions: tuple[Disruption, ...]


def load_report(path: Path) -> DayReport:
    """Read a report that the bench wrote with ``--report``.

    :raises ValidationError: when the file cannot be read or a field is
        missing or of the wrong type.
    """
    try:
        fields = json.loads(path.read_text('utf-8'))
    except (OSError, ValueError) as error:
        raise ValidationError(str(path), '', str(path), str(error)) from error
    return decode_report(str(path), fields)


def decode_report(source: str, fields: object) -> DayReport:
    """Decode the fields of a report.

    :raises ValidationError: when a field is missing or of the wrong type.
    """
    if not isinstance(fields, dict):
        raise ValidationError(source, '', fields, 'must be an object')
    return DayReport(
        worth=_read(source, fields, 'G', float),
        periods=tuple(_read_outcomes(source, fields, 'windows')),
        zones=tuple(_read_outcomes(source, fields, 'zones')),
        kinds=tuple(_read_outcomes(source, fields, 'classes')),
        disruptions=tuple(
            Disruption(
                name=_read(path, event, 'kind', str),
                starts_at_s=_read(path, event, 'at_s', float),
                ends_at_s=_read(path, event, 'to_s', float),
                is_planned=_read(path, event, 'planned', bool),
            )
            for path, event in _read_objects(source, fields, 'events')
        ),
    )


def _read_outcomes(
    source: str, fields: Mapping[str, Any], name: str
) -> Iterator[Outcomes]:
    for path, entry in _read_objects(source, fields, name):
        yield Outcomes(
            name=_read(path, entry, 'name', str),
            timely=_read(path, entry, 'in_aim', int),
            late=_read(path, entry, 'late', int),
            refused=_read(path, entry, 'refused', int),
            failed=_read(path, entry, 'failed', int),
            worth=_read(path, entry, 'worth', float),
        )


def _read_objects(
    source: str, fields: Mapping[str, Any], name: str
) -> Iterator[tuple[str, dict[str, Any]]]:
    for number, entry in enumerate(_read(source, fields, name, list)):
        if not isinstance(entry, dict):
            raise ValidationError(
                source, f'{name}[{number}]', entry, 'must be an object'
            )
        yield f'{source}: {name}[{number}]', entry


def _read(source: str, fields: Mapping[str, Any], name: str, kind: type) -> Any:
    value = fields.get(name)
    kinds = (float, int) if kind is float else (kind,)
    is_flag = isinstance(value, bool) and kind is not bool
    if is_flag or not isinstance(value, kinds):
        raise ValidationError(source, name, value, f'must be a {kind.__name__}')
    return value
