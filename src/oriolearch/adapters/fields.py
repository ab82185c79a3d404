"""Which header fields are passed on between callers and upstreams."""

from collections.abc import Iterable
from http import HTTPStatus

from oriolearch.adapters.framing import RequestHead
from oriolearch.adapters.requests import CallerRequest, Fields
from oriolearch.adapters.upstream import Answer

OWN_FIELDS = 'oriolearch-'
REQUEST_FIELD = 'oriolearch-request'  # the caller's name for a request

_NOT_PASSED_ON = frozenset(
    (
        'connection',
        'content-length',  # stated anew with the framing of the other side
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
_WITH_BODY = frozenset(('PATCH', 'POST', 'PUT'))


def _dropped(connection: str | None) -> frozenset[str]:
    """Give the fields that end here; ``Connection`` names further ones."""
    if not connection:
        return _NOT_PASSED_ON
    named = {name.strip().lower() for name in connection.split(',')}
    return _NOT_PASSED_ON | (named - {'host'})


def _kept(found: Iterable[tuple[str, str]], connection: str | None) -> Fields:
    dropped = _dropped(connection)
    return [
        (name, text)
        for name, text in found
        if name.lower() not in dropped
        and (
            name.lower() == REQUEST_FIELD
            or not name.lower().startswith(OWN_FIELDS)
        )
    ]


def _states_length(head: RequestHead) -> bool:
    return 'content-length' in head.headers or head.method in _WITH_BODY


def request_fields(request: CallerRequest) -> dict[str, str]:
    """Give the fields to pass on, by name; repeated ones are joined."""
    head = request.head
    passed: dict[str, str] = {}
    for name, text in _kept(head.fields, head.headers.get('connection')):
        if name in passed:
            glue = '; ' if name == 'cookie' else ', '
            text = f'{passed[name]}{glue}{text}'
        passed[name] = text
    earlier = passed.get('x-forwarded-for')
    address = request.remote_address
    passed['x-forwarded-for'] = f'{earlier}, {address}' if earlier else address
    if head.length is None:
        passed['transfer-encoding'] = 'chunked'
    elif head.length or _states_length(head):
        passed['content-length'] = str(head.length)
    return passed


def answer_fields(answer: Answer) -> Fields:
    """Give the fields to pass on, in order."""
    return _kept(answer.fields, answer.headers.get('connection'))


def answer_length(answer: Answer, method: str) -> int | None:
    """Give the length to state; that of an answer without a body is kept."""
    if answer.status == HTTPStatus.NO_CONTENT:
        return None
    if method != 'HEAD' and answer.status != HTTPStatus.NOT_MODIFIED:
        return answer.size
    given = answer.headers.get('content-length', '')
    return int(given) if given.isdecimal() else None
