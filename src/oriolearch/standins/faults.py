"""Faults that a test sets on a running upstream stand-in."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

DEFAULT_SLOW_MS = 100.0


class FaultKind(StrEnum):
    """Kind of a fault that affects requests."""

    FREEZE = 'freeze'  # requests wait until it ends; nothing runs
    SLOW = 'slow_ms'  # adds to the service time
    SLOW_FOR = 'slow_for_ms'  # adds to the service time for a limited time
    RESET_BEFORE = 'reset_before'  # doesn't run; closes the connection
    RESET_AFTER_RUN = 'reset_after_run'  # runs; closes without an answer
    CUT_ANSWER = 'cut_answer'  # runs; closes after half of the answer's body
    WRONG_ATTEMPT = 'wrong_attempt'  # runs; answers with another attempt id


class FaultBody(BaseModel):
    """A fault as set by a client.

    :param ms: added service time of a slow request.
    :param for_ms: time after which the fault ends.
    :param count: number of requests after which the fault ends.
    :param path: path prefix of the affected requests. By default these are
        all but those of the server protocol (grants, health, load, cancel);
        a freeze without a count blocks those too.
    """

    model_config = ConfigDict(extra='forbid')

    ms: float = Field(default=DEFAULT_SLOW_MS, ge=0)
    for_ms: float | None = Field(default=None, ge=0)
    count: int | None = Field(default=None, ge=1)
    path: str | None = None


@dataclass(slots=True)
class Fault:
    """A fault in force.

    :param remaining: remaining requests to affect; ``None`` for no limit.
    :param ends_at: end by the stand-in's clock; ``None`` for no end.
    """

    body: FaultBody
    remaining: int | None
    ends_at: float | None

    def affects(self, path: str, is_protocol: bool, now: float) -> bool:
        """Return whether the fault affects a request."""
        if self.remaining == 0 or (
            self.ends_at is not None and now > self.ends_at
        ):
            return False
        if self.body.path is not None:
            return path.startswith(self.body.path)
        return not is_protocol


class FaultSet:
    """The faults of one stand-in, guarded by the stand-in's lock."""

    def __init__(self) -> None:
        self.faults: dict[FaultKind, Fault] = {}

    def set(self, kind: FaultKind, value: Any, now: float) -> None:
        """Set a fault from JSON, or end it with ``None`` or ``False``.

        A bare number is the duration of a slow fault and the count of any
        other; ``True`` sets a fault without a limit.
        """
        if value is None or value is False:
            self.faults.pop(kind, None)
            return
        body = FaultBody.model_validate(_as_fields(kind, value))
        ends_at = None if body.for_ms is None else now + body.for_ms / 1000
        self.faults[kind] = Fault(body, body.count, ends_at)

    def consume(
        self,
        kind: FaultKind,
        path: str,
        is_protocol: bool,
        now: float,
    ) -> FaultBody | None:
        """Return the fault that affects a request, and count the request."""
        fault = self.faults.get(kind)
        if fault is None or not fault.affects(path, is_protocol, now):
            return None
        if fault.remaining is not None:
            fault.remaining -= 1
        return fault.body

    def slow_s(self, path: str, is_protocol: bool, now: float) -> float:
        """Return the added service time of a request, and count the request."""
        bodies = (
            self.consume(kind, path, is_protocol, now)
            for kind in (FaultKind.SLOW, FaultKind.SLOW_FOR)
        )
        return sum(body.ms for body in bodies if body is not None) / 1000

    def to_json(self) -> dict[str, dict[str, Any]]:
        """Return the faults in force as JSON values."""
        return {
            kind.value: {**fault.body.model_dump(), 'left': fault.remaining}
            for kind, fault in self.faults.items()
        }


def _as_fields(kind: FaultKind, value: Any) -> Mapping[str, Any]:
    if value is True:
        return {}
    if not isinstance(value, int | float):
        return dict(value)
    if kind is FaultKind.SLOW:
        return {'ms': value}
    if kind is FaultKind.SLOW_FOR:
        return {'for_ms': value}
    return {'count': value}
