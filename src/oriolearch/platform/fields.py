"""Typed fields of the JSON objects that others write."""

import math
from collections.abc import Iterator
from typing import Any

from oriolearch.core.errors import ValidationError


class Fields:
    """Typed access to the fields of a JSON object.

    :param source: names the object in errors.
    :raises ValidationError: when a field is missing or invalid.
    """

    def __init__(self, source: str, values: object) -> None:
        if not isinstance(values, dict):
            parent, _, field = source.rpartition('.')
            raise ValidationError(parent, field, values, 'must be an object')
        self.source = source
        self.values: dict[str, Any] = values

    def text(self, name: str) -> str:
        """Return a string that is not empty."""
        value = self.values.get(name)
        if not isinstance(value, str) or not value:
            raise ValidationError(
                self.source,
                name,
                value,
                'must be a non-empty string',
            )
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a finite number; one without a default is required."""
        value = self.values.get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise ValidationError(self.source, name, value, 'must be a number')
        if not math.isfinite(value):
            raise ValidationError(self.source, name, value, 'must be finite')
        return float(value)

    def integer(self, name: str, default: int | None = 0) -> int:
        """Return an integer; one without a default is required."""
        value = self.values.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int):
            reason = 'must be an integer'
            raise ValidationError(self.source, name, value, reason)
        return value

    def flag(self, name: str) -> bool:
        """Return a required truth value."""
        value = self.values.get(name)
        if not isinstance(value, bool):
            reason = 'must be true or false'
            raise ValidationError(self.source, name, value, reason)
        return value

    def objects(self, name: str) -> Iterator['Fields']:
        """Yield the objects of a required list."""
        value = self.values.get(name)
        if not isinstance(value, list):
            raise ValidationError(self.source, name, value, 'must be a list')
        for index, part in enumerate(value):
            yield Fields(f'{self.source}.{name}[{index}]', part)

    def nested(self, name: str) -> 'Fields':
        """Return the fields of a required object."""
        return Fields(f'{self.source}.{name}', self.values.get(name))
