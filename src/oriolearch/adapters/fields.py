"""Selects the header fields forwarded between callers and upstreams."""

from collections.abc import Iterable
from http import HTTPStatus

from oriolearch.adapters.framing import RequestHead
from oriolearch.adapters.requests import CallerRequest, Fields
from oriolearch.adapters.upstream import UpstreamResponse

ROUTER_FIELD_PREFIX = 'oriolearch-'
# Set by the caller to identify its request.
REQUEST_ID_FIELD = 'oriolearch-request'

_HOP_BY_HOP_FIELDS = frozenset(
    (
        'connection',
        'content-length',  # set again for the framing of the next hop
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
_METHODS_WITH_BODY = frozenset(('PATCH', 'POST', 'PUT'))


def _hop_by_hop_fields(connection: str | None) -> frozenset[str]:
    """Return the hop-by-hop fields, with those that ``Connection`` lists."""
    if not connection:
        return _HOP_BY_HOP_FIELDS
    listed = {name.strip().lower() for name in connection.split(',')}
    return _HOP_BY_HOP_FIELDS | (listed - {'host'})


def _forwardable_fields(
    fields: Iterable[tuple[str, str]], connection: str | None
) -> Fields:
    hop_by_hop = _hop_by_hop_fields(connection)
    return [
        (name, text)
        for name, text in fields
        if name.lower() not in hop_by_hop
        and (
            name.lower() == REQUEST_ID_FIELD
            or not name.lower().startswith(ROUTER_FIELD_PREFIX)
        )
    ]


def _has_content_length(head: RequestHead) -> bool:
    return 'content-length' in head.headers or head.method in _METHODS_WITH_BODY


def request_fields(request: CallerRequest) -> dict[str, str]:
    """Return the fields to forward, by name; repeated ones are joined."""
    head = request.head
    forwarded: dict[str, str] = {}
    for name, text in _forwardable_fields(
        head.fields, head.headers.get('connection')
    ):
        if name in forwarded:
            separator = '; ' if name == 'cookie' else ', '
            text = f'{forwarded[name]}{separator}{text}'
        forwarded[name] = text
    earlier = forwarded.get('x-forwarded-for')
    address = request.remote_address
    forwarded['x-forwarded-for'] = (
        f'{earlier}, {address}' if earlier else address
    )
    if head.length is None:
        forwarded['transfer-encoding'] = 'chunked'
    elif head.length or _has_content_length(head):
        forwarded['content-length'] = str(head.length)
    return forwarded


def answer_fields(answer: UpstreamResponse) -> Fields:
    """Return the fields to forward, in order."""
    return _forwardable_fields(answer.fields, answer.headers.get('connection'))


def answer_length(answer: UpstreamResponse, method: str) -> int | None:
    """Return the content length to send, ``None`` to send none.

    Answers to HEAD and with status 304 have no body and keep the length that
    the upstream stated.
    """
    if answer.status == HTTPStatus.NO_CONTENT:
        return None
    if method != 'HEAD' and answer.status != HTTPStatus.NOT_MODIFIED:
        return answer.size
    stated = answer.headers.get('content-length', '')
    return int(stated) if stated.isdecimal() else None
