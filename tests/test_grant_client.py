"""GrantClient: grants that expire by the server's own clock."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from oriolearch.adapters.grants import GrantClient, GrantStatus, ServerClock
from oriolearch.clock import ManualClock, RealClock
from oriolearch.core.grants import SendGrant, ServerAnswer, ServerRefusal
from oriolearch.core.messages import AuthorityKey, Mandate
from oriolearch.core.model import FIXED_MARGIN_S, RATE_MARGIN, Mobility
from oriolearch.standins.keyed import KeyedStandin
from oriolearch.standins.server import LoopbackServer, Response
from tests.conftest import TIMEOUT_S, Client, advance, eventually

Connect = Callable[[Any], Client]

GRANT_S = 0.7
SERVER_START_S = 5000
MANDATE = Mandate(
    authority=AuthorityKey('a', Mobility.MOVABLE),
    term=5,
    pool='p',
    server='s',
    version=3,
    duration_s=0.6,
    shards=((7, 20), (8, 21)),
    keys=(('hot', 25),),
)
NEXT_TERM = Mandate(MANDATE.authority, 6, 'p', 's', 1, 0.6, ((7, 20),))


@pytest.fixture
def standin(connect: Connect) -> KeyedStandin:
    keyed = KeyedStandin(ManualClock(SERVER_START_S))
    connect(keyed)
    return keyed


def make_client(
    standin: KeyedStandin | LoopbackServer,
    timeout_s: float = TIMEOUT_S,
) -> GrantClient:
    return GrantClient(standin.address, ManualClock(), GRANT_S, timeout_s)


@pytest.mark.parametrize('rate', [1 - RATE_MARGIN, 1, 1 + RATE_MARGIN])
@pytest.mark.parametrize('answer_delay_s', [0, 0.001, 0.3])
@pytest.mark.parametrize('age_s', [0, 0.2, 30])
def test_grant_expires_no_later_than_the_client_expects(
    rate: float,
    answer_delay_s: float,
    age_s: float,
) -> None:
    """A grant that outlasts ``ends_at`` would give a shard two owners."""
    received_at = 1000
    read_at = received_at - answer_delay_s
    reading = ServerClock(SERVER_START_S, 1, 0, received_at)
    ends_at = received_at + age_s + GRANT_S
    expires_at = reading.to_server_time(ends_at)
    server_then = SERVER_START_S + (ends_at - read_at) * rate
    assert expires_at <= server_then
    server_now = SERVER_START_S + (ends_at - GRANT_S - read_at) * rate
    owned_s = expires_at - FIXED_MARGIN_S - server_now
    max_loss_s = answer_delay_s + 2 * RATE_MARGIN * (age_s + GRANT_S)
    assert owned_s >= GRANT_S * rate - max_loss_s * rate - 2 * FIXED_MARGIN_S


def test_list_renewal_and_revocation(standin: KeyedStandin) -> None:
    """Renewals that extend nothing would let grants expire needlessly."""
    client = make_client(standin)
    first = client.send_list(MANDATE)
    assert first.status is GrantStatus.CONFIRMED
    assert first.ends_at == client.ends_at == 1000 + GRANT_S
    assert standin.has_valid_grant(7, 20, 'k') and standin.has_valid_grant(
        8, 25, 'hot'
    )
    advance(standin, 0.5)
    advance(client, 0.5)
    assert client.renew(MANDATE).status is GrantStatus.CONFIRMED
    assert client.ends_at == 1000.5 + GRANT_S
    advance(standin, 0.65)
    advance(client, 0.65)
    assert standin.has_valid_grant(7, 20, 'k')
    advance(standin, 0.05)
    advance(client, 0.05)
    assert not standin.has_valid_grant(7, 20, 'k')
    client.renew(MANDATE)
    assert client.revoke(MANDATE, [7]).status is GrantStatus.CONFIRMED
    assert not standin.has_valid_grant(7, 20, 'k') and standin.has_valid_grant(
        8, 21, 'k'
    )
    read = client.read_clock()
    assert read.server_clock is not None and read.server_clock.epoch_floor == 25


@pytest.mark.parametrize(('second', 'kept'), [(5000.1, 5000), (5000.6, 5000.6)])
def test_slow_clock_reading_is_discarded(
    connect: Connect,
    second: float,
    kept: float,
) -> None:
    """A clock reading with a slow answer would shorten the next grants."""
    clocks = iter([5000, second])
    server = LoopbackServer(
        lambda _: Response.from_json(
            {'clock': next(clocks), 'incarnation': 1, 'epoch_floor': 0},
        ),
    )
    connect(server)
    client = make_client(server)
    client.read_clock()
    advance(client, 0.5)
    client.read_clock()
    assert client.server_clock is not None and client.server_clock.clock == kept


@pytest.mark.parametrize(
    ('stored', 'mandate', 'kind'),
    [
        (None, MANDATE, 'list term'),
        (NEXT_TERM, MANDATE, 'term'),
        (MANDATE, NEXT_TERM, 'list term'),
    ],
)
def test_stale_renewals_are_not_counted_as_grants(
    standin: KeyedStandin,
    stored: Mandate | None,
    mandate: Mandate,
    kind: str,
) -> None:
    """A renewal that the server refuses must not move ``ends_at``."""
    if stored is not None:
        make_client(standin).send_list(stored)
    client = make_client(standin)
    outcome = client.renew(mandate)
    assert outcome.status is GrantStatus.STALE
    assert outcome.stale is not None and outcome.stale.kind == kind
    assert client.ends_at < 0


def test_restarted_server_refuses_an_expiry_of_its_old_clock(
    standin: KeyedStandin,
) -> None:
    """An expiry by the clock of an earlier run could be years ahead."""
    reading = make_client(standin).read_clock().server_clock
    standin.stop()
    standin.clock = ManualClock(10)
    standin.start()
    client = make_client(standin)
    client.server_clock = reading
    outcome = client.send_list(MANDATE)
    assert outcome.stale is not None
    assert outcome.stale.kind == 'incarnation'
    assert client.send_list(MANDATE).status is GrantStatus.CONFIRMED
    assert standin.grants['a/movable'].expires_at < 10 + GRANT_S


@pytest.mark.parametrize(
    ('fault', 'is_owned'),
    [('reset_before', False), ('reset_after_run', True), (None, False)],
)
def test_grants_with_lost_answers_are_counted(
    standin: KeyedStandin,
    fault: str | None,
    is_owned: bool,
) -> None:
    """A grant that may have been made must be counted, and no other."""
    client = make_client(standin)
    client.server_clock = make_client(standin).read_clock().server_clock
    if fault is None:
        standin.stop()
    else:
        standin.set_faults({fault: {'path': '/grants', 'count': 1}})
    outcome = client.send_list(MANDATE)
    assert outcome.detail
    if fault is None:
        assert outcome.status is GrantStatus.NOT_SENT
        assert client.ends_at < 0
    else:
        assert outcome.status is GrantStatus.UNKNOWN
        assert client.ends_at == 1000 + GRANT_S
    assert standin.has_valid_grant(7, 20, 'k') is is_owned


def test_grant_received_by_a_frozen_server_has_expired(
    connect: Connect,
) -> None:
    """A server that resumes must not own shards that moved meanwhile."""
    keyed = KeyedStandin(RealClock(offset_s=100))
    connect(keyed)
    client = GrantClient(keyed.address, RealClock(), 0.1, 0.2)
    client.read_clock()
    keyed.set_faults({'freeze': True})
    assert client.send_list(MANDATE).status is GrantStatus.UNKNOWN
    assert client.clock.monotonic() > client.ends_at
    keyed.set_faults({'resume': True})
    eventually(lambda: keyed.grants)
    assert not keyed.has_valid_grant(7, 20, 'k')


@pytest.mark.parametrize(
    ('status', 'body'),
    [
        (200, b'{}'),
        (200, b'{"clock": "NaN"}'),
        (200, b'\xff'),
        (409, b'{}'),
        (503, b'{"clock": 1}'),
    ],
)
def test_malformed_answers_are_unknown(
    connect: Connect,
    status: int,
    body: bytes,
) -> None:
    """An exception here would stop the renewals for all other servers."""
    server = LoopbackServer(lambda _: Response.from_bytes(body, status))
    connect(server)
    client = make_client(server)
    assert client.read_clock().status is GrantStatus.UNKNOWN
    client.server_clock = ServerClock(SERVER_START_S, 1, 0, 1000)
    outcome = client.renew(MANDATE)
    assert outcome.status is GrantStatus.UNKNOWN
    assert outcome.ends_at == 1000 + GRANT_S


def make_grant(version: int, **changes: Any) -> SendGrant:
    """Return a grant as the renewer's state machine emits it."""
    grant = SendGrant(
        MANDATE.authority,
        'p',
        's',
        5,
        version,
        1,
        SERVER_START_S + GRANT_S,
        MANDATE.shards,
    )
    return replace(grant, **changes)


def test_send_returns_the_version_and_run_of_the_server(
    standin: KeyedStandin,
) -> None:
    """The renewer needs the current version and the server's incarnation."""
    client = make_client(standin)
    reading = client.probe(9)
    assert reading is not None and reading.sent == 9
    first = make_grant(3, incarnation=reading.incarnation)
    assert client.send(first, 10) == ServerAnswer(
        10,
        reading.incarnation,
        SERVER_START_S,
        3,
        is_settled=True,
    )
    renewal = replace(first, shards=None, expires_at=SERVER_START_S + 2)
    assert isinstance(client.send(renewal, 11), ServerAnswer)
    assert standin.grants['a/movable'].expires_at == SERVER_START_S + 2


@pytest.mark.parametrize(
    ('changes', 'reason'),
    [
        ({'term': 4}, 'term'),
        ({'version': 2}, 'version'),
        ({'version': 4, 'shards': None}, 'version'),
        ({'incarnation': 99}, 'incarnation'),
    ],
)
def test_send_returns_the_reason_of_a_refusal(
    standin: KeyedStandin,
    changes: dict[str, Any],
    reason: str,
) -> None:
    """The reason decides the reaction: stop, send the list, read the clock."""
    client = make_client(standin)
    reading = client.probe(0)
    assert reading is not None
    stored = make_grant(3, incarnation=reading.incarnation)
    client.send(stored, 1)
    outcome = client.send(replace(stored, **changes), 2)
    assert outcome == ServerRefusal(2, reason)
    standin.stop()
    assert client.probe(3) is None
    assert client.send(stored, 4) is None
