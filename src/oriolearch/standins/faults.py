"""Faults that a test sets on an upstream stand-in while it runs."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

DEFAULT_SLOW_MS = 100.0


class FaultKind(StrEnum):
    """What goes wrong with a request."""

    FREEZE = 'freeze'  # held until resumed; nothing runs
    SLOW = 'slow_ms'  # runs longer
    SLOW_FOR = 'slow_for_ms'  # runs longer during a moment from now
    RESET_BEFORE = 'reset_before'  # connection closed, not run
    RESET_AFTER_RUN = 'reset_after_run'  # run, connection closed
    CUT_ANSWER = 'cut_answer'  # run, half of the body sent
    WRONG_ATTEMPT = 'wrong_attempt'  # run, another attempt id echoed


class FaultBody(BaseModel):
    """A fault as a client gives it.

    :param ms: added duration of a slow request.
    :param for_ms: the fault ends after this time.
    :param count: the fault ends after so many requests.
    :param path: prefix of the paths that it applies to; by default all
        requests but those of the protocol (grants, health, load, cancel),
        except that a freeze without count holds those also.
    """

    model_config = ConfigDict(extra='forbid')

    ms: float = Field(default=DEFAULT_SLOW_MS, ge=0)
    for_ms: float | None = Field(default=None, ge=0)
    count: int | None = Field(default=None, ge=1)
    path: str | None = None


@dataclass(slots=True)
class Fault:
    """A fault in force.

    :param left: requests that it still applies to; ``None`` for any number.
    :param ends_at: time of the stand-in's clock; ``None`` for no end.
    """

    body: FaultBody
    left: int | None
    ends_at: float | None

    def applies(self, path: str, is_protocol: bool, now: float) -> bool:
        """Tell whether a request meets the fault."""
        if self.left == 0 or (self.ends_at is not None and now > self.ends_at):
            return False
        if self.body.path is not None:
            return path.startswith(self.body.path)
        return not is_protocol


class FaultSet:
    """The faults of one stand-in, changed under the stand-in's lock."""

    def __init__(self) -> None:
        self.faults: dict[FaultKind, Fault] = {}

    def set(self, kind: FaultKind, given: Any, now: float) -> None:
        """Set a fault from JSON, or end it with ``None`` or ``False``.

        A bare number is the duration of a slow fault and the count of any
        other; ``True`` sets a fault without a limit.
        """
        if given is None or given is False:
            self.faults.pop(kind, None)
            return
        body = FaultBody.model_validate(_expanded(kind, given))
        ends_at = None if body.for_ms is None else now + body.for_ms / 1000
        self.faults[kind] = Fault(body, body.count, ends_at)

    def take(
        self,
        kind: FaultKind,
        path: str,
        is_protocol: bool,
        now: float,
    ) -> FaultBody | None:
        """Give a fault that a request meets, and count the request."""
        fault = self.faults.get(kind)
        if fault is None or not fault.applies(path, is_protocol, now):
            return None
        if fault.left is not None:
            fault.left -= 1
        return fault.body

    def slow_s(self, path: str, is_protocol: bool, now: float) -> float:
        """Give the added duration of a request, counting it."""
        bodies = (
            self.take(kind, path, is_protocol, now)
            for kind in (FaultKind.SLOW, FaultKind.SLOW_FOR)
        )
        return sum(body.ms for body in bodies if body is not None) / 1000

    def shown(self) -> dict[str, dict[str, Any]]:
        """Give the faults in force as JSON."""
        return {
            kind.value: {**fault.body.model_dump(), 'left': fault.left}
            for kind, fault in self.faults.items()
        }


def _expanded(kind: FaultKind, given: Any) -> Mapping[str, Any]:
    if given is True:
        return {}
    if not isinstance(given, int | float):
        return dict(given)
    if kind is FaultKind.SLOW:
        return {'ms': given}
    if kind is FaultKind.SLOW_FOR:
        return {'for_ms': given}
    return {'count': given}
