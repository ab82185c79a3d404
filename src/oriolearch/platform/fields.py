"""Typed fields of the JSON objects that others write."""

import sys
from collections.abc import Iterator
from typing import Any

from oriolearch.core.errors import ValidationError

MAX_LABEL_CHARACTERS = 200  # of names; the store bounds its keys the same way
MAX_INTEGER = 2**63 - 1  # larger integers are not exact in other systems


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

    def label(self, name: str) -> str:
        """Return a name, which is a short printable string."""
        return check_label(self.source, name, self.text(name))

    def number(
        self,
        name: str,
        default: float | None = None,
        *,
        low: float = -sys.float_info.max,
        high: float = sys.float_info.max,
    ) -> float:
        """Return a number in a range; one without a default is required."""
        value = self.values.get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise ValidationError(self.source, name, value, 'must be a number')
        # An integer may be too large for a float, and is compared exactly.
        if not low <= value <= high:
            reason = f'must be from {low} to {high}'
            raise ValidationError(self.source, name, value, reason)
        return float(value)

    def integer(
        self,
        name: str,
        default: int | None = None,
        *,
        low: int = 0,
        high: int = MAX_INTEGER,
    ) -> int:
        """Return an integer in a range; one without a default is required."""
        value = self.values.get(name, default)
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if value is None or not is_integer or not low <= value <= high:
            reason = f'must be an integer from {low} to {high}'
            raise ValidationError(self.source, name, value, reason)
        return int(value)

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


def check_label(source: str, name: str, value: str) -> str:
    """Return a name if it can be logged and sent in a header.

    :raises ValidationError: when it is empty, long or not printable.
    """
    if not value.isprintable() or not 0 < len(value) <= MAX_LABEL_CHARACTERS:
        reason = f'must be 1 to {MAX_LABEL_CHARACTERS} printable characters'
        raise ValidationError(source, name, value, reason)
    return value
