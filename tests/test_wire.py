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


@pytest.mark.parametrize(
    ('status', 'texts', 'expected'),
    [
        (200, [b'1'], True),
        (503, [b'1'], True),
        (200, [], False),
        (200, [b'0'], False),
        (200, [b'yes'], False),
        (421, [b'1'], False),
    ],
)
def test_leaving_upstream(
    status: int, texts: list[bytes], expected: bool
) -> None:
    """Guard against an upstream that is lost to a header of another one."""
    headers = [(b'server-leaving', text) for text in texts]
    facts = PlatformCodec().decode_facts(HttpResponse(status, headers))
    assert facts.is_leaving is expected


@pytest.mark.parametrize(
    ('status', 'texts', 'expected'),
    [
        (503, [], 0.0),
        (503, [b'2'], 2.0),
        (503, [b'0.25'], 0.25),
        (503, [b'1', b'4'], 4.0),
        (503, [b'-1'], 0.0),
        (503, [b'nan'], 0.0),
        (503, [b'9' * 400], 0.0),
        (503, [b'Sun, 06 Dec 2026 08:00:00 GMT'], 0.0),
        (503, [b'soon', b'3'], 3.0),
        (200, [b'2'], 0.0),
        (429, [b'2'], 0.0),
    ],
)
def test_pause_that_an_upstream_asks_for(
    status: int, texts: list[bytes], expected: float
) -> None:
    """Guard against a pause for good, or none, by an odd value."""
    headers = [(b'retry-after', text) for text in texts]
    facts = PlatformCodec().decode_facts(HttpResponse(status, headers))
    assert facts.pause_s == pytest.approx(expected)


@pytest.mark.parametrize(
    ('text', 'load', 'slowdown'),
    [
        (b'3,1,8,100', 4, 1.0),
        (b'3, 1, 8, 250', 4, 2.5),
        (b'3,1,8', 4, None),
        (b'3,1,8,', 4, None),
        (b'3,1,8,0', None, None),
        (b'3,1,8,-5', None, None),
        (b'3,x,8,100', None, None),
        (b'3,1', None, None),
        (b'9' * 400 + b',1,8,100', None, None),
        (b'3,1,8,' + b'9' * 400, None, None),
        (b'', None, None),
        (None, None, None),
    ],
)
def test_load_and_slowdown_of_an_upstream(
    text: bytes | None, load: int | None, slowdown: float | None
) -> None:
    """A malformed header must not pass for the load of another form."""
    headers = [] if text is None else [(b'server-load', text)]
    facts = PlatformCodec().decode_facts(HttpResponse(200, headers))
    assert (facts.load, facts.slowdown) == (load, slowdown)
