"""HTTP client with which a renewer grants ownership to a keyed server."""

import json
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus
from typing import Any, TypeVar

import urllib3
from pydantic import BaseModel, FiniteFloat, ValidationError

from oriolearch.adapters import bounded
from oriolearch.adapters.heads import WholeHeadConnectionPool
from oriolearch.core.errors import StaleError
from oriolearch.core.grants import SendGrant, ServerAnswer, ServerRefusal
from oriolearch.core.messages import AuthorityKey, Mandate
from oriolearch.core.model import RATE_MARGIN, subtract_clock_margin
from oriolearch.ports import Clock

MAX_ANSWER_BYTES = 64 * 1024  # answers stay small however long the sent list is
_Answer = TypeVar('_Answer', bound=BaseModel)


class GrantStatus(StrEnum):
    """Outcome of a call as far as this client can tell."""

    CONFIRMED = 'confirmed'
    STALE = 'stale'  # refused; the server has seen a newer value
    NOT_SENT = 'not-sent'
    UNKNOWN = 'unknown'  # may have taken effect, or may do so later


@dataclass(frozen=True, slots=True)
class ServerClock:
    """A reading of a server's clock.

    "Local time" below is the monotonic clock of this process.

    :param clock: seconds of the server's monotonic clock.
    :param incarnation: number of the server's run; a restart may reset its
        clock.
    :param epoch_floor: highest epoch that the server has been granted.
    :param received_at: local time at which the answer was received.
    """

    clock: float
    incarnation: int
    epoch_floor: int
    received_at: float

    def earliest_now(self, now: float) -> float:
        """Return the lowest value that the server's clock can have now."""
        age_s = max(now - self.received_at, 0)
        return self.clock + age_s * (1 - RATE_MARGIN)

    def to_server_time(self, local_time: float) -> float:
        """Convert a local time to a server time that is reached by then.

        The server read its clock before the answer was received, so its
        clock reaches the result at ``local_time`` at the latest.
        """
        return self.clock + subtract_clock_margin(local_time - self.received_at)


@dataclass(frozen=True, slots=True)
class GrantOutcome:
    """The result of a call.

    :param ends_at: local time by which a grant made by this call has expired
        for certain; ``-inf`` when it made none.
    :param stale: the newer value of the server, with status ``STALE``.
    :param detail: description of the failure, for the log.
    """

    status: GrantStatus
    ends_at: float = -math.inf
    server_clock: ServerClock | None = None
    stale: StaleError | None = None
    detail: str = ''


class _ClockAnswer(BaseModel):
    clock: FiniteFloat


class _GrantsAnswer(_ClockAnswer):
    incarnation: int
    epoch_floor: int


class _AcceptedAnswer(_ClockAnswer):
    settled: bool = True


class _StaleAnswer(BaseModel):
    error: str
    given: int
    known: int


@dataclass(frozen=True, slots=True)
class _CallResult:
    """The server's answer, or the reason why there is none."""

    status: GrantStatus
    received_at: float
    body: bytes = b''
    detail: str = ''


@dataclass(slots=True)
class GrantClient:
    """Sends grants to one keyed server; used by one thread at a time.

    A renewal that arrives late or never is harmless, because it states the
    expiry of the grant in the server's own clock.

    :param address: ``host:port`` of the server.
    :param grant_lifetime_s: lifetime of a grant in seconds, counted from
        before it is sent.
    :param timeout_s: timeout of one call in seconds.
    :param ends_at: local time by which every grant made so far has expired.
    """

    address: str
    clock: Clock
    grant_lifetime_s: float
    timeout_s: float
    server_clock: ServerClock | None = None
    ends_at: float = -math.inf
    pool: urllib3.HTTPConnectionPool = field(init=False, repr=False)

    def __post_init__(self) -> None:
        """Create the connection pool; it connects with the first call."""
        host, _, port = self.address.rpartition(':')
        self.pool = WholeHeadConnectionPool(
            host,
            int(port),
            timeout=urllib3.Timeout(total=self.timeout_s),
            maxsize=2,
            retries=False,
        )

    def read_clock(self) -> GrantOutcome:
        """Read the clock, incarnation and highest epoch of the server."""
        result = self._call('GET', '/grants')
        answer = _parse_answer(_GrantsAnswer, result)
        if isinstance(answer, GrantOutcome):
            return answer
        self._keep_tighter_reading(
            ServerClock(
                answer.clock,
                answer.incarnation,
                answer.epoch_floor,
                result.received_at,
            ),
        )
        return GrantOutcome(
            GrantStatus.CONFIRMED, server_clock=self.server_clock
        )

    def probe(self, sent: float) -> ServerAnswer | None:
        """Read clock and incarnation; return ``None`` without an answer.

        :param sent: time of the caller before the call, copied to the result.
        """
        answer = _parse_answer(_GrantsAnswer, self._call('GET', '/grants'))
        if isinstance(answer, GrantOutcome):
            return None
        return ServerAnswer(sent, answer.incarnation, answer.clock)

    def send(
        self,
        effect: SendGrant,
        sent: float,
    ) -> ServerAnswer | ServerRefusal | None:
        """Send a grant; return ``None`` when its outcome is unknown."""
        shards = effect.shards
        body = {
            'authority': _authority_name(effect.authority),
            'term': effect.term,
            'version': effect.version,
            'incarnation': effect.incarnation,
            'expires_at': effect.expires_at,
            'shards': None if shards is None else list(shards),
            'keys': list(effect.keys),
        }
        answer = _parse_answer(
            _AcceptedAnswer, self._call('POST', '/grants', body)
        )
        if not isinstance(answer, GrantOutcome):
            return ServerAnswer(
                sent,
                effect.incarnation,
                answer.clock,
                effect.version,
                answer.settled,
            )
        if answer.stale is not None:
            return ServerRefusal(sent, answer.stale.kind)
        return None

    def send_list(self, mandate: Mandate) -> GrantOutcome:
        """Grant the complete list of shards and keys."""
        return self._send_grant(
            mandate,
            {'shards': mandate.shards, 'keys': mandate.keys},
        )

    def renew(self, mandate: Mandate) -> GrantOutcome:
        """Extend the grant of the list that the server already has."""
        return self._send_grant(mandate, {'shards': None})

    def revoke(
        self,
        mandate: Mandate,
        shards: Iterable[int],
        keys: Iterable[str] = (),
    ) -> GrantOutcome:
        """Revoke the ownership of shards and keys.

        The server answers once no request for them is running, so the
        timeout must exceed the longest request.

        :param mandate: source of the term and the version; the server
            rejects lists of earlier versions that arrive afterwards.
        """
        result = self._call(
            'POST',
            '/grants/revoke',
            {
                'authority': _authority_name(mandate.authority),
                'term': mandate.term,
                'version': mandate.version,
                'shards': list(shards),
                'keys': list(keys),
            },
        )
        return self._grant_outcome(result, -math.inf)

    def close(self) -> None:
        """Close the connection."""
        self.pool.close()

    def _send_grant(
        self,
        mandate: Mandate,
        content: Mapping[str, Any],
    ) -> GrantOutcome:
        if self.server_clock is None:
            clock_outcome = self.read_clock()
            if clock_outcome.server_clock is None:
                return clock_outcome
            self.server_clock = clock_outcome.server_clock
        ends_at = self.clock.monotonic() + self.grant_lifetime_s
        result = self._call(
            'POST',
            '/grants',
            {
                'authority': _authority_name(mandate.authority),
                'term': mandate.term,
                'version': mandate.version,
                'incarnation': self.server_clock.incarnation,
                'expires_at': self.server_clock.to_server_time(ends_at),
                **content,
            },
        )
        outcome = self._grant_outcome(result, ends_at)
        self.ends_at = max(self.ends_at, outcome.ends_at)
        return outcome

    def _grant_outcome(
        self, result: _CallResult, ends_at: float
    ) -> GrantOutcome:
        answer = _parse_answer(_ClockAnswer, result, ends_at)
        if isinstance(answer, GrantOutcome):
            if answer.stale is not None and answer.stale.kind == 'incarnation':
                self.server_clock = None
            return answer
        if self.server_clock is not None:
            self._keep_tighter_reading(
                ServerClock(
                    answer.clock,
                    self.server_clock.incarnation,
                    self.server_clock.epoch_floor,
                    result.received_at,
                ),
            )
        return GrantOutcome(GrantStatus.CONFIRMED, ends_at, self.server_clock)

    def _keep_tighter_reading(self, reading: ServerClock) -> None:
        """Store a reading unless the stored one gives a higher lower bound.

        A reading whose answer took long is a looser bound on the server's
        clock than an earlier one that was answered quickly.
        """
        current = self.server_clock
        if (
            current is None
            or current.incarnation != reading.incarnation
            or current.earliest_now(reading.received_at) <= reading.clock
        ):
            self.server_clock = reading

    def _call(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
    ) -> _CallResult:
        try:
            response = bounded.send_request(
                self.pool,
                method,
                path,
                None if body is None else json.dumps(body).encode(),
                {},
                MAX_ANSWER_BYTES,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return self._call_result(GrantStatus.NOT_SENT, detail=str(error))
        except urllib3.exceptions.HTTPError as error:
            return self._call_result(GrantStatus.UNKNOWN, detail=str(error))
        if response.status == HTTPStatus.OK:
            return self._call_result(GrantStatus.CONFIRMED, response.body)
        if response.status == HTTPStatus.CONFLICT:
            return self._call_result(GrantStatus.STALE, response.body)
        return self._call_result(
            GrantStatus.UNKNOWN,
            detail=f'unexpected status {response.status}',
        )

    def _call_result(
        self,
        status: GrantStatus,
        body: bytes = b'',
        detail: str = '',
    ) -> _CallResult:
        return _CallResult(status, self.clock.monotonic(), body, detail)


def _authority_name(authority: AuthorityKey) -> str:
    return f'{authority.zone}/{authority.mobility}'


def _parse_answer(
    model: type[_Answer],
    result: _CallResult,
    ends_at: float = -math.inf,
) -> _Answer | GrantOutcome:
    """Return the parsed answer, or the outcome of an unconfirmed call."""
    try:
        match result.status:
            case GrantStatus.CONFIRMED:
                return model.model_validate_json(result.body)
            case GrantStatus.STALE:
                refusal = _StaleAnswer.model_validate_json(result.body)
                stale = StaleError(refusal.error, refusal.given, refusal.known)
                return GrantOutcome(
                    result.status,
                    stale=stale,
                    detail=str(stale),
                )
    except ValidationError as error:
        return GrantOutcome(
            GrantStatus.UNKNOWN,
            ends_at,
            detail=f'malformed answer: {error}',
        )
    if result.status is GrantStatus.NOT_SENT:
        ends_at = -math.inf
    return GrantOutcome(result.status, ends_at, detail=result.detail)
