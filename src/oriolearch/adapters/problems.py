"""Renders refusals as RFC 9457 problem details."""

import json
import math
from http import HTTPStatus

from oriolearch.core.errors import OriolearchError
from oriolearch.core.policy import Outcome, Refusal, RefusalReason

OUTCOME_HEADER = 'oriolearch-outcome'

_STATUSES = {
    RefusalReason.QUEUE_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    RefusalReason.NO_UPSTREAM: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.ATTEMPTS_FAILED: HTTPStatus.BAD_GATEWAY,
    RefusalReason.RETRY_BUDGET: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.CALLER_GONE: HTTPStatus.BAD_GATEWAY,
}


class RefusedError(OriolearchError):
    """The router refuses a request and answers it itself.

    :param kind: last part of the type ``urn:oriolearch:problem:<kind>``.
    :param may_have_run: the request may have run on an upstream.
    :param retry_after_s: time after which a retry may succeed.
    """

    def __init__(
        self,
        status: HTTPStatus,
        kind: str,
        detail: str,
        may_have_run: bool = False,
        *,
        retry_after_s: float | None = None,
        fields: list[tuple[str, str]] | None = None,
    ) -> None:
        super().__init__(f'{kind}: {detail}')
        self.status = status
        self.kind = kind
        self.detail = detail
        self.outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        self.retry_after_s = retry_after_s
        self.fields = fields or []


def policy_refusal(
    refusal: Refusal,
    may_have_run: bool,
    is_past_deadline: bool,
) -> RefusedError:
    """Return the error for a refusal of the pool policy.

    :param may_have_run: an earlier ticket of the request may have run.
    :param is_past_deadline: the deadline has passed.
    """
    gateway_timeout = HTTPStatus.GATEWAY_TIMEOUT
    return RefusedError(
        gateway_timeout if is_past_deadline else _STATUSES[refusal.reason],
        str(refusal.reason),
        'the request got no answer from an upstream',
        may_have_run or refusal.outcome is Outcome.UNKNOWN,
        retry_after_s=refusal.retry_after_s,
    )


def render_problem(
    refusal: RefusedError,
) -> tuple[bytes, list[tuple[str, str]]]:
    """Return the body and the header fields of the answer to a refusal."""
    body = json.dumps(
        {
            'type': f'urn:oriolearch:problem:{refusal.kind}',
            'title': refusal.status.phrase,
            'status': int(refusal.status),
            'detail': refusal.detail,
            'outcome': str(refusal.outcome),
        },
    )
    fields = [
        ('content-type', 'application/problem+json'),
        (OUTCOME_HEADER, str(refusal.outcome)),
        *refusal.fields,
    ]
    if refusal.retry_after_s is not None:
        seconds = max(math.ceil(refusal.retry_after_s), 1)
        fields.append(('retry-after', str(seconds)))
    return body.encode(), fields
