"""Tests of the platform's headers in answers of upstreams."""

import pytest

from oriolearch.adapters.upstream_links import HttpResponse
from oriolearch.core.notices import NO_LIMIT
from oriolearch.platform.wire import PlatformCodec


@pytest.mark.parametrize(
    ('texts', 'expected'),
    [
        ([], NO_LIMIT),
        ([b'5'], 5.0),
        ([b'0'], 0.0),
        ([b'2.75'], 2.75),
        ([b'7', b'3.5'], 3.5),
        ([b'7', b'many'], 7.0),
        ([b''], None),
        ([b'-1'], None),
        ([b'nan'], None),
        ([b'inf'], None),
        ([b'1e3'], None),
        ([b'5,6'], None),
        ([b'9' * 400], None),
        ([b'0.' + b'1' * 400], None),
    ],
)
def test_rate_limit_of_an_answer(
    texts: list[bytes], expected: float | None
) -> None:
    """Guard against a malformed limit that stops or frees an upstream."""
    headers = [(b'server-limit', text) for text in texts]
    facts = PlatformCodec().decode_facts(HttpResponse(200, headers))
    assert facts.rate_limit == expected


def test_answer_of_another_server_names_no_limit() -> None:
    """Guard against the limit of a server that took over the address."""
    answer = HttpResponse(421, [(b'server-limit', b'1')])
    assert PlatformCodec().decode_facts(answer).rate_limit is None
