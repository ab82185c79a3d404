"""HTTP client that a renewer uses towards one keyed server."""

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
from oriolearch.core.errors import StaleError
from oriolearch.core.grants import SendGrant, ServerAnswer, ServerRefusal
from oriolearch.core.messages import AuthorityKey, Mandate
from oriolearch.core.model import RATE_MARGIN, shortened
from oriolearch.ports import Clock

MAX_ANSWER_BYTES = 64 * 1024  # answers are small whatever was sent
_Answer = TypeVar('_Answer', bound=BaseModel)


class GrantStatus(StrEnum):
    """What is known of a call."""

    CONFIRMED = 'confirmed'
    STALE = 'stale'  # refused; the server knows something newer
    NOT_SENT = 'not-sent'
    UNKNOWN = 'unknown'  # may have taken effect or may still do so


@dataclass(frozen=True, slots=True)
class ServerClock:
    """A reading of a server's clock.

    :param clock: seconds of the server's monotonic clock.
    :param incarnation: run of the server; a new one may start its clock anew.
    :param epoch_floor: highest epoch that the server has held.
    :param answered_at: own time at which the reading had arrived.
    """

    clock: float
    incarnation: int
    epoch_floor: int
    answered_at: float

    def at_least(self, now: float) -> float:
        """Give the earliest reading that the server's clock can show now."""
        age_s = max(now - self.answered_at, 0)
        return self.clock + age_s * (1 - RATE_MARGIN)

    def expiry(self, until: float) -> float:
        """Give a time of the server's clock that is over at an own time.

        The reading was taken before it arrived, so that the server's clock
        reaches the result at ``until`` at the latest.
        """
        return self.clock + shortened(until - self.answered_at)


@dataclass(frozen=True, slots=True)
class GrantOutcome:
    """The result of a call.

    :param ends_at: own time at which a grant given by this call is certainly
        over; ``-inf`` when it gave none.
    :param stale: what the server knows, with status ``STALE``.
    :param detail: what went wrong, for the log.
    """

    status: GrantStatus
    ends_at: float = -math.inf
    server: ServerClock | None = None
    stale: StaleError | None = None
    detail: str = ''


class _ClockAnswer(BaseModel):
    clock: FiniteFloat


class _GrantsAnswer(_ClockAnswer):
    incarnation: int
    epoch_floor: int


class _AcceptAnswer(_ClockAnswer):
    settled: bool = True


class _StaleAnswer(BaseModel):
    error: str
    given: int
    known: int


@dataclass(frozen=True, slots=True)
class _Reply:
    """An answer of the server, or the reason why there is none."""

    status: GrantStatus
    answered_at: float
    body: bytes = b''
    detail: str = ''


@dataclass(slots=True)
class GrantClient:
    """Gives grants to one keyed server; used by one thread at a time.

    A renewal reaches the server late or not at all without harm: it names
    the end of the grant in the server's own clock.

    :param address: ``host:port`` of the server.
    :param grant_s: lifetime of a grant, counted from before it is sent.
    :param timeout_s: longest duration of one call in seconds.
    :param ends_at: own time at which every grant given so far is over.
    """

    address: str
    clock: Clock
    grant_s: float
    timeout_s: float
    server: ServerClock | None = None
    ends_at: float = -math.inf
    pool: urllib3.HTTPConnectionPool = field(init=False, repr=False)

    def __post_init__(self) -> None:
        """Prepare the connection."""
        host, _, port = self.address.rpartition(':')
        self.pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            timeout=urllib3.Timeout(total=self.timeout_s),
            maxsize=2,
            retries=False,
        )

    def read_clock(self) -> GrantOutcome:
        """Read clock, incarnation and highest epoch of the server."""
        reply = self._call('GET', '/grants')
        answer = _parsed(_GrantsAnswer, reply)
        if isinstance(answer, GrantOutcome):
            return answer
        self._note(
            ServerClock(
                answer.clock,
                answer.incarnation,
                answer.epoch_floor,
                reply.answered_at,
            ),
        )
        return GrantOutcome(GrantStatus.CONFIRMED, server=self.server)

    def probe(self, sent: float) -> ServerAnswer | None:
        """Read clock and incarnation; ``None`` without an answer.

        :param sent: time of the caller before the call, to be given back.
        """
        answer = _parsed(_GrantsAnswer, self._call('GET', '/grants'))
        if isinstance(answer, GrantOutcome):
            return None
        return ServerAnswer(sent, answer.incarnation, answer.clock)

    def send(
        self,
        effect: SendGrant,
        sent: float,
    ) -> ServerAnswer | ServerRefusal | None:
        """Send a grant; ``None`` when its outcome is unknown."""
        shards = effect.shards
        body = {
            'authority': _authority(effect.authority),
            'term': effect.term,
            'version': effect.version,
            'incarnation': effect.incarnation,
            'expires_at': effect.expires_at,
            'shards': None if shards is None else list(shards),
            'keys': list(effect.keys),
        }
        answer = _parsed(_AcceptAnswer, self._call('POST', '/grants', body))
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
        """Send the whole list of shards and keys."""
        return self._grant(
            mandate,
            {'shards': mandate.shards, 'keys': mandate.keys},
        )

    def renew(self, mandate: Mandate) -> GrantOutcome:
        """Extend the list that the server holds."""
        return self._grant(mandate, {'shards': None})

    def revoke(
        self,
        mandate: Mandate,
        shards: Iterable[int],
        keys: Iterable[str] = (),
    ) -> GrantOutcome:
        """Take shards and keys away.

        The answer comes once no request for them runs, so that the time-out
        must allow for the longest request.

        :param mandate: gives term and version; lists of earlier versions
            that are still on their way become void.
        """
        reply = self._call(
            'POST',
            '/grants/revoke',
            {
                'authority': _authority(mandate.authority),
                'term': mandate.term,
                'version': mandate.version,
                'shards': list(shards),
                'keys': list(keys),
            },
        )
        return self._confirmed(reply, -math.inf)

    def close(self) -> None:
        """Close the connection."""
        self.pool.close()

    def _grant(
        self,
        mandate: Mandate,
        content: Mapping[str, Any],
    ) -> GrantOutcome:
        if self.server is None:
            read = self.read_clock()
            if read.server is None:
                return read
            self.server = read.server
        ends_at = self.clock.monotonic() + self.grant_s
        reply = self._call(
            'POST',
            '/grants',
            {
                'authority': _authority(mandate.authority),
                'term': mandate.term,
                'version': mandate.version,
                'incarnation': self.server.incarnation,
                'expires_at': self.server.expiry(ends_at),
                **content,
            },
        )
        outcome = self._confirmed(reply, ends_at)
        self.ends_at = max(self.ends_at, outcome.ends_at)
        return outcome

    def _confirmed(self, reply: _Reply, ends_at: float) -> GrantOutcome:
        answer = _parsed(_ClockAnswer, reply, ends_at)
        if isinstance(answer, GrantOutcome):
            if answer.stale is not None and answer.stale.kind == 'incarnation':
                self.server = None
            return answer
        if self.server is not None:
            self._note(
                ServerClock(
                    answer.clock,
                    self.server.incarnation,
                    self.server.epoch_floor,
                    reply.answered_at,
                ),
            )
        return GrantOutcome(GrantStatus.CONFIRMED, ends_at, self.server)

    def _note(self, reading: ServerClock) -> None:
        """Keep the reading that tells more.

        One that took long to arrive says less than an earlier quick one.
        """
        known = self.server
        if (
            known is None
            or known.incarnation != reading.incarnation
            or known.at_least(reading.answered_at) <= reading.clock
        ):
            self.server = reading

    def _call(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
    ) -> _Reply:
        try:
            response = bounded.call(
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
        ) as refused:
            return self._reply(GrantStatus.NOT_SENT, detail=str(refused))
        except urllib3.exceptions.HTTPError as broken:
            return self._reply(GrantStatus.UNKNOWN, detail=str(broken))
        if response.status == HTTPStatus.OK:
            return self._reply(GrantStatus.CONFIRMED, response.body)
        if response.status == HTTPStatus.CONFLICT:
            return self._reply(GrantStatus.STALE, response.body)
        return self._reply(
            GrantStatus.UNKNOWN,
            detail=f'unexpected status {response.status}',
        )

    def _reply(
        self,
        status: GrantStatus,
        body: bytes = b'',
        detail: str = '',
    ) -> _Reply:
        return _Reply(status, self.clock.monotonic(), body, detail)


def _authority(authority: AuthorityKey) -> str:
    return f'{authority.zone}/{authority.mobility}'


def _parsed(
    model: type[_Answer],
    reply: _Reply,
    ends_at: float = -math.inf,
) -> _Answer | GrantOutcome:
    """Give the answer, or the outcome of a call that was not confirmed."""
    try:
        match reply.status:
            case GrantStatus.CONFIRMED:
                return model.model_validate_json(reply.body)
            case GrantStatus.STALE:
                known = _StaleAnswer.model_validate_json(reply.body)
                stale = StaleError(known.error, known.given, known.known)
                return GrantOutcome(
                    reply.status,
                    stale=stale,
                    detail=str(stale),
                )
    except ValidationError as invalid:
        return GrantOutcome(
            GrantStatus.UNKNOWN,
            ends_at,
            detail=f'malformed answer: {invalid}',
        )
    if reply.status is GrantStatus.NOT_SENT:
        ends_at = -math.inf
    return GrantOutcome(reply.status, ends_at, detail=reply.detail)
