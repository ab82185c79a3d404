"""The platform's request and answer headers, and the calls for grants."""

import json
import re
from typing import Any

from oriolearch.adapters.caller_links import IncomingRequest
from oriolearch.adapters.upstream_links import (
    HOP_BY_HOP_HEADERS,
    UNLIMITED_IDLE_S,
    HttpResponse,
    LinkPool,
    ResponseMemory,
)
from oriolearch.core.directory import KEY_COUNT, UpstreamEntry
from oriolearch.core.notices import NO_LIMIT
from oriolearch.core.ownership import CALL_TIMEOUT_S, Grant, Probe, Release
from oriolearch.core.errors import GrantRefusedError
from oriolearch.ports import AnswerFacts, RequestHead

REQUEST_ID = b'attempt-id'
DEADLINE_MS = b'timeout-ms'
SIGNATURE = b'server-signature'
EXPECTED_NAME = b'target-instance'
LOAD = b'server-load'
INSTANCE = b'instance-id'
NOT_RUN = b'not-executed'
COLD_MS = b'warmup-ms'
KEY = b'shard-key'
HANDOVER = b'handover'
RATE_LIMIT = b'server-limit'
LEAVING = b'server-leaving'
RETRY_AFTER = b'retry-after'
DEFAULT_TIMEOUT_S = 30.0  # for callers that send no timeout header
# A release is answered once the running requests for its keys have ended.
RELEASE_TIMEOUT_S = 2.5
MISDIRECTED = 421
OVERLOADED = 503

_REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {DEADLINE_MS, EXPECTED_NAME, b'expect'}
_NOT_RUN_STATUSES = frozenset((400, 421, 429, 503))
# Running and queued requests, slots, and how long work takes at the moment in
# per cent of the usual time. Earlier servers send no fourth number.
_LOAD = re.compile(rb'(\d{1,6}),(\d{1,6}),\d{1,6}(?:,([1-9]\d{0,4})?)?')
_DECIMAL = re.compile(rb'\d{1,9}(\.\d{1,9})?')


class PlatformCodec:
    """Encodes requests and decodes answers; keeps no state."""

    def read_head(self, request: IncomingRequest) -> RequestHead:
        """Decode the fields that determine how a request is handled."""
        timeout = request.header(DEADLINE_MS) or b''
        timeout_s = int(timeout) / 1000 if timeout.isdigit() else None
        key = request.header(KEY) or b''
        number = int(key) if key.isdigit() and len(key) < 6 else KEY_COUNT
        return RequestHead(
            request_id=request.header(REQUEST_ID) or b'',
            host=_host_name(request),
            path=request.target.partition(b'?')[0].decode('latin-1'),
            timeout_s=DEFAULT_TIMEOUT_S if timeout_s is None else timeout_s,
            key=number if number < KEY_COUNT else None,
        )

    def encode(
        self,
        request: IncomingRequest,
        entry: UpstreamEntry,
        left_s: float,
    ) -> bytes:
        """Encode a request for an upstream."""
        lines = [b'%s %s HTTP/1.1' % (request.method, request.target)]
        lines.extend(
            b'%s: %s' % (name, text)
            for name, text in request.headers
            if name not in _REPLACED_HEADERS
        )
        lines.append(b'%s: %d' % (DEADLINE_MS, max(int(left_s * 1000), 1)))
        lines.append(b'%s: %s' % (EXPECTED_NAME, entry.ref.name.encode()))
        if request.body or request.method not in {b'GET', b'HEAD'}:
            lines.append(b'content-length: %d' % len(request.body))
        lines.extend((b'', request.body))
        return b'\r\n'.join(lines)

    def is_answer_to(self, answer: HttpResponse, request_id: bytes) -> bool:
        """Return whether an answer belongs to a request."""
        return answer.header(REQUEST_ID) == request_id

    def decode_facts(self, answer: HttpResponse) -> AnswerFacts:
        """Decode what an answer reports on the request and the upstream."""
        is_signed = answer.header(SIGNATURE) is not None
        is_not_run = (
            answer.status == MISDIRECTED or answer.header(NOT_RUN) is not None
        )
        load, slowdown = _parse_load(answer.header(LOAD))
        is_misdirected = answer.status == MISDIRECTED
        return AnswerFacts(
            is_not_run=is_not_run and answer.status in _NOT_RUN_STATUSES,
            is_misdirected=is_misdirected,
            is_intact=(
                (is_signed or answer.status >= 300)
                and answer.header(b'content-encoding') is None
            ),
            load=load,
            cold_for_s=_remaining_cold_s(answer),
            rate_limit=None if is_misdirected else _parse_rate_limit(answer),
            is_leaving=not is_misdirected and answer.header(LEAVING) == b'1',
            pause_s=_parse_pause_s(answer),
            slowdown=slowdown,
        )


class GrantCalls:
    """Grants key ranges to upstreams, releases them and probes upstreams.

    An upstream may repeat an answer when the next call arrives, and answers to
    these calls name no call. So a call whose answer changes who may hold keys
    gets a connection that has carried none. A repeated answer to a renewal
    passes for that to the next renewal, which only delays what it would tell.
    """

    def __init__(self, memory: ResponseMemory | None = None) -> None:
        self.memory = memory or ResponseMemory()
        self.pools: dict[str, LinkPool] = {}
        self.probe_pools: dict[str, LinkPool] = {}

    async def grant(self, call: Grant) -> None:
        """Grant a key range.

        :raises GrantRefusedError: when the upstream refuses, for example as
            it has seen a higher fencing token.
        :raises LinkError: when there is no answer; the grant may have been
            applied.
        """
        body: dict[str, Any] = {
            'from': call.first,
            'target': call.last,
            'fence': call.fence,
            'hold_s': call.lease_s,
        }
        if call.transfer_token is not None:
            body['handover'] = call.transfer_token
        answer = await self._post(
            call.upstream,
            '/grant',
            body,
            CALL_TIMEOUT_S,
            is_repeated=call.is_renewal,
        )
        _raise_unless_ok(call.upstream, answer)

    async def release(self, call: Release) -> str | None:
        """Release a key range once the running requests for it have ended.

        :returns: the transfer token for the next owner, if there is one.
        :raises GrantRefusedError: when the upstream refuses.
        :raises LinkError: when there is no answer.
        """
        body = {'from': call.first, 'target': call.last, 'fence': call.fence}
        answer = await self._post(
            call.upstream,
            '/release',
            body,
            RELEASE_TIMEOUT_S,
        )
        _raise_unless_ok(call.upstream, answer)
        handover = answer.header(HANDOVER)
        return handover.decode('latin-1') if handover else None

    async def probe(self, call: Probe, health_path: str) -> float:
        """Probe the health of an upstream.

        :returns: its remaining cold start, in seconds.
        :raises LinkError: when there is no answer.
        :raises GrantRefusedError: when the address belongs to another
            upstream.
        """
        head = (
            f'GET {health_path} HTTP/1.1\r\n'
            f'Host: {call.upstream.address}\r\n'
            f'Target-Instance: {call.upstream.ref.name}\r\n\r\n'
        )
        answer = await self._probe_pool(call.upstream).exchange(
            head.encode(),
            CALL_TIMEOUT_S,
        )
        if _is_other_upstream(call.upstream, answer):
            raise GrantRefusedError(call.upstream.address, MISDIRECTED)
        return _remaining_cold_s(answer)

    def _pool(self, upstream: UpstreamEntry) -> LinkPool:
        pool = self.pools.get(upstream.address)
        if pool is None:
            pool = LinkPool(
                upstream.address, max_idle_links=2, memory=self.memory
            )
            self.pools[upstream.address] = pool
        return pool

    def _probe_pool(self, upstream: UpstreamEntry) -> LinkPool:
        """Return connections for probes only.

        The repeated answer to a grant would pass for that to a probe.
        """
        pool = self.probe_pools.get(upstream.address)
        if pool is None:
            pool = LinkPool(
                upstream.address, max_idle_links=1, memory=self.memory
            )
            self.probe_pools[upstream.address] = pool
        return pool

    async def _post(
        self,
        upstream: UpstreamEntry,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
        *,
        is_repeated: bool = False,
    ) -> HttpResponse:
        """Send a call.

        :param is_repeated: the answer may be that to an earlier call.
        """
        pool = self._pool(upstream)
        content = json.dumps(body).encode()
        head = (
            f'POST {path} HTTP/1.1\r\nHost: {upstream.address}\r\n'
            f'Target-Instance: {upstream.ref.name}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'
        )
        return await pool.exchange(
            head.encode() + content,
            timeout_s,
            max_idle_s=UNLIMITED_IDLE_S if is_repeated else 0,
        )


def _raise_unless_ok(upstream: UpstreamEntry, answer: HttpResponse) -> None:
    """Raise :class:`GrantRefusedError` unless a call succeeded.

    A server of another service at the address answers an unknown call with
    400; only its instance name shows that it is another server.
    """
    if _is_other_upstream(upstream, answer):
        raise GrantRefusedError(upstream.address, MISDIRECTED)
    if answer.status != 200:
        raise GrantRefusedError(upstream.address, answer.status)


def _is_other_upstream(upstream: UpstreamEntry, answer: HttpResponse) -> bool:
    if answer.status == MISDIRECTED:
        return True
    name = answer.header(INSTANCE)
    return name is not None and name.decode('latin-1') != upstream.ref.name


def _host_name(request: IncomingRequest) -> str:
    host = (request.header(b'host') or b'').decode('latin-1').lower()
    return host.partition(':')[0]


def _parse_load(text: bytes | None) -> tuple[int | None, float | None]:
    """Return the load of the server and the slowdown of its machine.

    A header of another form tells neither.
    """
    match = _LOAD.fullmatch((text or b'').replace(b' ', b''))
    if match is None:
        return None, None
    running, queued, percentage = match.groups()
    slowdown = int(percentage) / 100 if percentage else None
    return int(running) + int(queued), slowdown


def _remaining_cold_s(answer: HttpResponse) -> float:
    cold = answer.header(COLD_MS) or b''
    return int(cold) / 1000 if cold.isdigit() else 0.0


def _parse_rate_limit(answer: HttpResponse) -> float | None:
    """Return the requests per second that the server takes from all hosts.

    The lowest counts if there are several. An answer whose limits are all
    malformed tells neither that there is a limit nor that there is none.
    """
    texts = answer.texts(RATE_LIMIT)
    return min(_parse_decimals(texts), default=None) if texts else NO_LIMIT


def _parse_pause_s(answer: HttpResponse) -> float:
    """Return for how long the server wants nothing from this host.

    The longest time counts if there are several; a date is no time.
    """
    if answer.status != OVERLOADED:
        return 0.0
    return max(_parse_decimals(answer.texts(RETRY_AFTER)), default=0.0)


def _parse_decimals(texts: list[bytes]) -> list[float]:
    return [float(text) for text in texts if _DECIMAL.fullmatch(text)]
